// Slow start: limits the requests sent to a recently started cache. Interface: include/fernward/balancer.h
#include "policy/slow_start.h"

#include <algorithm>

#include "statistics/numbers.h"

namespace fernward {
namespace {

constexpr double kLaterCandidateShare = 0.5; // relative to the key's first candidate

} // namespace

double SlowStart::capacity_factor(const Replica& replica, double now) const {
  if (!is_active(replica, now)) return 1;
  const double age_share = std::max(0.0, now - replica.slow_start_began_at) / settings_.slow_start_ms;
  return settings_.slow_start_min_capacity + (1 - settings_.slow_start_min_capacity) * age_share;
}

// One random number per request and cache, the same on every router: the total over all routers does not
// depend on their number. `slow_start_share` limits a popular key to the share of its requests that one cache
// can handle.
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
