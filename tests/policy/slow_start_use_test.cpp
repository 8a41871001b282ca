// The attempts of all routers together at caches in slow start stay within the budget of the settings, in
// fleets of any size, with popular keys, uneven load and newly started routers. The caches must still get a
// fair share of the traffic.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "statistics/numbers.h"
#include "support.h"

namespace fernward::testing {
namespace {

constexpr double kUtilization = 0.5; // of the fleet: a cache's full capacity is twice its mean load
constexpr double kAnswerMs = 20;
constexpr double kSlowStartMs = 9000;

struct FleetSize {
  std::uint32_t routers, caches;
  double requests_per_s; // mean, at one router
  const char* name;
};

struct Knowledge {
  double lives_ms;    // of the routers, before the caches restart
  double new_routers; // share of routers that restart together with the caches
  const char* name;
};

// Routers that exchange no state, in front of caches. Key popularity follows Zipf's law: 1 / (rank + 4).
class Tier {
 public:
  Tier(const FleetSize& size, std::uint64_t seed) : size_(size), random_{seed} {
    for (std::uint32_t i = 0; i < size.routers; ++i) routers_.push_back(router(i));
    for (std::uint32_t i = 1; i <= size.caches; ++i) caches_.push_back({.id = i});
    caches_.push_back({.id = kOrigin, .kind = kOriginKind});
    for (auto& r : routers_) on(*r, EndpointList{EndpointListKind::Full, caches_});
    double sum = 0;
    for (std::uint32_t rank = 0; rank < kKeys; ++rank) below_.push_back(sum += 1.0 / (rank + 4));
  }

  // Restarts three in ten caches, and those found by find_owners().
  void restart_caches() {
    started_at_ = now_;
    for (Server& cache : caches_) {
      const bool popular = std::find(owners_.begin(), owners_.end(), cache.id) != owners_.end();
      if (cache.kind == kOriginKind || (!popular && random_.unit() >= 0.3)) continue;
      cache.started_at = now_;
      cold_[cache.id];
    }
    for (auto& r : routers_) on(*r, EndpointList{EndpointListKind::Full, caches_});
  }
  void restart_routers(double share) {
    for (std::uint32_t i = 0; i < size_.routers; ++i) {
      if (random_.unit() >= share) continue;
      routers_[i] = router(1000 + i);
      on(*routers_[i], EndpointList{EndpointListKind::Full, caches_});
    }
  }
  void run(double ms) {
    const double end = now_ + ms;
    const double all_per_ms = size_.requests_per_s * size_.routers / 1000;
    for (;;) {
      now_ += -std::log(1 - random_.unit()) / all_per_ms;
      if (now_ >= end) return;
      // Uneven: a tenth of the routers gets a third of the requests.
      const double drawn = random_.unit();
      const double part = drawn < 0.33 ? 0.1 * random_.unit() : random_.unit();
      request(*routers_[static_cast<std::size_t>(part * size_.routers)]);
    }
  }
  // Finds the first caches of the most popular keys, with a separate new router for each key.
  void find_owners(std::uint32_t keys) {
    for (std::uint32_t rank = 0; rank < keys; ++rank) {
      Tier alone({1, size_.caches, size_.requests_per_s, ""}, 1);
      alone.request(*alone.routers_[0], rank);
      owners_.push_back(alone.first_sent_);
    }
  }

  // Maximum over all caches in slow start and all windows of overload_failure_ms: attempts as a multiple of
  // the attempts that the rule allows.
  double worst_load() const {
    double worst = 0;
    for (const auto& [id, times] : cold_) {
      std::deque<double> window;
      for (const double at : times) {
        window.push_back(at);
        while (window.front() < at - set_.overload_failure_ms) window.pop_front();
        worst = std::max(worst, static_cast<double>(window.size()) / allowed(at));
      }
    }
    return worst;
  }
  // Attempts at all caches in slow start, relative to their mean load times their mean capacity share.
  double share_of_work() const {
    double sent = 0, due = 0;
    for (const auto& [id, times] : cold_) {
      sent += static_cast<double>(times.size());
      due += mean_load_per_ms() * (0.5 + 0.5 * set_.slow_start_min_capacity) * (now_ - started_at_);
    }
    return sent / due;
  }

 private:
  static constexpr std::uint32_t kKeys = 20000;
  struct Router {
    explicit Router(const Settings& s, std::uint64_t seed) : balancer(s, seed) {}
    Balancer balancer;
  };

