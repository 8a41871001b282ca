// The metrics that a scenario bounds, on short runs whose expected values can be counted by hand.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "lab/stats/figures.h"
#include "support.h"

using namespace fernward::lab;
using namespace fernward::lab::test;

namespace {

// One request per second for 30 s, alternating between classes 0 and 1 and tenants 0 and 1. Requests drawn
// from 10 s to 15 s are refused, the others are served after 100 ms. Each request has one attempt at the
// origin, which ends as a hit or, for every fourth request, as a miss.
void play(Sink& sink) {
  for (std::uint64_t n = 0; n < 30; ++n) {
    const double at = static_cast<double>(n) * 1000 + 500;
    Drawn d;
    d.at = at;
    d.request = n + 1;
    d.cls = n % 2;
    d.tenant = n % 2;
    d.worth = 2;
    d.aim_ms = 750;
    sink.on(d);
    Arrived a;
    a.at = at + 10;
    a.attempt = n + 1;
    a.machine = 3;
    a.cls = d.cls;
    sink.on(a);
    AttemptEnded e;
    e.at = at + 50;
    e.attempt = n + 1;
    e.ending = n % 4 == 0 ? Ending::Miss : Ending::Hit;
    sink.on(e);
    LoadSample l;
    l.at = at + 60;
    l.machine = 0;
    l.used = 0.5;
    l.new_connections = n < 3 ? 1 : 0;
    sink.on(l);
    Closed c;
    c.at = at + 100;
    c.request = n + 1;
    c.latency_ms = 100;
    const bool bad = n >= 10 && n < 15;
    c.end = bad ? Heard::Refused : Heard::Served;
    c.earned = bad ? 0 : 2;
    sink.on(c);
  }
}

double measure(const Bound& bound) {
  Spec spec = small_spec();
  spec.duration_ms = 30000;
  const Plan plan = make_plan(spec);
  const auto meter = make_meter(spec, plan, bound);
  play(*meter);
  return meter->value().value_or(-1);
}

Bound bound(Metric metric, double from = 0, double to = 0) {
  Bound b;
  b.metric = metric;
  b.from_ms = from;
  b.to_ms = to;
  return b;
}

} // namespace

TEST_CASE("each metric has the value counted by hand") {
  Bound small_tenant = bound(Metric::Service), second_class = bound(Metric::Refused),
        ten = bound(Metric::WorstWindow), five = ten, recovery = bound(Metric::RecoveryMs, 8000),
        never = bound(Metric::RecoveryMs, 11000, 14000), always = bound(Metric::RecoveryMs, 20000),
        origin_of = bound(Metric::OriginPerS);
  small_tenant.tenant = 1;
  second_class.cls = 1;
  five.window_ms = 5000;
  recovery.window_ms = never.window_ms = always.window_ms = 1000;
  origin_of.cls = 0;
  const struct {
    Bound bound;
    double value;
  } cases[] = {
      {bound(Metric::Service), 25.0 / 30},
      {bound(Metric::Service, 10000, 15000), 0},
      {bound(Metric::Service, 15000), 1},
      {small_tenant, 13.0 / 15}, // requests 11 and 13 fail
      {bound(Metric::WorstTenant), 12.0 / 15},
      {bound(Metric::WorstClass), 12.0 / 15},
      {second_class, 2.0 / 15},
      {bound(Metric::Served), 25.0 / 30},
      {bound(Metric::Failed), 0},
      {ten, 0.5},
      {five, 0},
      {recovery, 7000},
      {never, 3000},
      {always, 0},
      {bound(Metric::OriginPerS), 1},
      {bound(Metric::OriginPeakPerS), 1},
      {origin_of, 0.5},
      {bound(Metric::HitRatio), 22.0 / 30},
      {bound(Metric::HandshakesPerRequest), 0.1},
      {bound(Metric::Service, 40000), -1}, // nothing to measure
  };
  for (const auto& c : cases) {
    CAPTURE(bound_text(small_spec(), c.bound));
    CHECK(measure(c.bound) == doctest::Approx(c.value));
  }
  Bound latency = bound(Metric::LatencyMs);
  CHECK(measure(latency) == doctest::Approx(100).epsilon(0.02));
}

