#include "loads.h"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <pcg_random.hpp>

namespace fernward::limiters {
namespace {

std::function<double(double)> constant_load(double share) {
  return [share](double) { return share; };
}
std::function<double(double)> step_function(double from_s, double to_s, double inside, double outside) {
  return [=](double second) { return second >= from_s && second < to_s ? inside : outside; };
}

} // namespace

const std::vector<Load>& loads() {
  static const std::vector<Load> all = {
      {.name = "0.6",
       .description = "steady at 0.6 of the capacity",
       .offered_share = constant_load(0.6),
       .speed_factor = constant_load(1)},
      {.name = "0.9",
       .description = "steady at 0.9",
       .offered_share = constant_load(0.9),
       .speed_factor = constant_load(1)},
      {.name = "1.2",
       .description = "steady at 1.2",
       .offered_share = constant_load(1.2),
       .speed_factor = constant_load(1)},
      {.name = "spike",
       .description = "0.7, three times as much for 10 s",
       .offered_share = step_function(20, 30, 2.1, 0.7),
       .speed_factor = constant_load(1),
       .recover_from_s = 30},
      {.name = "surge",
       .description = "0.4, then 1.4 for 20 s, as after the loss of caches",
       .offered_share = step_function(20, 40, 1.4, 0.4),
       .speed_factor = constant_load(1),
       .recover_from_s = 40},
      {.name = "fall",
       .description = "0.7, then 4 for 10 s; the server fails when sent 2.5 times its capacity for 2 s",
       .offered_share = step_function(20, 30, 4, 0.7),
       .speed_factor = constant_load(1),
       .recover_from_s = 30,
       .overload_multiple = 2.5},
      {.name = "slower",
       .description = "0.25; the server slows to a third permanently",
       .offered_share = constant_load(0.25),
       .speed_factor = step_function(20, 1e9, 1.0 / 3, 1),
       .recover_from_s = 20},
      {.name = "slower-full",
       .description = "0.6; the server slows to a third permanently",
       .offered_share = constant_load(0.6),
       .speed_factor = step_function(20, 1e9, 1.0 / 3, 1),
       .recover_from_s = 20},
      {.name = "quicker",
       .description = "0.9, then 2; the server speeds up threefold",
       .offered_share = step_function(20, 1e9, 2, 0.9),
       .speed_factor = step_function(20, 1e9, 3, 1),
       .recover_from_s = 20},
      {.name = "crowd",
       .description = "1.5 for 20 s, then 0.8; routers restart at 10 s, during the overload",
       .offered_share = step_function(0, 20, 1.5, 0.8),
       .speed_factor = constant_load(1),
       .restart_at_s = 10,
       .recover_from_s = 20},
      {.name = "neighbour",
       .description = "0.6; for 3 s in 7 another program uses 0.6 of the cores",
       .offered_share = constant_load(0.6),
       .speed_factor = [](double second) { return std::fmod(second, 7) < 3 && second > 7 ? 0.4 : 1.0; }},
      {.name = "silent",
       .description = "0.6; a third of the attempts get no response",
       .offered_share = constant_load(0.6),
       .speed_factor = constant_load(1),
       .silent_share = 1.0 / 3},
      {.name = "reset",
       .description = "0.3; half of the responses end in a reset",
       .offered_share = constant_load(0.3),
       .speed_factor = constant_load(1),
       .reset_share = 0.5},
      {.name = "tight",
       .description = "0.8; the latency objective is 2.5 times the mean service time",
       .offered_share = constant_load(0.8),
       .speed_factor = constant_load(1),
       .objective_multiple = 2.5},
      {.name = "tight-silent",
       .description = "0.6; the same, and a third of the attempts get no response",
       .offered_share = constant_load(0.6),
       .speed_factor = constant_load(1),
       .objective_multiple = 2.5,
       .silent_share = 1.0 / 3},
      {.name = "small",
       .description = "1.2 on a server sized for at most four routers, whatever their number",
       .offered_share = constant_load(1.2),
       .speed_factor = constant_load(1),
       .small_server = true},
  };
  return all;
}

DrawnConditions draw_conditions(std::uint64_t seed, const Load& load, unsigned routers) {
  pcg64 random(seed, 1);
  const auto uniform = [&random](double low, double high) {
    return boost::random::uniform_real_distribution<double>(low, high)(random);
  };
  const auto log_uniform = [&uniform](double low, double high) {
    return std::exp(uniform(std::log(low), std::log(high)));
  };
  DrawnConditions conditions;
  const unsigned sizing_routers = load.small_server ? 4 : routers;
  const double min_cores = sizing_routers <= 1 ? 2 : sizing_routers <= 4 ? 4 : sizing_routers <= 64 ? 16 : 64;
  conditions.server.cores = std::round(log_uniform(min_cores, 8 * min_cores));
  conditions.server.slots_per_core = std::round(uniform(1, 6));
  conditions.server.queue_per_core = log_uniform(1.2, 34);
  conditions.server.efficiency_loss = uniform(0, 0.14);
  conditions.server.efficiency_loss_from = uniform(3, 6.5);
  conditions.server.drops_expired = uniform(0, 1) < 0.5;
  conditions.server.overload_multiple = load.overload_multiple;
  conditions.service_time_sigma = uniform(0, 1) < 0.4 ? 0 : uniform(0.3, 0.9);
  conditions.write_work_factor = uniform(1, 3);
  conditions.mean_retries = uniform(0, 1.5);
  conditions.backoff_ms = log_uniform(30, 240);
  conditions.retry_after_share = uniform(0.8, 1);
  conditions.exponential_backoff = uniform(0, 1) < 0.5;
  conditions.has_work_hints = uniform(0, 1) < 0.5;
  return conditions;
}

} // namespace fernward::limiters
