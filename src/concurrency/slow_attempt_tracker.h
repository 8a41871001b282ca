// Tracks the latency above which an attempt is slow, and the share of slow attempts that are never answered.
// No I/O, no clock.
// Units: milliseconds; shares from 0 to 1.
#pragma once

#include <cmath>

#include "statistics/numbers.h"

namespace fernward::concurrency {

// The threshold follows a quantile of latency in steps: 5% of responses are slower. The share rises to 20% if
// most slow attempts are never answered, because a hedged request is then useful earlier.
struct SlowAttemptTracker {
  double slow_threshold_ms = 0;
  double never_answered_share = 0; // of slow attempts

  void on_response(double elapsed_ms) {
    const double slow_share = kMinSlowShare + (kMaxSlowShare - kMinSlowShare) * never_answered_share;
    slow_threshold_ms *= std::exp(kThresholdStep * ((elapsed_ms > slow_threshold_ms) - slow_share));
  }
  // A slow attempt that was not cancelled has ended.
  void on_slow_attempt_ended(bool answered) {
    update_moving_average(never_answered_share, !answered, kAnsweredWeight);
  }
  bool expects_unanswered_attempts() const { return never_answered_share > kUnansweredAttemptsShare; }

 private:
  static constexpr double kMinSlowShare = 0.05;
  static constexpr double kMaxSlowShare = 0.2;
  static constexpr double kThresholdStep = 0.05;
  static constexpr double kAnsweredWeight = 0.05; // weight of one slow attempt
  static constexpr double kUnansweredAttemptsShare = 0.25;
};

} // namespace fernward::concurrency
