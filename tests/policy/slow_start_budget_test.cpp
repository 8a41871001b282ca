// The attempts of all routers together at caches in slow start stay within the budget of the settings, in
// fleets of any size, with popular keys, uneven load and newly started routers. The caches must still get a
// substantial part of the traffic that their assumed capacity allows.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "balancer_driver.h"
#include "statistics/numbers.h"

namespace fernward::testing {
namespace {

constexpr double kUtilization = 0.5; // of the fleet: a cache's full capacity is twice its mean load
constexpr double kResponseMs = 20;
constexpr double kSlowStartMs = 9000;

struct FleetSize {
  std::uint32_t routers, caches;
  double requests_per_s; // mean, at one router
  const char* name;
};

struct RouterHistory {
  double uptime_ms;              // of the routers, before the caches restart
  double restarted_router_share; // share of routers that restart together with the caches
  const char* name;
};

// Routers that exchange no state, in front of caches. Key popularity follows Zipf's law: 1 / (rank + 4).
class RouterTier {
 public:
  RouterTier(const FleetSize& size, std::uint64_t seed) : size_(size), random_{seed} {
    for (std::uint32_t i = 0; i < size.routers; ++i) routers_.push_back(make_router(i));
    for (std::uint32_t i = 1; i <= size.caches; ++i) caches_.push_back({.id = i});
    caches_.push_back({.id = kOriginId, .kind = kOriginKind});
    for (auto& router : routers_) send_event(*router, EndpointList{EndpointListKind::Full, caches_});
    double cumulative_sum = 0;
    for (std::uint32_t rank = 0; rank < kKeyCount; ++rank)
      cumulative_popularity_.push_back(cumulative_sum += 1.0 / (rank + 4));
  }

  // Restarts three in ten caches, and those found by find_popular_key_owners().
  void restart_caches() {
    started_at_ = now_;
    for (Server& cache : caches_) {
      const bool owns_popular_key = std::find(popular_key_owners_.begin(), popular_key_owners_.end(),
                                              cache.id) != popular_key_owners_.end();
      if (cache.kind == kOriginKind || (!owns_popular_key && random_.next_unit() >= 0.3)) continue;
      cache.started_at = now_;
      slow_start_attempts_[cache.id];
    }
    for (auto& router : routers_) send_event(*router, EndpointList{EndpointListKind::Full, caches_});
  }
  void restart_routers(double share) {
    for (std::uint32_t i = 0; i < size_.routers; ++i) {
      if (random_.next_unit() >= share) continue;
      routers_[i] = make_router(1000 + i);
      send_event(*routers_[i], EndpointList{EndpointListKind::Full, caches_});
    }
  }
  void run(double duration_ms) {
    const double end_at = now_ + duration_ms;
    const double total_requests_per_ms = size_.requests_per_s * size_.routers / 1000;
    for (;;) {
      now_ += -std::log(1 - random_.next_unit()) / total_requests_per_ms;
      if (now_ >= end_at) return;
      // Uneven: a tenth of the routers gets a third of the requests.
      const double random_sample = random_.next_unit();
      const double router_position = random_sample < 0.33 ? 0.1 * random_.next_unit() : random_.next_unit();
      request(*routers_[static_cast<std::size_t>(router_position * size_.routers)]);
    }
  }
  // Finds the first caches of the most popular keys, with a separate new router for each key.
  void find_popular_key_owners(std::uint32_t key_count) {
    for (std::uint32_t rank = 0; rank < key_count; ++rank) {
      RouterTier isolated_tier({1, size_.caches, size_.requests_per_s, ""}, 1);
      isolated_tier.request(*isolated_tier.routers_[0], rank);
      popular_key_owners_.push_back(isolated_tier.first_server_);
    }
  }

  // Maximum over all caches in slow start and all windows of overload_failure_ms: attempts divided by
  // allowed_attempts().
  double max_load_ratio() const {
    double max_ratio = 0;
    for (const auto& [id, attempt_times] : slow_start_attempts_) {
      std::deque<double> window;
      for (const double attempt_at : attempt_times) {
        window.push_back(attempt_at);
        while (window.front() < attempt_at - settings_.overload_failure_ms) window.pop_front();
        max_ratio = std::max(max_ratio, static_cast<double>(window.size()) / allowed_attempts(attempt_at));
      }
    }
    return max_ratio;
  }
  // Attempts at all caches in slow start, relative to their mean load times their mean capacity share.
  double traffic_share() const {
    double attempts = 0, expected_attempts = 0;
    for (const auto& [id, attempt_times] : slow_start_attempts_) {
      attempts += static_cast<double>(attempt_times.size());
      expected_attempts +=
          mean_load_per_ms() * (0.5 + 0.5 * settings_.slow_start_min_capacity) * (now_ - started_at_);
    }
    return attempts / expected_attempts;
  }

 private:
  static constexpr std::uint32_t kKeyCount = 20000;
  struct Router {
    explicit Router(const Settings& s, std::uint64_t seed) : balancer(s, seed) {}
    Balancer balancer;
  };

