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
  double request_count = 0, class_1_requests = 0, zone_1_requests = 0, over_quota_requests = 0,
         tenant_u_requests = 0, hot_key_reads = 0, reads_in_hot_period = 0, hint_error_sum = 0,
         hint_count = 0;
  std::map<std::uint32_t, double> tenant_requests;
  std::set<std::uint64_t> numbers;
  double requests_for_drifted_keys = 0;
  for (auto drawn = arrivals.next(); drawn; drawn = arrivals.next()) {
    request_count += 1, class_1_requests += drawn->cls, zone_1_requests += drawn->zone,
        ++tenant_requests[drawn->tenant];
    tenant_u_requests += drawn->tenant == 1 ? 1 : 0;
    over_quota_requests += drawn->over_quota ? 1 : 0;
    CHECK((drawn->tenant == 1 || !drawn->over_quota));
    const double full_weight = (drawn->cls == 0 ? 3 : 1) * drawn->work_ms;
    CHECK(drawn->priority_weight == doctest::Approx(drawn->over_quota ? 0.05 * full_weight : full_weight));
    if (drawn->cls == 1)
      CHECK(drawn->latency_objective_ms == doctest::Approx(std::min(1500.0, 500 + 2 * drawn->work_ms)));
    if (drawn->cls == 0)
      hint_count += 1, hint_error_sum += std::abs(std::log(drawn->hint_ms / drawn->work_ms));
    if (!drawn->write && drawn->at >= 50000 && drawn->at < 80000) {
      reads_in_hot_period += 1;
      hot_key_reads += drawn->key == plan.hot_key_periods[0].key ? 1 : 0;
    } else {
      CHECK(drawn->key != plan.hot_key_periods[0].key);
      if (drawn->at > 90000) requests_for_drifted_keys += drawn->key > 1u << 24 ? 1 : 0;
    }
    CHECK(drawn->request == static_cast<RequestNumber>(request_count));
  }
  CHECK(request_count == doctest::Approx(50000).epsilon(0.02));
  CHECK(class_1_requests / request_count == doctest::Approx(0.1).epsilon(0.05));
  CHECK(zone_1_requests / request_count == doctest::Approx(0.75).epsilon(0.02));
  CHECK(tenant_requests[0] / request_count == doctest::Approx(3.0 / 7).epsilon(0.03));
  CHECK((tenant_u_requests - over_quota_requests) / 100 == doctest::Approx(50).epsilon(0.02));
  CHECK(hot_key_reads / reads_in_hot_period == doctest::Approx(0.25).epsilon(0.05));
  CHECK(requests_for_drifted_keys / 5000 ==
        doctest::Approx(0.95).epsilon(0.06)); // nearly every rank is reassigned in 95 s
  // The mean absolute value of a normal distribution with deviation 0.198 is 0.158.
  CHECK(hint_error_sum / hint_count == doctest::Approx(0.158).epsilon(0.1));
}

TEST_CASE("clients retry as their class and settings and Retry-After allow") {
  const struct {
    fernward::Idempotency idempotency;
    TryOutcome first_outcome;
    double ends_at_ms, retry_after_ms, heed_share;
    double min_wait_ms, max_wait_ms; // from the end of the first try to the start of the second; 0: no retry
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
  for (const auto& test_case : cases) {
    Spec spec = plain_spec({DistributionShape::Fixed, 10, 0});
    spec.classes[0].idempotency = test_case.idempotency;
    spec.classes[0].idempotency_window_ms = 900;
    spec.classes[0].client_timeout_ms = 1500;
    spec.clients.heed_retry_after_share = test_case.heed_share;
    spec.clients.mean_max_retries = 1;
    spec.clients.backoff_ms = 100;
    spec.routers.max_retry_after_ms = 700;
    Clients clients(spec);
    ClientActions actions;
    DrawnRequest drawn;
    drawn.request = 5;
    drawn.client_timeout_ms = 1500;
    clients.open(0, drawn, actions);
    const auto first = std::get<TryStart>(actions.at(0).what);
    CHECK(first.deadline >= 0.8 * 1500);
    actions.clear();
    CHECK(clients.on_try_ended(test_case.ends_at_ms, first.try_id, test_case.first_outcome,
                               test_case.retry_after_ms, actions));
    clients.advance(test_case.ends_at_ms + 1200, actions);
    if (test_case.max_wait_ms == 0) {
      REQUIRE(actions.size() == 1);
      CHECK(std::get<RequestEnded>(actions[0].what).outcome == test_case.first_outcome);
    } else {
      const auto second = std::get<TryStart>(actions.at(0).what);
      CHECK(second.scheduled_at - test_case.ends_at_ms >= test_case.min_wait_ms);
      CHECK(second.scheduled_at - test_case.ends_at_ms <= test_case.max_wait_ms);
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
  ClientActions actions;
  DrawnRequest drawn;
  drawn.client_timeout_ms = 1500;
  drawn.latency_objective_ms = 700;
  drawn.late_value_share = 0.25;
  drawn.priority_weight = 8;
  const struct { double at, earned; } cases[] = {{700, 8}, {701, 2}};
  for (const auto& test_case : cases) {
    ++drawn.request;
    actions.clear();
    clients.open(0, drawn, actions); // intended for 0, regardless of when it is sent
    const TryId id = std::get<TryStart>(actions.at(0).what).try_id;
    actions.clear();
    clients.on_try_ended(test_case.at, id, TryOutcome::Served, 0, actions);
    CHECK(std::get<RequestEnded>(actions.at(0).what).earned_weight == test_case.earned);
    CHECK(std::get<RequestEnded>(actions.at(0).what).latency_ms == test_case.at);
  }
  ++drawn.request;
  actions.clear();
  clients.open(0, drawn, actions);
  clients.advance(1500, actions);
  CHECK(std::get<TryCancelled>(actions.at(1).what).outcome == TryOutcome::Abandoned);
  CHECK(std::get<RequestEnded>(actions.at(2).what).outcome == TryOutcome::Abandoned);
}
