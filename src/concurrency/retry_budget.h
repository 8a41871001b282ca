// Budget of attempts beyond the first of each request: retries and hedged requests. Pure decisions: no I/O,
// no clock.
//
// Each request earns a fraction of an attempt. The fraction grows while capacity is proven (few signs of
// congestion). Under congestion the fraction and the saved balance fall to a fixed minimum, so that a retry
// storm cannot sustain itself.
// Units: milliseconds on the caller's clock; shares from 0 to 1. One per router; does not allocate.
#pragma once

#include "statistics/numbers.h"

namespace fernward::concurrency {

class RetryBudget {
 public:
  enum class Use { Retry, Hedge };

  // A client request was received and adds to the budget. `never_answered_share`: of slow attempts, see
  // SlowAttemptTracker; hedged requests pay off only if slow attempts are never answered rather than late.
  void on_request(double now, double never_answered_share);

  // An attempt ended, or this router rejected a request. `congested`: it indicated that a server or the fleet
  // is full (rejected, shed, over a limit, late because of queueing). `failed`: it had no usable result.
  void on_attempt_ended(double now, bool congested, bool failed = false);

  // Removes one attempt from the budget; false: none is available. `utilization`: of the target server, see
  // OriginConcurrencyLimiter; at 1 or more, hedged requests are denied and retries use only the part of the
  // balance that is earned under congestion.
  bool try_consume(double now, Use use, double utilization);

  // An attempt granted by try_consume() could not be sent.
  void refund(Use use);

  double proven_capacity() const { return proven_capacity_; } // 0 to 1
  double balance() const { return balance_; }                 // attempts that may be sent now
  double earned_per_request() const;

 private:
  void advance(double now);
  double max_balance() const;
  double max_hedge_balance() const { return 1 + 9 * proven_capacity_; }

  double proven_capacity_ = 0;     // 0 at first: a retry storm may have caused the restart of the router
  double congested_share_ = 0;     // of recent attempts
  double failed_share_ = 0;        // of recent attempts
  double balance_ = 10;            // not 0: requests that would have earned it may already be in flight
  double guaranteed_balance_ = 10; // part of balance_ that is also earned under congestion
  double hedge_balance_ = 1;       // part of balance_ that hedged requests may use
  double advanced_at_ = kNever;
};

} // namespace fernward::concurrency
