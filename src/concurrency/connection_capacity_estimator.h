// Estimates how many concurrent connections the origin accepts from this router. No I/O, no clock.
//
// A refused connection is not a sign of congestion but of a full connection table at the origin. Attempts are
// then limited to the number of connections that was accepted, and one more is tried about once per response
// time.
// Units: milliseconds on the caller's clock, which only advances; connections. Does not allocate. A restarted
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
  // Whether one more attempt may be sent while `in_flight` attempts are in flight, each on its own
  // connection.
  bool has_capacity(double now, std::uint32_t in_flight) const {
    return in_flight < capacity_ || now >= next_trial_at_;
  }
  // Time until has_capacity() is true; 0: it is true now.
  double wait_ms(double now, std::uint32_t in_flight) const {
    return has_capacity(now, in_flight) ? 0 : next_trial_at_ - now;
  }
  // Concurrent connections that were accepted; infinity: none has been refused yet.
  double capacity() const { return capacity_; }

  // An attempt is sent while `in_flight` others are in flight. Beyond the capacity it is a trial; there is
  // only one trial at a time.
  void on_attempt_sent(double now, std::uint32_t in_flight) {
    trial_in_flight_ = in_flight >= capacity_;
    if (trial_in_flight_) next_trial_at_ = now + trial_interval_ms_;
  }

  // A connection was refused while `in_flight` others were in use. `uniform_draw`: uniform in [0, 1), spreads
  // the trials of the routers over time.
  void on_connection_refused(double now, std::uint32_t in_flight, double response_ms, double uniform_draw) {
    capacity_ = in_flight;
    const bool was_trial = std::exchange(trial_in_flight_, false);
    if (!was_trial && now < next_trial_at_) return; // one of several sent at the same time
    trial_interval_ms_ = std::max(response_ms, kMinTrialIntervalMs);
    next_trial_at_ = now + trial_interval_ms_ * (0.5 + uniform_draw);
  }

  // A response was received on one of `in_use` connections.
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
