// Whether this node leaves a server out, by what it has seen itself and by what others say. Decides; no I/O, no clock.
//
// Some silent or failed attempts in a row leave it out; then one real request at a time is the trial, after waits that
// double. What others say together counts only where it is younger than this node's own good answer, and what they say
// well of a server that is out only brings its trial forward: a judgement by hearsay is never more than a wait for one
// request of the node's own.
//
//  - Units: milliseconds on the caller's clock, which only advances; `draw` is even from 0 to 1.
//  - Ownership: plain values, no allocation; one for each server. A server that was restarted gets a new one.
#pragma once

#include <cstdint>

#include "statistics/numbers.h"

namespace fernward::health {

constexpr double kMaxTrialBackoffMs = 8000; // for a trial

class OutlierState {
 public:
  bool is_ejected() const { return ejected_; }
  bool trial_due(double now) const { return !half_open_trial_ && now >= next_trial_at_; }
  void record_sent() { half_open_trial_ = ejected_; } // while it is out, what goes there is its trial
  double last_response_at() const { return last_response_at_; } // the latest sign of life
  double last_failure_at() const { return last_failure_at_; }   // the latest attempt that went badly
  int consecutive_failures() const {
    return consecutive_failures_;
  } // since the latest sign of life, by this node's own attempts

  void record_response(double now) {
    last_response_at_ = now, consecutive_failures_ = 0;
  }                                // it said something, be it that it is full
  bool record_success(double now); // a good answer; true: it was out, and is no more
  // An attempt that was refused, broke or came to nothing; `weight` 0 tells nothing. `stays`: it answers others well
  // enough not to be left out. True: it is left out now; call wait() then.
  bool record_failure(double now, int weight, bool stays);
  // Others together call it bad, from what they saw at `seen_at`. True: it is left out now; call wait() then.
  bool on_reported_outlier(double seen_at);
  void on_reported_healthy(double now, double seen_at);
  void schedule_trial(double now, double slow_ms, double draw); // for the (next) trial
  double next_trial_at() const { return next_trial_at_; }

 private:
  int consecutive_failures_ = 0;
  bool ejected_ = false, half_open_trial_ = false;
  double last_response_at_ = kNever, last_failure_at_ = kNever, next_trial_at_ = 0, trial_backoff_ms_ = 0;
};

} // namespace fernward::health
