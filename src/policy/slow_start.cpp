// Slow start: limits the requests sent to a recently started cache. Interface: include/fernward/balancer.h
#include "policy/slow_start.h"

#include <algorithm>

#include "statistics/numbers.h"

namespace fernward {
namespace {

constexpr double kLaterCandidateFactor = 0.5; // relative to the key's first candidate

} // namespace

double SlowStart::capacity_factor(const Replica& replica, double now) const {
  if (!is_active(replica, now)) return 1;
  const double elapsed_share = std::max(0.0, now - replica.slow_start_began_at) / settings_.slow_start_ms;
  return settings_.slow_start_min_capacity + (1 - settings_.slow_start_min_capacity) * elapsed_share;
}

// One random number per request and cache, the same on every router: the total over all routers does not
// depend on their number. `slow_start_admitted_share` limits a popular key to the share of its requests that
// one cache can handle.
bool SlowStart::admits(const Replica& replica, const RequestState& request, bool first_candidate,
                       double now) {
  if (!is_active(replica, now)) return true;
  const double random_unit = Random{request.params.id ^ mix_bits(replica.entry.id)}.next_unit();
  const double candidate_factor = first_candidate ? 1 : kLaterCandidateFactor;
  const bool admitted =
      random_unit < candidate_factor * request.slow_start_admitted_share * capacity_factor(replica, now);
  counts_.denied += !admitted;
  return admitted;
}

} // namespace fernward
