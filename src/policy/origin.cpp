// Misses, writes and the origin. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <utility>

namespace fernward {

// ---- misses and the origin ----

void Balancer::Impl::continue_after_miss(RequestState& request) {
  // Another candidate may hold it, at a lower price than the origin's; one attempt is kept for that.
  if (request.attempts.size() + 1 < settings.max_attempts_of(request.params.class_index) &&
      !request.pending_fill) {
    if (send_to_best_cache(request)) return;
    Replica* const too =
        placement.store_too(now, request.params.key, request.cache_misses.size(), [&](const Replica& r) {
          return !request.has_tried(r.entry.id) && is_usable(r) && slow_start_admits(r, request, true) &&
                 r.limiter.room(now, r.active());
        });
    if (too != nullptr && send_attempt(request, *too)) return;
  }
  if (const auto it = fetch_followers.find(request.params.key);
      request.params.key != 0 && it != fetch_followers.end() && !request.leads_fetch) {
    it->second.push_back(request.params.id);
    return;
  }
  queue_for_origin(request);
}

void Balancer::Impl::queue_for_origin(RequestState& request) {
  if (origin == nullptr) return give_up(request, GiveUpReason::NoEndpoint);
  if (request.attempts.size() >= settings.max_attempts_of(request.params.class_index) ||
      !may_attempt_at(request, *origin))
    return give_up(request, give_up_reason(request, *origin));
  request.queued_for_origin =
      origin_queue.add(now, request.params.id, request.value, request.answer_by, request.params.write);
  if (!request.queued_for_origin) return give_up(request, GiveUpReason::QueueTimeout);
  if (!request.params.write && request.params.key != 0)
    request.leads_fetch = fetch_followers.try_emplace(request.params.key).second || request.leads_fetch;
  dispatch_to_origin();
}

void Balancer::Impl::dispatch_to_origin() {
  if (dispatching_origin || origin == nullptr) return; // concluding one below may bring in another
  dispatching_origin = true;
  // A closed loop: what may be out, each for a response time.
  const double answer_ms = origin_limit.recent_ms();
  const double most = placement.pace().per_ms(now),
               all = std::min(origin_limit.limit(), origin_connections.most()),
               turns = answer_ms > 0 ? all / answer_ms : 0;
  origin_queue.serves(most > 0 && turns > 0 ? std::min(most, turns) : turns, answer_ms);
  origin_queue.leave(now, expired);
  for (std::size_t i = 0; i < expired.size(); ++i) {
    RequestState* request = find_request(expired[i]);
    if (request != nullptr) request->queued_for_origin = false;
    if (request != nullptr && request->in_flight == 0) give_up(*request, GiveUpReason::QueueTimeout);
  }
  expired.clear();
  while (true) {
    const std::uint32_t out = origin->active();
    const bool place = origin_connections.room(now, out);
    const bool read_room = place && origin_limit.room(now, out, false) && placement.pace().may_fetch(now);
    const auto next = origin_queue.take(now, read_room, place && origin_limit.room(now, out, true));
    if (!next) break;
    RequestState* request = find_request(*next);
    if (request == nullptr) continue;
    request->queued_for_origin = false;
    if (!send_attempt(*request, *origin)) give_up(*request, give_up_reason(*request, *origin));
  }
  dispatching_origin = false;
}

// The fetch that others waited for is over: they read what it stored, or the next of them fetches.
void Balancer::Impl::complete_fetch(RequestState& leader, bool stored) {
  leader.leads_fetch = false;
  const auto it = fetch_followers.find(leader.params.key);
  if (it == fetch_followers.end()) return;
  const auto followers = std::move(it->second);
  fetch_followers.erase(it);
  for (std::size_t i = 0; stored && i < std::min<std::size_t>(2, leader.cache_misses.size()); ++i) {
    placement.hit(leader.params.key, leader.cache_misses[i], leader.attempts.back().sent_at);
  }
  Replica* holder = leader.cache_misses.empty() ? nullptr : find_server(leader.cache_misses.front());
  for (const RequestId id : followers) {
    RequestState* request = find_request(id);
    if (request == nullptr) continue;
    if (stored && holder != nullptr && slow_start_admits(*holder, *request, true) &&
        send_attempt(*request, *holder))
      continue;
    if (const auto next = fetch_followers.find(request->params.key); next != fetch_followers.end()) {
      next->second.push_back(id);
    } else {
      queue_for_origin(*request);
    }
  }
}

} // namespace fernward
