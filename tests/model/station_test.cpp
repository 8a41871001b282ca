// A node and the origin under single operations, checked against results calculated by hand.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>

#include "model/node.h"
#include "model/origin.h"
#include "support.h"

using namespace fernward::model;
using namespace fernward::model::test;
using fernward::LoadReportField;

namespace {

struct Rig {
  explicit Rig(Spec s) : spec(std::move(s)), plan(make_plan(spec)), keys(spec) {
    if (spec.origin.on) {
      origin = std::make_unique<Origin>(spec, plan.machines[plan.origin], repeats);
    }
    for (const Machine& m : plan.machines) {
      if (!spec.origin.on || m.id != plan.origin) {
        nodes.push_back(std::make_unique<Node>(Node::World{spec, keys, repeats}, m));
      }
    }
  }
  Attempt attempt(double work, std::uint64_t key = 1) {
    Attempt a;
    a.id = ++ids;
    a.key = key;
    a.work_ms = work;
    return a;
  }
  Attempt write(std::uint64_t repeat_key) {
    Attempt a = attempt(10);
    a.write = true;
    a.repeat_key = repeat_key;
    return a;
  }
  // The action that ended attempt `id`, after processing everything due by `now`; nullopt: it has not ended.
  std::optional<Act> end_of(Station& station, AttemptId id, double now) {
    station.advance(now, acts);
    for (const Act& act : acts) {
      if (act.what == Act::What::Answered && act.id == id) return act;
    }
    return std::nullopt;
  }
  // Response time in ms of an attempt that arrives at `now`; -1 if it takes longer than `max_wait_ms`.
  double took(Station& station, double now, double work = 10, double most = 1e6) {
    const Attempt a = attempt(work);
    station.arrive(now, a, acts);
    const auto end = end_of(station, a.id, now + most);
    return end ? end->at - now : -1;
  }

  Spec spec;
  Plan plan;
  Keys keys;
  Repeats repeats;
  std::unique_ptr<Origin> origin;
  std::vector<std::unique_ptr<Node>> nodes;
  Acts acts;
  AttemptId ids = 0;
};

Spec spec_of(double cores = 1, std::uint32_t places = 1, std::uint32_t waiting = 100) {
  Spec spec = plain_spec({Shape::Fixed, 10, 0});
  spec.kinds[0].cores = cores;
  spec.kinds[0].places = places;
  spec.kinds[0].waiting = waiting;
  spec.kinds[0].warm_ms = 1000;
  spec.kinds[0].start_capacity = 0.25;
  return spec;
}

} // namespace

TEST_CASE("work slows down with a neighbour and with congestion and with shared cores as configured") {
  Spec spec = spec_of(2, 4);
  spec.kinds[0].crowded_at = 1;
  spec.kinds[0].crowded_loss = 0.5;
  Rig rig(spec);
  Node& node = *rig.nodes[0];
  CHECK(rig.took(node, 0) == doctest::Approx(10));
  node.neighbour(1e7, 0.6, rig.acts);
  CHECK(rig.took(node, 1e7) == doctest::Approx(25));
  node.neighbour(2e7, 0, rig.acts);
  // Four attempts on two cores: each at half speed, and 1 + 0.5 x (4 / 2 - 1) times as long.
  const double at = 3e7;
  for (int i = 0; i < 4; ++i) node.arrive(at, rig.attempt(10), rig.acts);
  CHECK_FALSE(rig.end_of(node, rig.ids, at + 29.9));
  CHECK(rig.end_of(node, rig.ids, at + 30.1));
}

TEST_CASE("a started node warms up with time or sooner with work") {
  for (const WarmBy by : {WarmBy::Time, WarmBy::Requests}) {
    Spec spec = spec_of();
    spec.kinds[0].warm_by = by;
    Rig rig(spec);
    Node& node = *rig.nodes[0];
    node.end(0, rig.acts);
    CHECK(rig.took(node, 1, 10, 5) == 0); // not running: lost at once
    node.start(1000, rig.acts);
    CHECK(rig.took(node, 1000, 0.5, 5) == doctest::Approx(2).epsilon(0.03));
    CHECK(node.cold(1500));
    if (by == WarmBy::Requests) { // half of the work possible during the warm-up suffices
      for (double at = 1010; at < 1700; at += 5) node.arrive(at, rig.attempt(5), rig.acts);
      node.advance(1990, rig.acts);
      CHECK_FALSE(node.cold(1990));
    } else {
      node.advance(1500, rig.acts);
      CHECK(node.present_capacity(1500) == doctest::Approx(0.25 + 0.75 * 0.5));
    }
    node.advance(2020, rig.acts);
    CHECK_FALSE(node.cold(2020));
    CHECK(std::count_if(rig.acts.begin(), rig.acts.end(),
                        [](const Act& a) { return a.what == Act::What::Warm; }) == 1);
  }
}