  Settings settings() const {
    Settings s = aside_settings();
    s.router_count = size_.routers;
    s.slow_start_ms = kSlowStartMs;
    s.slow_start_min_capacity = 0.32;
    s.overload_multiple = 4;
    s.overload_failure_ms = 2000;
    return s;
  }
  std::unique_ptr<Router> router(std::uint64_t seed) const { return std::make_unique<Router>(set_, seed); }
  double mean_load_per_ms() const { return size_.requests_per_s * size_.routers / 1000 / size_.caches; }
  double allowed(double at) const {
    const double warmth =
        set_.slow_start_min_capacity + (1 - set_.slow_start_min_capacity) * (at - started_at_) / kSlowStartMs;
    const double n =
        set_.overload_multiple * warmth * mean_load_per_ms() / kUtilization * set_.overload_failure_ms;
    return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
  }

  void request(Router& router) {
    const double drawn = random_.unit() * below_.back();
    const auto rank = std::lower_bound(below_.begin(), below_.end(), drawn) - below_.begin();
    request(router, static_cast<std::uint32_t>(rank));
  }
  void request(Router& router, std::uint32_t rank) {
    Request r;
    r.id = ++last_id_;
    r.key = mix(rank + 1);
    r.deadline = now_ + 2000;
    on(router, r);
  }
  // Every attempt is answered before the next event.
  void on(Router& router, const Event& event) {
    std::deque<Event> events{event};
    std::map<RequestId, std::uint32_t> attempts;
    while (!events.empty()) {
      std::vector<Action> actions;
      router.balancer.on_event(now_, events.front(), actions);
      events.pop_front();
      for (const Action& action : actions) {
        const auto* send = std::get_if<Send>(&action);
        if (send == nullptr) continue;
        if (first_sent_ == 0) first_sent_ = send->server;
        AttemptOutcome answer;
        answer.result = take(send->server) ? AttemptResult::Ok : AttemptResult::Overloaded;
        answer.id = send->id;
        answer.attempt = attempts[send->id]++;
        answer.server = send->server;
        answer.elapsed_ms = kAnswerMs;
        answer.request_ended = answer.result == AttemptResult::Ok;
        events.push_back(answer);
      }
    }
  }

  // Returns false if a cache that is not in slow start has reached its capacity. Popular keys are then sent
  // to other caches.
  bool take(ServerId cache) {
    const auto cold = cold_.find(cache);
    if (cold != cold_.end()) cold->second.push_back(now_);
    if (cold != cold_.end() || cache == kOrigin) return true;
    std::deque<double>& calls = warm_[cache];
    while (!calls.empty() && calls.front() < now_ - set_.overload_failure_ms) calls.pop_front();
    if (static_cast<double>(calls.size()) >= mean_load_per_ms() / kUtilization * set_.overload_failure_ms)
      return false;
    calls.push_back(now_);
    return true;
  }

  FleetSize size_;
  Settings set_ = settings();
  Random random_;
  double now_ = 1e9, started_at_ = 0;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<Server> caches_;
  std::vector<double> below_;
  std::vector<ServerId> owners_;
  std::map<ServerId, std::vector<double>> cold_; // attempt times
  std::map<ServerId, std::deque<double>> warm_;  // attempt times within overload_failure_ms
  ServerId first_sent_ = 0;
  RequestId last_id_ = 0;
};

class SlowStartUse : public ::testing::TestWithParam<std::tuple<FleetSize, Knowledge>> {};

TEST_P(SlowStartUse, AllRoutersTogetherStayWithinBudgetOfEachServer) {
  const auto& [size, knowledge] = GetParam();
  Tier tier(size, 11);
  tier.find_owners(3);
  tier.run(knowledge.lives_ms);
  tier.restart_caches();
  tier.restart_routers(knowledge.new_routers);
  tier.run(kSlowStartMs);
  RecordProperty("worst_load", std::to_string(tier.worst_load()));
  RecordProperty("share_of_work", std::to_string(tier.share_of_work()));
  EXPECT_LE(tier.worst_load(), 1) << "share of the traffic " << tier.share_of_work();
  if (knowledge.new_routers == 0) {
    EXPECT_GE(tier.share_of_work(), 0.4) << "servers in slow start get too few requests";
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartUse,
                         ::testing::Combine(::testing::Values(FleetSize{4, 14, 100, "FourRouters"},
                                                              FleetSize{60, 40, 18, "SixtyRouters"},
                                                              FleetSize{60, 640, 18,
                                                                        "SixtyRoutersManyCaches"}),
                                            ::testing::Values(Knowledge{60000, 0, "KnowingRouters"},
                                                              Knowledge{30000, 0.7, "MostRoutersNew"},
                                                              Knowledge{0, 1, "AllRoutersNew"})),
                         [](const auto& fleet) {
                           return std::string(std::get<0>(fleet.param).name) + std::get<1>(fleet.param).name;
                         });

} // namespace
} // namespace fernward::testing
