// Which caches are left out, and how they come back. Interface: include/fernward/choice.h
#include "policy/balancer.h"

#include <algorithm>

namespace fernward {

constexpr int kStrikes = 3;          // silent attempts in a row that eject; a refused one counts twice
constexpr double kMaxEjectMs = 8000; // the longest wait for a trial

// ---- health ----

bool Balancer::Impl::answers_others(const Replica& r) const {
  const double slow = (is_origin(r) ? origin_late : cache_late).slow_ms;
  return now - r.heard_at < 2 * std::max(slow, r.response(now, fleet_ms));
}

void Balancer::Impl::strike(Replica& r, int weight) {
  r.strikes += weight;
  if (r.ejected || r.strikes < kStrikes || is_origin(r)) return;
  // It is slow, or its connections break, but it is not gone. Unless it fails far more than most.
  if (answers_others(r) && r.failing < 0.5 + failing / 2) return;
  r.ejected = true;
  ejected += r.entry.state == ServerState::Ready;
  places.pace().disturb(now); // its keys fall to others now, long before the list tells
  postpone_trial(r);
  log("cache ejected, trial in ms:", r.trial_at - now);
}

void Balancer::Impl::postpone_trial(Replica& r) {
  r.trial_out = false;
  r.eject_ms = std::clamp(2 * r.eject_ms, std::min(2 * cache_late.slow_ms, kMaxEjectMs), kMaxEjectMs);
  r.trial_at = now + r.eject_ms * (0.75 + 0.5 * random.unit());
}

void Balancer::Impl::heard(Replica& r) {
  r.heard_at = now;
  r.strikes = 0;
  if (!r.ejected) {
    if (r.eject_ms > 0 && now - r.trial_at > kMaxEjectMs) r.eject_ms = 0;
    return;
  }
  r.ejected = r.trial_out = false;
  ejected -= r.entry.state == ServerState::Ready;
  r.trial_at = now;
}

} // namespace fernward
