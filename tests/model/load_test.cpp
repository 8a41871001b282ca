// The requests that are drawn, and the clients' tries, retries and earned weights.
#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <set>

#include "model/arrival_generator.h"
#include "model/clients.h"
#include "support.h"

using namespace fernward::model;
using namespace fernward::model::test;

TEST_CASE("drawn requests have the configured shares and a low weight above the quota") {
  Spec spec = plain_spec({DistributionShape::Exponential, 80, 0});
  spec.duration_ms = 100000;
  spec.load.rate_per_s = 500;
  spec.zones = {{"a", 1}, {"b", 3}};
  spec.classes.push_back(spec.classes[0]);
  spec.classes[0].share = 0.9;
  spec.classes[0].priority_weight = 3;
  spec.classes[1].share = 0.1;
  spec.classes[1].write = true;
  spec.classes[1].latency_objective_ms = 500;
  spec.classes[1].objective_per_work = 2;
  spec.tenants = {{"t", 0.6, 0.5, 0}, {"u", 0.3, 1, 50}, {"v", 0.1, 1, 0}}; // usage 0.3, 0.3, 0.1
  spec.keys.count = 1000;
  spec.keys.drift_per_s = 0.01;
  spec.classes[0].hint_error = 0.2;
  spec.events = {{50000, "", HotKey{0.25, 80000}}};
  const Plan plan = make_plan(spec);
  KeySpace keys(spec);
  ArrivalGenerator arrivals(spec, plan, keys);
  double all = 0, cls1 = 0, zone1 = 0, over_quota = 0, tenant_u_requests = 0, hot = 0, hot_reads = 0,
         hint_error_sum = 0, hints = 0;
  std::map<std::uint32_t, double> tenants;
  std::set<std::uint64_t> numbers;
  double drifted = 0;
  for (auto d = arrivals.next(); d; d = arrivals.next()) {
    all += 1, cls1 += d->cls, zone1 += d->zone, ++tenants[d->tenant];
    tenant_u_requests += d->tenant == 1 ? 1 : 0;
    over_quota += d->over_quota ? 1 : 0;
    CHECK((d->tenant == 1 || !d->over_quota));
    const double usual = (d->cls == 0 ? 3 : 1) * d->work_ms;
    CHECK(d->priority_weight == doctest::Approx(d->over_quota ? 0.05 * usual : usual));
    if (d->cls == 1)
      CHECK(d->latency_objective_ms == doctest::Approx(std::min(1500.0, 500 + 2 * d->work_ms)));
    if (d->cls == 0) hints += 1, hint_error_sum += std::abs(std::log(d->hint_ms / d->work_ms));
    if (!d->write && d->at >= 50000 && d->at < 80000) {
      hot_reads += 1;
      hot += d->key == plan.hot_key_periods[0].key ? 1 : 0;
    } else {
      CHECK(d->key != plan.hot_key_periods[0].key);
      if (d->at > 90000) drifted += d->key > 1u << 24 ? 1 : 0;
    }
    CHECK(d->request == static_cast<RequestNumber>(all));
  }
  CHECK(all == doctest::Approx(50000).epsilon(0.02));
  CHECK(cls1 / all == doctest::Approx(0.1).epsilon(0.05));
  CHECK(zone1 / all == doctest::Approx(0.75).epsilon(0.02));
  CHECK(tenants[0] / all == doctest::Approx(3.0 / 7).epsilon(0.03));
  CHECK((tenant_u_requests - over_quota) / 100 == doctest::Approx(50).epsilon(0.02));
  CHECK(hot / hot_reads == doctest::Approx(0.25).epsilon(0.05));
  CHECK(drifted / 5000 == doctest::Approx(0.95).epsilon(0.06)); // nearly every rank is reassigned in 95 s
  // The mean absolute value of a normal distribution with deviation 0.198 is 0.158.
  CHECK(hint_error_sum / hints == doctest::Approx(0.158).epsilon(0.1));
}

