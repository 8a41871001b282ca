// Routers that break one rule on purpose, on sockets: the lab's own checks find it, and find nothing with good ones.
// Judged on which rules were broken, never on times.
#include <doctest/doctest.h>

#include <algorithm>

#include "lab/experiment/play.h"
#include "lab/rig/rig.h"
#include "lab/rig/trial.h"

using namespace fernward;
using namespace fernward::lab;

namespace {

RigOptions options(const std::string& fault) {
  RigOptions o;
  o.program = FERNWARD_PROGRAM;
  o.late_p99_ms = o.late_p999_ms = 1e9; // the machine of the tests may be busy
  o.check_memory = false;               // sanitizers take their own
  if (!fault.empty()) o.programs.assign(2, {{FERNWARD_BAD_ROUTER, fault}, false});
  return o;
}

model::Spec spec_of(double seconds, double rate) {
  rig::TrialFleet fleet;
  fleet.seconds = seconds;
  fleet.rate_per_s = rate;
  fleet.work_ms = 5;
  return rig::trial_spec(fleet);
}

void unsafe_writes(model::Spec& spec) {
  spec.classes[1].repeat = Idempotency::NonIdempotent;
  spec.classes[1].share = 1;
}
void drain_half(model::Spec& spec) {
  spec.duration_ms = 5000;
  model::NodePick half;
  half.share = 0.5;
  spec.events.push_back({500, "drain", model::DrainNodes{half, 4000, 0}});
  spec.discovery.notice_min_ms = spec.discovery.notice_max_ms = 500;
}
void start_one(model::Spec& spec) {
  spec.duration_ms = 5000;
  spec.classes[0].work.mean = 100;
  spec.kinds[0].warm_ms = 5000;
  spec.kinds[0].tip_ms = 500;
  model::NodePick one;
  one.count = 1;
  spec.events.push_back({500, "start", model::StartNodes{one}});
}
void nothing(model::Spec&) {}

} // namespace

TEST_CASE("what a bad router does wrong is found by the rule that forbids it") {
  const struct {
    const char* fault; // empty: fernward itself
    void (*prepare)(model::Spec&);
    std::vector<Rule> broken; // all of these
    bool only = true;         // and no other
  } cases[] = {
      {"", nothing, {}},
      {"", drain_half, {}},
      {"honest", nothing, {}},
      {"twice", nothing, {Rule::OneAnswer}},
      {"lose", nothing, {Rule::NoLost}},
      {"silent", nothing, {Rule::NoLost}},
      {"forge", nothing, {Rule::Genuine}},
      {"swap", nothing, {Rule::Genuine}, false}, // the answers that it gave away are missing elsewhere
      {"repeat", nothing, {Rule::Repeats}},
      {"refuse", unsafe_writes, {Rule::Repeats}, false}, // the ledger is slow for so many writes
      {"drained", drain_half, {Rule::Drains}},
      {"flood", start_one, {Rule::ColdNodes}, false}, // its copies are more than a request may have
      {"crash", nothing, {Rule::Alive}, false},       // with what it had taken
  };
  for (const auto& c : cases) {
    const std::string fault = c.fault;
    CAPTURE(fault);
    model::Spec spec = spec_of(2, 100);
    c.prepare(spec);
    REQUIRE(faults(spec).empty());
    const auto driver = make_rig_driver(options(fault));
    const lab::Result result = play(*driver, "sockets", spec, kSocketsSlackMs);
    std::string said;
    for (const RuleFinding& f : result.findings.rules) {
      for (const Breach& b : f.first) said += std::string(rule_name(f.rule)) + ": " + b.what + "\n";
    }
    CAPTURE(said);
    for (const RuleFinding& f : result.findings.rules) {
      const std::string rule = rule_name(f.rule);
      CAPTURE(rule);
      const bool expected = std::find(c.broken.begin(), c.broken.end(), f.rule) != c.broken.end();
      if (expected) CHECK(f.breaches > 0);
      if (!expected && c.only) CHECK(f.breaches == 0);
    }
    CHECK(result.good() == c.broken.empty());
  }
}
