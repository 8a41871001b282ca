// From when on an attempt is late, and how likely one that is late is dead rather than slow. Decides; no I/O, no clock.
//
// Late is what is slower than all but a share of the answers: 5% of them, and up to 20% where most of the late ones are
// never answered, since a copy is then worth sending sooner.
//
// Units: milliseconds; shares. Plain values.
#pragma once

#include <cmath>

#include "statistics/numbers.h"

namespace fernward::concurrency {

struct SlowAttemptTracker {
  double slow_threshold_ms = 0;    // an attempt that is out for longer is late
  double never_answered_share = 0; // share of the late ones that are never answered

  void on_response(double elapsed_ms) {
    const double share = kSlowShare + (kSlowestShare - kSlowShare) * never_answered_share;
    slow_threshold_ms *= std::exp(0.05 * ((elapsed_ms > slow_threshold_ms) - share));
  }
  // One that was late, and that nobody withdrew, has ended.
  void on_slow_attempt_ended(bool answered) { smooth(never_answered_share, !answered, 0.05); }
  bool expects_dead_attempts() const { return never_answered_share > 0.25; }

 private:
  static constexpr double kSlowShare = 0.05, kSlowestShare = 0.2;
};

} // namespace fernward::concurrency
