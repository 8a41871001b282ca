// A node and the origin under single operations, checked against results calculated by hand.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>

#include "model/cache_node.h"
#include "model/origin.h"
#include "support.h"

using namespace fernward::model;
using namespace fernward::model::test;
using fernward::LoadReportField;

namespace {

struct Fixture {
  explicit Fixture(Spec fixture_spec) : spec(std::move(fixture_spec)), plan(make_plan(spec)), keys(spec) {
    if (spec.origin.enabled) {
      origin = std::make_unique<Origin>(spec, plan.machines[plan.origin], idempotency_cache);
    }
    for (const PlannedMachine& machine : plan.machines) {
      if (!spec.origin.enabled || machine.id != plan.origin) {
        nodes.push_back(
            std::make_unique<CacheNode>(CacheNode::FleetContext{spec, keys, idempotency_cache}, machine));
      }
    }
  }
  ServerAttempt attempt(double work, std::uint64_t key = 1) {
    ServerAttempt result;
    result.id = ++last_id;
    result.key = key;
    result.work_ms = work;
    return result;
  }
  ServerAttempt write(std::uint64_t idempotency_key) {
    ServerAttempt result = attempt(10);
    result.write = true;
    result.idempotency_key = idempotency_key;
    return result;
  }
  // The action that ended attempt `id`, after processing everything due by `now`; nullopt: it has not ended.
  std::optional<ServerAction> find_end(ServerModel& server, AttemptId id, double now) {
    server.advance(now, actions);
    for (const ServerAction& action : actions) {
      if (action.what == ServerAction::What::Answered && action.id == id) return action;
    }
    return std::nullopt;
  }
  // Response time in ms of an attempt that arrives at `now`; -1 if it takes longer than `max_wait_ms`.
  double measure_response_ms(ServerModel& server, double now, double work = 10, double max_wait_ms = 1e6) {
    const ServerAttempt sent = attempt(work);
    server.arrive(now, sent, actions);
    const auto end = find_end(server, sent.id, now + max_wait_ms);
    return end ? end->at - now : -1;
  }

  Spec spec;
  Plan plan;
  KeySpace keys;
  IdempotencyCache idempotency_cache;
  std::unique_ptr<Origin> origin;
  std::vector<std::unique_ptr<CacheNode>> nodes;
  ServerActions actions;
  AttemptId last_id = 0;
};

Spec small_spec(double cores = 1, std::uint32_t max_active = 1, std::uint32_t max_queued = 100) {
  Spec spec = plain_spec({DistributionShape::Fixed, 10, 0});
  spec.kinds[0].cores = cores;
  spec.kinds[0].max_active = max_active;
  spec.kinds[0].max_queued = max_queued;
  spec.kinds[0].warm_up_ms = 1000;
  spec.kinds[0].start_capacity = 0.25;
  return spec;
}

} // namespace

TEST_CASE("work slows down with a neighbour and with congestion and with shared cores as configured") {
  Spec spec = small_spec(2, 4);
  spec.kinds[0].congested_at = 1;
  spec.kinds[0].congestion_slowdown = 0.5;
  Fixture fixture(spec);
  CacheNode& node = *fixture.nodes[0];
  CHECK(fixture.measure_response_ms(node, 0) == doctest::Approx(10));
  node.set_neighbour_share(1e7, 0.6, fixture.actions);
  CHECK(fixture.measure_response_ms(node, 1e7) == doctest::Approx(25));
  node.set_neighbour_share(2e7, 0, fixture.actions);
  // Four attempts on two cores: each at half speed, and 1 + 0.5 x (4 / 2 - 1) times as long.
  const double at = 3e7;
  for (int i = 0; i < 4; ++i) node.arrive(at, fixture.attempt(10), fixture.actions);
  CHECK_FALSE(fixture.find_end(node, fixture.last_id, at + 29.9));
  CHECK(fixture.find_end(node, fixture.last_id, at + 30.1));
}

TEST_CASE("a started node warms up with time or sooner with work") {
  for (const WarmUpMode mode : {WarmUpMode::Time, WarmUpMode::Requests}) {
    Spec spec = small_spec();
    spec.kinds[0].warm_up_mode = mode;
    Fixture fixture(spec);
    CacheNode& node = *fixture.nodes[0];
    node.terminate(0, fixture.actions);
    CHECK(fixture.measure_response_ms(node, 1, 10, 5) == 0); // not running: lost at once
    node.start(1000, fixture.actions);
    CHECK(fixture.measure_response_ms(node, 1000, 0.5, 5) == doctest::Approx(2).epsilon(0.03));
    CHECK(node.cold(1500));
    if (mode == WarmUpMode::Requests) { // half of the work possible during the warm-up suffices
      for (double at = 1010; at < 1700; at += 5) node.arrive(at, fixture.attempt(5), fixture.actions);
      node.advance(1990, fixture.actions);
      CHECK_FALSE(node.cold(1990));
    } else {
      node.advance(1500, fixture.actions);
      CHECK(node.current_capacity(1500) == doctest::Approx(0.25 + 0.75 * 0.5));
    }
    node.advance(2020, fixture.actions);
    CHECK_FALSE(node.cold(2020));
    CHECK(std::count_if(fixture.actions.begin(), fixture.actions.end(), [](const ServerAction& action) {
            return action.what == ServerAction::What::Warm;
          }) == 1);
  }
}

