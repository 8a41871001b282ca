// Fleet size changes: cache selection, filling of new caches, and the load on the origin.
#include <gtest/gtest.h>

#include <set>

#include "policy/day.h"
#include "support.h"

namespace fernward::testing {
namespace {

constexpr double kSettle = 30000;
constexpr RequestId kFirst = 1;

Settings resizing(double settle_ms = kSettle, double second_holder = 0) {
  Settings s = aside_settings();
  s.router_count = 1;
  s.classes[0].latency_objective_ms = 500;
  s.classes[0].client_timeout_ms = 1000;
  s.max_attempts = 5;
  s.resize = {settle_ms, 2, second_holder};
  return s;
}

// Caches that store fetched values as the real ones do: the first two that missed for the request store it.
struct Fleet {
  std::map<ServerId, std::set<std::uint64_t>> held;
  std::size_t fetches = 0;
  double cache_ms = 10, origin_ms = 40;
  std::map<ServerId, std::size_t> reads;
};

// Runs requests one after another, each to its end.
class Town {
 public:
  explicit Town(const Settings& s) : node_(s) {}
  Fleet fleet;

  void list(std::uint32_t caches) {
    std::vector<Server> all;
    for (std::uint32_t i = 1; i <= caches; ++i) all.push_back({.id = i});
    all.push_back({.id = kOrigin, .kind = kOriginKind});
    node_.list(all);
  }
  // Reads keys 1 to `keys` in turn, one every `every` ms; returns the number of rejected reads.
  std::size_t read(std::size_t count, std::uint64_t keys, double every = 5) {
    std::size_t refused = 0;
    for (std::size_t i = 0; i < count; ++i) refused += ask(1 + i % keys) ? 0 : 1, node_.wait(every);
    return refused;
  }
  bool ask(std::uint64_t key) {
    const RequestId id = ++id_;
    node_.sends.clear();
    node_.request(id, key);
    std::vector<ServerId> missed;
    for (std::size_t done = 0; done < node_.sends_of(id).size() && done < 8; ++done) {
      const ServerId at = node_.sends_of(id)[done].server;
      ++fleet.reads[at];
      const bool origin = at == kOrigin;
      node_.wait(origin ? fleet.origin_ms : fleet.cache_ms);
      if (!origin && fleet.held[at].count(key) == 0) {
        missed.push_back(at);
        node_.outcome(id, AttemptResult::CacheMiss, fleet.cache_ms);
        continue;
      }
      if (origin) {
        ++fleet.fetches;
        for (std::size_t i = 0; i < std::min<std::size_t>(2, missed.size()); ++i)
          fleet.held[missed[i]].insert(key);
      }
      node_.outcome(id, AttemptResult::Ok, origin ? fleet.origin_ms : fleet.cache_ms);
      return true;
    }
    return false;
  }
  double now() const { return node_.now; }

 private:
  Node node_;
  RequestId id_ = kFirst;
};

constexpr std::uint64_t kKeys = 300;

// Without resize settings every key of the new caches is fetched on its next read.
TEST(FleetResize, NewCachesFillAtALimitedRateWhileFormerOwnersServe) {
  std::size_t fetched[2];
  for (const bool on : {false, true}) {
    Town town(resizing(on ? kSettle : 0));
    town.list(8);
    town.read(3000, kKeys);
    for (std::uint64_t fresh = 0; fresh < 60; ++fresh) town.ask(10000 + fresh), town.read(10, kKeys);
    town.fleet.fetches = 0;
    town.list(12);
    town.read(300, kKeys); // each key once
    fetched[on] = town.fleet.fetches;
    town.read(6000, kKeys);
    if (on) {
      std::size_t newcomers = 0;
      for (ServerId id = 9; id <= 12; ++id) newcomers += town.fleet.held[id].size();
      EXPECT_GT(newcomers, 40u); // of about 100 after the transition
    }
  }
  EXPECT_GT(fetched[0], 60u);
  EXPECT_LT(fetched[1], 20u);
}

TEST(FleetResize, EveryReadIsServedDuringConsecutiveChanges) {
  Town town(resizing());
  town.list(6);
  town.read(3000, kKeys);
  for (const std::uint32_t caches : {9u, 12u, 7u, 12u, 12u}) {
    town.list(caches);
    EXPECT_EQ(town.read(200, kKeys), 0u) << caches;
  }
}

// The second replica costs no fetch: it is tried just before the fetch and stores the same response.
TEST(FleetResize, PopularKeysAreStoredAtTwoCachesByOneFetch) {
  Town town(resizing(kSettle, 0.5));
  town.list(8);
  for (int i = 0; i < 400; ++i) town.ask(1 + i % 4), town.ask(1000 + i); // four popular keys
  for (auto& [id, keys] : town.fleet.held) keys.clear();                 // a write invalidates all copies
  town.fleet.fetches = 0;
  for (std::uint64_t key = 1; key <= 4; ++key) town.ask(key);
  EXPECT_EQ(town.fleet.fetches, 4u);
  std::size_t copies = 0;
  for (const auto& [id, keys] : town.fleet.held) {
    for (std::uint64_t key = 1; key <= 4; ++key) copies += keys.count(key);
  }
  EXPECT_EQ(copies, 8u);
}

TEST(FleetResize, ResizeSettingsHaveNoEffectWithoutOrigin) {
  Settings plain = plain_settings();
  plain.resize = {kSettle, 2, 0.5};
  Node on(plain), off(plain_settings());
  for (Node* n : {&on, &off}) n->caches(6);
  for (RequestId id = kFirst; id < kFirst + 200; ++id) {
    if (id == kFirst + 50) {
      for (Node* n : {&on, &off}) n->list({{.id = 7}, {.id = 8}}, EndpointListKind::Delta);
    }
    for (Node* n : {&on, &off}) {
      n->request(id, id % 20 + 1);
      n->outcome(id, AttemptResult::Ok, 20);
    }
    ASSERT_EQ(on.last_server(id), off.last_server(id));
  }
}

} // namespace
} // namespace fernward::testing
