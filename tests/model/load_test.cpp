// The requests that are drawn, and the clients' tries, retries and earned weights.
#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <set>

#include "model/arrivals.h"
#include "model/clients.h"
#include "support.h"

using namespace fernward::model;
using namespace fernward::model::test;

TEST_CASE("drawn requests have the configured shares and a low weight above the quota") {
  Spec spec = plain_spec({Shape::Exponential, 80, 0});
  spec.duration_ms = 100000;
  spec.load.rate_per_s = 500;
  spec.zones = {{"a", 1}, {"b", 3}};
  spec.classes.push_back(spec.classes[0]);
  spec.classes[0].share = 0.9;
  spec.classes[0].worth = 3;
  spec.classes[1].share = 0.1;
  spec.classes[1].write = true;
  spec.classes[1].aim_ms = 500;
  spec.classes[1].aim_stretch = 2;
  spec.tenants = {{"t", 0.6, 0.5, 0}, {"u", 0.3, 1, 50}, {"v", 0.1, 1, 0}}; // usage 0.3, 0.3, 0.1
  spec.keys.count = 1000;
  spec.keys.drift_per_s = 0.01;
  spec.classes[0].hint_error = 0.2;
  spec.events = {{50000, "", HotKey{0.25, 80000}}};
  const Plan plan = make_plan(spec);
  Keys keys(spec);
  Arrivals arrivals(spec, plan, keys);
  double all = 0, cls1 = 0, zone1 = 0, over = 0, of_u = 0, hot = 0, hot_reads = 0, hint_off = 0, hints = 0;
  std::map<std::uint32_t, double> tenants;
  std::set<std::uint64_t> numbers;
  double drifted = 0;
  for (auto d = arrivals.next(); d; d = arrivals.next()) {
    all += 1, cls1 += d->cls, zone1 += d->zone, ++tenants[d->tenant];
    of_u += d->tenant == 1 ? 1 : 0;
    over += d->over_share ? 1 : 0;
    CHECK((d->tenant == 1 || !d->over_share));
    const double usual = (d->cls == 0 ? 3 : 1) * d->work_ms;
    CHECK(d->worth == doctest::Approx(d->over_share ? 0.05 * usual : usual));
    if (d->cls == 1) CHECK(d->aim_ms == doctest::Approx(std::min(1500.0, 500 + 2 * d->work_ms)));
    if (d->cls == 0) hints += 1, hint_off += std::abs(std::log(d->hint_ms / d->work_ms));
    if (!d->write && d->at >= 50000 && d->at < 80000) {
      hot_reads += 1;
      hot += d->key == plan.hot[0].key ? 1 : 0;
    } else {
      CHECK(d->key != plan.hot[0].key);
      if (d->at > 90000) drifted += d->key > 1u << 24 ? 1 : 0;
    }
    CHECK(d->request == static_cast<RequestNumber>(all));
  }
  CHECK(all == doctest::Approx(50000).epsilon(0.02));
  CHECK(cls1 / all == doctest::Approx(0.1).epsilon(0.05));
  CHECK(zone1 / all == doctest::Approx(0.75).epsilon(0.02));
  CHECK(tenants[0] / all == doctest::Approx(3.0 / 7).epsilon(0.03));
  CHECK((of_u - over) / 100 == doctest::Approx(50).epsilon(0.02));
  CHECK(hot / hot_reads == doctest::Approx(0.25).epsilon(0.05));
  CHECK(drifted / 5000 == doctest::Approx(0.95).epsilon(0.06)); // nearly every rank is reassigned in 95 s
  // The mean absolute value of a normal distribution with deviation 0.198 is 0.158.
  CHECK(hint_off / hints == doctest::Approx(0.158).epsilon(0.1));
}

