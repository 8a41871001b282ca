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
class DecayingRate {
 public:
  void add(double now, double window_ms, double count = 1) {
    decay(now, window_ms);
    count_ += count;
  }
  void skip_until(double now) { updated_at_ = now; } // the time since the last call does not count
  double per_ms(double now, double window_ms) const;

 private:
  void decay(double now, double window_ms);
  double count_ = 0, observed_ms_ = 0, updated_at_ = kNever;
};

class FillRateLimiter {
 public:
  explicit FillRateLimiter(const ResizeSettings& settings) : settings_(settings) {}

  void on_read(double now);
  void on_fetch(double now);

  // The fleet has changed: the limit is active for the next `transition_ms`, and then until fetches are
  // nearly steady again, at most four times as long.
  void on_fleet_changed(double now) {
    if (settings_.transition_ms <= 0) return;
    if (!is_active(now)) active_since_ = now;
    active_until_ = std::max(active_until_, now + settings_.transition_ms);
    latest_active_until_ = now + 4 * settings_.transition_ms;
  }
  bool is_active(double now) const { return now < active_until_; }

  bool may_fetch(double now);
  double max_fetches_per_ms(double now) const; // highest allowed rate; 0: no limit is active

  // Used share of the allowed rate, including `waiting_fetches`; 0: no limit is active.
  double utilization(double now, double waiting_fetches) const;

  enum class Fill { NewOwner, SecondReplica };               // SecondReplica: only while the fleet is steady
  bool may_fill(double now, Fill fill, double& saved_fills); // `saved_fills`: result
  void on_filled(Fill fill) { token_bucket(fill).token_count -= 1; }
  void refund(Fill fill) { token_bucket(fill).token_count += 1; } // the fill caused no fetch

  double steady_fetches_per_ms(double now) const; // before the transition; 0: unknown

 private:
  struct TokenBucket {
    double token_count = 0, refilled_at = kNever;
    void refill(double now, double per_ms, double max_tokens);
  };
  TokenBucket& token_bucket(Fill fill) {
    return fill == Fill::NewOwner ? new_owner_tokens_ : second_replica_tokens_;
  }
  double base_fetches_per_ms(double now) const; // steady rate, scaled to the current traffic
  bool steady_rate_known() const;               // the steady rate has been observed long enough
  bool updates_steady_rate(double now) const;

  ResizeSettings settings_;
  double active_until_ = kNever, active_since_ = kNever, latest_active_until_ = kNever,
         last_read_at_ = kNever, steady_observed_ms_ = 0;
  // recent_fetches_ covers about one second, settling_fetches_ several.
  DecayingRate steady_reads_, steady_fetches_, reads_, recent_fetches_, settling_fetches_;
  TokenBucket fetch_tokens_, new_owner_tokens_, second_replica_tokens_;
};

} // namespace fernward::placement
