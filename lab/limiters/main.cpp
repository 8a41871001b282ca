// fernward-limiters: compares limiters under the same loads and prints a Markdown table.
#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <map>
#include <mutex>
#include <thread>

#include "simulation.h"

using namespace fernward::limiters;

namespace {

// Concurrent attempts per core of the fixed limits; the best result of them is the reference.
constexpr double kFixedLimitsPerCore[] = {1, 1.5, 2, 3, 4, 6};
constexpr double kRecoveredShare = 0.9; // of the reference's goodput: counts as recovered
constexpr double kRecoveredSeconds = 3; // which must hold this long

// One value for each seed.
struct Samples {
  std::vector<double> values;
  double mean() const {
    double sum = 0;
    for (const double value : values) sum += value;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
  }
  double confidence_half_width() const { // 95%
    if (values.size() < 2) return 0;
    const double sample_mean = mean(), count = static_cast<double>(values.size());
    double squared_deviations = 0;
    for (const double value : values) squared_deviations += (value - sample_mean) * (value - sample_mean);
    const boost::math::students_t distribution(count - 1);
    return boost::math::quantile(distribution, 0.975) * std::sqrt(squared_deviations / (count - 1) / count);
  }
};

struct LimiterSamples {
  Samples relative_goodput, peak_held_per_core, recovery_s, rejected_share, goodput_share,
      attempts_per_request, overload_failures, busy_share, late_per_request;
};

double goodput_share(const Outcome& outcome, double from_s, double to_s) {
  double offered_weight = 0, served_weight = 0;
  for (auto second = static_cast<std::size_t>(from_s);
       second < std::min(outcome.offered_weight_by_s.size(), static_cast<std::size_t>(to_s)); ++second) {
    offered_weight += outcome.offered_weight_by_s[second];
    served_weight += outcome.served_weight_by_s[second];
  }
  return offered_weight > 0 ? served_weight / offered_weight : 1;
}

// Seconds until goodput has returned to kRecoveredShare of the reference for kRecoveredSeconds; the remaining
// run time if it never does.
double recovery_time_s(const Load& load, const Outcome& outcome, const Outcome& reference) {
  const double required_goodput =
      kRecoveredShare * goodput_share(reference, load.duration_s - 15, load.duration_s);
  double second = load.recover_from_s;
  while (second + kRecoveredSeconds <= load.duration_s &&
         goodput_share(outcome, second, second + kRecoveredSeconds) < required_goodput)
    ++second;
  return std::min(second, load.duration_s) - load.recover_from_s;
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t to = std::min(text.find(',', from), text.size());
    parts.push_back(text.substr(from, to - from));
    from = to + 1;
  }
  return parts;
}

template <typename T>
std::vector<T> select_by_name(const std::vector<T>& all, const std::string& names) {
  if (names.empty()) return all;
  std::vector<T> selected;
  for (const std::string& name : split(names)) {
    const auto it = std::find_if(all.begin(), all.end(), [&](const T& item) { return item.name == name; });
    if (it == all.end()) throw std::runtime_error("there is no load or limiter '" + name + "'");
    selected.push_back(*it);
  }
  return selected;
}

