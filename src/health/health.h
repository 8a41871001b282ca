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

constexpr double kLongestWaitMs = 8000; // for a trial

class Health {
 public:
  bool out() const { return out_; }
  bool trial_due(double now) const { return !trial_out_ && now >= trial_at_; }
  void sent() { trial_out_ = out_; }              // while it is out, what goes there is its trial
  double heard_at() const { return heard_at_; }   // the latest sign of life
  double struck_at() const { return struck_at_; } // the latest attempt that went badly
  int strikes() const { return strikes_; } // since the latest sign of life, by this node's own attempts

  void lives(double now) { heard_at_ = now, strikes_ = 0; } // it said something, be it that it is full
  bool heard(double now);                                   // a good answer; true: it was out, and is no more
  // An attempt that was refused, broke or came to nothing; `weight` 0 tells nothing. `stays`: it answers others well
  // enough not to be left out. True: it is left out now; call wait() then.
  bool struck(double now, int weight, bool stays);
  // Others together call it bad, from what they saw at `seen_at`. True: it is left out now; call wait() then.
  bool told_bad(double seen_at);
  void told_well(double now, double seen_at);
  void wait(double now, double slow_ms, double draw); // for the (next) trial
  double trial_at() const { return trial_at_; }

 private:
  int strikes_ = 0;
  bool out_ = false, trial_out_ = false;
  double heard_at_ = kNever, struck_at_ = kNever, trial_at_ = 0, wait_ms_ = 0;
};

} // namespace fernward::health
