#include "model/clients.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward::model {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kSlackMs = 50; // added to the routers' grace: a response that is in transit still counts
// Time in ms until a stopping router gets no new connections.
constexpr double kStopMin = 200, kStopMax = 400;

} // namespace

// ---- front balancer ----

Front::Front(const Spec& spec, const Plan& plan)
    : spec_(spec.front),
      engine_(stream(spec.seed, "front")),
      seen_(plan.routers.size()),
      in_zone_(spec.zones.size()),
      next_(spec.zones.size()),
      zones_(spec.zones.size(), ZoneStep::What::Usual) {
  for (const RouterPlace& r : plan.routers) {
    in_zone_[r.zone].push_back(r.id);
    all_.push_back(r.id);
    seen_[r.id] = {0, kForever};
  }
}

void Front::up(double now, RouterId router) {
  Seen& seen = seen_[router];
  if (now < seen.until && seen.until != kForever) {
    seen.until = kForever; // recovered before the failure was detected
  } else if (seen.until != kForever) {
    seen = {now + draw_uniform(0, spec_.ready_every_ms, engine_), kForever};
  }
}

void Front::down(double now, RouterId router) {
  Seen& seen = seen_[router];
  seen.until = std::min(seen.until, now + spec_.notice_ms);
}

void Front::stopping(double now, RouterId router) {
  Seen& seen = seen_[router];
  seen.until = std::min(seen.until, now + draw_uniform(kStopMin, kStopMax, engine_));
}

std::optional<RouterId> Front::turn(double now, const std::vector<RouterId>& among, std::size_t& next,
                                    bool any) {
  for (std::size_t i = 0; i < among.size(); ++i) {
    const RouterId router = among[next++ % among.size()];
    if (any || used(now, router)) return router;
  }
  return std::nullopt;
}

std::optional<RouterId> Front::pick(double now, std::uint32_t client_zone) {
  const ZoneStep::What what = zones_[client_zone];
  if (what == ZoneStep::What::Lost) return std::nullopt;
  if (what == ZoneStep::What::Usual) {
    if (const auto own = turn(now, in_zone_[client_zone], next_[client_zone], false)) return own;
  }
  if (const auto other = turn(now, all_, next_of_all_, false)) return other;
  return turn(now, all_, next_of_all_, true); // no router is usable: send to any
}

// ---- requests ----

Clients::Clients(const Spec& spec)
    : spec_(spec), habits_(stream(spec.seed, "habits")), retries_(stream(spec.seed, "retries")) {}

void Clients::open(double now, const Drawn& drawn, ClientActs& acts) {
  Open& open = open_[drawn.request];
  open.drawn = drawn;
  const double most = spec_.clients.retries;
  open.most = 1 + static_cast<std::uint32_t>(most) + (draw_chance(most - std::floor(most), retries_) ? 1 : 0);
  start_try(now, open, acts);
}

void Clients::start_try(double now, Open& open, ClientActs& acts) {
  const ClientSpec& habits = spec_.clients;
  const Drawn& drawn = open.drawn;
  TryStart start;
  start.drawn = drawn;
  start.number = open.tries++;
  start.try_id = drawn.request << 4 | start.number;
  start.due = start.number == 0 ? drawn.at : now;
  if (start.number == 0) open.first_try_at = start.due;
  const double patience =
      draw_uniform(habits.try_share_min, habits.try_share_max, habits_) * drawn.give_up_ms;
  start.deadline = std::min(start.due + patience, drawn.at + drawn.give_up_ms);
  if (spec_.classes[drawn.cls].repeat == Idempotency::WithKey) start.repeat_key = drawn.request;
  open.waiting = true;
  // A final response that arrives after the deadline but within the grace still ends the try.
  open.deadline = start.deadline + spec_.routers.grace_to_answer_ms + kSlackMs;
  open.leaves_at = kForever;
  if (draw_chance(habits.leave_share, habits_)) {
    open.leaves_at = draw_uniform(start.due, start.deadline, habits_);
  }
  timers_.push({std::min(open.deadline, open.leaves_at), drawn.request, start.number, false});
  acts.push_back({now, start});
}

bool Clients::heard(double now, TryId try_id, Heard heard, double retry_after_ms, ClientActs& acts) {
  const RequestNumber request = request_of(try_id);
  const auto found = open_.find(request);
  if (found == open_.end()) return false;
  Open& open = found->second;
  if (!open.waiting || open.tries - 1 != (try_id & 15)) return false;
  try_ended(now, request, open, heard, retry_after_ms, acts);
  return true;
}

void Clients::try_ended(double now, RequestNumber request, Open& open, Heard heard, double retry_after_ms,
                        ClientActs& acts) {
  open.waiting = false;
  const ClientSpec& habits = spec_.clients;
  double wait = habits.backoff_ms * draw_uniform(0.5, 1.5, retries_);
  if (habits.backoff == Backoff::Exponential) wait *= std::exp2(open.tries - 1);
  if (heard == Heard::Refused && retry_after_ms > 0 && draw_chance(habits.heed, retries_)) {
    wait = std::max(wait, std::min(retry_after_ms, spec_.routers.max_retry_after_ms));
  }
  if (!may_retry(open, heard, now + wait)) return close(now, request, open, heard, acts);
  timers_.push({now + wait, request, open.tries - 1, true});
}

bool Clients::may_retry(const Open& open, Heard heard, double at) const {
  if (heard == Heard::Served || heard == Heard::Left || open.tries >= open.most) return false;
  if (at >= open.drawn.at + open.drawn.give_up_ms) return false;
  const ClassSpec& cls = spec_.classes[open.drawn.cls];
  if (heard == Heard::Refused || heard == Heard::Unreachable || cls.repeat == Idempotency::Idempotent)
    return true;
  return cls.repeat == Idempotency::WithKey && cls.scope == IdempotencyScope::All &&
         at < open.first_try_at + cls.window_ms;
}

void Clients::close(double now, RequestNumber request, const Open& open, Heard end, ClientActs& acts) {
  Closed closed;
  closed.at = now;
  closed.request = request;
  closed.end = end;
  closed.tries = open.tries;
  closed.latency_ms = now - open.drawn.at;
  if (end == Heard::Served) {
    closed.earned = open.drawn.worth * (closed.latency_ms <= open.drawn.aim_ms ? 1 : open.drawn.late_share);
  }
  acts.push_back({now, closed});
  open_.erase(request);
}

double Clients::next() const { return timers_.empty() ? kForever : timers_.top().at; }

void Clients::advance(double now, ClientActs& acts) {
  while (!timers_.empty() && timers_.top().at <= now) {
    const Timer timer = timers_.top();
    timers_.pop();
    const auto found = open_.find(timer.request);
    if (found == open_.end()) continue;
    Open& open = found->second;
    if (open.tries - 1 != timer.number || timer.retry == open.waiting) continue;
    if (timer.retry) {
      start_try(timer.at, open, acts);
      continue;
    }
    const Heard how = open.leaves_at < open.deadline ? Heard::Left : Heard::Silence;
    acts.push_back({timer.at, TryOver{timer.request, timer.request << 4 | timer.number, how}});
    try_ended(timer.at, timer.request, open, how, 0, acts);
  }
}

} // namespace fernward::model