int run(int argc, char** argv) {
  cxxopts::Options options("fernward-limiters", "Compares limiters under the same loads in virtual time.");
  options.add_options()("loads", "loads to run, separated by commas; default: all",
                        cxxopts::value<std::string>()->default_value(""))(
      "limiters", "limiters to run, separated by commas; default: all",
      cxxopts::value<std::string>()->default_value(""))(
      "routers", "numbers of routers, separated by commas",
      cxxopts::value<std::string>()->default_value("1,4,64,1000"))(
      "seeds", "number of seeds", cxxopts::value<unsigned>()->default_value("20"))(
      "first-seed", "first seed", cxxopts::value<unsigned>()->default_value("1"))(
      "jobs", "threads", cxxopts::value<unsigned>()->default_value("4"))("list", "list loads and limiters")(
      "help", "this");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) return std::puts(options.help().c_str()), 0;
  if (arguments.count("list") != 0) {
    for (const Load& load : loads())
      std::printf("load %s: %s\n", load.name.c_str(), load.description.c_str());
    for (const LimiterEntry& entry : limiter_entries())
      std::printf("limiter %s: %s\n", entry.name.c_str(), entry.source.c_str());
    return 0;
  }
  const auto selected_loads = select_by_name(loads(), arguments["loads"].as<std::string>());
  const auto selected_limiters = select_by_name(limiter_entries(), arguments["limiters"].as<std::string>());
  const unsigned seeds = arguments["seeds"].as<unsigned>(),
                 first_seed = arguments["first-seed"].as<unsigned>();
  for (const std::string& text : split(arguments["routers"].as<std::string>())) {
    const auto routers = static_cast<unsigned>(std::stoul(text));
    std::printf(
        "\n%u router%s, %u seeds\n\n| load | limiter | goodput relative to the best | share of offered "
        "weight | peak held per "
        "core | "
        "seconds to recover | rejected | attempts per request | cores busy | late "
        "|\n|---|---|---|---|---|---|---|---|---|---|\n",
        routers, routers == 1 ? "" : "s", seeds);
    for (const Load& load : selected_loads) {
      std::vector<LimiterSamples> samples_by_limiter(selected_limiters.size());
      std::mutex seed_mutex;
      unsigned seeds_started = 0;
      const auto run_seeds = [&] {
        while (true) {
          std::unique_lock seed_lock(seed_mutex);
          if (seeds_started >= seeds) return;
          const std::uint64_t seed = first_seed + seeds_started++;
          seed_lock.unlock();
          Outcome reference;
          for (const double limit_per_core : kFixedLimitsPerCore) {
            Outcome outcome = simulate_fixed_limit(load, seed, routers, limit_per_core);
            if (outcome.served_weight > reference.served_weight) reference = std::move(outcome);
          }
          std::vector<Outcome> outcomes;
          for (const LimiterEntry& entry : selected_limiters)
            outcomes.push_back(simulate(load, seed, routers, entry));
          seed_lock.lock();
          for (std::size_t i = 0; i < outcomes.size(); ++i) {
            const Outcome& outcome = outcomes[i];
            LimiterSamples& samples = samples_by_limiter[i];
            samples.relative_goodput.values.push_back(outcome.served_weight / reference.served_weight);
            samples.goodput_share.values.push_back(outcome.served_weight / outcome.offered_weight);
            samples.peak_held_per_core.values.push_back(outcome.peak_held_per_core);
            samples.rejected_share.values.push_back(outcome.rejected_share);
            samples.attempts_per_request.values.push_back(outcome.attempts_per_request);
            samples.overload_failures.values.push_back(outcome.overload_failures);
            samples.busy_share.values.push_back(outcome.busy_share);
            samples.late_per_request.values.push_back(outcome.late_per_request);
            if (load.recover_from_s >= 0)
              samples.recovery_s.values.push_back(recovery_time_s(load, outcome, reference));
          }
        }
      };
      std::vector<std::jthread> threads;
      for (unsigned j = 0; j < std::max(1u, arguments["jobs"].as<unsigned>()); ++j)
        threads.emplace_back(run_seeds);
      threads.clear();
      for (std::size_t i = 0; i < selected_limiters.size(); ++i) {
        const LimiterSamples& samples = samples_by_limiter[i];
        char recovery_text[64] = "-";
        if (!samples.recovery_s.values.empty())
          std::snprintf(recovery_text, sizeof recovery_text, "%.1f ± %.1f", samples.recovery_s.mean(),
                        samples.recovery_s.confidence_half_width());
        char failures_text[32] = "";
        if (load.overload_multiple > 0)
          std::snprintf(failures_text, sizeof failures_text, ", %.2f failures",
                        samples.overload_failures.mean());
        std::printf(
            "| %s | %s | %.3f ± %.3f | %.3f | %.1f ± %.1f%s | %s | %.3f ± %.3f | %.2f | %.2f | %.3f |\n",
            load.name.c_str(), selected_limiters[i].name.c_str(), samples.relative_goodput.mean(),
            samples.relative_goodput.confidence_half_width(), samples.goodput_share.mean(),
            samples.peak_held_per_core.mean(), samples.peak_held_per_core.confidence_half_width(),
            failures_text, recovery_text, samples.rejected_share.mean(),
            samples.rejected_share.confidence_half_width(), samples.attempts_per_request.mean(),
            samples.busy_share.mean(), samples.late_per_request.mean());
      }
      std::fflush(stdout);
    }
  }
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fernward-limiters: %s\n", error.what());
    return 2;
  }
}