TEST_CASE("clients retry as their class and settings and Retry-After allow") {
  const struct {
    fernward::Idempotency repeat;
    Heard heard;
    double after, retry_after, heed;
    double least, most; // time from the end of the first try to the start of the next one; 0: no retry
  } cases[] = {
      {fernward::Idempotency::Idempotent, Heard::Failed, 100, 0, 1, 50, 150},
      {fernward::Idempotency::Idempotent, Heard::Refused, 100, 400, 1, 400, 400},
      {fernward::Idempotency::Idempotent, Heard::Refused, 100, 400, 0, 50, 150},
      {fernward::Idempotency::Idempotent, Heard::Refused, 100, 4000, 1, 700,
       700}, // the maximum that clients wait for Retry-After
      {fernward::Idempotency::Idempotent, Heard::Served, 100, 0, 1, 0, 0},
      {fernward::Idempotency::Idempotent, Heard::Refused, 1460, 0, 1, 0, 0}, // the retry would start too late
      {fernward::Idempotency::WithKey, Heard::Broken, 100, 0, 1, 50, 150},
      {fernward::Idempotency::WithKey, Heard::Broken, 860, 0, 1, 0, 0}, // the idempotency window has ended
      {fernward::Idempotency::WithKey, Heard::Refused, 800, 0, 1, 50, 150},
      {fernward::Idempotency::NonIdempotent, Heard::Broken, 100, 0, 1, 0, 0},
      {fernward::Idempotency::NonIdempotent, Heard::Unreachable, 100, 0, 1, 50, 150},
  };
  for (const auto& c : cases) {
    Spec spec = plain_spec({Shape::Fixed, 10, 0});
    spec.classes[0].repeat = c.repeat;
    spec.classes[0].window_ms = 900;
    spec.classes[0].give_up_ms = 1500;
    spec.clients.heed = c.heed;
    spec.clients.retries = 1;
    spec.clients.backoff_ms = 100;
    spec.routers.max_retry_after_ms = 700;
    Clients clients(spec);
    ClientActs acts;
    Drawn drawn;
    drawn.request = 5;
    drawn.give_up_ms = 1500;
    clients.open(0, drawn, acts);
    const auto first = std::get<TryStart>(acts.at(0).what);
    CHECK(first.deadline >= 0.8 * 1500);
    acts.clear();
    CHECK(clients.heard(c.after, first.try_id, c.heard, c.retry_after, acts));
    clients.advance(c.after + 1200, acts);
    if (c.most == 0) {
      REQUIRE(acts.size() == 1);
      CHECK(std::get<Closed>(acts[0].what).end == c.heard);
    } else {
      const auto second = std::get<TryStart>(acts.at(0).what);
      CHECK(second.due - c.after >= c.least);
      CHECK(second.due - c.after <= c.most);
      CHECK(second.number == 1);
      CHECK(second.try_id != first.try_id);
      CHECK(second.repeat_key == first.repeat_key);
      CHECK(second.deadline <= 1500);
    }
  }
}

TEST_CASE("a response earns weight by its time from the intended send and abandoning ends a request") {
  Spec spec = plain_spec({Shape::Fixed, 10, 0});
  spec.clients.leave_share = 1;
  Clients clients(spec);
  ClientActs acts;
  Drawn drawn;
  drawn.give_up_ms = 1500;
  drawn.aim_ms = 700;
  drawn.late_share = 0.25;
  drawn.worth = 8;
  const struct { double at, earned; } cases[] = {{700, 8}, {701, 2}};
  for (const auto& c : cases) {
    ++drawn.request;
    acts.clear();
    clients.open(0, drawn, acts); // intended for 0, regardless of when it is sent
    const TryId id = std::get<TryStart>(acts.at(0).what).try_id;
    acts.clear();
    clients.heard(c.at, id, Heard::Served, 0, acts);
    CHECK(std::get<Closed>(acts.at(0).what).earned == c.earned);
    CHECK(std::get<Closed>(acts.at(0).what).latency_ms == c.at);
  }
  ++drawn.request;
  acts.clear();
  clients.open(0, drawn, acts);
  clients.advance(1500, acts);
  CHECK(std::get<TryOver>(acts.at(1).what).heard == Heard::Left);
  CHECK(std::get<Closed>(acts.at(2).what).end == Heard::Left);
}
