// Exponentially weighted moving average.
#pragma once

namespace fernward {

// `weight`: share of the new sample in the mean, 0 to 1.
inline void update_moving_average(double& mean, double sample, double weight) {
  mean += weight * (sample - mean);
}

} // namespace fernward
