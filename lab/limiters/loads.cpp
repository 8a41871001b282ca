#include "loads.h"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <pcg_random.hpp>

namespace fernward::limiters {
namespace {

std::function<double(double)> steady(double share) {
  return [share](double) { return share; };
}
std::function<double(double)> between(double from, double to, double in, double out) {
  return [=](double t) { return t >= from && t < to ? in : out; };
}

} // namespace

const std::vector<Load>& loads() {
  static const std::vector<Load> all = {
      {.name = "0.6", .what = "steady at 0.6 of the capacity", .offered = steady(0.6), .speed = steady(1)},
      {.name = "0.9", .what = "steady at 0.9", .offered = steady(0.9), .speed = steady(1)},
      {.name = "1.2", .what = "steady at 1.2", .offered = steady(1.2), .speed = steady(1)},
      {.name = "spike",
       .what = "0.7, three times as much for 10 s",
       .offered = between(20, 30, 2.1, 0.7),
       .speed = steady(1),
       .recover_from = 30},
      {.name = "surge",
       .what = "0.4, then 1.4 for 20 s, as after the loss of caches",
       .offered = between(20, 40, 1.4, 0.4),
       .speed = steady(1),
       .recover_from = 40},
      {.name = "fall",
       .what = "0.7, then 4 for 10 s; the server fails when sent 2.5 times its capacity for 2 s",
       .offered = between(20, 30, 4, 0.7),
       .speed = steady(1),
       .recover_from = 30,
       .fall_multiple = 2.5},
      {.name = "slower",
       .what = "0.25; the server slows to a third permanently",
       .offered = steady(0.25),
       .speed = between(20, 1e9, 1.0 / 3, 1),
       .recover_from = 20},
      {.name = "slower-full",
       .what = "0.6; the server slows to a third permanently",
       .offered = steady(0.6),
       .speed = between(20, 1e9, 1.0 / 3, 1),
       .recover_from = 20},
      {.name = "quicker",
       .what = "0.9, then 2; the server speeds up threefold",
       .offered = between(20, 1e9, 2, 0.9),
       .speed = between(20, 1e9, 3, 1),
       .recover_from = 20},
      {.name = "crowd",
       .what = "1.5 for 20 s, then 0.8; routers restart at 10 s, during the overload",
       .offered = between(0, 20, 1.5, 0.8),
       .speed = steady(1),
       .restart_at = 10,
       .recover_from = 20},
      {.name = "neighbour",
       .what = "0.6; for 3 s in 7 another program uses 0.6 of the cores",
       .offered = steady(0.6),
       .speed = [](double t) { return std::fmod(t, 7) < 3 && t > 7 ? 0.4 : 1.0; }},
      {.name = "silent",
       .what = "0.6; a third of the attempts get no response",
       .offered = steady(0.6),
       .speed = steady(1),
       .silent = 1.0 / 3},
      {.name = "reset",
       .what = "0.3; half of the responses end in a reset",
       .offered = steady(0.3),
       .speed = steady(1),
       .reset = 0.5},
      {.name = "tight",
       .what = "0.8; the latency objective is 2.5 times the mean service time",
       .offered = steady(0.8),
       .speed = steady(1),
       .aim = 2.5},
      {.name = "tight-silent",
       .what = "0.6; the same, and a third of the attempts get no response",
       .offered = steady(0.6),
       .speed = steady(1),
       .aim = 2.5,
       .silent = 1.0 / 3},
      {.name = "small",
       .what = "1.2 on a server sized for at most four routers, whatever their number",
       .offered = steady(1.2),
       .speed = steady(1),
       .small = true},
  };
  return all;
}

Draw draw(std::uint64_t seed, const Load& load, unsigned routers) {
  pcg64 random(seed, 1);
  const auto uniform = [&random](double a, double b) {
    return boost::random::uniform_real_distribution<double>(a, b)(random);
  };
  const auto spread = [&uniform](double a, double b) { return std::exp(uniform(std::log(a), std::log(b))); };
  Draw d;
  const unsigned sized = load.small ? 4 : routers;
  const double least = sized <= 1 ? 2 : sized <= 4 ? 4 : sized <= 64 ? 16 : 64;
  d.server.cores = std::round(spread(least, 8 * least));
  d.server.slots_per_core = std::round(uniform(1, 6));
  d.server.queue_per_core = spread(1.2, 34);
  d.server.thrash = uniform(0, 0.14);
  d.server.thrash_at = uniform(3, 6.5);
  d.server.drops_expired = uniform(0, 1) < 0.5;
  d.server.fall_multiple = load.fall_multiple;
  d.sigma = uniform(0, 1) < 0.4 ? 0 : uniform(0.3, 0.9);
  d.write_work = uniform(1, 3);
  d.tries = uniform(0, 1.5);
  d.backoff_ms = spread(30, 240);
  d.heed = uniform(0.8, 1);
  d.doubling = uniform(0, 1) < 0.5;
  d.hints = uniform(0, 1) < 0.5;
  return d;
}

} // namespace fernward::limiters