TEST_CASE("an overloaded cold node fails and reports the notified share while a warm one stays up") {
  struct Case {
    double notified_share, neighbour;
  };
  for (const auto& [notified_share, neighbour] : {Case{1, 0}, Case{0.25, 0}, Case{1, 0.5}}) {
    Spec spec = small_spec();
    spec.kinds[0].warm_up_ms = 1e6; // the capacity stays at a quarter during the test
    spec.kinds[0].overload_multiple = 4;
    spec.kinds[0].overload_failure_ms = 1000;
    Fixture fixture(spec);
    CacheNode& node = *fixture.nodes[0];
    double sent_work_ms = 0;
    for (int i = 0; i < 300; ++i)
      node.arrive(i, fixture.attempt(10), fixture.actions); // warm: rejects, stays up
    CHECK(node.phase() == ServerPhase::Up);
    node.terminate(500, fixture.actions);
    node.start(1000, fixture.actions);
    node.set_neighbour_share(1000, neighbour,
                             fixture.actions); // routers are not notified of it, so the limit stays
    fixture.actions.clear();
    for (int i = 0; node.phase() == ServerPhase::Up && i < 1000; ++i) {
      ServerAttempt attempt = fixture.attempt(10);
      attempt.notified = (i % 100) < notified_share * 100;
      node.arrive(1000 + i, attempt, fixture.actions);
      sent_work_ms += 10;
    }
    // 4 x 0.25 of a core for a second is 100 requests; 3 x 10 + 3 more are the margin for random variation.
    CHECK(sent_work_ms == doctest::Approx(1340).epsilon(0.01));
    const auto overload = std::find_if(
        fixture.actions.begin(), fixture.actions.end(),
        [](const ServerAction& action) { return action.what == ServerAction::What::Overloaded; });
    REQUIRE(overload != fixture.actions.end());
    CHECK(overload->cold);
    CHECK(overload->notified_share == doctest::Approx(notified_share).epsilon(0.1));
    CHECK(fixture.measure_response_ms(node, 5000) == 0); // does not recover
  }
}

TEST_CASE("connections cost handshake work and a full table refuses more and costs capacity") {
  Spec spec = small_spec();
  spec.kinds[0].max_connections = 4;
  spec.kinds[0].handshake_work_ms = 2;
  spec.kinds[0].full_table_capacity_loss = 0.5;
  Fixture fixture(spec);
  CacheNode& node = *fixture.nodes[0];
  for (ConnectionId id = 1; id <= 4; ++id) CHECK(node.connect(0, id, fixture.actions));
  CHECK_FALSE(node.connect(0, 5, fixture.actions));
  node.advance(15.9, fixture.actions); // four handshakes on a core at half speed
  CHECK(fixture.actions.empty());
  node.advance(16.1, fixture.actions);
  CHECK(fixture.actions.size() == 4);
  CHECK(fixture.measure_response_ms(node, 100) == doctest::Approx(20));
  for (int i = 0; i < 4; ++i) node.disconnect(1e7);
  CHECK(fixture.measure_response_ms(node, 1e7) == doctest::Approx(10));
  CHECK(node.sample(2e7).new_connections == 4);
}

TEST_CASE("load reports have the configured delay and fields and noise") {
  Spec spec = small_spec();
  spec.kinds[0].report = {
      true, 100, 250, 0, {LoadReportField::Queue, LoadReportField::LatencyMs, LoadReportField::Inflight}};
  Fixture fixture(spec);
  CacheNode& node = *fixture.nodes[0];
  for (int i = 0; i < 5; ++i) node.arrive(1000, fixture.attempt(1000), fixture.actions);
  std::vector<float> report;
  node.report(1240, report);
  CHECK(report == std::vector<float>{0, 0, 0});
  node.report(1351, report);
  CHECK(report == std::vector<float>{4, 0, 5});
  node.advance(2500, fixture.actions);
  node.report(2500, report);
  CHECK(report == std::vector<float>{3, 1000, 4});

  spec.kinds[0].report.noise = 0.2;
  Fixture noisy(spec);
  for (int i = 0; i < 101; ++i) noisy.nodes[0]->arrive(0, noisy.attempt(1e9), noisy.actions);
  double sum = 0, square_sum = 0;
  for (int i = 0; i < 2000; ++i) {
    noisy.nodes[0]->report(1000 + 100.0 * i, report);
    sum += report[0], square_sum += report[0] * report[0];
  }
  const double mean = sum / 2000;
  CHECK(mean == doctest::Approx(100).epsilon(0.02));
  CHECK(std::sqrt(square_sum / 2000 - mean * mean) == doctest::Approx(20).epsilon(0.05));
}

