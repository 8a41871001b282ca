// The model compared with known results of queueing and caching theory. Seeds are fixed, so the results are
// reproducible.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>

#include "model/arrival_generator.h"
#include "model/cache_node.h"
#include "model/object_cache.h"
#include "support.h"

using namespace fernward::model;
using namespace fernward::model::test;

namespace {

struct QueueFigures {
  double mean_wait_ms = 0, mean_response_ms = 0, rejected_share = 0;
};

// Sends the requests of an ArrivalGenerator to a CacheNode.
QueueFigures simulate(const Spec& spec, std::uint64_t requests) {
  const Plan plan = make_plan(spec);
  KeySpace keys(spec);
  ArrivalGenerator arrivals(spec, plan, keys);
  IdempotencyCache idempotency_cache;
  CacheNode node({spec, keys, idempotency_cache}, plan.machines.front());
  ServerActions actions;
  QueueFigures sum;
  double served = 0, answered = 0;
  std::vector<double> arrived_at(1u << 16);
  for (std::uint64_t i = 0; i < requests; ++i) {
    const DrawnRequest drawn = *arrivals.next();
    actions.clear();
    arrived_at[drawn.request % arrived_at.size()] = drawn.at;
    node.arrive(drawn.at, to_attempt(drawn), actions);
    for (const ServerAction& action : actions) {
      if (action.what != ServerAction::What::Answered || i < requests / 20)
        continue; // the first 5% are the warm-up of the queue
      answered += 1;
      if (action.outcome == ServerOutcome::Full) {
        sum.rejected_share += 1;
      } else {
        served += 1;
        sum.mean_wait_ms += action.queued_ms;
        sum.mean_response_ms += action.at - arrived_at[action.id % arrived_at.size()];
      }
    }
  }
  return {sum.mean_wait_ms / served, sum.mean_response_ms / served, sum.rejected_share / answered};
}

double relative_error(double measured, double theory) { return std::abs(measured - theory) / theory; }

double erlang_b(double servers, double load) {
  double b = 1;
  for (double n = 1; n <= servers; ++n) b = load * b / (n + load * b);
  return b;
}

double erlang_c_wait(double servers, double load, double service_ms) {
  const double b = erlang_b(servers, load), rho = load / servers;
  return b / (1 - rho + rho * b) * service_ms / (servers - load);
}

} // namespace

TEST_CASE("exponential work has the waiting time of M/M/c and the loss of M/M/c/c") {
  const struct {
    std::uint32_t cores;
    double load;
  } cases[] = {{1, 0.5}, {1, 0.7}, {4, 2.8}, {8, 6.4}};
  for (const auto& test_case : cases) {
    CAPTURE(test_case.cores);
    CAPTURE(test_case.load);
    Spec spec = plain_spec({DistributionShape::Exponential, 10, 0});
    spec.kinds[0].cores = test_case.cores;
    spec.kinds[0].max_active = test_case.cores;
    spec.load.rate_per_s = test_case.load / 10 * 1000;
    CHECK(relative_error(simulate(spec, 500000).mean_wait_ms,
                         erlang_c_wait(test_case.cores, test_case.load, 10)) < 0.03);
    spec.kinds[0].max_queued = 0;
    CHECK(relative_error(simulate(spec, 300000).rejected_share, erlang_b(test_case.cores, test_case.load)) <
          0.03);
  }
}

TEST_CASE("other work distributions have the waiting time of the Pollaczek-Khinchine formula") {
  const struct {
    Distribution work;
    double load;
  } cases[] = {{{DistributionShape::Fixed, 10, 0}, 0.7},
               {{DistributionShape::LogNormal, 10, 0.5}, 0.6},
               {{DistributionShape::LogNormal, 10, 1.5}, 0.5}};
  for (const auto& test_case : cases) {
    CAPTURE(test_case.work.cv);
    Spec spec = plain_spec(test_case.work);
    spec.load.rate_per_s = test_case.load / 10 * 1000;
    const double expected_wait_ms =
        test_case.load / (1 - test_case.load) * 10 * (1 + test_case.work.cv * test_case.work.cv) / 2;
    CHECK(relative_error(simulate(spec, 700000).mean_wait_ms, expected_wait_ms) < 0.03);
  }
}

TEST_CASE("with processor sharing the mean response time depends only on the load (M/G/1-PS)") {
  Spec spec = plain_spec({DistributionShape::LogNormal, 10, 1.5});
  spec.kinds[0].max_active = 1u << 20;
  spec.load.rate_per_s = 60;
  CHECK(relative_error(simulate(spec, 300000).mean_response_ms, 10 / (1 - 0.6)) < 0.03);
}

