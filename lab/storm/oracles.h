// Oracles: each checks one requirement against the records of a run, reports the distance from its bound, and
// states how confident it is that a violation is a defect of the routers. Pure functions from evidence to
// verdicts.
//
// A distance of 1 or more violates the bound; 0 is the best possible. If an oracle can't judge a storm, its
// verdict says why and counts as neither kept nor broken.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "lab/check/rule_checker.h"
#include "lab/storm/storm_watch.h"

namespace fernward::lab::storm {

enum class Confidence {
  Certain, // a violation is a defect of the program or of the oracle
  // Chance or a simplification of the model may cause a violation: it is reported with its distance, and
  // never fails CI by itself.
  Statistical
};

struct Evidence {
  const model::Spec& spec;
  const model::Plan& plan;
  CheckResult findings;
  Observations observed;
  std::optional<Observations> fault_free;   // the same fleet, seed and load without faults
  std::optional<Observations> four_routers; // the same storm with four routers
};

struct Verdict {
  bool judged = true;
  double distance = 0;
  std::string description; // the observation in one line; if not judged, the reason
  bool broken() const { return judged && distance >= 1; }
};

struct Oracle {
  const char* name;
  const char* requirement; // what must hold
  Confidence confidence;
  const char* confidence_reason; // for the confidence
  Verdict (*judge)(const Evidence& e);
};
const std::vector<Oracle>& oracles();
const Oracle* find_oracle(const std::string& name); // nullptr: unknown name

std::vector<Verdict> judge_run(const Evidence& evidence); // one for each oracle, in the order of oracles()

// ---- bounds computed from the model ----

// Time after the last fault that the origin needs to refill the caches with its spare capacity; infinite if
// that never suffices. `steady_fetches_per_s`: the origin's load without faults, fetches and writes, in units
// of one fetch.
double refill_ms(const model::Spec& spec, double lost_share, double steady_fetches_per_s);
// Share of the caches' contents lost through faults, each node counted once.
double lost_contents_share(const model::Plan& plan);
// Offered work relative to the capacity of the nodes in service after the last fault; above 1 losses are
// inevitable.
double utilization_after_faults(const model::Spec& spec, const model::Plan& plan);

} // namespace fernward::lab::storm
