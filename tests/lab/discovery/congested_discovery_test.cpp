// Router processes that use one congested discovery server. No router may send to a node after it was
// notified that the node drains or is gone, or after the time by which it should have been notified. Guards
// against a router that misses updates while discovery is congested, down or moving.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "lab/check/rule_checker.h"
#include "lab/rig/rig.h"
#include "lab/scenario/read.h"
#include "model/plan.h"

using namespace fernward;

namespace {

constexpr double kSocketsSlackMs = 50;         // as in `fernward-lab run`
constexpr double kMinServedShare = 0.9;        // of all requests, as bounded by the scenario
constexpr std::size_t kMinDrainedMachines = 8; // by router; nine nodes drain in the scenario

// A checker that also counts the records, to show that the run exercised the rule.
class CountingChecker : public lab::RuleChecker {
 public:
  CountingChecker(const model::Spec& spec, const model::Plan& plan)
      : RuleChecker(spec, plan, kSocketsSlackMs),
        drained_machines_(plan.routers.size()),
        update_counts_(plan.routers.size()) {}

  using RuleChecker::on;
  void on(const model::EndpointNotified& notification) override {
    if (notification.state == ServerState::Draining)
      drained_machines_[notification.router].insert(notification.machine);
    if (!notification.cached && !notification.assumed) ++update_counts_[notification.router];
    RuleChecker::on(notification);
  }
  void on(const model::RequestEnded& record) override {
    ++closed_count_;
    if (record.outcome == model::TryOutcome::Served) ++served_count_;
    if (record.outcome == model::TryOutcome::Rejected) ++rejected_count_;
    RuleChecker::on(record);
  }
  void on(const model::RouterEvent& event) override {
    if (event.what == model::RouterEvent::What::Started) ++started_count_;
    RuleChecker::on(event);
  }

  // The smallest number of draining nodes that any router was notified of.
  std::size_t min_drained_machines() const {
    return std::min_element(drained_machines_.begin(), drained_machines_.end(),
                            [](const auto& a, const auto& b) { return a.size() < b.size(); })
        ->size();
  }
  std::size_t min_updates() const { return *std::min_element(update_counts_.begin(), update_counts_.end()); }
  std::size_t closed_count() const { return closed_count_; }
  std::size_t served_count() const { return served_count_; }
  std::size_t rejected_count() const { return rejected_count_; }
  std::size_t started_count() const { return started_count_; }

 private:
  std::vector<std::set<model::MachineId>> drained_machines_; // by router
  std::vector<std::size_t> update_counts_;                   // by router: notifications that were sent to it
  std::size_t closed_count_ = 0, served_count_ = 0, rejected_count_ = 0, started_count_ = 0;
};

lab::RigOptions options() {
  lab::RigOptions rig_options;
  rig_options.program = FERNWARD_PROGRAM;
  rig_options.max_late_p99_ms = rig_options.max_late_p999_ms = 1e9; // the test machine may be busy
  rig_options.enforce_memory_limit = false;                         // sanitizers use memory of their own
  return rig_options;
}

// Whether the machine had too little CPU time for the run: the lab sent requests or responses later than its
// own p99.9 limit for a valid run, or one in a hundred by more than the origin's service time. The p99 limit
// for a valid run is not used, as sanitizers alone reach it.
bool lacked_cpu_time(const lab::RunInfo& info, const model::Spec& spec) {
  const auto is_late = [&](const lab::LatenessQuantiles& lateness_ms) {
    return lateness_ms.p999 > lab::RigOptions{}.max_late_p999_ms ||
           lateness_ms.p99 > spec.origin.service_time_ms;
  };
  return is_late(info.send_lateness_ms) || is_late(info.response_lateness_ms);
}

} // namespace

TEST_CASE(
    "30 routers send nothing to drained nodes while discovery is congested and has an outage and moves") {
  const std::string path = std::string(FERNWARD_SOURCE_DIR) + "/scenarios/crowded-discovery.toml";
  const lab::Scenario scenario = lab::read_scenario_file(path, lab::socket_run_limits());
  REQUIRE(scenario.is_valid());
  const model::Plan plan = model::make_plan(scenario.spec);
  REQUIRE(plan.routers.size() == 30);

  CountingChecker observer(scenario.spec, plan);
  const lab::RunInfo info = lab::make_rig_driver(options())->run(scenario.spec, observer, {});
  CHECK(info.void_reasons.empty());
  const lab::CheckResult findings = observer.finish(true);
  const lab::RuleResult& drains = findings.rules[static_cast<std::size_t>(lab::Rule::NoTrafficAfterDrain)];
  for (const lab::RuleViolation& violation : drains.first_violations)
    MESSAGE(violation.at_ms << " ms: " << violation.description);
  CHECK(drains.violation_count == 0);

  // The run exercised the rule. Without enough CPU time responses come late, and congested routers reject
  // requests as they should: then rejected requests count as well, as they got their response.
  const bool lacked_time = lacked_cpu_time(info, scenario.spec);
  MESSAGE("lacked CPU time: " << lacked_time << ", p99 lateness of sends and responses in ms: "
                              << info.send_lateness_ms.p99 << ", " << info.response_lateness_ms.p99
                              << ", requests served, rejected, all: " << observer.served_count() << ", "
                              << observer.rejected_count() << ", " << observer.closed_count());
  const std::size_t answered_count = observer.served_count() + (lacked_time ? observer.rejected_count() : 0);
  CHECK(static_cast<double>(answered_count) >=
        kMinServedShare * static_cast<double>(observer.closed_count()));
  CHECK(observer.closed_count() > 10000);
  CHECK(observer.min_drained_machines() >= kMinDrainedMachines);
  CHECK(observer.min_updates() > 0);
  CHECK(observer.started_count() > plan.routers.size());
}