TEST_CASE("the hit ratio under a Zipf distribution matches Che's approximation") {
  const struct {
    double zipf, offset;
    std::uint32_t objects;
  } cases[] = {{0.8, 0, 200}, {1, 0, 1000}, {1.1, 5, 2000}, {0.6, 0, 5000}};
  for (const auto& test_case : cases) {
    CAPTURE(test_case.zipf);
    Spec spec = plain_spec({DistributionShape::Fixed, 1, 0});
    spec.keys.count = 10000;
    spec.keys.zipf = test_case.zipf;
    spec.keys.offset = test_case.offset;
    std::vector<double> weights;
    double total_weight = 0;
    for (std::uint32_t rank = 0; rank < spec.keys.count; ++rank)
      weights.push_back(rank_weight(spec.keys, rank));
    for (const double weight : weights) total_weight += weight;
    // The characteristic time: the time in which as many different keys are requested as fit into the cache.
    double low = 0, high = 1e9;
    for (int i = 0; i < 200; ++i) {
      const double time = (low + high) / 2;
      double expected_objects = 0;
      for (const double weight : weights) expected_objects += -std::expm1(-weight / total_weight * time);
      (expected_objects < test_case.objects ? low : high) = time;
    }
    double expected_hit_ratio = 0;
    for (const double weight : weights)
      expected_hit_ratio += weight / total_weight * -std::expm1(-weight / total_weight * low);

    KeySpace keys(spec);
    ObjectCache cache(test_case.objects * 100.0, EvictionPolicy::Lru, 0, 36);
    Engine engine = stream(5, "che");
    double hits = 0;
    const int request_count = 300000;
    for (int i = -request_count / 3; i < request_count; ++i) {
      const std::uint64_t key = keys.draw(0, engine);
      if (cache.find(0, key)) {
        hits += i >= 0 ? 1 : 0; // earlier requests only fill the cache
      } else {
        cache.store(0, key, 64);
      }
    }
    CHECK(cache.objects() == test_case.objects);
    CHECK(std::abs(hits / request_count - expected_hit_ratio) < 0.02);
  }
}

TEST_CASE("arrivals are a Poisson process with the configured rate (Kolmogorov-Smirnov test at 1%)") {
  const struct {
    LoadShape shape;
    bool spike;
  } cases[] = {{LoadShape::Steady, false}, {LoadShape::Ramp, false}, {LoadShape::Day, true}};
  for (const auto& test_case : cases) {
    Spec spec = plain_spec({DistributionShape::Fixed, 1, 0});
    spec.duration_ms = 100000;
    spec.load.rate_per_s = 300;
    spec.load.shape = test_case.shape;
    spec.load.ramp_to = 3;
    spec.load.swing = 0.6;
    spec.load.period_ms = 50000;
    spec.load.peak_at_ms = 20000;
    if (test_case.spike) spec.events.push_back({40000, "spike", LoadSpike{4, 50000}});
    const Plan plan = make_plan(spec);
    KeySpace keys(spec);
    ArrivalGenerator arrivals(spec, plan, keys);
    // The integral of the rate. On this time scale the mean gap between arrivals is 1 everywhere.
    std::vector<double> cumulative_rate{0};
    for (int ms = 0; ms < 100000; ++ms)
      cumulative_rate.push_back(cumulative_rate.back() + arrivals.rate_per_s(ms + 0.5) / 1000);
    const auto rescaled = [&](double at) {
      const auto ms = static_cast<std::size_t>(at);
      return cumulative_rate[ms] + (cumulative_rate[ms + 1] - cumulative_rate[ms]) * (at - std::floor(at));
    };
    std::vector<double> gaps;
    double last_rescaled = 0;
    for (auto drawn = arrivals.next(); drawn; drawn = arrivals.next()) {
      gaps.push_back(rescaled(drawn->at) - last_rescaled);
      last_rescaled += gaps.back();
    }
    const auto gap_count = static_cast<double>(gaps.size());
    CHECK(std::abs(gap_count - cumulative_rate.back()) < 3 * std::sqrt(cumulative_rate.back()));
    std::sort(gaps.begin(), gaps.end());
    double max_distance = 0;
    for (std::size_t i = 0; i < gaps.size(); ++i) {
      const double cdf = -std::expm1(-gaps[i]), index = static_cast<double>(i);
      max_distance = std::max({max_distance, cdf - index / gap_count, (index + 1) / gap_count - cdf});
    }
    CHECK(max_distance * std::sqrt(gap_count) < 1.63); // the critical value at 1%
  }
}
