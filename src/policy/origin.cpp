// Cache misses, writes and the origin. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <utility>

namespace fernward {

constexpr std::size_t kCachesThatStore = 2; // the first caches that missed store the fetched value

void Balancer::Impl::continue_after_miss(RequestState& request) {
  // Another candidate may hold the key at a lower cost than the origin. One attempt is reserved for the
  // origin.
  if (retry_policy.has_attempts_left(request, 1) && !request.pending_fill) {
    if (send_to_best_cache(request)) return;
    Replica* const too = placement.choose_second_store(
        now, request.params.key, request.cache_misses.size(), [&](const Replica& r) {
          return !request.has_tried(r.entry.id) && ejection.is_usable(r, now) &&
                 slow_start.admits(r, request, true, now) && r.limiter.has_capacity(now, r.active());
        });
    if (too != nullptr && send_attempt(request, *too)) return;
  }
  const std::uint64_t key = request.params.key;
  if (key != 0 && !request.leads_fetch && fetches.follow(key, request.params.id)) return;
  queue_for_origin(request);
}

void Balancer::Impl::queue_for_origin(RequestState& request) {
  if (origin == nullptr) return give_up(request, GiveUpReason::NoEndpoint);
  if (const auto reason = retry_policy.retry_denied(request, origin->entry, now))
    return give_up(request, *reason);
  request.queued_for_origin = origin_dispatch.queue.add(now, request.params.id, request.value,
                                                        request.answer_by, request.params.write);
  if (!request.queued_for_origin) return give_up(request, GiveUpReason::QueueTimeout);
  if (!request.params.write && request.params.key != 0)
    request.leads_fetch = fetches.lead(request.params.key) || request.leads_fetch;
  dispatch_to_origin();
}

void Balancer::Impl::dispatch_to_origin() {
  if (dispatching_origin || origin == nullptr) return; // give_up() below may call this again
  dispatching_origin = true;
  origin_dispatch.update_service_rate(placement.fill_rate_limiter().max_fetches_per_ms(now));
  origin_dispatch.queue.take_expired(now, expired);
  for (std::size_t i = 0; i < expired.size(); ++i) {
    RequestState* request = find_request(expired[i]);
    if (request != nullptr) request->queued_for_origin = false;
    if (request != nullptr && request->in_flight == 0) give_up(*request, GiveUpReason::QueueTimeout);
  }
  expired.clear();
  while (const auto next = origin_dispatch.next(now, origin->active(), placement.fill_rate_limiter())) {
    RequestState* request = find_request(*next);
    if (request == nullptr) continue;
    request->queued_for_origin = false;
    if (send_attempt(*request, *origin)) continue;
    const auto reason = retry_policy.attempt_denied(*request, origin->entry, now);
    give_up(*request, reason.value_or(GiveUpReason::NoEndpoint));
  }
  dispatching_origin = false;
}

// A coalesced fetch has ended: its followers read the value that it stored, or the next of them fetches.
void Balancer::Impl::complete_fetch(RequestState& leader, bool stored) {
  leader.leads_fetch = false;
  const auto followers = fetches.end(leader.params.key);
  if (!followers) return;
  for (std::size_t i = 0; stored && i < std::min(kCachesThatStore, leader.cache_misses.size()); ++i) {
    placement.on_hit(leader.params.key, leader.cache_misses[i], leader.attempts.back().sent_at);
  }
  Replica* holder = leader.cache_misses.empty() ? nullptr : find_server(leader.cache_misses.front());
  for (const RequestId id : *followers) {
    RequestState* request = find_request(id);
    if (request == nullptr) continue;
    if (stored && holder != nullptr && slow_start.admits(*holder, *request, true, now) &&
        send_attempt(*request, *holder))
      continue;
    if (!fetches.follow(request->params.key, id)) queue_for_origin(*request);
  }
}

} // namespace fernward