TEST_CASE("a missed bound and a bound without measurements do not hold") {
  Spec spec = small_spec();
  spec.duration_ms = 30000;
  Bound held = bound(Metric::Service), missed = held, nothing = bound(Metric::HitRatio, 29900);
  held.at_least = 0.8;
  missed.at_least = 0.9;
  nothing.at_least = 0;
  spec.holds.bounds = {held, missed, nothing};
  spec.holds.worst_window_weight = 1;
  const Plan plan = make_plan(spec);
  Checker checker(spec, plan, 0);
  play(checker);
  const Findings f = checker.finish();
  REQUIRE(f.bounds.size() == 3);
  CHECK(f.bounds[0].kept);
  CHECK_FALSE(f.bounds[1].kept);
  CHECK_FALSE(f.bounds[2].kept);
  CHECK(f.whole == doctest::Approx(25.0 / 30));
  CHECK(f.score == doctest::Approx((25.0 / 30 + 0.5) / 2));
}

TEST_CASE("figures are correct after a merge or a JSON round trip and stay bounded in size") {
  Spec spec = small_spec();
  spec.duration_ms = 30000;
  const Plan plan = make_plan(spec);
  Collector collector(spec, plan);
  play(collector);
  CHECK(collector.remembers() == 0);
  Figures one = collector.take();
  const Slice whole = one.whole();
  CHECK(whole.tally.drawn == 30);
  CHECK(whole.tally.served() == 25);
  CHECK(whole.tally.refused() == 5);
  CHECK(whole.tally.in_aim == 25);
  CHECK(whole.fetches == 30);
  CHECK(whole.hits == 22);
  CHECK(whole.handshakes == 3);
  CHECK(one.slices.size() == 30);
  CHECK(one.classes[1].tally.refused() == 2);
  CHECK(one.machines[0].slices[4].used == 0.5f);

  Figures back = figures_from(to_json(one));
  CHECK(to_json(back) == to_json(one));
  back.merge(one);
  CHECK(back.whole().tally.drawn == 60);
  CHECK(back.runs == 2);
  CHECK(back.whole().tally.latency.quantile(0.5) == doctest::Approx(100).epsilon(0.02));
  back.widen();
  CHECK(back.slices.size() == 15);
  CHECK(back.whole().tally.drawn == 60);
  one.merge(back); // its slices have a different width
  CHECK(one.whole().tally.drawn == 90);
  Figures other = one;
  other.classes[0].name = "else";
  CHECK_THROWS(one.merge(other));
  auto broken = to_json(back);
  broken["slices"][0]["tally"]["latency"]["bins"] = {{99999, 1}};
  CHECK_THROWS(figures_from(broken));

  // A run of eleven days keeps no more slices than a run of an hour.
  Collector daily(spec, plan);
  for (double at = 0; at < 1e9; at += 5e5) {
    LoadSample l;
    l.at = at;
    daily.on(l);
  }
  const Figures long_run = daily.take();
  CHECK(long_run.slices.size() <= 1024);
  CHECK(long_run.width_ms > 9e5);
}

TEST_CASE("latency quantiles are within 2% of the exact values") {
  Latency all, part;
  for (int i = 1; i <= 10000; ++i) (i % 2 == 0 ? all : part).add(i * 0.1);
  all.merge(part);
  for (const double share : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    CHECK(all.quantile(share) == doctest::Approx(share * 1000).epsilon(0.02));
  }
  CHECK(Latency().quantile(0.5) == 0);
  all.add(1e9); // beyond the largest bin
  CHECK(all.quantile(1) == doctest::Approx(500e3));
}
