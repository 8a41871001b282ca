// Each oracle on evidence written by hand: runs beyond its bound, and similar runs that are within it.
#include <doctest/doctest.h>

#include <cmath>

#include "lab/storm/draw.h"
#include "lab/storm/oracles.h"

using namespace fernward;
using namespace fernward::lab;
using storm::Observations;
using storm::ServiceCounts;
using storm::Verdict;

namespace {

// Two zones, two classes, 8 nodes, 3 routers, 100 requests per second for 50 s. The origin stalls from 5 s to
// 8 s.
model::Spec base_spec() {
  model::Spec spec;
  spec.name = "hand";
  spec.duration_ms = 50000;
  spec.zones = {{"east", 1}, {"west", 1}};
  model::NodeKind kind;
  kind.name = "plain";
  spec.kinds = {kind};
  model::NodeGroup east, west;
  east.name = "east";
  east.count = 4;
  west.name = "west";
  west.count = 4;
  west.zone = 1;
  spec.nodes = {east, west};
  spec.routers.groups = {{0, 2}, {1, 1}};
  model::ClassSpec read, write;
  read.name = "read";
  read.work.mean = 50;
  write.name = "write";
  write.work.mean = 50;
  write.write = true;
  write.share = 0.1;
  spec.classes = {read, write};
  spec.load.rate_per_s = 100;
  spec.events = {{5000, "", model::OriginStall{8000}}};
  return spec;
}

struct OracleFixture {
  explicit OracleFixture(model::Spec initial_spec = base_spec())
      : spec(std::move(initial_spec)), plan(model::make_plan(spec)) {
    fault_free_run = normal_observations();
    observed = normal_observations();
  }
  // 50 requests in each step, all served: 24 of them in the west zone, 4 of them writes.
  Observations normal_observations() const {
    Observations observations;
    const auto steps = static_cast<std::size_t>(spec.duration_ms / storm::kStepMs) + 1;
    const auto series = [&](double requests_per_step) {
      return storm::ServiceSeries(steps, ServiceCounts{requests_per_step, requests_per_step,
                                                       static_cast<std::uint32_t>(requests_per_step),
                                                       static_cast<std::uint32_t>(requests_per_step)});
    };
    observations.overall = series(50);
    observations.groups = {{storm::RequestGroup::By::Zone, 0, series(26)},
                           {storm::RequestGroup::By::Zone, 1, series(24)},
                           {storm::RequestGroup::By::Class, 0, series(46)},
                           {storm::RequestGroup::By::Class, 1, series(4)}};
    observations.work.requests = observations.work.accepted_tries = 4000;
    observations.work.cache_attempts = 4000;
    observations.work.origin_attempts = 800;
    observations.work.writes = 300;
    observations.work.new_connections = 200;
    return observations;
  }
  // Reduces the share of requests served from `from_ms` to `to_ms` for the group with this index (-1: for
  // all requests).
  OracleFixture& set_served_share(int group, double from_ms, double to_ms, double share) {
    const auto first = static_cast<std::size_t>(from_ms / storm::kStepMs),
               last = static_cast<std::size_t>(to_ms / storm::kStepMs);
    for (std::size_t i = first; i < last && i < observed.overall.size(); ++i) {
      ServiceCounts& counts =
          group < 0 ? observed.overall[i] : observed.groups[static_cast<std::size_t>(group)].series[i];
      const double unserved = counts.offered_weight * (1 - share);
      counts.served_weight -= unserved;
      counts.served -= static_cast<std::uint32_t>(std::lround(unserved));
      if (group < 0) continue;
      observed.overall[i].served_weight -= unserved;
      observed.overall[i].served -= static_cast<std::uint32_t>(std::lround(unserved));
    }
    return *this;
  }
  Verdict judge(const char* name) {
    storm::Evidence evidence{spec, plan, findings, observed, fault_free_run, four_router_run};
    return storm::find_oracle(name)->judge(evidence);
  }

  model::Spec spec;
  model::Plan plan;
  CheckResult findings;
  Observations observed;
  std::optional<Observations> fault_free_run, four_router_run;
};

} // namespace

TEST_CASE("every oracle has a unique name and a requirement and a reason and accepts a run without losses") {
  OracleFixture fixture;
  fixture.four_router_run = fixture.normal_observations();
  for (const storm::Oracle& o : storm::oracles()) {
    CHECK(storm::find_oracle(o.name) == &o);
    CHECK(std::string(o.requirement).size() > 10);
    CHECK(std::string(o.confidence_reason).size() > 10);
    const Verdict verdict = fixture.judge(o.name);
    INFO(o.name, ": ", verdict.description);
    const bool needs_sharing = std::string(o.name) == "parts" || std::string(o.name) == "living";
    CHECK(verdict.judged == !needs_sharing);
    CHECK(verdict.distance < 1);
  }
  CHECK(storm::find_oracle("luck") == nullptr);
}

