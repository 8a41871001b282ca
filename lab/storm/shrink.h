// Reduces a storm while the same oracle still reports it as broken. Pure except for `distance_of`, which runs
// storms.
//
// Reductions are tried in turn, the largest first, until none succeeds or `max_runs` is reached: fewer
// faults, a shorter run, shorter faults, fewer routers, nodes and zones, less load, fewer tenants and
// classes, and default settings. A storm that breaks only another oracle is not accepted, so that the
// result shows the same defect.
#pragma once

#include <cstdint>
#include <functional>

#include "model/spec.h"

namespace fernward::lab::storm {

struct ShrinkResult {
  model::Spec spec;
  std::uint32_t runs = 0, reductions = 0; // calls of `distance_of`; accepted reductions
};

// `distance_of(spec)`: the oracle's distance if it is broken, else a value below 1. It is called at most
// `max_runs` times, and not for `spec` itself.
ShrinkResult shrink(const model::Spec& spec, const std::function<double(const model::Spec&)>& distance_of,
                    std::uint32_t max_runs = 400);

} // namespace fernward::lab::storm
