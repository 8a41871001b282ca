// Slow start: how much a cache that has just started may be sent. Interface: include/fernward/balancer.h
#pragma once

#include "fernward/balancer.h"
#include "policy/replica.h"
#include "requests/request_state.h"

namespace fernward {

/// Keeps a started cache from being overloaded while it fills. Its capacity is taken to grow evenly, over
/// Settings::slow_start_ms, from Settings::slow_start_min_capacity to all of it. Times: milliseconds.
class SlowStart {
 public:
  /// `settings` is referred to and may change between calls.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  bool is_active(const Replica& replica, double now) const {
    return now - replica.slow_start_began_at < settings_.slow_start_ms;
  }
  /// The share of its capacity, 0 to 1, that the cache surely has; 1 outside slow start.
  double capacity_factor(const Replica& replica, double now) const;
  /// May the request go to this cache? `first_candidate`: the cache is the key's first. Counts what it
  /// denies.
  bool admits(const Replica& replica, const RequestState& request, bool first_candidate, double now);
  void record_attempt(const Replica& replica, double now) { counts_.attempts += is_active(replica, now); }
  const Balancer::SlowStartCounts& counts() const { return counts_; }

 private:
  const Settings& settings_;
  Balancer::SlowStartCounts counts_;
};

} // namespace fernward
