// Exponentially weighted moving average.
#pragma once

namespace fernward {

// Moves `mean` by `weight` (0 to 1) of its distance to `sample`.
inline void smooth(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

} // namespace fernward
