// Misses, writes and the origin. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <utility>

namespace fernward {

// ---- misses and the origin ----

void Balancer::Impl::after_miss(RequestState& o) {
  // Another candidate may hold it, at a lower price than the origin's; one attempt is kept for that.
  if (o.attempts.size() + 1 < set.max_attempts_of(o.in.class_index) && !o.filling) {
    if (choose(o)) return;
    Replica* const too = places.choose_second_store(now, o.in.key, o.missed.size(), [&](const Replica& r) {
      return !o.tried(r.entry.id) && usable(r) && start_allows(r, o, true) &&
             r.gate.has_capacity(now, r.working());
    });
    if (too != nullptr && send(o, *too)) return;
  }
  if (const auto it = fetches.find(o.in.key); o.in.key != 0 && it != fetches.end() && !o.leads) {
    it->second.push_back(o.in.id);
    return;
  }
  to_origin(o);
}

void Balancer::Impl::to_origin(RequestState& o) {
  if (origin == nullptr) return conclude(o, GiveUpReason::NoEndpoint);
  if (o.attempts.size() >= set.max_attempts_of(o.in.class_index) || !repeatable(o, *origin))
    return conclude(o, blocked(o, *origin));
  o.queued = origin_queue.add(now, o.in.id, o.value, o.end_at, o.in.write);
  if (!o.queued) return conclude(o, GiveUpReason::QueueTimeout);
  if (!o.in.write && o.in.key != 0) o.leads = fetches.try_emplace(o.in.key).second || o.leads;
  pump_origin();
}

void Balancer::Impl::pump_origin() {
  if (pumping || origin == nullptr) return; // concluding one below may bring in another
  pumping = true;
  // A closed loop: what may be out, each for a response time.
  const double answer_ms = origin_limit.latency_ms();
  const double most = places.fill_rate_limiter().max_fetches_per_ms(now),
               all = std::min(origin_limit.limit(), origin_places.capacity()),
               turns = answer_ms > 0 ? all / answer_ms : 0;
  origin_queue.set_service_rate(most > 0 && turns > 0 ? std::min(most, turns) : turns, answer_ms);
  origin_queue.take_expired(now, leaving_queue);
  for (std::size_t i = 0; i < leaving_queue.size(); ++i) {
    RequestState* o = live(leaving_queue[i]);
    if (o != nullptr) o->queued = false;
    if (o != nullptr && o->out == 0) conclude(*o, GiveUpReason::QueueTimeout);
  }
  leaving_queue.clear();
  while (true) {
    const std::uint32_t out = origin->working();
    const bool place = origin_places.has_capacity(now, out);
    const bool read_room =
        place && origin_limit.has_capacity(now, out, false) && places.fill_rate_limiter().may_fetch(now);
    const auto next = origin_queue.take(now, read_room, place && origin_limit.has_capacity(now, out, true));
    if (!next) break;
    RequestState* o = live(*next);
    if (o == nullptr) continue;
    o->queued = false;
    if (!send(*o, *origin)) conclude(*o, blocked(*o, *origin));
  }
  pumping = false;
}

// The fetch that others waited for is over: they read what it stored, or the next of them fetches.
void Balancer::Impl::end_fetch(RequestState& leader, bool stored) {
  leader.leads = false;
  const auto it = fetches.find(leader.in.key);
  if (it == fetches.end()) return;
  const auto followers = std::move(it->second);
  fetches.erase(it);
  for (std::size_t i = 0; stored && i < std::min<std::size_t>(2, leader.missed.size()); ++i) {
    places.on_hit(leader.in.key, leader.missed[i], leader.attempts.back().sent_at);
  }
  Replica* holder = leader.missed.empty() ? nullptr : find(leader.missed.front());
  for (const RequestId id : followers) {
    RequestState* o = live(id);
    if (o == nullptr) continue;
    if (stored && holder != nullptr && start_allows(*holder, *o, true) && send(*o, *holder)) continue;
    if (const auto next = fetches.find(o->in.key); next != fetches.end()) {
      next->second.push_back(id);
    } else {
      to_origin(*o);
    }
  }
}

} // namespace fernward