  Settings make_settings() const {
    Settings router_settings = cache_aside_settings();
    router_settings.router_count = size_.routers;
    router_settings.slow_start_ms = kSlowStartMs;
    router_settings.slow_start_min_capacity = 0.32;
    router_settings.overload_multiple = 4;
    router_settings.overload_failure_ms = 2000;
    return router_settings;
  }
  std::unique_ptr<Router> make_router(std::uint64_t seed) const {
    return std::make_unique<Router>(settings_, seed);
  }
  double mean_load_per_ms() const { return size_.requests_per_s * size_.routers / 1000 / size_.caches; }
  double allowed_attempts(double sent_at) const {
    const double capacity_share =
        settings_.slow_start_min_capacity +
        (1 - settings_.slow_start_min_capacity) * (sent_at - started_at_) / kSlowStartMs;
    const double mean_attempts = settings_.overload_multiple * capacity_share * mean_load_per_ms() /
                                 kUtilization * settings_.overload_failure_ms;
    return mean_attempts < 30 ? mean_attempts + 3 * std::sqrt(mean_attempts) + 3
                              : mean_attempts + 2 * std::sqrt(mean_attempts) + 2;
  }

  void request(Router& router) {
    const double random_sample = random_.next_unit() * cumulative_popularity_.back();
    const auto rank =
        std::lower_bound(cumulative_popularity_.begin(), cumulative_popularity_.end(), random_sample) -
        cumulative_popularity_.begin();
    request(router, static_cast<std::uint32_t>(rank));
  }
  void request(Router& router, std::uint32_t rank) {
    Request new_request;
    new_request.id = ++last_id_;
    new_request.key = mix_bits(rank + 1);
    new_request.deadline = now_ + 2000;
    send_event(router, new_request);
  }
  // Every attempt is answered before the next event.
  void send_event(Router& router, const Event& event) {
    std::deque<Event> events{event};
    std::map<RequestId, std::uint32_t> attempts;
    while (!events.empty()) {
      std::vector<Action> actions;
      router.balancer.on_event(now_, events.front(), actions);
      events.pop_front();
      for (const Action& action : actions) {
        const auto* send = std::get_if<Send>(&action);
        if (send == nullptr) continue;
        if (first_server_ == 0) first_server_ = send->server;
        AttemptOutcome outcome;
        outcome.result = accept_attempt(send->server) ? AttemptResult::Ok : AttemptResult::Overloaded;
        outcome.id = send->id;
        outcome.attempt = attempts[send->id]++;
        outcome.server = send->server;
        outcome.elapsed_ms = kResponseMs;
        outcome.request_ended = outcome.result == AttemptResult::Ok;
        events.push_back(outcome);
      }
    }
  }

  // Returns false if a cache that is not in slow start has reached its capacity. Popular keys are then sent
  // to other caches.
  bool accept_attempt(ServerId cache) {
    const auto slow_start_cache = slow_start_attempts_.find(cache);
    if (slow_start_cache != slow_start_attempts_.end()) slow_start_cache->second.push_back(now_);
    if (slow_start_cache != slow_start_attempts_.end() || cache == kOriginId) return true;
    std::deque<double>& cache_attempts = recent_attempts_[cache];
    while (!cache_attempts.empty() && cache_attempts.front() < now_ - settings_.overload_failure_ms)
      cache_attempts.pop_front();
    if (static_cast<double>(cache_attempts.size()) >=
        mean_load_per_ms() / kUtilization * settings_.overload_failure_ms)
      return false;
    cache_attempts.push_back(now_);
    return true;
  }

  FleetSize size_;
  Settings settings_ = make_settings();
  Random random_;
  double now_ = 1e9, started_at_ = 0;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<Server> caches_;
  std::vector<double> cumulative_popularity_;
  std::vector<ServerId> popular_key_owners_;
  std::map<ServerId, std::vector<double>> slow_start_attempts_; // attempt times
  std::map<ServerId, std::deque<double>> recent_attempts_;      // attempt times within overload_failure_ms
  ServerId first_server_ = 0;
  RequestId last_id_ = 0;
};

class SlowStartBudget : public ::testing::TestWithParam<std::tuple<FleetSize, RouterHistory>> {};

TEST_P(SlowStartBudget, AllRoutersTogetherStayWithinBudgetOfEachServer) {
  const auto& [size, history] = GetParam();
  RouterTier tier(size, 11);
  tier.find_popular_key_owners(3);
  tier.run(history.uptime_ms);
  tier.restart_caches();
  tier.restart_routers(history.restarted_router_share);
  tier.run(kSlowStartMs);
  RecordProperty("worst_load", std::to_string(tier.max_load_ratio()));
  RecordProperty("share_of_work", std::to_string(tier.traffic_share()));
  EXPECT_LE(tier.max_load_ratio(), 1) << "share of the traffic " << tier.traffic_share();
  if (history.restarted_router_share == 0) {
    EXPECT_GE(tier.traffic_share(), 0.4) << "servers in slow start get too few requests";
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartBudget,
                         ::testing::Combine(::testing::Values(FleetSize{4, 14, 100, "FourRouters"},
                                                              FleetSize{60, 40, 18, "SixtyRouters"},
                                                              FleetSize{60, 640, 18,
                                                                        "SixtyRoutersManyCaches"}),
                                            ::testing::Values(RouterHistory{60000, 0, "KnowingRouters"},
                                                              RouterHistory{30000, 0.7, "MostRoutersNew"},
                                                              RouterHistory{0, 1, "AllRoutersNew"})),
                         [](const auto& fleet) {
                           return std::string(std::get<0>(fleet.param).name) + std::get<1>(fleet.param).name;
                         });

} // namespace
} // namespace fernward::testing
