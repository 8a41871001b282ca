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
  double next(double per_ms) { return now += -std::log(1 - random.unit()) / per_ms; }
};

// Steady traffic: `per_ms` reads, a tenth of them fetched.
void steady(FillRateLimiter& pace, Load& load, double ms, double per_ms) {
  for (const double end = load.now + ms; load.next(per_ms) < end;) {
    pace.on_read(load.now);
    if (load.random.unit() < 0.1) pace.on_fetch(load.now);
  }
}

// Highest number of fetches in any second if every read needs one.
std::size_t worst_second(FillRateLimiter& pace, Load& load, double ms, double per_ms) {
  std::deque<double> window;
  std::size_t worst = 0;
  for (const double end = load.now + ms; load.next(per_ms) < end;) {
    pace.on_read(load.now);
    if (!pace.may_fetch(load.now)) continue;
    pace.on_fetch(load.now);
    window.push_back(load.now);
    while (window.front() <= load.now - 1000) window.pop_front();
    worst = std::max(worst, window.size());
  }
  return worst;
}

} // namespace

TEST_CASE("during a transition fetches stay below twice the steady rate in any second whatever the demand") {
  for (const double per_ms : {0.1, 0.4, 2.0}) {
    FillRateLimiter pace({30000, 2, 0});
    Load load;
    steady(pace, load, 40000, per_ms);
    const double before = 1000 * 0.1 * per_ms;
    CHECK(1000 * pace.steady_fetches_per_ms(load.now) == doctest::Approx(before).epsilon(0.35));
    pace.on_fleet_changed(load.now);
    CHECK(static_cast<double>(worst_second(pace, load, 25000, per_ms)) <= 2 * before + 1.5);
  }
}

TEST_CASE("four routers with unequal shares of the traffic respect the total limit without messages") {
  std::size_t all = 0;
  for (const double share : {0.4, 0.3, 0.2, 0.1}) {
    FillRateLimiter pace({30000, 2, 0});
    Load load;
    steady(pace, load, 40000, share);
    pace.on_fleet_changed(load.now);
    all += worst_second(pace, load, 20000, share);
  }
  CHECK(all <= 2 * 100); // sum of the worst seconds of all four, as if they coincided
}

TEST_CASE("the limit follows the traffic because a fleet grows with its traffic") {
  FillRateLimiter pace({30000, 2, 0});
  Load load;
  steady(pace, load, 40000, 0.4);
  pace.on_fleet_changed(load.now);
  const double before = pace.max_fetches_per_ms(load.now);
  worst_second(pace, load, 8000, 1.2);
  CHECK(pace.max_fetches_per_ms(load.now) > 2.2 * before);
  CHECK(pace.max_fetches_per_ms(load.now) < 4 * before);
}

TEST_CASE("the limit stays active until delayed fetches are done and for a bounded time") {
  FillRateLimiter pace({10000, 2, 0});
  Load load;
  steady(pace, load, 40000, 0.4);
  const double at = load.now;
  pace.on_fleet_changed(at);
  worst_second(pace, load, 20000, 0.4);
  CHECK(pace.is_active(load.now)); // after twice the transition time: every read still needs a fetch
  worst_second(pace, load, 30000, 0.4);
  CHECK_FALSE(pace.is_active(load.now));
  CHECK(load.now - at >= 40000);
  FillRateLimiter calm({10000, 2, 0});
  Load quiet;
  steady(calm, quiet, 40000, 0.4);
  calm.on_fleet_changed(quiet.now);
  steady(calm, quiet, 15000, 0.4);
  CHECK_FALSE(calm.is_active(quiet.now));
}

TEST_CASE("there is no limit without observations or without a configured multiple") {
  FillRateLimiter fresh({30000, 2, 0});
  fresh.on_fleet_changed(1e6);
  CHECK(fresh.may_fetch(1e6));
  CHECK(fresh.max_fetches_per_ms(1e6) == 0);
  FillRateLimiter unbound({30000, 0, 0});
  Load load;
  steady(unbound, load, 40000, 0.4);
  unbound.on_fleet_changed(load.now);
  CHECK(unbound.max_fetches_per_ms(load.now) == 0);
}

TEST_CASE("the most popular keys of a skewed load are found in a table of fixed size") {
  HotKeyTracker p;
  p.set_chosen_share(0.3);
  Random random{3};
  constexpr int kKeys = 20000;
  const auto draw = [&] { // probability about 1 / rank
    return static_cast<std::uint64_t>(std::exp(random.unit() * std::log(static_cast<double>(kKeys))));
  };
  for (int i = 0; i < 200000; ++i) p.on_read(draw());
  std::map<HotKeyTracker::Bar, int> above;
  constexpr int kDrawn = 20000;
  for (int i = 0; i < kDrawn; ++i) {
    const std::uint64_t key = draw();
    for (const auto bar :
         {HotKeyTracker::Fifth, HotKeyTracker::Half, HotKeyTracker::MostPart, HotKeyTracker::Chosen}) {
      above[bar] += p.is_in_top_share(bar, key);
    }
  }
  CHECK(above[HotKeyTracker::Fifth] / double{kDrawn} == doctest::Approx(0.2).epsilon(0.4));
  CHECK(above[HotKeyTracker::Chosen] / double{kDrawn} == doctest::Approx(0.3).epsilon(0.4));
  CHECK(above[HotKeyTracker::Half] / double{kDrawn} == doctest::Approx(0.5).epsilon(0.3));
  CHECK(above[HotKeyTracker::MostPart] / double{kDrawn} > 0.65);
  CHECK(p.is_in_top_share(HotKeyTracker::Fifth, 1));
  CHECK_FALSE(p.is_in_top_share(HotKeyTracker::Half, 15000));
  SUBCASE("formerly popular keys are forgotten once others are popular") {
    for (int i = 0; i < 300000; ++i) p.on_read(kKeys + draw());
    CHECK_FALSE(p.is_in_top_share(HotKeyTracker::Half, 1));
  }
  SUBCASE("with a configured share of 0 no key qualifies") {
    p.set_chosen_share(0);
    p.on_read(1);
    CHECK_FALSE(p.is_in_top_share(HotKeyTracker::Chosen, 1));
  }
}
