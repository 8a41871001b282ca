// Checks of the scenario as a whole: errors in values that are valid alone but inconsistent with one another.
#pragma once

#include <set>
#include <string>

#include "lab/scenario/read.h"

namespace fernward::lab {

// Adds the errors found to scenario.errors. `file` is named in those whose value the file does not contain.
// `invalid`: paths of the members whose values could not be parsed and still have their defaults; no error is
// derived from those.
void check_consistency(Scenario& scenario, const std::string& file, const RunLimits& limits,
                       const std::set<std::string>& invalid);

// The highest request rate of the load in requests per second, spikes included.
double peak_rate(const model::Spec& spec);

} // namespace fernward::lab