TEST_CASE("cancelled work and expired work end as the node kind is configured") {
  const struct {
    CancelPolicy cancel_policy;
    bool drops_expired;
    ServerOutcome running, waiting, late;
  } cases[] = {
      {CancelPolicy::Keep, false, ServerOutcome::Hit, ServerOutcome::Hit, ServerOutcome::Hit},
      {CancelPolicy::DropWaiting, false, ServerOutcome::Hit, ServerOutcome::Cancelled, ServerOutcome::Hit},
      {CancelPolicy::Stop, true, ServerOutcome::Cancelled, ServerOutcome::Cancelled, ServerOutcome::Expired}};
  for (const auto& test_case : cases) {
    Spec spec = small_spec();
    spec.kinds[0].cancel_policy = test_case.cancel_policy;
    spec.kinds[0].drops_expired = test_case.drops_expired;
    Fixture fixture(spec);
    CacheNode& node = *fixture.nodes[0];
    const ServerAttempt first = fixture.attempt(10), running = fixture.attempt(10),
                        waiting = fixture.attempt(10);
    ServerAttempt late = fixture.attempt(10);
    late.deadline = 11;
    for (const ServerAttempt& attempt : {running, waiting, first, late})
      node.arrive(0, attempt, fixture.actions);
    node.cancel(5, running.id, fixture.actions);
    node.cancel(5, waiting.id, fixture.actions);
    const auto ran = fixture.find_end(node, running.id, 1000);
    CHECK(ran->outcome == test_case.running);
    CHECK(ran->work_done_ms == doctest::Approx(test_case.running == ServerOutcome::Cancelled ? 5 : 10));
    CHECK_FALSE(ran->awaited);
    CHECK(fixture.find_end(node, waiting.id, 1000)->outcome == test_case.waiting);
    CHECK(fixture.find_end(node, late.id, 1000)->outcome == test_case.late);
    CHECK(fixture.find_end(node, first.id, 1000)->awaited);
  }
}

TEST_CASE("a duplicate keyed write is dropped within the window and the group of its scope") {
  const struct {
    fernward::IdempotencyScope scope;
    double class_window_ms, kind_window_ms, repeated_at_ms;
    std::size_t node; // receives the repeat; the first write goes to node 0
    ServerOutcome outcome;
  } cases[] = {{fernward::IdempotencyScope::All, 1000, -1, 500, 3, ServerOutcome::Duplicate},
               {fernward::IdempotencyScope::All, 1000, -1, 1500, 0, ServerOutcome::Written},
               {fernward::IdempotencyScope::All, 1000, 200, 500, 0,
                ServerOutcome::Written}, // the nodes' own window is shorter than the class's
               {fernward::IdempotencyScope::Zone, 1000, -1, 500, 1, ServerOutcome::Duplicate},
               {fernward::IdempotencyScope::Zone, 1000, -1, 500, 3, ServerOutcome::Written},
               {fernward::IdempotencyScope::Cell, 1000, -1, 500, 1, ServerOutcome::Written},
               {fernward::IdempotencyScope::Cell, 1000, -1, 500, 0, ServerOutcome::Duplicate}};
  for (const auto& test_case : cases) {
    Spec spec = small_spec();
    spec.zones.push_back({"there", 1});
    spec.nodes[0].count = 2;
    spec.nodes[0].cell_size = 1;
    spec.nodes.push_back({"m", 0, 1, 2});
    spec.kinds[0].idempotency_window_ms = test_case.kind_window_ms;
    spec.classes[0].write = true;
    spec.classes[0].idempotency = fernward::Idempotency::WithKey;
    spec.classes[0].idempotency_scope = test_case.scope;
    spec.classes[0].idempotency_window_ms = test_case.class_window_ms;
    Fixture fixture(spec);
    const ServerAttempt first = fixture.write(7), repeat = fixture.write(7);
    fixture.nodes[0]->arrive(0, first, fixture.actions);
    CHECK(fixture.find_end(*fixture.nodes[0], first.id, 20)->outcome == ServerOutcome::Written);
    fixture.nodes[test_case.node]->arrive(test_case.repeated_at_ms, repeat, fixture.actions);
    CHECK(
        fixture.find_end(*fixture.nodes[test_case.node], repeat.id, test_case.repeated_at_ms + 20)->outcome ==
        test_case.outcome);
  }
  // A rejected write has not run: it may be repeated.
  Spec spec = small_spec(1, 1, 0);
  spec.classes[0].idempotency = fernward::Idempotency::WithKey;
  Fixture fixture(spec);
  const ServerAttempt busy = fixture.attempt(10), rejected = fixture.write(9), repeat = fixture.write(9);
  fixture.nodes[0]->arrive(0, busy, fixture.actions);
  fixture.nodes[0]->arrive(1, rejected, fixture.actions);
  CHECK(fixture.find_end(*fixture.nodes[0], rejected.id, 1)->outcome == ServerOutcome::Full);
  fixture.nodes[0]->arrive(20, repeat, fixture.actions);
  CHECK(fixture.find_end(*fixture.nodes[0], repeat.id, 40)->outcome == ServerOutcome::Written);
}

