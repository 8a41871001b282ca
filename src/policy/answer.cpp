// The final answer. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

namespace fernward {

// ---- the final answer ----

// The client has its answer, or has gone.
void Balancer::Impl::finish(RequestState& o, bool served) {
  o.over = true;
  if (o.queued) origin_queue.remove(o.in.id);
  o.queued = false;
  cancel_out(o, o.attempts.size());
  if (o.leads) end_fetch(o, served);
  if (o.out == 0) done.push_back(o.in.id);
}

void Balancer::Impl::cancel_out(const RequestState& o, std::size_t but) {
  for (std::size_t i = 0; i < o.attempts.size(); ++i) {
    const Attempt& a = o.attempts[i];
    // What the origin has begun it goes on with: its answer is waited for, so that its limit counts it.
    const bool waited_for = a.watched || (origin != nullptr && a.server == origin->entry.id);
    if (i != but && a.out && set.may_cancel && !waited_for) {
      act(Cancel{o.in.id, static_cast<std::uint32_t>(i)});
    }
  }
}

// Refuses where the promise that a further try is harmless holds, else fails. Where it is crowded clients are
// to stay away; else this request had bad luck, and a slow answer's time is enough for what it met to pass.
void Balancer::Impl::conclude(RequestState& o, GiveUpReason why) {
  if (o.out > 0 && now < o.end_at) return; // what is out, late as it is, may yet be answered
  const ClassSettings& c = set.classes[o.in.class_index];
  const bool clean = o.out == 0 && !o.maybe_ran;
  if (clean || c.idempotency == Idempotency::Idempotent ||
      (c.idempotency == Idempotency::WithKey && c.idempotency_scope == IdempotencyScope::All)) {
    const bool stay_away = why == GiveUpReason::Shed || why == GiveUpReason::QueueTimeout ||
                           why == GiveUpReason::ResponseTimeout || why == GiveUpReason::NotSent;
    const double wait =
        stay_away ? set.max_retry_after_ms : std::min(set.max_retry_after_ms, cache_late.slow_threshold_ms);
    act(Reject{o.in.id, set.send_retry_after ? wait : 0, why});
  } else {
    act(Fail{o.in.id, why});
  }
  finish(o, false);
}

// What keeps a request from being sent to `r`, in service or not.
GiveUpReason Balancer::Impl::blocked(const RequestState& o, const Replica& r) const {
  if (o.attempts.size() >= set.max_attempts_of(o.in.class_index)) return GiveUpReason::AttemptLimit;
  if (!repeatable(o, r)) return GiveUpReason::NotIdempotent;
  return now >= o.end_at ? GiveUpReason::NotSent : GiveUpReason::NoEndpoint;
}

void Balancer::Impl::take(const ClientDisconnected& e) {
  if (RequestState* o = live(e.id)) finish(*o, false);
}

} // namespace fernward
