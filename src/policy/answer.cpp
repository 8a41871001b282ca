// The final answer. Interface: include/fernward/choice.h
#include "policy/balancer.h"

namespace fernward {

// ---- the final answer ----

// The client has its answer, or has gone.
void Balancer::Impl::finish(Open& o, bool served) {
  o.over = true;
  if (o.queued) origin_queue.remove(o.in.id);
  o.queued = false;
  cancel_out(o, o.attempts.size());
  if (o.leads) end_fetch(o, served);
  if (o.out == 0) done.push_back(o.in.id);
}

void Balancer::Impl::cancel_out(const Open& o, std::size_t but) {
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
void Balancer::Impl::conclude(Open& o, Why why) {
  if (o.out > 0 && now < o.end_at) return; // what is out, late as it is, may yet be answered
  const ClassSettings& c = set.classes[o.in.cls];
  const bool clean = o.out == 0 && !o.maybe_ran;
  if (clean || c.repeat == Repeat::Safe || (c.repeat == Repeat::Keyed && c.scope == Scope::All)) {
    const bool stay_away =
        why == Why::Shed || why == Why::QueuedLate || why == Why::Unanswered || why == Why::Unsent;
    const double wait =
        stay_away ? set.max_retry_after_ms : std::min(set.max_retry_after_ms, cache_late.slow_ms);
    act(Refuse{o.in.id, set.retry_advice ? wait : 0, why});
  } else {
    act(Fail{o.in.id, why});
  }
  finish(o, false);
}

// What keeps a request from being sent to `r`, in service or not.
Why Balancer::Impl::blocked(const Open& o, const Replica& r) const {
  if (o.attempts.size() >= set.attempts_of(o.in.cls)) return Why::Attempts;
  if (!repeatable(o, r)) return Why::Class;
  return now >= o.end_at ? Why::Unsent : Why::NoTarget;
}

void Balancer::Impl::take(const ClientGone& e) {
  if (Open* o = live(e.id)) finish(*o, false);
}

} // namespace fernward
