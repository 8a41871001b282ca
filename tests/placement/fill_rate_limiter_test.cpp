// Fetch rate limit while keys move, and tracking of popular keys.
#include "placement/fill_rate_limiter.h"

#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <map>
#include <set>

#include "placement/hot_key_tracker.h"

using namespace fernward;
using placement::FillRateLimiter;
using placement::HotKeyTracker;

namespace {

struct Load {
  double now = 1e6;
  Random random{7};
  double next(double per_ms) { return now += -std::log(1 - random.next_unit()) / per_ms; }
};

// Steady traffic: `per_ms` reads, a tenth of them fetched.
void simulate_steady(FillRateLimiter& limiter, Load& load, double duration_ms, double per_ms) {
  for (const double end = load.now + duration_ms; load.next(per_ms) < end;) {
    limiter.on_read(load.now);
    if (load.random.next_unit() < 0.1) limiter.on_fetch(load.now);
  }
}

// Highest number of fetches in any second if every read needs one.
std::size_t max_fetches_per_second(FillRateLimiter& limiter, Load& load, double duration_ms, double per_ms) {
  std::deque<double> window;
  std::size_t max_fetches = 0;
  for (const double end = load.now + duration_ms; load.next(per_ms) < end;) {
    limiter.on_read(load.now);
    if (!limiter.may_fetch(load.now)) continue;
    limiter.on_fetch(load.now);
    window.push_back(load.now);
    while (window.front() <= load.now - 1000) window.pop_front();
    max_fetches = std::max(max_fetches, window.size());
  }
  return max_fetches;
}

} // namespace

TEST_CASE("during a transition fetches stay below twice the steady rate in any second whatever the demand") {
  for (const double per_ms : {0.1, 0.4, 2.0}) {
    FillRateLimiter limiter({30000, 2, 0});
    Load load;
    simulate_steady(limiter, load, 40000, per_ms);
    const double before = 1000 * 0.1 * per_ms;
    CHECK(1000 * limiter.steady_fetches_per_ms(load.now) == doctest::Approx(before).epsilon(0.35));
    limiter.on_fleet_changed(load.now);
    CHECK(static_cast<double>(max_fetches_per_second(limiter, load, 25000, per_ms)) <= 2 * before + 1.5);
  }
}

TEST_CASE("four routers with unequal shares of the traffic respect the total limit without messages") {
  std::size_t total_fetches = 0;
  for (const double share : {0.4, 0.3, 0.2, 0.1}) {
    FillRateLimiter limiter({30000, 2, 0});
    Load load;
    simulate_steady(limiter, load, 40000, share);
    limiter.on_fleet_changed(load.now);
    total_fetches += max_fetches_per_second(limiter, load, 20000, share);
  }
  CHECK(total_fetches <= 2 * 100); // sum of the worst seconds of all four, as if they coincided
}

TEST_CASE("the limit follows the traffic because a fleet grows with its traffic") {
  FillRateLimiter limiter({30000, 2, 0});
  Load load;
  simulate_steady(limiter, load, 40000, 0.4);
  limiter.on_fleet_changed(load.now);
  const double before = limiter.max_fetches_per_ms(load.now);
  max_fetches_per_second(limiter, load, 8000, 1.2);
  CHECK(limiter.max_fetches_per_ms(load.now) > 2.2 * before);
  CHECK(limiter.max_fetches_per_ms(load.now) < 4 * before);
}

TEST_CASE("the limit stays active until delayed fetches are done and for a bounded time") {
  FillRateLimiter limiter({10000, 2, 0});
  Load load;
  simulate_steady(limiter, load, 40000, 0.4);
  const double changed_at = load.now;
  limiter.on_fleet_changed(changed_at);
  max_fetches_per_second(limiter, load, 20000, 0.4);
  CHECK(limiter.is_active(load.now)); // after twice the transition time: every read still needs a fetch
  max_fetches_per_second(limiter, load, 30000, 0.4);
  CHECK_FALSE(limiter.is_active(load.now));
  CHECK(load.now - changed_at >= 40000);
  FillRateLimiter steady_limiter({10000, 2, 0});
  Load steady_load;
  simulate_steady(steady_limiter, steady_load, 40000, 0.4);
  steady_limiter.on_fleet_changed(steady_load.now);
  simulate_steady(steady_limiter, steady_load, 15000, 0.4);
  CHECK_FALSE(steady_limiter.is_active(steady_load.now));
}

TEST_CASE("there is no limit without observations or without a configured multiple") {
  FillRateLimiter fresh({30000, 2, 0});
  fresh.on_fleet_changed(1e6);
  CHECK(fresh.may_fetch(1e6));
  CHECK(fresh.max_fetches_per_ms(1e6) == 0);
  FillRateLimiter unlimited({30000, 0, 0});
  Load load;
  simulate_steady(unlimited, load, 40000, 0.4);
  unlimited.on_fleet_changed(load.now);
  CHECK(unlimited.max_fetches_per_ms(load.now) == 0);
}

TEST_CASE("the most popular keys of a skewed load are found in a table of fixed size") {
  HotKeyTracker tracker;
  tracker.set_configured_share(0.3);
  Random random{3};
  constexpr int kKeys = 20000;
  const auto draw = [&] { // probability about 1 / rank
    return static_cast<std::uint64_t>(std::exp(random.next_unit() * std::log(static_cast<double>(kKeys))));
  };
  for (int i = 0; i < 200000; ++i) tracker.on_read(draw());
  std::map<HotKeyTracker::TopShare, int> above;
  constexpr int kDrawnKeys = 20000;
  for (int i = 0; i < kDrawnKeys; ++i) {
    const std::uint64_t key = draw();
    for (const auto top_share :
         {HotKeyTracker::Fifth, HotKeyTracker::Half, HotKeyTracker::FourFifths, HotKeyTracker::Configured}) {
      above[top_share] += tracker.is_in_top_share(top_share, key);
    }
  }
  CHECK(above[HotKeyTracker::Fifth] / double{kDrawnKeys} == doctest::Approx(0.2).epsilon(0.4));
  CHECK(above[HotKeyTracker::Configured] / double{kDrawnKeys} == doctest::Approx(0.3).epsilon(0.4));
  CHECK(above[HotKeyTracker::Half] / double{kDrawnKeys} == doctest::Approx(0.5).epsilon(0.3));
  CHECK(above[HotKeyTracker::FourFifths] / double{kDrawnKeys} > 0.65);
  CHECK(tracker.is_in_top_share(HotKeyTracker::Fifth, 1));
  CHECK_FALSE(tracker.is_in_top_share(HotKeyTracker::Half, 15000));
  SUBCASE("formerly popular keys are forgotten once others are popular") {
    for (int i = 0; i < 300000; ++i) tracker.on_read(kKeys + draw());
    CHECK_FALSE(tracker.is_in_top_share(HotKeyTracker::Half, 1));
  }
  SUBCASE("with a configured share of 0 no key qualifies") {
    tracker.set_configured_share(0);
    tracker.on_read(1);
    CHECK_FALSE(tracker.is_in_top_share(HotKeyTracker::Configured, 1));
  }
}
