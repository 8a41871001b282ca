// How many connections at once the last resort of all lets this router have. Decides; no I/O, no clock.
//
// A server holds only so many connections, and what comes on a further one is turned away whatever room there is for
// work. Many routers that each keep a few fill its table, and those that come back find none: to take that for crowding
// and to send less helps nobody, as the connections that are there would carry more. So what is out keeps to the
// connections that were had, and a further one is tried after about one response time: in each the others may have given
// one back.
//
//  - Units: milliseconds on the caller's clock, which only advances; counts of attempts, each on a connection of its own.
//  - Ownership: plain values, no allocation; one for each router. A server that was restarted gets a new one.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include "statistics/numbers.h"

namespace fernward::concurrency {

class ConnectionCapacityEstimator {
 public:
  // May one more go out, `out` being out already?
  bool has_capacity(double now, std::uint32_t out) const { return out < most_ || now >= again_at_; }
  double wait_ms(double now, std::uint32_t out) const { return has_capacity(now, out) ? 0 : again_at_ - now; }
  double capacity() const { return most_; } // that were had at once; infinity: none was ever refused

  // One goes out beside `out` others: where it needs a further connection it is a trial, and nothing else goes with it.
  void on_attempt_sent(double now, std::uint32_t out) {
    trial_ = out >= most_;
    if (trial_) again_at_ = now + turn_ms_;
  }
  // A further connection was refused while `out` others were in use; `draw`: evenly from 0 to 1, as all try again.
  void on_connection_refused(double now, std::uint32_t out, double response_ms, double draw) {
    most_ = out;
    if (!std::exchange(trial_, false) && now < again_at_) return; // one of several that went out together
    turn_ms_ = std::max(response_ms, kLeastMs);
    again_at_ = now + turn_ms_ * (0.5 + draw);
  }
  // An answer came on one of `out` connections in use.
  void on_connection_used(std::uint32_t out) {
    if (out <= most_) return;
    trial_ = false;
    most_ = out;
  }

 private:
  static constexpr double kLeastMs = 10;
  double most_ = std::numeric_limits<double>::infinity(), turn_ms_ = 0, again_at_ = kNever;
  bool trial_ = false; // out, on a connection beyond those that were had
};

} // namespace fernward::concurrency