TEST_CASE("an overloaded cold node fails and reports the notified share while a warm one stays up") {
  struct Case {
    double told, neighbour;
  };
  for (const auto& [told, neighbour] : {Case{1, 0}, Case{0.25, 0}, Case{1, 0.5}}) {
    Spec spec = spec_of();
    spec.kinds[0].warm_ms = 1e6; // the capacity stays at a quarter during the test
    spec.kinds[0].tip_multiple = 4;
    spec.kinds[0].tip_ms = 1000;
    Rig rig(spec);
    Node& node = *rig.nodes[0];
    double sent = 0;
    for (int i = 0; i < 300; ++i) node.arrive(i, rig.attempt(10), rig.acts); // warm: rejects, stays up
    CHECK(node.phase() == Phase::Up);
    node.end(500, rig.acts);
    node.start(1000, rig.acts);
    node.neighbour(1000, neighbour, rig.acts); // routers are not notified of it, so the limit stays
    rig.acts.clear();
    for (int i = 0; node.phase() == Phase::Up && i < 1000; ++i) {
      Attempt a = rig.attempt(10);
      a.told = (i % 100) < told * 100;
      node.arrive(1000 + i, a, rig.acts);
      sent += 10;
    }
    // 4 x 0.25 of a core for a second is 100 requests; 3 x 10 + 3 more are the margin for random variation.
    CHECK(sent == doctest::Approx(1340).epsilon(0.01));
    const auto tipped = std::find_if(rig.acts.begin(), rig.acts.end(),
                                     [](const Act& a) { return a.what == Act::What::TippedOver; });
    REQUIRE(tipped != rig.acts.end());
    CHECK(tipped->cold);
    CHECK(tipped->told_share == doctest::Approx(told).epsilon(0.1));
    CHECK(rig.took(node, 5000) == 0); // does not recover
  }
}

TEST_CASE("connections cost handshake work and a full table refuses more and costs capacity") {
  Spec spec = spec_of();
  spec.kinds[0].connections = 4;
  spec.kinds[0].handshake_ms = 2;
  spec.kinds[0].full_table_loss = 0.5;
  Rig rig(spec);
  Node& node = *rig.nodes[0];
  for (ConnectionId id = 1; id <= 4; ++id) CHECK(node.connect(0, id, rig.acts));
  CHECK_FALSE(node.connect(0, 5, rig.acts));
  node.advance(15.9, rig.acts); // four handshakes on a core at half speed
  CHECK(rig.acts.empty());
  node.advance(16.1, rig.acts);
  CHECK(rig.acts.size() == 4);
  CHECK(rig.took(node, 100) == doctest::Approx(20));
  for (int i = 0; i < 4; ++i) node.disconnect(1e7);
  CHECK(rig.took(node, 1e7) == doctest::Approx(10));
  CHECK(node.sample(2e7).new_connections == 4);
}

TEST_CASE("load reports have the configured delay and fields and noise") {
  Spec spec = spec_of();
  spec.kinds[0].report = {
      true, 100, 250, 0, {LoadReportField::Queue, LoadReportField::LatencyMs, LoadReportField::Inflight}};
  Rig rig(spec);
  Node& node = *rig.nodes[0];
  for (int i = 0; i < 5; ++i) node.arrive(1000, rig.attempt(1000), rig.acts);
  std::vector<float> report;
  node.report(1240, report);
  CHECK(report == std::vector<float>{0, 0, 0});
  node.report(1351, report);
  CHECK(report == std::vector<float>{4, 0, 5});
  node.advance(2500, rig.acts);
  node.report(2500, report);
  CHECK(report == std::vector<float>{3, 1000, 4});

  spec.kinds[0].report.noise = 0.2;
  Rig noisy(spec);
  for (int i = 0; i < 101; ++i) noisy.nodes[0]->arrive(0, noisy.attempt(1e9), noisy.acts);
  double sum = 0, squares = 0;
  for (int i = 0; i < 2000; ++i) {
    noisy.nodes[0]->report(1000 + 100.0 * i, report);
    sum += report[0], squares += report[0] * report[0];
  }
  const double mean = sum / 2000;
  CHECK(mean == doctest::Approx(100).epsilon(0.02));
  CHECK(std::sqrt(squares / 2000 - mean * mean) == doctest::Approx(20).epsilon(0.05));
}

