// Exponentially weighted moving average.
#pragma once

namespace fernward {

// Updates `mean` with `sample`; `weight`: 0 to 1, share of the new sample.
inline void update_moving_average(double& mean, double sample, double weight) {
  mean += weight * (sample - mean);
}

} // namespace fernward
