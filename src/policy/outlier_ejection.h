// Outlier ejection over all caches. Interface: include/fernward/balancer.h
#pragma once

#include <cstddef>

#include "fernward/balancer.h"
#include "policy/replica.h"

namespace fernward {

/// Ejects caches whose attempts fail. Ejection is ignored while too many caches are ejected (panic
/// threshold). The states of one cache are those of health::OutlierState. The caller schedules a half-open
/// trial for each cache that is ejected. Owned by Balancer::Impl. Times: milliseconds.
class OutlierEjection {
 public:
  /// Keeps a reference to `settings`, which may change between calls.
  explicit OutlierEjection(const Settings& settings) : settings_(settings) {}

  /// Must be called with `count_change` -1 before a server's entry changes and with 1 afterwards.
  void update_counts(const Replica& replica, bool is_origin, int count_change);
  std::size_t ready_cache_count() const { return ready_cache_count_; }
  std::size_t ejected_count() const { return ejected_count_; } // ready servers only
  /// Whether requests may be sent to this cache now.
  bool is_usable(const Replica& replica, double now) const;
  /// Records in the failure rates whether an attempt at a cache succeeded.
  void record_attempt_result(Replica& replica, bool succeeded);
  /// Returns true if the cache is now ejected. `responded_recently`: it recently responded to other attempts;
  /// `weight` as for health::OutlierState::record_failure().
  bool record_failure(Replica& replica, double now, int weight, bool responded_recently);
  void record_success(Replica& replica, double now);
  /// Applies a combined report of several routers. Returns true if the cache is now ejected.
  bool apply_report(Replica& replica, const OutlierReport& report, double now);

 private:
  bool panic_threshold_exceeded() const;

  const Settings& settings_;
  std::size_t ready_cache_count_ = 0;
  std::size_t ejected_count_ = 0;
  double fleet_failure_rate_ = 0; // share of failed attempts at all caches, moving average
};

} // namespace fernward
