// Outlier ejection over all caches. Interface: include/fernward/balancer.h
#include "policy/outlier_ejection.h"

#include "statistics/numbers.h"

namespace fernward {
namespace {

constexpr double kPanicThreshold = 0.5; // share of the caches; if more are ejected, ejection is ignored
constexpr double kCacheFailureRateSampleWeight = 0.1; // weight of one attempt in the cache's rate
constexpr double kFleetFailureRateSampleWeight = 0.01;
constexpr double kToleratedFailureRate = 0.5; // of a cache that responds, if the other caches do not fail

} // namespace

void OutlierEjection::update_counts(const Replica& replica, bool is_origin, int count_change) {
  if (replica.entry.state != ServerState::Ready) return;
  ready_cache_count_ += is_origin ? 0 : count_change;
  ejected_count_ += replica.outlier.is_ejected() ? count_change : 0;
}

bool OutlierEjection::panic_threshold_exceeded() const {
  return static_cast<double>(ejected_count_) > kPanicThreshold * static_cast<double>(ready_cache_count_);
}

bool OutlierEjection::is_usable(const Replica& replica, double now) const {
  if (replica.entry.state != ServerState::Ready) return false;
  if (!replica.outlier.is_ejected() || panic_threshold_exceeded()) return true;
  // Without health checks a client request serves as the half-open trial, one at a time.
  return !settings_.may_health_check && replica.outlier.trial_due(now);
}

void OutlierEjection::record_attempt_result(Replica& replica, bool succeeded) {
  update_moving_average(replica.failure_rate, !succeeded, kCacheFailureRateSampleWeight);
  update_moving_average(fleet_failure_rate_, !succeeded, kFleetFailureRateSampleWeight);
}

bool OutlierEjection::record_failure(Replica& replica, double now, int weight, bool responded_recently) {
  // A cache that responds to other attempts is only slow, or its connections break: it is not ejected unless
  // it fails far more often than most.
  const bool exempt_from_ejection =
      responded_recently && replica.failure_rate < kToleratedFailureRate + fleet_failure_rate_ / 2;
  if (!replica.outlier.record_failure(now, weight, exempt_from_ejection)) return false;
  ejected_count_ += replica.entry.state == ServerState::Ready;
  return true;
}

void OutlierEjection::record_success(Replica& replica, double now) {
  if (replica.outlier.record_success(now)) ejected_count_ -= replica.entry.state == ServerState::Ready;
}

bool OutlierEjection::apply_report(Replica& replica, const OutlierReport& report, double now) {
  if (!report.is_outlier) {
    replica.outlier.on_reported_healthy(now, report.observed_at);
    return false;
  }
  if (!replica.outlier.on_reported_outlier(report.observed_at)) return false;
  ejected_count_ += replica.entry.state == ServerState::Ready;
  return true;
}

} // namespace fernward