TEST_CASE("the origin has its capacity and write cost and can be slow or stalled or overloaded and recover") {
  Spec spec = small_spec();
  spec.origin.enabled = true;
  spec.origin.capacity_per_s = 20;
  spec.origin.service_time_ms = 100; // two attempts at once
  spec.origin.service_time_cv = 0;
  spec.origin.write_multiple = 3;
  spec.origin.queue_limit_ms = 1000; // twenty attempts may be queued
  spec.origin.overload_multiple = 2;
  spec.origin.overload_failure_ms = 1000;
  spec.origin.down_ms = 5000;
  Fixture fixture(spec);
  Origin& origin = *fixture.origin;
  CHECK(fixture.measure_response_ms(origin, 0) == doctest::Approx(100));
  const ServerAttempt write = fixture.write(1);
  origin.arrive(1e7, write, fixture.actions);
  const auto written = fixture.find_end(origin, write.id, 1e7 + 1000);
  CHECK(written->outcome == ServerOutcome::Written);
  CHECK(written->at == doctest::Approx(1e7 + 300));
  origin.set_capacity_share(2e7, 0.5, fixture.actions);
  CHECK(fixture.measure_response_ms(origin, 2e7) == doctest::Approx(200));
  origin.set_capacity_share(3e7, 0, fixture.actions);
  const ServerAttempt stalled = fixture.attempt(1);
  origin.arrive(3e7, stalled, fixture.actions);
  CHECK_FALSE(fixture.find_end(origin, stalled.id, 3e7 + 60000));
  origin.set_capacity_share(3e7 + 60000, 1, fixture.actions);
  CHECK(fixture.find_end(origin, stalled.id, 3e7 + 60101));
  // 40 requests within a second are twice its capacity: it fails at the next one. It can hold 22.
  fixture.actions.clear();
  int full = 0, lost = 0;
  for (int i = 0; i < 41; ++i) origin.arrive(4e7, fixture.attempt(1), fixture.actions);
  for (const ServerAction& action : fixture.actions) {
    full += action.what == ServerAction::What::Answered && action.outcome == ServerOutcome::Full ? 1 : 0;
    lost += action.what == ServerAction::What::Answered && action.outcome == ServerOutcome::Lost ? 1 : 0;
  }
  CHECK(full == 18);
  CHECK(lost == 23);
  CHECK(origin.phase() == ServerPhase::Off);
  origin.advance(4e7 + 5001, fixture.actions);
  CHECK(fixture.measure_response_ms(origin, 4e7 + 6000) == doctest::Approx(100));
}

TEST_CASE("a cached copy is invalid after it expires or the object changes or a write") {
  Spec spec = small_spec();
  spec.origin.enabled = true;
  spec.origin.initial_hit_ratio = 0;
  spec.kinds[0].object_lifetime_ms = 1000;
  spec.keys.count = 1000;
  spec.keys.changes_per_s = 0.5;
  Fixture fixture(spec);
  CacheNode& node = *fixture.nodes[0];
  const auto is_hit = [&](std::uint64_t key, double now) {
    const ServerAttempt attempt = fixture.attempt(0.001, key);
    node.arrive(now, attempt, fixture.actions);
    return fixture.find_end(node, attempt.id, now + 0.1)->outcome == ServerOutcome::Hit;
  };
  int unchanged = 0, changed = 0;
  for (std::uint64_t key = 1; key <= 400; ++key) {
    const double now = 3000.0 * static_cast<double>(key);
    node.store(now, key);
    CHECK(is_hit(key, now + 1) == !fixture.keys.changed_between(key, now, now + 1));
    (is_hit(key, now + 900) ? unchanged : changed) += 1;
    CHECK_FALSE(is_hit(key, now + 1000));
    node.store(now + 1500, key);
    node.invalidate(key);
    CHECK_FALSE(is_hit(key, now + 1500));
  }
  CHECK(changed == doctest::Approx(400 * 0.45).epsilon(0.15)); // half of the keys change in a second
}
