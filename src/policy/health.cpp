// Which caches are left out, and how they come back. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>

namespace fernward {

bool Balancer::Impl::answers_others(const Replica& r) {
  return now - r.health.heard_at() < 2 * std::max(lateness(r).slow_threshold_ms, r.response(now, fleet_ms));
}

void Balancer::Impl::strike(Replica& r, int weight) {
  // It is slow, or its connections break, but it is not gone. Unless it fails far more than most.
  const bool stays = answers_others(r) && r.failing < 0.5 + failing / 2;
  if (!is_origin(r) && r.health.struck(now, weight, stays)) leave_out(r);
}

void Balancer::Impl::leave_out(Replica& r) {
  ejected += r.entry.state == ServerState::Ready;
  places.fill_rate_limiter().on_fleet_changed(now); // its keys fall to others now, long before the list tells
  postpone_trial(r);
  log("cache ejected, trial in ms:", r.health.trial_at() - now);
}

void Balancer::Impl::postpone_trial(Replica& r) {
  r.health.wait(now, cache_late.slow_threshold_ms, random.unit());
}

void Balancer::Impl::heard(Replica& r) {
  if (r.health.heard(now)) ejected -= r.entry.state == ServerState::Ready;
}

// ---- what routers tell one another ----

void Balancer::Impl::take(const OutlierReport& e) {
  Replica* r = find(e.server);
  if (r == nullptr || is_origin(*r)) return;
  if (!e.is_outlier) return r->health.told_well(now, e.observed_at);
  if (r->health.told_bad(e.observed_at)) leave_out(*r);
}

void Balancer::outlier_observations(std::vector<OutlierObservation>& to) const {
  for (const auto& [id, r] : impl_->replicas) {
    if (impl_->is_origin(r) || r.entry.state != ServerState::Ready) continue;
    const auto lost = static_cast<std::uint32_t>(r.health.strikes());
    to.push_back({id, lost, lost > 0 ? r.health.struck_at() : r.health.heard_at()});
  }
}

} // namespace fernward
