// Estimates the latency of the origin while no requests queue there. No I/O, no clock.
//
// The baseline is a mean over samples that the limiter classifies as uncongested. The expected latency of one
// request is that mean, scaled by its work hint (linear; the slope is found by regression) and by whether it
// is a write.
#pragma once

#include <algorithm>
#include <cmath>

#include "statistics/numbers.h"

namespace fernward::concurrency {

class LatencyBaseline {
 public:
  bool known() const { return mean_ms_ > 0; }
  double mean_ms() const { return mean_ms_; } // of an average request; 0: unknown

  // `work_ms` 0: unknown.
  double expected_ms(double work_ms, bool write) const {
    const double work_factor =
        work_ms > 0 && mean_work_ms_ > 0 ? 1 + work_slope() * (work_ms / mean_work_ms_ - 1) : 1;
    return mean_ms_ * std::clamp(work_factor, kMinWorkFactor, kMaxWorkFactor) * (write ? write_factor_ : 1);
  }

  // Updates how latency depends on the work hint and on writing. Congested samples count too, as congestion
  // slows all requests alike. `slowdown`: latency / expected_ms(); `mean_slowdown`: its recent mean.
  void update_work_factors(double slowdown, double mean_slowdown, double work_ms, bool write) {
    const double relative_slowdown =
        std::min(slowdown / std::max(mean_slowdown, kMinMeanSlowdown), kMaxSampleRatio);
    if (write) {
      update_moving_average(write_factor_,
                            std::clamp(write_factor_ * relative_slowdown, kMinWriteFactor, kMaxWriteFactor),
                            kSampleWeight);
    }
    if (write || work_ms <= 0) return;
    if (mean_work_ms_ == 0) mean_work_ms_ = work_ms;
    update_moving_average(mean_work_ms_, work_ms, kSampleWeight);
    const double work_deviation = std::clamp(work_ms / mean_work_ms_ - 1, -1.0, kMaxSampleRatio);
    const double relative_latency = relative_slowdown * (1 + work_slope() * work_deviation);
    update_moving_average(work_variance_, work_deviation * work_deviation, kSampleWeight);
    update_moving_average(work_latency_covariance_, work_deviation * (relative_latency - 1), kSampleWeight);
  }

  void update_mean(double slowdown, double weight) {
    mean_ms_ *= 1 + weight * (std::min(slowdown, kMaxSampleRatio) - 1);
  }
  void scale(double factor) { mean_ms_ *= factor; }
  void initialize(double elapsed_ms) { mean_ms_ = elapsed_ms; }

 private:
  static constexpr double kSampleWeight = 0.02; // weight of one response
  static constexpr double kMaxSampleRatio = 5;  // bound of one response, relative to the mean
  static constexpr double kMinMeanSlowdown = 0.1;
  static constexpr double kMinWorkFactor = 0.1;
  static constexpr double kMaxWorkFactor = 10;
  static constexpr double kMinWriteFactor = 0.2;
  static constexpr double kMaxWriteFactor = 10;
  static constexpr double kMinWorkVariance = 1e-3; // below it the hints carry no information

  // Slope of latency over work, both relative to their means.
  double work_slope() const {
    return work_variance_ > kMinWorkVariance ? std::clamp(work_latency_covariance_ / work_variance_, 0.0, 1.0)
                                             : 0;
  }

  double mean_ms_ = 0;
  double write_factor_ = 1; // latency of a write / latency of a read
  double mean_work_ms_ = 0;
  double work_variance_ = 0;
  double work_latency_covariance_ = 0; // of work and latency
};

} // namespace fernward::concurrency
