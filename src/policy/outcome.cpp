// An attempt ends or is overdue: what it teaches, and what comes next. Interface: include/fernward/choice.h
#include "policy/balancer.h"

#include <algorithm>
#include <utility>

namespace fernward {

constexpr std::uint64_t kWatched = 4; // one in so many late attempts is never withdrawn

// ---- an attempt ends ----

void Balancer::Impl::take(const Outcome& e) {
  const auto it = open.find(e.id);
  if (it == open.end() || e.attempt >= it->second.attempts.size()) return;
  Open& o = it->second;
  Attempt& a = o.attempts[e.attempt];
  if (!a.out) return;
  a.out = false;
  --o.out;
  if (Replica* r = find(a.server)) learn(o, a, *r, e);
  const bool ran = may_have_run(e.result);
  o.maybe_ran |= ran;
  if (ran && o.in.write) places.wrote(o.in.key, now);
  if (!o.over && e.ended) finish(o, e.result == Result::Ok);
  if (!o.over) next_step(o, e);
  if (o.over && o.out == 0) open.erase(e.id);
  pump_origin();
}

// From an attempt's end; of an answer that is passed on from its beginning, as its end is its client's.
void Balancer::Impl::learn(Open& o, Attempt& a, Replica& r, const Outcome& e) {
  if (r.report(now, set.report_fields, e.report) && !is_origin(r)) smooth(fleet_queue, r.queue, 0.02);
  if (a.opened && e.result == Result::Ok) return;
  r.open -= !a.opened && r.open > 0;
  r.hung -= std::exchange(a.hung, false) && r.hung > 0;
  const double elapsed = usable_number(e.elapsed_ms) ? e.elapsed_ms : now - a.sent_at;
  if (e.result == Result::Ok || e.result == Result::Miss)
    r.overtaken_at = std::max(r.overtaken_at, a.sent_at);
  allowance.ended(now, limit(o, r, e, elapsed), failed(e.result));
  if (std::exchange(a.watched, false)) lateness(r).ended(e.result != Result::TimedOut);
  is_origin(r) ? learn_origin(r, e, elapsed) : learn_cache(o, a, r, e, elapsed);
}

// What the end tells of the server's crowding; true: a sign of it.
bool Balancer::Impl::limit(const Open& o, Replica& r, const Outcome& e, double elapsed) {
  if (!is_origin(r)) {
    if (e.result == Result::Full) r.gate.cut(now, 0.7);
    const bool silent = e.result == Result::Cancelled || e.result == Result::TimedOut;
    // Else the limit would stand still just when nothing comes back in time any more.
    if (e.result == Result::Ok || (silent && elapsed > limits::kTightAim * aim_of(o)))
      return r.gate.answered(now, elapsed, aim_of(o), r.working());
    return e.result == Result::Full;
  }
  // A connection refused by one that works: it wants places for connections, not room for work.
  const bool connects = e.result == Result::ConnectFailed && answers_others(r);
  if (connects || (e.result == Result::Full && e.first)) {
    origin_places.refused(now, r.working(), origin_limit.recent_ms(), random.unit());
    log("origin refuses further connections, in use:", r.working());
    return false;
  }
  limits::Sample s{limits::Ending::Answered, elapsed, o.in.work_ms, aim_of(o), o.in.write, r.working()};
  switch (e.result) {
    case Result::Miss: // quick, whatever the server is about
    case Result::Rejected:
    case Result::Moot: return false;
    case Result::Ok: origin_places.had(r.working() + 1); break;
    case Result::Full: s.ending = limits::Ending::TurnedAway; break;
    case Result::ConnectFailed: s.ending = limits::Ending::Unreached; break;
    case Result::Error:
    case Result::Reset: s.ending = limits::Ending::Fault; break;
    case Result::TimedOut: s.ending = limits::Ending::Silent; break;
    case Result::Cancelled: // as its time had run out, or as another copy was quicker
      s.ending = now >= o.end_at ? limits::Ending::Silent : limits::Ending::Withdrawn;
  }
  const limits::Sign sign = origin_limit.ended(now, s);
  if (sign == limits::Sign::TurnedAway) log("origin crowded, attempts at once cut to", origin_limit.limit());
  return sign == limits::Sign::TurnedAway || sign == limits::Sign::Slow;
}

void Balancer::Impl::learn_cache(Open& o, const Attempt& a, Replica& r, const Outcome& e, double elapsed) {
  const bool well = e.result == Result::Ok || e.result == Result::Miss || e.result == Result::Full;
  // A connection that its cache had closed while it rested: the cache is well, the next connection will do.
  const bool stale = e.result == Result::Reset && e.rested;
  if (e.result != Result::Cancelled && e.result != Result::Moot && !stale) {
    smooth(r.failing, !well, 0.1);
    smooth(failing, !well, 0.01);
  }
  switch (e.result) {
    case Result::Ok:
      heard(r);
      smooth(fleet_ms, elapsed, 0.02);
      cache_late.answered(elapsed);
      r.answered(now, elapsed);
      note_hit(o, a, true);
      break;
    case Result::Miss:
      heard(r);
      note_hit(o, a, false);
      o.missed.push_back(r.entry.id);
      break;
    case Result::Full: // for about as long as one request takes, another would be turned away too
      r.health.lives(now);
      shedder.tight += e.attempt > 0; // not its first: the caches are full, not just one
      r.full_until = now + (r.service_ms > 0 ? r.service_ms : r.response(now, fleet_ms));
      break;
    case Result::ConnectFailed:
    case Result::Reset: strike(r, stale ? 0 : 2); break;
    case Result::Error: strike(r, 1); break; // one that only errs is ejected, one that errs now and then not
    case Result::Cancelled:
    case Result::TimedOut:
      if (elapsed > r.response(now, fleet_ms)) r.answered(now, elapsed); // it took at least this long
      if (elapsed > fleet_ms) smooth(fleet_ms, elapsed, 0.02);
      if (e.result == Result::TimedOut) strike(r, 1);
      break;
    default: break;
  }
  if (r.health.out() && e.result != Result::Full) postpone_trial(r);
}

void Balancer::Impl::note_hit(Open& o, const Attempt& a, bool hit) {
  if (hit && o.filling)
    places.pace().unfilled(*std::exchange(o.filling, {})); // another router's fetch filled it
  if (set.origin_kind < 0 || o.in.key == 0) return;
  hit ? places.hit(o.in.key, a.server, a.sent_at) : places.missed(o.in.key, a.server);
}

void Balancer::Impl::learn_origin(Replica& r, const Outcome& e, double elapsed) {
  if (e.result != Result::Ok) return;
  r.health.lives(now);
  r.answered(now, elapsed);
  origin_late.answered(elapsed);
}

void Balancer::Impl::next_step(Open& o, const Outcome& e) {
  // A copy that is late may be on a connection that fell silent: it is not waited for, as far as copies go.
  if (o.queued || o.waits_well() || (o.out > 0 && (o.streaming || !set.may_duplicate))) return;
  if (o.out > 0 && !allowance.spend(now, limits::Allowance::Use::Copy, 0)) return;
  if (e.result == Result::Miss) return after_miss(o);
  if (o.leads) end_fetch(o, false);
  if (e.result == Result::Rejected) { // asked again it would use up what others may need
    act(Fail{o.in.id, Why::Rejected});
    return finish(o, false);
  }
  if (e.result == Result::Moot || e.spent) return conclude(o, e.spent ? Why::Class : Why::NoTarget);
  // Turned away unseen or never connected costs a server next to nothing; the attempt limit bounds it.
  if (e.result != Result::Full && e.result != Result::ConnectFailed) {
    const bool at_origin = origin != nullptr && e.server == origin->entry.id;
    const double crowding = at_origin ? origin_limit.crowding(now, origin->working()) : 0;
    if (!allowance.spend(now, limits::Allowance::Use::Retry, crowding)) return conclude(o, Why::Allowance);
  }
  if (origin != nullptr && e.server == origin->entry.id) {
    // A fault, not crowding: there is nothing to wait for. Or a place, which the queue waits for.
    const double place_ms = origin_places.wait_ms(now, origin->working());
    if (place_ms > 0) act(SetTimer{place_ms, token(Timer::Again, o.in.id)});
    if (e.result == Result::Error || e.result == Result::Reset || place_ms > 0) return to_origin(o);
    if (!repeatable(o, *origin)) return conclude(o, Why::Class);
    const double wait = std::max(origin_limit.recent_ms(), set.tick_ms) * (0.5 + random.unit());
    if (now + wait >= o.end_at) return conclude(o, Why::QueuedLate); // to give up is to answer now
    return act(SetTimer{wait, token(Timer::Again, o.in.id)});
  }
  if (!choose(o)) to_origin(o); // which concludes where there is none
}

void Balancer::Impl::take(const StreamOpened& e) {
  Open* o = live(e.id);
  if (o == nullptr || e.attempt >= o->attempts.size() || !o->attempts[e.attempt].out) return;
  if (Replica* r = find(e.server)) learn(*o, o->attempts[e.attempt], *r, answered(e));
  o->attempts[e.attempt].opened = o->streaming = true;
  cancel_out(*o, e.attempt); // the slower copy
  // The origin has made its answer: who waits for that need not wait for this one's client to read it.
  if (o->leads) end_fetch(*o, origin != nullptr && e.server == origin->entry.id);
}

void Balancer::Impl::take(const ProbeResult& e) {
  Replica* r = find(e.server);
  if (r == nullptr) return;
  r->report(now, set.report_fields, e.report);
  if (e.ok) heard(*r);
  if (r->health.out()) postpone_trial(*r);
}

// Slower than nearly all: the server may be stuck, or the connection; a second copy may be quicker.
void Balancer::Impl::overdue(Open& o, std::size_t attempt) {
  if (attempt >= o.attempts.size() || !o.attempts[attempt].out) return;
  Attempt& a = o.attempts[attempt];
  Replica* r = find(a.server);
  if (r == nullptr || a.late) return;
  a.late = true;
  a.watched = is_origin(*r) || mix(o.in.id) % kWatched == 0;
  a.hung = r->overtaken_at > a.sent_at && lateness(*r).some_dead();
  r->hung += a.hung;
  strike(*r, 1);
  const bool safe = set.classes[o.in.cls].repeat == Repeat::Safe;
  if (!set.copies_of(o.in.cls) && set.may_cancel && safe && allowance.saved() >= 1 &&
      o.attempts.size() < set.attempts_of(o.in.cls)) {
    act(Cancel{o.in.id, static_cast<std::uint32_t>(attempt)}); // its outcome brings the next attempt
  }
  if (!set.copies_of(o.in.cls) || o.queued || o.waits_well()) return;
  // At the origin a copy costs as much as a fetch, so one is sent only where the connection is at fault.
  const bool at_origin = is_origin(*r);
  const double crowding = at_origin ? origin_limit.crowding(now, r->working()) : 0;
  if ((at_origin && !a.hung) || !allowance.spend(now, limits::Allowance::Use::Copy, crowding)) return;
  const bool sent = !at_origin ? choose(o) : origin_limit.room(now, r->working(), o.in.write) && send(o, *r);
  if (!sent) allowance.unspent(limits::Allowance::Use::Copy);
}

} // namespace fernward
