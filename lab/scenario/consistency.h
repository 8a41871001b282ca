// Checks of the scenario as a whole: faults of values that are valid alone but inconsistent with one another.
#pragma once

#include <set>
#include <string>

#include "lab/scenario/read.h"

namespace fernward::lab {

// Adds the faults found to scenario.faults. `file` is named in those whose value the file does not contain.
// `invalid`: paths of the members whose values could not be parsed and still have their defaults; no fault is
// derived from those.
void check_consistency(Scenario& scenario, const std::string& file, const RunLimits& limits,
                       const std::set<std::string>& invalid);

// The highest request rate of the load in requests per second, spikes included.
double peak_rate(const model::Spec& spec);

} // namespace fernward::lab