TEST_CASE("a violated rule breaks only its oracle and the distance grows with the violations") {
  OracleFixture fixture;
  auto& rule = fixture.findings.rules[static_cast<std::size_t>(Rule::NoTrafficAfterDrain)];
  rule.violation_count = 1;
  rule.first_violations = {{1234, "r0 sent an attempt"}};
  const Verdict once = fixture.judge("drains");
  CHECK(once.broken());
  CHECK(once.description.find("r0 sent an attempt") != std::string::npos);
  rule.violation_count = 8;
  CHECK(fixture.judge("drains").distance > once.distance);
  CHECK_FALSE(fixture.judge("repeats").broken());
  rule.enabled = false;
  CHECK_FALSE(fixture.judge("drains").judged);
}

TEST_CASE("service that does not recover is metastable unlike recovery in time or random loss") {
  const double recovery_due_ms = 8000 + storm::settle_ms(base_spec());
  REQUIRE(recovery_due_ms + 8000 < 50000);
  CHECK(OracleFixture().set_served_share(-1, recovery_due_ms, 50000, 0.6).judge("metastable").broken());
  // A later relapse counts too.
  CHECK(OracleFixture().set_served_share(-1, 40000, 48000, 0.5).judge("metastable").broken());
  CHECK_FALSE(
      OracleFixture().set_served_share(-1, 5000, recovery_due_ms - 500, 0).judge("metastable").broken());
  // A loss of 4% in each window of 600 requests is within random variation.
  CHECK_FALSE(
      OracleFixture().set_served_share(-1, recovery_due_ms, 50000, 0.96).judge("metastable").broken());
  OracleFixture without_reference;
  without_reference.fault_free_run.reset();
  CHECK_FALSE(without_reference.judge("metastable").judged);
}

TEST_CASE("metastable is not judged where even an ideal fleet would lose requests") {
  SUBCASE("nodes without enough capacity for the load") {
    model::Spec s = base_spec();
    s.events.push_back({6000, "", model::KillNodes{{{0, 1, 2, 3, 4, 5, 6}, {}, {}, {}, {}, 1, false}}});
    OracleFixture fixture(s);
    CHECK(storm::utilization_after_faults(fixture.spec, fixture.plan) == doctest::Approx(100 * 0.05 / 4));
    CHECK_FALSE(fixture.set_served_share(-1, 30000, 50000, 0.5).judge("metastable").judged);
  }
  SUBCASE("an origin without enough capacity to refill emptied caches") {
    model::Spec s = base_spec();
    s.events = {{6000, "", model::RestartNodes{{}, 1000}}};
    s.origin.capacity_per_s = 30;
    OracleFixture fixture(s);
    CHECK(storm::lost_contents_share(fixture.plan) == 1);
    CHECK_FALSE(fixture.set_served_share(-1, 36000, 50000, 0.5).judge("metastable").judged);
  }
}

TEST_CASE("caches refill more slowly the more was lost and the less spare capacity the origin has") {
  model::Spec s = base_spec();
  CHECK(storm::refill_ms(s, 0, 10) == 0);
  const double refill_half_ms = storm::refill_ms(s, 0.5, 10), refill_all_ms = storm::refill_ms(s, 1, 10);
  CHECK(refill_half_ms < refill_all_ms);
  CHECK(refill_all_ms < storm::refill_ms(s, 1, 40));
  CHECK(std::isinf(storm::refill_ms(s, 1, 80)));
  // During a resize, fetches are limited to a multiple of the steady rate, which delays the refill.
  s.routers.resize.transition_ms = 5000;
  CHECK(storm::refill_ms(s, 1, 10) > refill_all_ms);
}

TEST_CASE("many routers that serve less than four routers would break adds-up") {
  OracleFixture fixture;
  fixture.four_router_run = fixture.normal_observations();
  CHECK_FALSE(fixture.set_served_share(-1, 10000, 12000, 0.8).judge("adds-up").broken());
  CHECK(fixture.set_served_share(-1, 10000, 25000, 0.5).judge("adds-up").broken());
  fixture.four_router_run = fixture.observed;
  CHECK_FALSE(fixture.judge("adds-up").broken());
  fixture.four_router_run.reset();
  CHECK_FALSE(fixture.judge("adds-up").judged);
}

