// Concurrency limits, retry budget and unresponsive connections, in short simulations.
#include <gtest/gtest.h>

#include "balancer_driver.h"
#include "policy/balancer_simulation.h"

namespace fernward::testing {
namespace {

double exponential_ms(Random& random, double mean) { return -std::log(1 - random.next_unit()) * mean; }

std::vector<Server> caches_and_origin(std::uint32_t cache_count) {
  std::vector<Server> servers;
  for (std::uint32_t i = 1; i <= cache_count; ++i) servers.push_back({.id = i});
  servers.push_back({.id = kOriginId, .kind = kOriginKind});
  return servers;
}

Settings short_objective_settings(double objective_ms) {
  Settings settings = cache_aside_settings();
  settings.router_count = 2;
  settings.classes[0].latency_objective_ms = objective_ms;
  settings.classes[0].client_timeout_ms = 2 * objective_ms;
  return settings;
}

// Regression: an origin that needs a third of the latency objective was taken for congested, and reads waited
// in its queue until they were late.
TEST(OriginLimits, SlowOriginWithoutCongestionIsNotLimited) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    BalancerSimulation simulation(
        short_objective_settings(190), caches_and_origin(12),
        [](ServerId server, double, Random& random) {
          if (server == kOriginId)
            // No queueing time is included.
            return ScriptedResponse{AttemptResult::Ok, 30 + exponential_ms(random, 40)};
          return random.next_unit() < 0.5 ? ScriptedResponse{AttemptResult::CacheMiss, 5}
                                          : ScriptedResponse{AttemptResult::Ok, 15};
        },
        seed);
    simulation.run(3000, 250, 0, 100000);
    simulation.reset_counts();
    simulation.run(10000, 250, 0, 100000);
    EXPECT_LE(simulation.give_up_count(GiveUpReason::QueueTimeout), simulation.finished_requests() / 100)
        << seed;
    EXPECT_GE(simulation.served_share(), 0.96) << seed;
  }
}

// Regression: with broken connections the retry budget was empty although the whole fleet had free capacity.
TEST(OriginLimits, FleetWithCapacityServesDespiteThirtyPercentResets) {
  BalancerSimulation simulation(
      short_objective_settings(400), caches_and_origin(12), [](ServerId server, double, Random& random) {
        if (random.next_unit() < 0.3) return ScriptedResponse{AttemptResult::Reset, 5};
        return ScriptedResponse{AttemptResult::Ok, server == kOriginId ? 60.0 : 20.0};
      });
  simulation.run(4000, 200);
  simulation.reset_counts();
  simulation.run(8000, 200);
  EXPECT_LE(simulation.give_up_count(GiveUpReason::RetryBudgetEmpty), simulation.finished_requests() / 200);
  EXPECT_GE(simulation.served_share(), 0.98);
}

// Regression with 300 routers: the origin's connection table was full and it rejected each further connection
// at its first request. Routers that reconnected decreased their limit repeatedly although the origin was not
// overloaded.
TEST(OriginLimits, RouterWithoutOriginConnectionServesOnceItHasOne) {
  Settings many_router_settings = short_objective_settings(750);
  many_router_settings.router_count = 300;
  std::size_t rejected_connections = 0;
  bool connections_full = false; // connection table; otherwise the origin is not loaded
  BalancerSimulation simulation(
      many_router_settings, caches_and_origin(12), [&](ServerId server, double, Random&) {
        if (server != kOriginId) return ScriptedResponse{AttemptResult::CacheMiss, 5};
        return connections_full                                     ? ++rejected_connections,
               ScriptedResponse{AttemptResult::Overloaded, 1, true} : ScriptedResponse{AttemptResult::Ok, 60};
      });
  simulation.run(3000, 12, 0.1, 100000);
  connections_full = true;
  simulation.run(6000, 12, 0.1, 100000);
  EXPECT_LE(rejected_connections, 120u); // about one per response time over 6 s, however many requests wait
  connections_full = false;
  simulation.reset_counts();
  simulation.run(3000, 12, 0.1, 100000);
  EXPECT_GE(simulation.served_share(), 0.8); // 0.07 if each rejection decreases the limit
}

// Retries have no use if all attempts fail, so they must not double the load.
TEST(OriginLimits, FailingFleetDoesNotGetTwiceTheRequests) {
  BalancerSimulation simulation(short_objective_settings(400), caches_and_origin(12),
                                [](ServerId, double, Random&) {
                                  return ScriptedResponse{AttemptResult::Error, 5};
                                });
  simulation.run(4000, 200);
  simulation.reset_counts();
  simulation.run(8000, 200);
  EXPECT_LE(simulation.send_count, simulation.finished_requests() * 5 / 4);
}

// Regression: slow attempts at the origin were not detected, and the budget for hedged requests grew by only
// one per fifty requests, however much capacity was free.
TEST(OriginLimits, UnansweredAttemptsAreHedgedInTime) {
  for (const bool at_origin : {false, true}) {
    BalancerSimulation simulation(
        short_objective_settings(400), caches_and_origin(12), [&](ServerId server, double, Random& random) {
          if ((server == kOriginId) == at_origin && random.next_unit() < 0.1)
            return ScriptedResponse{AttemptResult::Ok, kNoResponseMs};
          if (server == kOriginId)
            return ScriptedResponse{AttemptResult::Ok, 40 + exponential_ms(random, 20)};
          return random.next_unit() < (at_origin ? 0.5 : 0.05) ? ScriptedResponse{AttemptResult::CacheMiss, 5}
                                                               : ScriptedResponse{AttemptResult::Ok, 20};
        });
    simulation.run(4000, 200, 0, 100000);
    simulation.reset_counts();
    simulation.run(10000, 200, 0, 100000);
    EXPECT_LE(simulation.give_up_count(GiveUpReason::ResponseTimeout), simulation.finished_requests() / 50)
        << at_origin; // one in ten gets no response
    EXPECT_GE(simulation.served_share(), 0.97) << at_origin;
  }
}

// A read that cannot be answered in time is rejected early, not at its latency objective.
TEST(OriginLimits, ReadsThatWouldBeLateAtOriginAreRejectedEarly) {
  double origin_free_at = 0;
  BalancerSimulation simulation(
      short_objective_settings(400), caches_and_origin(12), [&](ServerId server, double now, Random&) {
        if (server != kOriginId) return ScriptedResponse{AttemptResult::CacheMiss, 3};
        origin_free_at = std::max(origin_free_at, now) + 20; // 50 per second, one at a time
        return ScriptedResponse{AttemptResult::Ok, origin_free_at - now};
      });
  simulation.run(4000, 150, 0.04, 100000);
  simulation.reset_counts();
  simulation.run(10000, 150, 0.04, 100000);
  EXPECT_GE(simulation.rejected, simulation.finished_requests() / 2);
  // Half of the objective.
  EXPECT_LE(simulation.rejected_wait_ms / static_cast<double>(simulation.rejected), 200);
  EXPECT_GE(simulation.served, 10 * 50 * 6 / 10); // 60% of the origin's capacity
}

} // namespace
} // namespace fernward::testing
