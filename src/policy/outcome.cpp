// An attempt ends or is overdue: what it teaches, and what comes next. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <utility>

namespace fernward {

constexpr std::uint64_t kWatched = 4; // one in so many late attempts is never withdrawn

// ---- an attempt ends ----

void Balancer::Impl::take(const AttemptOutcome& e) {
  const auto it = open.find(e.id);
  if (it == open.end() || e.attempt >= it->second.attempts.size()) return;
  RequestState& o = it->second;
  Attempt& a = o.attempts[e.attempt];
  if (!a.out) return;
  a.out = false;
  --o.out;
  if (Replica* r = find(a.server)) learn(o, a, *r, e);
  const bool ran = may_have_run(e.result);
  o.maybe_ran |= ran;
  if (ran && o.in.write) places.on_write(o.in.key, now);
  if (!o.over && e.request_ended) finish(o, e.result == AttemptResult::Ok);
  if (!o.over) next_step(o, e);
  if (o.over && o.out == 0) open.erase(e.id);
  pump_origin();
}

// From an attempt's end; of an answer that is passed on from its beginning, as its end is its client's.
void Balancer::Impl::learn(RequestState& o, Attempt& a, Replica& r, const AttemptOutcome& e) {
  if (r.report(now, set.load_report_fields, e.load_report) && !is_origin(r))
    smooth(fleet_queue, r.queue, 0.02);
  if (a.opened && e.result == AttemptResult::Ok) return;
  r.open -= !a.opened && r.open > 0;
  r.hung -= std::exchange(a.hung, false) && r.hung > 0;
  const double elapsed = usable_number(e.elapsed_ms) ? e.elapsed_ms : now - a.sent_at;
  if (e.result == AttemptResult::Ok || e.result == AttemptResult::CacheMiss)
    r.overtaken_at = std::max(r.overtaken_at, a.sent_at);
  allowance.on_attempt_ended(now, limit(o, r, e, elapsed), failed(e.result));
  if (std::exchange(a.watched, false)) lateness(r).on_slow_attempt_ended(e.result != AttemptResult::TimedOut);
  is_origin(r) ? learn_origin(r, e, elapsed) : learn_cache(o, a, r, e, elapsed);
}

// What the end tells of the server's crowding; true: a sign of it.
bool Balancer::Impl::limit(const RequestState& o, Replica& r, const AttemptOutcome& e, double elapsed) {
  if (!is_origin(r)) {
    if (e.result == AttemptResult::Overloaded) r.gate.decrease(now, 0.7);
    const bool silent = e.result == AttemptResult::Cancelled || e.result == AttemptResult::TimedOut;
    // Else the limit would stand still just when nothing comes back in time any more.
    if (e.result == AttemptResult::Ok ||
        (silent && elapsed > concurrency::kCrowdedShareOfObjective * aim_of(o)))
      return r.gate.on_response(now, elapsed, aim_of(o), r.working());
    return e.result == AttemptResult::Overloaded;
  }
  // A connection refused by one that works: it wants places for connections, not room for work.
  const bool connects = e.result == AttemptResult::ConnectFailed && answers_others(r);
  if (connects || (e.result == AttemptResult::Overloaded && e.first_on_connection)) {
    origin_places.on_connection_refused(now, r.working(), origin_limit.latency_ms(), random.unit());
    log("origin refuses further connections, in use:", r.working());
    return false;
  }
  concurrency::AttemptSample s{concurrency::AttemptOutcome::Answered,
                               elapsed,
                               o.in.expected_work_ms,
                               aim_of(o),
                               o.in.write,
                               r.working()};
  switch (e.result) {
    case AttemptResult::CacheMiss: // quick, whatever the server is about
    case AttemptResult::InvalidRequest:
    case AttemptResult::Abandoned: return false;
    case AttemptResult::Ok: origin_places.on_connection_used(r.working() + 1); break;
    case AttemptResult::Overloaded: s.outcome = concurrency::AttemptOutcome::Rejected; break;
    case AttemptResult::ConnectFailed: s.outcome = concurrency::AttemptOutcome::ConnectFailed; break;
    case AttemptResult::Error:
    case AttemptResult::Reset: s.outcome = concurrency::AttemptOutcome::Fault; break;
    case AttemptResult::TimedOut: s.outcome = concurrency::AttemptOutcome::TimedOut; break;
    case AttemptResult::Cancelled: // as its time had run out, or as another copy was quicker
      s.outcome =
          now >= o.end_at ? concurrency::AttemptOutcome::TimedOut : concurrency::AttemptOutcome::Cancelled;
  }
  const concurrency::DecreaseReason sign = origin_limit.on_attempt_ended(now, s);
  if (sign == concurrency::DecreaseReason::Rejected)
    log("origin crowded, attempts at once cut to", origin_limit.limit());
  return sign == concurrency::DecreaseReason::Rejected || sign == concurrency::DecreaseReason::Slow;
}

void Balancer::Impl::learn_cache(RequestState& o, const Attempt& a, Replica& r, const AttemptOutcome& e,
                                 double elapsed) {
  const bool well = e.result == AttemptResult::Ok || e.result == AttemptResult::CacheMiss ||
                    e.result == AttemptResult::Overloaded;
  // A connection that its cache had closed while it rested: the cache is well, the next connection will do.
  const bool stale = e.result == AttemptResult::Reset && e.on_reused_connection;
  if (e.result != AttemptResult::Cancelled && e.result != AttemptResult::Abandoned && !stale) {
    smooth(r.failing, !well, 0.1);
    smooth(failing, !well, 0.01);
  }
  switch (e.result) {
    case AttemptResult::Ok:
      heard(r);
      smooth(fleet_ms, elapsed, 0.02);
      cache_late.on_response(elapsed);
      r.answered(now, elapsed);
      note_hit(o, a, true);
      break;
    case AttemptResult::CacheMiss:
      heard(r);
      note_hit(o, a, false);
      o.missed.push_back(r.entry.id);
      break;
    case AttemptResult::
        Overloaded: // for about as long as one request takes, another would be turned away too
      r.health.lives(now);
      shedder.choices_without_capacity += e.attempt > 0; // not its first: the caches are full, not just one
      r.full_until = now + (r.service_ms > 0 ? r.service_ms : r.response(now, fleet_ms));
      break;
    case AttemptResult::ConnectFailed:
    case AttemptResult::Reset: strike(r, stale ? 0 : 2); break;
    case AttemptResult::Error:
      strike(r, 1);
      break; // one that only errs is ejected, one that errs now and then not
    case AttemptResult::Cancelled:
    case AttemptResult::TimedOut:
      if (elapsed > r.response(now, fleet_ms)) r.answered(now, elapsed); // it took at least this long
      if (elapsed > fleet_ms) smooth(fleet_ms, elapsed, 0.02);
      if (e.result == AttemptResult::TimedOut) strike(r, 1);
      break;
    default: break;
  }
  if (r.health.out() && e.result != AttemptResult::Overloaded) postpone_trial(r);
}

void Balancer::Impl::note_hit(RequestState& o, const Attempt& a, bool hit) {
  if (hit && o.filling)
    places.fill_rate_limiter().refund(*std::exchange(o.filling, {})); // another router's fetch filled it
  if (set.origin_kind < 0 || o.in.key == 0) return;
  hit ? places.on_hit(o.in.key, a.server, a.sent_at) : places.on_miss(o.in.key, a.server);
}

void Balancer::Impl::learn_origin(Replica& r, const AttemptOutcome& e, double elapsed) {
  if (e.result != AttemptResult::Ok) return;
  r.health.lives(now);
  r.answered(now, elapsed);
  origin_late.on_response(elapsed);
}

void Balancer::Impl::next_step(RequestState& o, const AttemptOutcome& e) {
  // A copy that is late may be on a connection that fell silent: it is not waited for, as far as copies go.
  if (o.queued || o.waits_well() || (o.out > 0 && (o.streaming || !set.may_hedge))) return;
  if (o.out > 0 && !allowance.try_consume(now, concurrency::RetryBudget::Use::Hedge, 0)) return;
  if (e.result == AttemptResult::CacheMiss) return after_miss(o);
  if (o.leads) end_fetch(o, false);
  if (e.result == AttemptResult::InvalidRequest) { // asked again it would use up what others may need
    act(Fail{o.in.id, GiveUpReason::InvalidRequest});
    return finish(o, false);
  }
  if (e.result == AttemptResult::Abandoned || e.body_consumed)
    return conclude(o, e.body_consumed ? GiveUpReason::NotIdempotent : GiveUpReason::NoEndpoint);
  // Turned away unseen or never connected costs a server next to nothing; the attempt limit bounds it.
  if (e.result != AttemptResult::Overloaded && e.result != AttemptResult::ConnectFailed) {
    const bool at_origin = origin != nullptr && e.server == origin->entry.id;
    const double crowding = at_origin ? origin_limit.utilization(now, origin->working()) : 0;
    if (!allowance.try_consume(now, concurrency::RetryBudget::Use::Retry, crowding))
      return conclude(o, GiveUpReason::RetryBudgetEmpty);
  }
  if (origin != nullptr && e.server == origin->entry.id) {
    // A fault, not crowding: there is nothing to wait for. Or a place, which the queue waits for.
    const double place_ms = origin_places.wait_ms(now, origin->working());
    if (place_ms > 0) act(SetTimer{place_ms, token(Timer::Again, o.in.id)});
    if (e.result == AttemptResult::Error || e.result == AttemptResult::Reset || place_ms > 0)
      return to_origin(o);
    if (!repeatable(o, *origin)) return conclude(o, GiveUpReason::NotIdempotent);
    const double wait = std::max(origin_limit.latency_ms(), set.event_interval_ms) * (0.5 + random.unit());
    if (now + wait >= o.end_at) return conclude(o, GiveUpReason::QueueTimeout); // to give up is to answer now
    return act(SetTimer{wait, token(Timer::Again, o.in.id)});
  }
  if (!choose(o)) to_origin(o); // which concludes where there is none
}

void Balancer::Impl::take(const ResponseStarted& e) {
  RequestState* o = live(e.id);
  if (o == nullptr || e.attempt >= o->attempts.size() || !o->attempts[e.attempt].out) return;
  if (Replica* r = find(e.server)) learn(*o, o->attempts[e.attempt], *r, answered(e));
  o->attempts[e.attempt].opened = o->streaming = true;
  cancel_out(*o, e.attempt); // the slower copy
  // The origin has made its answer: who waits for that need not wait for this one's client to read it.
  if (o->leads) end_fetch(*o, origin != nullptr && e.server == origin->entry.id);
}

void Balancer::Impl::take(const HealthCheckResult& e) {
  Replica* r = find(e.server);
  if (r == nullptr) return;
  r->report(now, set.load_report_fields, e.load_report);
  if (e.ok) heard(*r);
  if (r->health.out()) postpone_trial(*r);
}

// Slower than nearly all: the server may be stuck, or the connection; a second copy may be quicker.
void Balancer::Impl::overdue(RequestState& o, std::size_t attempt) {
  if (attempt >= o.attempts.size() || !o.attempts[attempt].out) return;
  Attempt& a = o.attempts[attempt];
  Replica* r = find(a.server);
  if (r == nullptr || a.late) return;
  a.late = true;
  a.watched = is_origin(*r) || mix(o.in.id) % kWatched == 0;
  a.hung = r->overtaken_at > a.sent_at && lateness(*r).expects_dead_attempts();
  r->hung += a.hung;
  strike(*r, 1);
  const bool safe = set.classes[o.in.class_index].idempotency == Idempotency::Idempotent;
  if (!set.may_hedge_class(o.in.class_index) && set.may_cancel && safe && allowance.balance() >= 1 &&
      o.attempts.size() < set.max_attempts_of(o.in.class_index)) {
    act(Cancel{o.in.id, static_cast<std::uint32_t>(attempt)}); // its outcome brings the next attempt
  }
  if (!set.may_hedge_class(o.in.class_index) || o.queued || o.waits_well()) return;
  // At the origin a copy costs as much as a fetch, so one is sent only where the connection is at fault.
  const bool at_origin = is_origin(*r);
  const double crowding = at_origin ? origin_limit.utilization(now, r->working()) : 0;
  if ((at_origin && !a.hung) || !allowance.try_consume(now, concurrency::RetryBudget::Use::Hedge, crowding))
    return;
  const bool sent =
      !at_origin ? choose(o) : origin_limit.has_capacity(now, r->working(), o.in.write) && send(o, *r);
  if (!sent) allowance.refund(concurrency::RetryBudget::Use::Hedge);
}

} // namespace fernward
