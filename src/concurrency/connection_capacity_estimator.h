// How many connections the origin lets this router hold at once. Decides; no I/O, no clock.
//
// A refused connection is no sign of crowding: the origin's connection table is full. Attempts then keep to
// the number of connections that was accepted, and one more is tried about once per response time.
// Units: milliseconds on the caller's clock, which only advances; connections. No allocation. A restarted
// origin gets a new estimator.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include "statistics/numbers.h"

namespace fernward::concurrency {

class ConnectionCapacityEstimator {
 public:
  // May one more attempt be sent while `in_flight` are, each on its own connection?
  bool has_capacity(double now, std::uint32_t in_flight) const {
    return in_flight < capacity_ || now >= next_trial_at_;
  }
  // Time until has_capacity(); 0: now.
  double wait_ms(double now, std::uint32_t in_flight) const {
    return has_capacity(now, in_flight) ? 0 : next_trial_at_ - now;
  }
  // Connections that were accepted at once; infinity: none was refused yet.
  double capacity() const { return capacity_; }

  // An attempt is sent beside `in_flight` others. Beyond the capacity it is a trial, and goes alone.
  void on_attempt_sent(double now, std::uint32_t in_flight) {
    trial_in_flight_ = in_flight >= capacity_;
    if (trial_in_flight_) next_trial_at_ = now + trial_interval_ms_;
  }

  // A connection was refused while `in_flight` others were in use. `draw`: uniform in [0, 1), spreads the
  // routers.
  void on_connection_refused(double now, std::uint32_t in_flight, double response_ms, double draw) {
    capacity_ = in_flight;
    const bool was_trial = std::exchange(trial_in_flight_, false);
    if (!was_trial && now < next_trial_at_) return; // one of several that were sent together
    trial_interval_ms_ = std::max(response_ms, kMinTrialIntervalMs);
    next_trial_at_ = now + trial_interval_ms_ * (0.5 + draw);
  }

  // A response came on one of `in_use` connections.
  void on_connection_used(std::uint32_t in_use) {
    if (in_use <= capacity_) return;
    trial_in_flight_ = false;
    capacity_ = in_use;
  }

 private:
  static constexpr double kMinTrialIntervalMs = 10;

  double capacity_ = std::numeric_limits<double>::infinity();
  double trial_interval_ms_ = 0;
  double next_trial_at_ = kNever;
  bool trial_in_flight_ = false;
};

} // namespace fernward::concurrency