TEST_CASE("cancelled work and expired work end as the node kind is configured") {
  const struct {
    OnCancel on_cancel;
    bool drops;
    Ending running, waiting, late;
  } cases[] = {{OnCancel::Keep, false, Ending::Hit, Ending::Hit, Ending::Hit},
               {OnCancel::DropWaiting, false, Ending::Hit, Ending::Dropped, Ending::Hit},
               {OnCancel::Stop, true, Ending::Dropped, Ending::Dropped, Ending::Overdue}};
  for (const auto& c : cases) {
    Spec spec = spec_of();
    spec.kinds[0].on_cancel = c.on_cancel;
    spec.kinds[0].drops_expired = c.drops;
    Rig rig(spec);
    Node& node = *rig.nodes[0];
    const Attempt first = rig.attempt(10), running = rig.attempt(10), waiting = rig.attempt(10);
    Attempt late = rig.attempt(10);
    late.deadline = 11;
    for (const Attempt& a : {running, waiting, first, late}) node.arrive(0, a, rig.acts);
    node.cancel(5, running.id, rig.acts);
    node.cancel(5, waiting.id, rig.acts);
    const auto ran = rig.end_of(node, running.id, 1000);
    CHECK(ran->ending == c.running);
    CHECK(ran->worked_ms == doctest::Approx(c.running == Ending::Dropped ? 5 : 10));
    CHECK_FALSE(ran->wanted);
    CHECK(rig.end_of(node, waiting.id, 1000)->ending == c.waiting);
    CHECK(rig.end_of(node, late.id, 1000)->ending == c.late);
    CHECK(rig.end_of(node, first.id, 1000)->wanted);
  }
}

TEST_CASE("a duplicate keyed write is dropped within the window and the group of its scope") {
  const struct {
    fernward::IdempotencyScope scope;
    double window, kind_window, after;
    std::size_t node; // receives the repeat; the first write goes to node 0
    Ending ending;
  } cases[] = {{fernward::IdempotencyScope::All, 1000, -1, 500, 3, Ending::Repeat},
               {fernward::IdempotencyScope::All, 1000, -1, 1500, 0, Ending::Written},
               {fernward::IdempotencyScope::All, 1000, 200, 500, 0,
                Ending::Written}, // the nodes' own window is shorter than the class's
               {fernward::IdempotencyScope::Zone, 1000, -1, 500, 1, Ending::Repeat},
               {fernward::IdempotencyScope::Zone, 1000, -1, 500, 3, Ending::Written},
               {fernward::IdempotencyScope::Cell, 1000, -1, 500, 1, Ending::Written},
               {fernward::IdempotencyScope::Cell, 1000, -1, 500, 0, Ending::Repeat}};
  for (const auto& c : cases) {
    Spec spec = spec_of();
    spec.zones.push_back({"there", 1});
    spec.nodes[0].count = 2;
    spec.nodes[0].cell_size = 1;
    spec.nodes.push_back({"m", 0, 1, 2});
    spec.kinds[0].repeat_window_ms = c.kind_window;
    spec.classes[0].write = true;
    spec.classes[0].repeat = fernward::Idempotency::WithKey;
    spec.classes[0].scope = c.scope;
    spec.classes[0].window_ms = c.window;
    Rig rig(spec);
    const Attempt first = rig.write(7), again = rig.write(7);
    rig.nodes[0]->arrive(0, first, rig.acts);
    CHECK(rig.end_of(*rig.nodes[0], first.id, 20)->ending == Ending::Written);
    rig.nodes[c.node]->arrive(c.after, again, rig.acts);
    CHECK(rig.end_of(*rig.nodes[c.node], again.id, c.after + 20)->ending == c.ending);
  }
  // A rejected write has not run: it may be repeated.
  Spec spec = spec_of(1, 1, 0);
  spec.classes[0].repeat = fernward::Idempotency::WithKey;
  Rig rig(spec);
  const Attempt busy = rig.attempt(10), refused = rig.write(9), again = rig.write(9);
  rig.nodes[0]->arrive(0, busy, rig.acts);
  rig.nodes[0]->arrive(1, refused, rig.acts);
  CHECK(rig.end_of(*rig.nodes[0], refused.id, 1)->ending == Ending::Full);
  rig.nodes[0]->arrive(20, again, rig.acts);
  CHECK(rig.end_of(*rig.nodes[0], again.id, 40)->ending == Ending::Written);
}

