// How many fetches a second this router may ask of the ledger while keys are on the move, and which of them
// may be spent on filling new owners. Decides; no I/O, no clock.
//
// In steady times it learns how many fetches the reads bring. While a move is open, fetches together keep to
// a multiple of that, at the traffic of the moment; a part of what is beyond the steady rate is for fills.
// Each router holds to its own share of what it saw before, so all of them together hold to the whole without
// a message.
//
//  - Units: milliseconds on the caller's clock, which only advances; rates are per ms.
//  - Use: tell read() for each read of a key, fetched() for each fetch that goes out; ask may_fetch() before
//    it.
//  - Ownership: plain values, nothing allocated.
#pragma once

#include <algorithm>

#include "fernward/balancer.h"
#include "statistics/numbers.h"

namespace fernward::placement {

// How often something happens, over about the last `over` ms; right from the first of them on.
class Rate {
 public:
  void add(double now, double over, double count = 1) {
    fade(now, over);
    count_ += count;
  }
  void skip(double now) { at_ = now; } // not watched since the last time
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

  // The fleet has changed: the pace holds from now until `settle_ms` later, and on until fetches are nearly
  // steady again, for four times as long at most.
  void on_fleet_changed(double now) {
    if (set_.transition_ms <= 0) return;
    if (!is_active(now)) opened_at_ = now;
    until_ = std::max(until_, now + set_.transition_ms);
    at_latest_ = now + 4 * set_.transition_ms;
  }
  bool is_active(double now) const { return now < until_; }

  bool may_fetch(double now);
  double max_fetches_per_ms(double now) const; // the most fetches that it allows; 0: it does not hold now

  // How much of what it allows is taken up, `waiting` fetches being wanted besides; 0: it does not hold now.
  double utilization(double now, double waiting) const;

  enum class Fill { NewOwner, SecondReplica };         // to a new owner; to a second one in steady times
  bool may_fill(double now, Fill what, double& saved); // `saved`: how many are saved up
  void on_filled(Fill what) { tokens(what).count -= 1; }
  void refund(Fill what) { tokens(what).count += 1; } // it cost no fetch after all

  double steady_fetches_per_ms(double now) const; // fetches, as of the time before the move; 0: none seen yet

 private:
  struct Bucket {
    double count = 0, at = kNever;
    void refill(double now, double per_ms, double most);
  };
  Bucket& tokens(Fill what) { return what == Fill::NewOwner ? moves_ : seconds_; }
  double base_per_ms(double now) const; // the steady rate, at the traffic of the moment
  bool known() const;                   // from steady times
  bool learns(double now) const;

  ResizeSettings set_;
  double until_ = kNever, opened_at_ = kNever, at_latest_ = kNever, read_at_ = kNever, calm_ms_ = 0;
  Rate steady_reads_, steady_fetches_, reads_, recent_,
      calming_; // recent, calming: fetches, over a second, over some
  Bucket fetches_, moves_, seconds_;
};

} // namespace fernward::placement
