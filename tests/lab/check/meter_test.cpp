// The metrics that a scenario bounds, on short runs whose expected values can be counted by hand.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "lab/stats/run_stats.h"
#include "support.h"

using namespace fernward::lab;
using namespace fernward::lab::test;

namespace {

// One request per second for 30 s, alternating between classes 0 and 1 and tenants 0 and 1. Requests drawn
// from 10 s to 15 s are rejected, the others are served after 100 ms. Each request has one attempt at the
// origin, which ends as a hit or, for every fourth request, as a miss.
void send_records(Sink& sink) {
  for (std::uint64_t request_index = 0; request_index < 30; ++request_index) {
    const double at_ms = static_cast<double>(request_index) * 1000 + 500;
    DrawnRequest drawn;
    drawn.at = at_ms;
    drawn.request = request_index + 1;
    drawn.cls = request_index % 2;
    drawn.tenant = request_index % 2;
    drawn.priority_weight = 2;
    drawn.latency_objective_ms = 750;
    sink.on(drawn);
    AttemptArrived arrived;
    arrived.at = at_ms + 10;
    arrived.attempt = request_index + 1;
    arrived.machine = 3;
    arrived.cls = drawn.cls;
    sink.on(arrived);
    AttemptEnded ended;
    ended.at = at_ms + 50;
    ended.attempt = request_index + 1;
    ended.outcome = request_index % 4 == 0 ? ServerOutcome::Miss : ServerOutcome::Hit;
    sink.on(ended);
    LoadSample sample;
    sample.at = at_ms + 60;
    sample.machine = 0;
    sample.utilization = 0.5;
    sample.new_connections = request_index < 3 ? 1 : 0;
    sink.on(sample);
    RequestEnded closed;
    closed.at = at_ms + 100;
    closed.request = request_index + 1;
    closed.latency_ms = 100;
    const bool rejected = request_index >= 10 && request_index < 15;
    closed.outcome = rejected ? TryOutcome::Rejected : TryOutcome::Served;
    closed.earned_weight = rejected ? 0 : 2;
    sink.on(closed);
  }
}

double measure(const Bound& bound) {
  Spec spec = small_spec();
  spec.duration_ms = 30000;
  const Plan plan = make_plan(spec);
  const auto meter = make_meter(spec, plan, bound);
  send_records(*meter);
  return meter->value().value_or(-1);
}

Bound bound(Metric metric, double from_ms = 0, double to_ms = 0) {
  Bound result;
  result.metric = metric;
  result.from_ms = from_ms;
  result.to_ms = to_ms;
  return result;
}

} // namespace

TEST_CASE("each metric has the value counted by hand") {
  Bound small_tenant = bound(Metric::Service), second_class = bound(Metric::Rejected),
        ten_second_windows = bound(Metric::WorstWindow), five_second_windows = ten_second_windows,
        recovery = bound(Metric::RecoveryMs, 8000), never_recovers = bound(Metric::RecoveryMs, 11000, 14000),
        never_below = bound(Metric::RecoveryMs, 20000), origin_of_first_class = bound(Metric::OriginPerS);
  small_tenant.tenant = 1;
  second_class.cls = 1;
  five_second_windows.window_ms = 5000;
  recovery.window_ms = never_recovers.window_ms = never_below.window_ms = 1000;
  origin_of_first_class.cls = 0;
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
      {ten_second_windows, 0.5},
      {five_second_windows, 0},
      {recovery, 7000},
      {never_recovers, 3000},
      {never_below, 0},
      {bound(Metric::OriginPerS), 1},
      {bound(Metric::OriginPeakPerS), 1},
      {origin_of_first_class, 0.5},
      {bound(Metric::HitRatio), 22.0 / 30},
      {bound(Metric::HandshakesPerRequest), 0.1},
      {bound(Metric::Service, 40000), -1}, // nothing to measure
  };
  for (const auto& c : cases) {
    CAPTURE(bound_description(small_spec(), c.bound));
    CHECK(measure(c.bound) == doctest::Approx(c.value));
  }
  Bound latency = bound(Metric::LatencyMs);
  CHECK(measure(latency) == doctest::Approx(100).epsilon(0.02));
}

