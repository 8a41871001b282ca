// Slow start: how much a cache that has just started may be sent. Interface: include/fernward/balancer.h
#include "policy/slow_start.h"

#include <algorithm>

#include "statistics/numbers.h"

namespace fernward {
namespace {

constexpr double kLaterCandidateShare = 0.5; // of what the key's first candidate would be sent

} // namespace

double SlowStart::capacity_factor(const Replica& replica, double now) const {
  if (!is_active(replica, now)) return 1;
  const double age_share = std::max(0.0, now - replica.slow_start_began_at) / settings_.slow_start_ms;
  return settings_.slow_start_min_capacity + (1 - settings_.slow_start_min_capacity) * age_share;
}

// One draw for each request and cache, the same on every router: the sum over all routers does not depend on
// their number. `slow_start_share` cuts popular keys to what one cache can take of them.
bool SlowStart::admits(const Replica& replica, const RequestState& request, bool first_candidate,
                       double now) {
  if (!is_active(replica, now)) return true;
  const double draw = Random{request.params.id ^ mix(replica.entry.id)}.unit();
  const double candidate_share = first_candidate ? 1 : kLaterCandidateShare;
  const bool admitted = draw < candidate_share * request.slow_start_share * capacity_factor(replica, now);
  counts_.denied += !admitted;
  return admitted;
}

} // namespace fernward
