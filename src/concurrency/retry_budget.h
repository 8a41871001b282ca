// Budget of attempts beyond the first of each request: retries and hedged requests. Decides; no I/O, no
// clock.
//
// Each request earns a share of an attempt. The share grows while capacity is proven (few signs of crowding)
// and falls to a fixed minimum under crowding, together with what was saved, so that a retry storm cannot
// feed itself.
// Units: milliseconds on the caller's clock; shares from 0 to 1. One for each router; no allocation.
#pragma once

#include "statistics/numbers.h"

namespace fernward::concurrency {

class RetryBudget {
 public:
  enum class Use { Retry, Hedge };

  // A request came from a client: it earns. `never_answered_share`: of slow attempts, see SlowAttemptTracker;
  // hedged requests are worth their cost only as far as attempts are dead rather than slow.
  void on_request(double now, double never_answered_share);

  // An attempt ended, or a request was rejected here. `crowded`: it showed a server or the fleet full
  // (rejected, shed, over a limit, late through waiting). `failed`: it brought nothing.
  void on_attempt_ended(double now, bool crowded, bool failed = false);

  // Takes one attempt out of the budget; false: it holds none. `utilization`: of the server it would go to,
  // see OriginConcurrencyLimiter; at 1 or more no hedged request, and a retry from the minimum share alone.
  bool try_consume(double now, Use use, double utilization);

  // What try_consume() gave could not be sent.
  void refund(Use use);

  double proven_capacity() const { return proven_capacity_; } // 0 to 1
  double balance() const { return balance_; }                 // attempts that may be sent now
  double earned_per_request() const;

 private:
  void advance(double now);
  double max_balance() const;
  double max_hedges() const { return 1 + 9 * proven_capacity_; }

  double proven_capacity_ = 0; // unproven at first: a retry storm may have restarted the router
  double crowded_share_ = 0;   // of attempts, of late
  double failed_share_ = 0;    // of attempts, of late
  double balance_ = 10;        // requests that would have earned it may be in flight already
  double min_balance_ = 10;    // part of balance_ that is earned under crowding too
  double hedges_ = 1;          // part of balance_ that hedged requests may take
  double advanced_at_ = kNever;
};

} // namespace fernward::concurrency