TEST_CASE("the origin has its capacity and write cost and can be slow or stalled or overloaded and recover") {
  Spec spec = spec_of();
  spec.origin.on = true;
  spec.origin.capacity_per_s = 20;
  spec.origin.time_ms = 100; // two attempts at once
  spec.origin.time_cv = 0;
  spec.origin.write_multiple = 3;
  spec.origin.queue_ms = 1000; // twenty attempts may be queued
  spec.origin.fall_multiple = 2;
  spec.origin.fall_ms = 1000;
  spec.origin.down_ms = 5000;
  Rig rig(spec);
  Origin& origin = *rig.origin;
  CHECK(rig.took(origin, 0) == doctest::Approx(100));
  const Attempt write = rig.write(1);
  origin.arrive(1e7, write, rig.acts);
  const auto written = rig.end_of(origin, write.id, 1e7 + 1000);
  CHECK(written->ending == Ending::Written);
  CHECK(written->at == doctest::Approx(1e7 + 300));
  origin.slow(2e7, 0.5, rig.acts);
  CHECK(rig.took(origin, 2e7) == doctest::Approx(200));
  origin.slow(3e7, 0, rig.acts);
  const Attempt stalled = rig.attempt(1);
  origin.arrive(3e7, stalled, rig.acts);
  CHECK_FALSE(rig.end_of(origin, stalled.id, 3e7 + 60000));
  origin.slow(3e7 + 60000, 1, rig.acts);
  CHECK(rig.end_of(origin, stalled.id, 3e7 + 60101));
  // 40 requests within a second are twice its capacity: it fails at the next one. It can hold 22.
  rig.acts.clear();
  int full = 0, lost = 0;
  for (int i = 0; i < 41; ++i) origin.arrive(4e7, rig.attempt(1), rig.acts);
  for (const Act& act : rig.acts) {
    full += act.what == Act::What::Answered && act.ending == Ending::Full ? 1 : 0;
    lost += act.what == Act::What::Answered && act.ending == Ending::Lost ? 1 : 0;
  }
  CHECK(full == 18);
  CHECK(lost == 23);
  CHECK(origin.phase() == Phase::Off);
  origin.advance(4e7 + 5001, rig.acts);
  CHECK(rig.took(origin, 4e7 + 6000) == doctest::Approx(100));
}

TEST_CASE("a cached copy is invalid after it expires or the object changes or a write") {
  Spec spec = spec_of();
  spec.origin.on = true;
  spec.origin.warm_hits = 0;
  spec.kinds[0].expire_ms = 1000;
  spec.keys.count = 1000;
  spec.keys.changes_per_s = 0.5;
  Rig rig(spec);
  Node& node = *rig.nodes[0];
  const auto hit = [&](std::uint64_t key, double now) {
    const Attempt a = rig.attempt(0.001, key);
    node.arrive(now, a, rig.acts);
    return rig.end_of(node, a.id, now + 0.1)->ending == Ending::Hit;
  };
  int held = 0, changed = 0;
  for (std::uint64_t key = 1; key <= 400; ++key) {
    const double now = 3000.0 * static_cast<double>(key);
    node.store(now, key);
    CHECK(hit(key, now + 1) == !rig.keys.changed(key, now, now + 1));
    (hit(key, now + 900) ? held : changed) += 1;
    CHECK_FALSE(hit(key, now + 1000));
    node.store(now + 1500, key);
    node.make_void(key);
    CHECK_FALSE(hit(key, now + 1500));
  }
  CHECK(changed == doctest::Approx(400 * 0.45).epsilon(0.15)); // half of the keys change in a second
}