TEST_CASE(
    "a zone or class without service while others are served breaks starves unlike a lost zone or a full "
    "outage") {
  CHECK(OracleFixture().set_served_share(1, 20000, 26000, 0).judge("starves").broken());
  CHECK_FALSE(OracleFixture().set_served_share(1, 20000, 22000, 0).judge("starves").broken()); // too short
  CHECK_FALSE(OracleFixture().set_served_share(1, 20000, 26000, 0.3).judge("starves").broken());
  CHECK_FALSE(OracleFixture()
                  .set_served_share(0, 20000, 26000, 0)
                  .set_served_share(1, 20000, 26000, 0)
                  .judge("starves")
                  .broken());
  // Writes fail together with the origin.
  CHECK_FALSE(OracleFixture().set_served_share(3, 5000, 11000, 0).judge("starves").broken());
  model::Spec s = base_spec();
  s.events = {{20000, "", model::ZoneOutage{1, 26000, false}}};
  CHECK_FALSE(OracleFixture(s).set_served_share(1, 20000, 26000, 0).judge("starves").broken());
  // The class with the lowest priority weight may be rejected first if capacity is short for the others
  // too, and only then.
  CHECK(OracleFixture()
            .set_served_share(2, 40000, 46000, 0)
            .set_served_share(3, 40000, 46000, 0.5)
            .judge("starves")
            .broken());
  s.events.clear();
  s.classes[1].priority_weight = 3;
  CHECK_FALSE(OracleFixture(s)
                  .set_served_share(2, 40000, 46000, 0)
                  .set_served_share(3, 40000, 46000, 0.5)
                  .judge("starves")
                  .broken());
  CHECK(OracleFixture(s).set_served_share(2, 40000, 46000, 0).judge("starves").broken());
}

TEST_CASE(
    "shared parts above the limits and a lasting wrong count of living routers are found except while a "
    "router sends false facts") {
  model::Spec s = base_spec();
  s.routers.sharing.enabled = true;
  const auto sample = [](double at, double shared_parts, double min_living) {
    return storm::SharedState{at, 3, 3, min_living, 3, 30, shared_parts, true};
  };
  OracleFixture fixture(s);
  fixture.observed.shared_states = {sample(20000, 30, 3), sample(40000, 40, 2)};
  fixture.observed.shared_states.push_back(sample(40500, 30, 3));
  fixture.observed.shared_states.back().limit_sum = 10; // the limit was reduced just now
  CHECK_FALSE(fixture.judge("parts").broken());
  CHECK_FALSE(fixture.judge("living").broken());
  fixture.observed.shared_states.push_back(sample(41000, 50, 1));
  CHECK(fixture.judge("parts").broken());
  CHECK(fixture.judge("living").broken());
  fixture.observed.shared_states.back().at = 20000; // this early the count may still be wrong
  CHECK_FALSE(fixture.judge("living").broken());
  s.events.push_back({19000, "", model::InconsistentRouter{}});
  std::get<model::InconsistentRouter>(s.events.back().what).until_ms = 19500;
  OracleFixture inconsistent_fixture(s);
  inconsistent_fixture.observed.shared_states = {sample(20000, 90, 1)};
  CHECK_FALSE(inconsistent_fixture.judge("parts").broken());
}

TEST_CASE("attempts and connections beyond their bounds are found") {
  OracleFixture fixture;
  fixture.observed.work.cache_attempts = 2 * 4000;
  CHECK_FALSE(fixture.judge("attempts").broken());
  fixture.observed.work.cache_attempts = 3 * 4000;
  CHECK(fixture.judge("attempts").broken());
  fixture.observed.work.new_connections = 4500;
  CHECK(fixture.judge("connections").broken());
  fixture.observed.work.accepted_tries = 100;
  CHECK_FALSE(fixture.judge("connections").judged);
}

TEST_CASE(
    "a router that still uses an endpoint all others removed is found unless it could not be notified") {
  const auto sole_router_attempts = [](const std::vector<model::TimedEvent>& events, double sent_at,
                                       bool notify_last_router) {
    model::Spec s = base_spec();
    s.events = events;
    const model::Plan plan = model::make_plan(s);
    storm::StormWatch watch(s, plan, 4000);
    for (model::RouterId r = 0; r < 3; ++r) {
      watch.on(model::RouterEvent{0, r, model::RouterEvent::What::Started});
      watch.on(model::EndpointNotified{0, r, 2, ServerState::Ready, -1, false, false});
    }
    for (model::RouterId r = 0; r < (notify_last_router ? 3 : 2); ++r) {
      watch.on(model::EndpointNotified{10000, r, 2, ServerState::Gone, -1, false, false});
    }
    model::AttemptArrived arrived;
    arrived.at = arrived.sent_at = sent_at;
    arrived.machine = 2;
    arrived.router = 2;
    watch.on(arrived);
    return watch.take().sole_router_attempts;
  };
  CHECK(sole_router_attempts({}, 15000, false) == 1);
  CHECK(sole_router_attempts({}, 12000, false) == 0); // the update may still be under way
  CHECK(sole_router_attempts({}, 15000, true) == 0);  // it was notified too: the rule on drains judges this
  CHECK(sole_router_attempts({{9000, "", model::DiscoveryOutage{14000}}}, 15000, false) == 0);
  CHECK(sole_router_attempts({{9000, "", model::DiscoveryMove{0, 2000}}}, 15000, false) == 0);
}
