// Routers on sockets that break one rule on purpose. Guards against a check of the lab that misses its fault,
// or that reports a correct router. Asserts which rules were broken, never times.
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
  o.late_p99_ms = o.late_p999_ms = 1e9; // the test machine may be busy
  o.check_memory = false;               // sanitizers use memory of their own
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

TEST_CASE("a faulty router breaks the rule for its fault and no other") {
  const struct {
    const char* fault; // empty: fernward
    void (*prepare)(model::Spec&);
    std::vector<Rule> broken; // each must be broken
    bool only = true;         // no other rule may be broken
  } cases[] = {
      {"", nothing, {}},
      {"", drain_half, {}},
      {"honest", nothing, {}},
      {"twice", nothing, {Rule::OneAnswer}},
      {"lose", nothing, {Rule::NoLost}},
      {"silent", nothing, {Rule::NoLost}},
      {"forge", nothing, {Rule::Genuine}},
      {"swap", nothing, {Rule::Genuine}, false}, // the swapped responses are missing for other requests
      {"repeat", nothing, {Rule::Repeats}},
      {"refuse", unsafe_writes, {Rule::Repeats}, false}, // the origin is slow for so many writes
      {"drained", drain_half, {Rule::Drains}},
      {"flood", start_one, {Rule::ColdNodes}, false}, // the copies exceed the attempt limit of a request
      {"crash", nothing, {Rule::Alive}, false},       // the requests it had accepted are lost
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
