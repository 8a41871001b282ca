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

struct Evidence { // what the oracles judge
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
  std::string description; // what was observed, in one line; if not judged, the reason
  bool broken() const { return judged && distance >= 1; }
};

struct Oracle {
  const char* name;
  const char* requirement; // what must hold
  Confidence confidence;
  const char* confidence_reason; // the reason for the confidence
  Verdict (*judge)(const Evidence& evidence);
};
const std::vector<Oracle>& oracles();               // in a fixed order, which verdicts refer to by index
const Oracle* find_oracle(const std::string& name); // nullptr: unknown name

std::vector<Verdict> judge_run(const Evidence& evidence); // one for each oracle, in the order of oracles()

// ---- bounds computed from the model ----

// Time after the last fault that the origin needs to refill the caches with its spare capacity; infinite
// if there is none or it does not suffice within two minutes. `lost_share`: see lost_contents_share().
// `steady_fetches_per_s`: the origin's load by fetches and writes without faults, as the number of fetches
// that cost as much.
double refill_ms(const model::Spec& spec, double lost_share, double steady_fetches_per_s);
// Share of the caches' contents that is lost because nodes end, each node counted once.
double lost_contents_share(const model::Plan& plan);
// Offered work relative to the capacity of the nodes that are in service at the end of the plan; above 1,
// losses are inevitable; infinite if none is in service.
double utilization_after_faults(const model::Spec& spec, const model::Plan& plan);

} // namespace fernward::lab::storm
