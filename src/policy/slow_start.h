// Slow start: limits the requests sent to a recently started cache. Interface: include/fernward/balancer.h
#pragma once

#include "fernward/balancer.h"
#include "policy/replica.h"
#include "requests/request_state.h"

namespace fernward {

/// Keeps a recently started cache from being overloaded while it fills. Its capacity is assumed to grow
/// linearly over Settings::slow_start_ms, from Settings::slow_start_min_capacity to 1. Owned by
/// Balancer::Impl. Times: milliseconds.
class SlowStart {
 public:
  /// Keeps a reference to `settings`, which may change between calls.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  bool is_active(const Replica& replica, double now) const {
    return now - replica.slow_start_began_at < settings_.slow_start_ms;
  }
  /// Share of its capacity, 0 to 1, that the cache is assumed to have; 1 outside slow start.
  double capacity_factor(const Replica& replica, double now) const;
  /// Whether the request may be sent to this cache. `first_candidate`: it is the key's first candidate.
  /// Counts denials.
  bool admits(const Replica& replica, const RequestState& request, bool first_candidate, double now);
  void record_attempt_sent(const Replica& replica, double now) {
    counts_.attempts += is_active(replica, now);
  }
  const Balancer::SlowStartCounts& counts() const { return counts_; }

 private:
  const Settings& settings_;
  Balancer::SlowStartCounts counts_;
};

} // namespace fernward
