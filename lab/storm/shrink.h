// Makes a storm smaller while the same oracle still says that it is broken. Pure but for `broken`, which plays.
//
// Tried in turn, the largest cuts first, until nothing helps or the plays are used up: fewer faults, shorter faults, a
// shorter run, fewer routers, nodes, zones, classes and tenants, less load, and settings back at their defaults. A storm
// that breaks another oracle alone is not taken: shrinking follows one defect.
#pragma once

#include <cstdint>
#include <functional>

#include "model/spec.h"

namespace fernward::lab::storm {

struct Shrunk {
  model::Spec spec;
  std::uint32_t plays = 0, cuts = 0; // cuts that were taken
};

// `broken(spec)`: the oracle's distance where it is beyond its bound, else below 1.
Shrunk shrink(const model::Spec& spec, const std::function<double(const model::Spec&)>& broken,
              std::uint32_t most_plays = 400);

} // namespace fernward::lab::storm