TEST_CASE("clients retry as their class and settings and Retry-After allow") {
  const struct {
    fernward::Idempotency repeat;
    TryOutcome heard;
    double after, retry_after, heed;
    double least, most; // time from the end of the first try to the start of the next one; 0: no retry
  } cases[] = {
      {fernward::Idempotency::Idempotent, TryOutcome::Failed, 100, 0, 1, 50, 150},
      {fernward::Idempotency::Idempotent, TryOutcome::Rejected, 100, 400, 1, 400, 400},
      {fernward::Idempotency::Idempotent, TryOutcome::Rejected, 100, 400, 0, 50, 150},
      {fernward::Idempotency::Idempotent, TryOutcome::Rejected, 100, 4000, 1, 700,
       700}, // the maximum that clients wait for Retry-After
      {fernward::Idempotency::Idempotent, TryOutcome::Served, 100, 0, 1, 0, 0},
      {fernward::Idempotency::Idempotent, TryOutcome::Rejected, 1460, 0, 1, 0,
       0}, // the retry would start too late
      {fernward::Idempotency::WithKey, TryOutcome::ConnectionLost, 100, 0, 1, 50, 150},
      {fernward::Idempotency::WithKey, TryOutcome::ConnectionLost, 860, 0, 1, 0,
       0}, // the idempotency window has ended
      {fernward::Idempotency::WithKey, TryOutcome::Rejected, 800, 0, 1, 50, 150},
      {fernward::Idempotency::NonIdempotent, TryOutcome::ConnectionLost, 100, 0, 1, 0, 0},
      {fernward::Idempotency::NonIdempotent, TryOutcome::Unreachable, 100, 0, 1, 50, 150},
  };
  for (const auto& c : cases) {
    Spec spec = plain_spec({DistributionShape::Fixed, 10, 0});
    spec.classes[0].idempotency = c.repeat;
    spec.classes[0].idempotency_window_ms = 900;
    spec.classes[0].client_timeout_ms = 1500;
    spec.clients.heed_retry_after_share = c.heed;
    spec.clients.mean_max_retries = 1;
    spec.clients.backoff_ms = 100;
    spec.routers.max_retry_after_ms = 700;
    Clients clients(spec);
    ClientActions acts;
    DrawnRequest drawn;
    drawn.request = 5;
    drawn.client_timeout_ms = 1500;
    clients.open(0, drawn, acts);
    const auto first = std::get<TryStart>(acts.at(0).what);
    CHECK(first.deadline >= 0.8 * 1500);
    acts.clear();
    CHECK(clients.on_try_ended(c.after, first.try_id, c.heard, c.retry_after, acts));
    clients.advance(c.after + 1200, acts);
    if (c.most == 0) {
      REQUIRE(acts.size() == 1);
      CHECK(std::get<RequestEnded>(acts[0].what).outcome == c.heard);
    } else {
      const auto second = std::get<TryStart>(acts.at(0).what);
      CHECK(second.scheduled_at - c.after >= c.least);
      CHECK(second.scheduled_at - c.after <= c.most);
      CHECK(second.number == 1);
      CHECK(second.try_id != first.try_id);
      CHECK(second.idempotency_key == first.idempotency_key);
      CHECK(second.deadline <= 1500);
    }
  }
}

TEST_CASE("a response earns weight by its time from the intended send and abandoning ends a request") {
  Spec spec = plain_spec({DistributionShape::Fixed, 10, 0});
  spec.clients.abandon_share = 1;
  Clients clients(spec);
  ClientActions acts;
  DrawnRequest drawn;
  drawn.client_timeout_ms = 1500;
  drawn.latency_objective_ms = 700;
  drawn.late_value_share = 0.25;
  drawn.priority_weight = 8;
  const struct { double at, earned; } cases[] = {{700, 8}, {701, 2}};
  for (const auto& c : cases) {
    ++drawn.request;
    acts.clear();
    clients.open(0, drawn, acts); // intended for 0, regardless of when it is sent
    const TryId id = std::get<TryStart>(acts.at(0).what).try_id;
    acts.clear();
    clients.on_try_ended(c.at, id, TryOutcome::Served, 0, acts);
    CHECK(std::get<RequestEnded>(acts.at(0).what).earned_weight == c.earned);
    CHECK(std::get<RequestEnded>(acts.at(0).what).latency_ms == c.at);
  }
  ++drawn.request;
  acts.clear();
  clients.open(0, drawn, acts);
  clients.advance(1500, acts);
  CHECK(std::get<TryCancelled>(acts.at(1).what).outcome == TryOutcome::Abandoned);
  CHECK(std::get<RequestEnded>(acts.at(2).what).outcome == TryOutcome::Abandoned);
}
