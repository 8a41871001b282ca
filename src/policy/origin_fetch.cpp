// Cache misses, writes and the origin. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <utility>

namespace fernward {

constexpr std::size_t kCachesStoringFetch = 2; // the first caches that missed store the fetched value

void Balancer::Impl::continue_after_miss(RequestState& request) {
  // Another candidate may hold the key at a lower cost than the origin. One attempt is reserved for the
  // origin.
  if (retry_policy.has_attempts_left(request, 1) && !request.pending_fill) {
    if (send_to_best_cache(request)) return;
    Replica* const additional_cache = placement.choose_additional_store(
        now, request.params.key, request.cache_misses.size(), [&](const Replica& replica) {
          return !request.has_tried(replica.entry.id) && outlier_ejection.is_usable(replica, now) &&
                 slow_start.admits(replica, request, true, now) &&
                 replica.limiter.has_capacity(now, replica.active_attempts());
        });
    if (additional_cache != nullptr && send_attempt(request, *additional_cache)) return;
  }
  const std::uint64_t key = request.params.key;
  if (key != 0 && !request.is_fetch_leader && fetch_coalescer.try_join_fetch(key, request.params.id)) return;
  queue_for_origin(request);
}

void Balancer::Impl::queue_for_origin(RequestState& request) {
  if (origin == nullptr) return give_up(request, GiveUpReason::NoEndpoint);
  if (const auto reason = retry_policy.retry_denial_reason(request, origin->entry, now))
    return give_up(request, *reason);
  request.queued_for_origin = origin_dispatch.queue.add(now, request.params.id, request.response_value,
                                                        request.response_deadline, request.params.write);
  if (!request.queued_for_origin) return give_up(request, GiveUpReason::QueueTimeout);
  if (!request.params.write && request.params.key != 0)
    request.is_fetch_leader = fetch_coalescer.try_start_fetch(request.params.key) || request.is_fetch_leader;
  dispatch_to_origin();
}

void Balancer::Impl::dispatch_to_origin() {
  if (dispatching_to_origin || origin == nullptr) return; // give_up() below may call this again
  dispatching_to_origin = true;
  origin_dispatch.update_service_rate(placement.fill_rate_limiter().max_fetches_per_ms(now));
  origin_dispatch.queue.take_expired(now, expired_request_ids);
  for (std::size_t i = 0; i < expired_request_ids.size(); ++i) {
    RequestState* request = find_request(expired_request_ids[i]);
    if (request != nullptr) request->queued_for_origin = false;
    if (request != nullptr && request->in_flight == 0) give_up(*request, GiveUpReason::QueueTimeout);
  }
  expired_request_ids.clear();
  while (const auto next_id = origin_dispatch.take_next_request(now, origin->active_attempts(),
                                                                placement.fill_rate_limiter())) {
    RequestState* request = find_request(*next_id);
    if (request == nullptr) continue;
    request->queued_for_origin = false;
    if (send_attempt(*request, *origin)) continue;
    const auto reason = retry_policy.attempt_denial_reason(*request, origin->entry, now);
    give_up(*request, reason.value_or(GiveUpReason::NoEndpoint));
  }
  dispatching_to_origin = false;
}

// A coalesced fetch has ended: its followers read the value that it stored, or the next of them fetches.
void Balancer::Impl::complete_fetch(RequestState& leader, bool response_stored) {
  leader.is_fetch_leader = false;
  const auto followers = fetch_coalescer.end_fetch(leader.params.key);
  if (!followers) return;
  for (std::size_t i = 0; response_stored && i < std::min(kCachesStoringFetch, leader.cache_misses.size());
       ++i) {
    placement.on_hit(leader.params.key, leader.cache_misses[i], leader.attempts.back().sent_at);
  }
  Replica* storing_cache = leader.cache_misses.empty() ? nullptr : find_server(leader.cache_misses.front());
  for (const RequestId id : *followers) {
    RequestState* follower = find_request(id);
    if (follower == nullptr) continue;
    if (response_stored && storing_cache != nullptr &&
        slow_start.admits(*storing_cache, *follower, true, now) && send_attempt(*follower, *storing_cache))
      continue;
    if (!fetch_coalescer.try_join_fetch(follower->params.key, id)) queue_for_origin(*follower);
  }
}

} // namespace fernward
