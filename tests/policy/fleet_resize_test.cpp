// Fleet size changes: cache selection, filling of new caches, and the load on the origin.
#include <gtest/gtest.h>

#include <set>

#include "balancer_driver.h"
#include "policy/balancer_simulation.h"

namespace fernward::testing {
namespace {

constexpr double kTransitionMs = 30000;
constexpr RequestId kFirstRequestId = 1;

Settings resize_settings(double transition_ms = kTransitionMs, double second_replica_share = 0) {
  Settings settings = cache_aside_settings();
  settings.router_count = 1;
  settings.classes[0].latency_objective_ms = 500;
  settings.classes[0].client_timeout_ms = 1000;
  settings.max_attempts = 5;
  settings.resize = {transition_ms, 2, second_replica_share};
  return settings;
}

// Caches that store fetched values as the real ones do: the first two that missed for the request store it.
struct CacheFleet {
  std::map<ServerId, std::set<std::uint64_t>> stored_keys;
  std::size_t fetches = 0;
  double cache_ms = 10, origin_ms = 40;
  std::map<ServerId, std::size_t> reads;
};

// Runs requests one after another, each to its end.
class FleetSimulation {
 public:
  explicit FleetSimulation(const Settings& settings) : driver_(settings) {}
  CacheFleet fleet;

  void set_cache_count(std::uint32_t cache_count) {
    std::vector<Server> servers;
    for (std::uint32_t i = 1; i <= cache_count; ++i) servers.push_back({.id = i});
    servers.push_back({.id = kOriginId, .kind = kOriginKind});
    driver_.update_endpoints(servers);
  }
  // Reads keys 1 to `key_count` in turn, `interval_ms` apart; returns the number of rejected reads.
  std::size_t read_keys(std::size_t read_count, std::uint64_t key_count, double interval_ms = 5) {
    std::size_t rejected = 0;
    for (std::size_t i = 0; i < read_count; ++i)
      rejected += read_key(1 + i % key_count) ? 0 : 1, driver_.advance(interval_ms);
    return rejected;
  }
  bool read_key(std::uint64_t key) {
    const RequestId id = ++last_id_;
    driver_.sends.clear();
    driver_.send_request(id, key);
    std::vector<ServerId> missed;
    for (std::size_t attempt_index = 0; attempt_index < driver_.sends_of(id).size() && attempt_index < 8;
         ++attempt_index) {
      const ServerId server = driver_.sends_of(id)[attempt_index].server;
      ++fleet.reads[server];
      const bool at_origin = server == kOriginId;
      driver_.advance(at_origin ? fleet.origin_ms : fleet.cache_ms);
      if (!at_origin && fleet.stored_keys[server].count(key) == 0) {
        missed.push_back(server);
        driver_.end_attempt(id, AttemptResult::CacheMiss, fleet.cache_ms);
        continue;
      }
      if (at_origin) {
        ++fleet.fetches;
        for (std::size_t i = 0; i < std::min<std::size_t>(2, missed.size()); ++i)
          fleet.stored_keys[missed[i]].insert(key);
      }
      driver_.end_attempt(id, AttemptResult::Ok, at_origin ? fleet.origin_ms : fleet.cache_ms);
      return true;
    }
    return false;
  }
  double now() const { return driver_.now; }

 private:
  BalancerDriver driver_;
  RequestId last_id_ = kFirstRequestId;
};

constexpr std::uint64_t kKeyCount = 300;

// Without resize settings every key of the new caches is fetched on its next read.
TEST(FleetResize, NewCachesFillAtALimitedRateWhileFormerOwnersServe) {
  std::size_t fetch_counts[2];
  for (const bool enabled : {false, true}) {
    FleetSimulation simulation(resize_settings(enabled ? kTransitionMs : 0));
    simulation.set_cache_count(8);
    simulation.read_keys(3000, kKeyCount);
    for (std::uint64_t new_key = 0; new_key < 60; ++new_key)
      simulation.read_key(10000 + new_key), simulation.read_keys(10, kKeyCount);
    simulation.fleet.fetches = 0;
    simulation.set_cache_count(12);
    simulation.read_keys(300, kKeyCount); // each key once
    fetch_counts[enabled] = simulation.fleet.fetches;
    simulation.read_keys(6000, kKeyCount);
    if (enabled) {
      std::size_t keys_at_new_caches = 0;
      for (ServerId id = 9; id <= 12; ++id) keys_at_new_caches += simulation.fleet.stored_keys[id].size();
      EXPECT_GT(keys_at_new_caches, 40u); // of about 100 after the transition
    }
  }
  EXPECT_GT(fetch_counts[0], 60u);
  EXPECT_LT(fetch_counts[1], 20u);
}

TEST(FleetResize, EveryReadIsServedDuringConsecutiveChanges) {
  FleetSimulation simulation(resize_settings());
  simulation.set_cache_count(6);
  simulation.read_keys(3000, kKeyCount);
  for (const std::uint32_t caches : {9u, 12u, 7u, 12u, 12u}) {
    simulation.set_cache_count(caches);
    EXPECT_EQ(simulation.read_keys(200, kKeyCount), 0u) << caches;
  }
}

// The second replica costs no fetch: it is tried just before the fetch and stores the same response.
TEST(FleetResize, PopularKeysAreStoredAtTwoCachesByOneFetch) {
  FleetSimulation simulation(resize_settings(kTransitionMs, 0.5));
  simulation.set_cache_count(8);
  for (int i = 0; i < 400; ++i)
    simulation.read_key(1 + i % 4), simulation.read_key(1000 + i);    // four popular keys
  for (auto& [id, keys] : simulation.fleet.stored_keys) keys.clear(); // a write invalidates all copies
  simulation.fleet.fetches = 0;
  for (std::uint64_t key = 1; key <= 4; ++key) simulation.read_key(key);
  EXPECT_EQ(simulation.fleet.fetches, 4u);
  std::size_t copies = 0;
  for (const auto& [id, keys] : simulation.fleet.stored_keys) {
    for (std::uint64_t key = 1; key <= 4; ++key) copies += keys.count(key);
  }
  EXPECT_EQ(copies, 8u);
}

TEST(FleetResize, ResizeSettingsHaveNoEffectWithoutOrigin) {
  Settings plain = plain_settings();
  plain.resize = {kTransitionMs, 2, 0.5};
  BalancerDriver enabled(plain), disabled(plain_settings());
  for (BalancerDriver* driver : {&enabled, &disabled}) driver->list_caches(6);
  for (RequestId id = kFirstRequestId; id < kFirstRequestId + 200; ++id) {
    if (id == kFirstRequestId + 50) {
      for (BalancerDriver* driver : {&enabled, &disabled})
        driver->update_endpoints({{.id = 7}, {.id = 8}}, EndpointListKind::Delta);
    }
    for (BalancerDriver* driver : {&enabled, &disabled}) {
      driver->send_request(id, id % 20 + 1);
      driver->end_attempt(id, AttemptResult::Ok, 20);
    }
    ASSERT_EQ(enabled.last_server(id), disabled.last_server(id));
  }
}

} // namespace
} // namespace fernward::testing
