// Outlier ejection: which caches are left out, over all of them. Interface: include/fernward/balancer.h
#pragma once

#include <cstddef>

#include "fernward/balancer.h"
#include "policy/replica.h"

namespace fernward {

/// Ejects caches whose attempts fail, and stops believing that when most look bad (panic). The states of one
/// cache are those of health::OutlierState. What it ejects the caller schedules a half-open trial for. Times:
/// milliseconds.
class OutlierEjection {
 public:
  /// `settings` is referred to and may change between calls.
  explicit OutlierEjection(const Settings& settings) : settings_(settings) {}

  /// To be called with `sign` -1 before a server's entry changes and with 1 after.
  void count(const Replica& replica, bool is_origin, int sign);
  std::size_t ready_caches() const { return ready_caches_; }
  std::size_t ejected() const { return ejected_; } // of those in service
  /// May requests go to this cache now?
  bool is_usable(const Replica& replica, double now) const;
  /// An attempt at a cache showed whether the cache is well.
  void record_attempt(Replica& replica, bool ok);
  /// True: the cache is ejected now. `responded_lately`: it has answered other attempts; `weight` as for
  /// health::OutlierState::record_failure().
  bool record_failure(Replica& replica, double now, int weight, bool responded_lately);
  void record_success(Replica& replica, double now);
  /// What several routers say of the cache. True: it is ejected now.
  bool on_report(Replica& replica, const OutlierReport& report, double now);

 private:
  bool is_panic() const;

  const Settings& settings_;
  std::size_t ready_caches_ = 0;
  std::size_t ejected_ = 0;
  double failure_rate_ = 0; // share of all caches' attempts that fail
};

} // namespace fernward
