// The time a server takes for a request where nobody waits there. Decides; no I/O, no clock.
//
// Service times are spread (the quickest answer says little of the ordinary one) and work differs fivefold, so this
// is a mean over samples that are believed uncrowded, and a request's own share of it by what its work has explained
// so far. Which samples those are is the limiter's to say.
#pragma once

#include <algorithm>
#include <cmath>

#include "statistics/numbers.h"

namespace fernward::concurrency {

class LatencyBaseline {
 public:
  bool known() const { return mean_ms_ > 0; }
  double mean_ms() const { return mean_ms_; } // of an ordinary request; 0: not known

  // Expected of this request. `work_ms` 0: unknown.
  double expected_ms(double work_ms, bool write) const {
    const double by_work = work_ms > 0 && work_ > 0 ? 1 + slope() * (work_ms / work_ - 1) : 1;
    return mean_ms_ * std::clamp(by_work, 0.1, 10.0) * (write ? write_ : 1);
  }

  // Every answer teaches how work, and being a write, shows in the time: crowding slows all alike.
  void learn_work_factors(double slowdown, double mean_slowdown, double work_ms, bool write) {
    const double share = std::min(slowdown / std::max(mean_slowdown, 0.1), kMostShare);
    if (write) smooth(write_, std::clamp(write_ * share, 0.2, 10.0), kWeight);
    if (write || work_ms <= 0) return;
    if (work_ == 0) work_ = work_ms;
    smooth(work_, work_ms, kWeight);
    const double dw = std::clamp(work_ms / work_ - 1, -1.0, kMostShare);
    const double time = share * (1 + slope() * dw);
    smooth(spread_, dw * dw, kWeight);
    smooth(along_, dw * (time - 1), kWeight);
  }

  void learn(double slowdown, double weight) {
    mean_ms_ *= 1 + weight * (std::min(slowdown, kMostShare) - 1);
  }
  void scale(double factor) { mean_ms_ *= factor; }
  void start(double elapsed_ms) { mean_ms_ = elapsed_ms; }

 private:
  static constexpr double kWeight = 0.02; // of one answer: some fifty tell how work shows
  static constexpr double kMostShare = 5; // one answer counts as so many times the ordinary one at most
  double slope() const { // of time by work, both as shares of their means: 0 where hints say nothing
    return spread_ > 1e-3 ? std::clamp(along_ / spread_, 0.0, 1.0) : 0;
  }
  double mean_ms_ = 0, write_ = 1, work_ = 0, spread_ = 0, along_ = 0;
};

} // namespace fernward::concurrency
