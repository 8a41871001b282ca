// Numeric helpers shared by the decision packages.
#pragma once

#include <cmath>

#include "statistics/moving_average.h"
#include "statistics/random.h"

namespace fernward {

constexpr double kNever = -1e18; // a time before all others

inline bool is_finite_non_negative(double value) { return std::isfinite(value) && value >= 0; }

} // namespace fernward
