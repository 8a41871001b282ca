// Cache ejection and half-open trials. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>

namespace fernward {

bool Balancer::Impl::responded_recently(const Replica& replica) {
  return now - replica.outlier.last_response_at() <
         2 * std::max(slow_attempts(replica).slow_threshold_ms,
                      replica.expected_response_ms(now, mean_cache_response_ms));
}

void Balancer::Impl::record_failure(Replica& replica, int weight) {
  if (is_origin(replica)) return;
  if (outlier_ejection.record_failure(replica, now, weight, responded_recently(replica))) eject(replica);
}

void Balancer::Impl::eject(Replica& replica) {
  // Its keys move to other caches now, long before the endpoint list changes.
  placement.fill_rate_limiter().on_fleet_changed(now);
  schedule_trial(replica);
  log("cache ejected, trial in ms:", replica.outlier.next_trial_at() - now);
}

void Balancer::Impl::schedule_trial(Replica& replica) {
  replica.outlier.schedule_trial(now, cache_slow_attempts.slow_threshold_ms, random.next_unit());
}

void Balancer::Impl::record_success(Replica& replica) { outlier_ejection.record_success(replica, now); }

// ---- outlier reports between routers ----

void Balancer::Impl::on_outlier_report(const OutlierReport& report) {
  Replica* replica = find_server(report.server);
  if (replica == nullptr || is_origin(*replica)) return;
  if (outlier_ejection.apply_report(*replica, report, now)) eject(*replica);
}

void Balancer::outlier_observations(std::vector<OutlierObservation>& observations) const {
  for (const auto& [id, replica] : impl_->replicas) {
    if (impl_->is_origin(replica) || replica.entry.state != ServerState::Ready) continue;
    const auto failures = static_cast<std::uint32_t>(replica.outlier.consecutive_failures());
    observations.push_back(
        {id, failures,
         failures > 0 ? replica.outlier.last_failure_at() : replica.outlier.last_response_at()});
  }
}

} // namespace fernward
