// Limits the fetches per second that this router may send to the origin while keys move between caches, and
// the part of them that may be used to fill new owners. Pure decisions: no I/O, no clock.
//
// While the fleet is steady, it measures how many fetches the reads cause. During a transition, all fetches
// together are limited to a multiple of that rate, scaled to the current traffic; a part of the excess over
// the steady rate is for fills. Each router applies the limit to the rate that it measured itself, so all
// routers together respect the total limit without exchanging messages.
//
//  - Units: milliseconds on the caller's clock, which only advances; rates are per ms.
//  - Use: call on_read() for each read of a key, may_fetch() before each fetch and on_fetch() when it is
//    sent.
//  - Ownership: plain values, does not allocate.
#pragma once

#include <algorithm>

#include "fernward/balancer.h"
#include "statistics/numbers.h"

namespace fernward::placement {

// Rate of events over about the last `window_ms`, without bias from the first event on.
class Rate {
 public:
  void add(double now, double over, double count = 1) {
    fade(now, over);
    count_ += count;
  }
  void skip(double now) { at_ = now; } // the time since the last call does not count
  double per_ms(double now, double over) const;

 private:
  void fade(double now, double over);
  double count_ = 0, watched_ = 0, at_ = kNever;
};

class FillRateLimiter {
 public:
  explicit FillRateLimiter(const ResizeSettings& set) : set_(set) {}

  void on_read(double now);
  void on_fetch(double now);

  // The fleet has changed: the limit is active for the next `transition_ms`, and then until fetches are
  // nearly steady again, at most four times as long.
  void on_fleet_changed(double now) {
    if (set_.transition_ms <= 0) return;
    if (!is_active(now)) opened_at_ = now;
    until_ = std::max(until_, now + set_.transition_ms);
    at_latest_ = now + 4 * set_.transition_ms;
  }
  bool is_active(double now) const { return now < until_; }

  bool may_fetch(double now);
  double max_fetches_per_ms(double now) const; // highest allowed rate; 0: no limit is active

  // Used share of the allowed rate, including `waiting_fetches`; 0: no limit is active.
  double utilization(double now, double waiting) const;

  enum class Fill { NewOwner, SecondReplica };         // SecondReplica: only while the fleet is steady
  bool may_fill(double now, Fill what, double& saved); // `saved_fills`: result
  void on_filled(Fill what) { tokens(what).count -= 1; }
  void refund(Fill what) { tokens(what).count += 1; } // the fill caused no fetch

  double steady_fetches_per_ms(double now) const; // before the transition; 0: unknown

 private:
  struct Bucket {
    double count = 0, at = kNever;
    void refill(double now, double per_ms, double most);
  };
  Bucket& tokens(Fill what) { return what == Fill::NewOwner ? moves_ : seconds_; }
  double base_per_ms(double now) const; // steady rate, scaled to the current traffic
  bool known() const;                   // the steady rate has been observed long enough
  bool learns(double now) const;

  ResizeSettings set_;
  double until_ = kNever, opened_at_ = kNever, at_latest_ = kNever, read_at_ = kNever, calm_ms_ = 0;
  Rate steady_reads_, steady_fetches_, reads_, recent_,
      calming_; // of fetches, over one and over several seconds
  Bucket fetches_, moves_, seconds_;
};

} // namespace fernward::placement
