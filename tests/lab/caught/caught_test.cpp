// Routers on sockets that break one rule on purpose. Guards against a check of the lab that misses its fault,
// or that reports a correct router. Asserts which rules were broken, never times.
#include <doctest/doctest.h>

#include <algorithm>

#include "lab/experiment/run_experiment.h"
#include "lab/rig/rig.h"
#include "lab/rig/trial_fleet.h"

using namespace fernward;
using namespace fernward::lab;

namespace {

RigOptions options(const std::string& fault) {
  RigOptions rig_options;
  rig_options.program = FERNWARD_PROGRAM;
  rig_options.max_late_p99_ms = rig_options.max_late_p999_ms = 1e9; // the test machine may be busy
  rig_options.enforce_memory_limit = false;                         // sanitizers use memory of their own
  if (!fault.empty()) rig_options.programs_by_router.assign(2, {{FERNWARD_BAD_ROUTER, fault}, false});
  return rig_options;
}

model::Spec trial_spec_of(double seconds, double rate) {
  rig::TrialFleet fleet;
  fleet.seconds = seconds;
  fleet.rate_per_s = rate;
  fleet.work_ms = 5;
  return rig::trial_spec(fleet);
}

void make_writes_unsafe(model::Spec& spec) {
  spec.classes[1].idempotency = Idempotency::NonIdempotent;
  spec.classes[1].share = 1;
}
void add_drain_of_half(model::Spec& spec) {
  spec.duration_ms = 5000;
  model::NodeSelector half;
  half.share = 0.5;
  spec.events.push_back({500, "drain", model::DrainNodes{half, 4000, 0}});
  spec.discovery.leave_delay_min_ms = spec.discovery.leave_delay_max_ms = 500;
}
void add_cold_start(model::Spec& spec) {
  spec.duration_ms = 5000;
  spec.classes[0].work.mean = 100;
  spec.kinds[0].warm_up_ms = 5000;
  spec.kinds[0].overload_failure_ms = 500;
  model::NodeSelector one;
  one.count = 1;
  spec.events.push_back({500, "start", model::StartNodes{one}});
}
void leave_unchanged(model::Spec&) {}

} // namespace

TEST_CASE("a faulty router breaks the rule for its fault and no other") {
  const struct {
    const char* fault; // of fernward-bad-router; empty: the routers are fernward
    void (*prepare)(model::Spec&);
    std::vector<Rule> broken; // each must be broken
    bool only = true;         // no other rule may be broken
  } cases[] = {
      {"", leave_unchanged, {}},
      {"", add_drain_of_half, {}},
      {"honest", leave_unchanged, {}},
      {"twice", leave_unchanged, {Rule::OneFinalResponse}},
      {"lose", leave_unchanged, {Rule::NoLostRequest}},
      {"silent", leave_unchanged, {Rule::NoLostRequest}},
      {"forge", leave_unchanged, {Rule::GenuineResponses}},
      // The swapped responses are missing for other requests.
      {"swap", leave_unchanged, {Rule::GenuineResponses}, false},
      {"repeat", leave_unchanged, {Rule::SafeRepeats}},
      {"refuse", make_writes_unsafe, {Rule::SafeRepeats}, false}, // the origin is slow for so many writes
      {"drained", add_drain_of_half, {Rule::NoTrafficAfterDrain}},
      // The copies exceed the attempt limit of a request.
      {"flood", add_cold_start, {Rule::NoColdOverload}, false},
      {"crash", leave_unchanged, {Rule::NoRouterCrash}, false}, // the requests it had accepted are lost
  };
  for (const auto& c : cases) {
    const std::string fault = c.fault;
    CAPTURE(fault);
    model::Spec spec = trial_spec_of(2, 100);
    c.prepare(spec);
    REQUIRE(find_spec_errors(spec).empty());
    const auto driver = make_rig_driver(options(fault));
    const lab::ExperimentResult experiment = run_experiment(*driver, "sockets", spec, kSocketsSlackMs);
    std::string violation_text;
    for (const RuleResult& rule_result : experiment.check_result.rules) {
      for (const RuleViolation& violation : rule_result.first_violations)
        violation_text += std::string(rule_name(rule_result.rule)) + ": " + violation.description + "\n";
    }
    CAPTURE(violation_text);
    for (const RuleResult& rule_result : experiment.check_result.rules) {
      const std::string rule = rule_name(rule_result.rule);
      CAPTURE(rule);
      const bool expected = std::find(c.broken.begin(), c.broken.end(), rule_result.rule) != c.broken.end();
      if (expected) CHECK(rule_result.violation_count > 0);
      if (!expected && c.only) CHECK(rule_result.violation_count == 0);
    }
    CHECK(experiment.passed() == c.broken.empty());
  }
}