TEST_CASE("a missed bound and a bound without measurements do not hold") {
  Spec spec = small_spec();
  spec.duration_ms = 30000;
  Bound held = bound(Metric::Service), missed = held, unmeasured = bound(Metric::HitRatio, 29900);
  held.at_least = 0.8;
  missed.at_least = 0.9;
  unmeasured.at_least = 0;
  spec.expectations.bounds = {held, missed, unmeasured};
  spec.expectations.worst_window_weight = 1;
  const Plan plan = make_plan(spec);
  RuleChecker checker(spec, plan, 0);
  send_records(checker);
  const CheckResult findings = checker.finish();
  REQUIRE(findings.bounds.size() == 3);
  CHECK(findings.bounds[0].passed);
  CHECK_FALSE(findings.bounds[1].passed);
  CHECK_FALSE(findings.bounds[2].passed);
  CHECK(findings.overall_service == doctest::Approx(25.0 / 30));
  CHECK(findings.score == doctest::Approx((25.0 / 30 + 0.5) / 2));
}

TEST_CASE("statistics are correct after a merge or a JSON round trip and stay bounded in size") {
  Spec spec = small_spec();
  spec.duration_ms = 30000;
  const Plan plan = make_plan(spec);
  StatsCollector collector(spec, plan);
  send_records(collector);
  CHECK(collector.open_request_count() == 0);
  RunStats stats = collector.take();
  const TimeSlice total = stats.total();
  CHECK(total.request_stats.drawn == 30);
  CHECK(total.request_stats.served() == 25);
  CHECK(total.request_stats.rejected() == 5);
  CHECK(total.request_stats.within_objective == 25);
  CHECK(total.origin_reads == 30);
  CHECK(total.hits == 22);
  CHECK(total.handshakes == 3);
  CHECK(stats.slices.size() == 30);
  CHECK(stats.classes[1].request_stats.rejected() == 2);
  CHECK(stats.machines[0].slices[4].utilization_sum == 0.5f);

  RunStats restored = run_stats_from_json(to_json(stats));
  CHECK(to_json(restored) == to_json(stats));
  restored.merge(stats);
  CHECK(restored.total().request_stats.drawn == 60);
  CHECK(restored.runs == 2);
  CHECK(restored.total().request_stats.latency_histogram.quantile(0.5) == doctest::Approx(100).epsilon(0.02));
  restored.double_slice_width();
  CHECK(restored.slices.size() == 15);
  CHECK(restored.total().request_stats.drawn == 60);
  stats.merge(restored); // its slices have a different width
  CHECK(stats.total().request_stats.drawn == 90);
  RunStats other = stats;
  other.classes[0].name = "else";
  CHECK_THROWS(stats.merge(other));
  auto broken = to_json(restored);
  broken["slices"][0]["tally"]["latency"]["bins"] = {{99999, 1}};
  CHECK_THROWS(run_stats_from_json(broken));

  // A run of eleven days keeps a bounded number of slices, each of which covers more time.
  StatsCollector long_collector(spec, plan);
  for (double at = 0; at < 1e9; at += 5e5) {
    LoadSample sample;
    sample.at = at;
    long_collector.on(sample);
  }
  const RunStats long_run = long_collector.take();
  CHECK(long_run.slices.size() <= 1024);
  CHECK(long_run.slice_width_ms > 9e5);
}

TEST_CASE("latency quantiles are within 2% of the exact values") {
  LatencyHistogram all, part;
  for (int i = 1; i <= 10000; ++i) (i % 2 == 0 ? all : part).add(i * 0.1);
  all.merge(part);
  for (const double share : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    CHECK(all.quantile(share) == doctest::Approx(share * 1000).epsilon(0.02));
  }
  CHECK(LatencyHistogram().quantile(0.5) == 0);
  all.add(1e9); // beyond the largest bin
  CHECK(all.quantile(1) == doctest::Approx(500e3));
}
