#include "model/clients.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward::model {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
// Added to the routers' grace: a response that is in transit still counts.
constexpr double kResponseSlackMs = 50;
// Range of the time until a stopping router gets no new connections.
constexpr double kStopDetectionMinMs = 200, kStopDetectionMaxMs = 400;

} // namespace

// ---- front balancer ----

FrontBalancer::FrontBalancer(const Spec& spec, const Plan& plan)
    : spec_(spec.front),
      engine_(stream(spec.seed, "front")),
      routing_periods_(plan.routers.size()),
      routers_by_zone_(spec.zones.size()),
      next_in_zone_(spec.zones.size()),
      zone_states_(spec.zones.size(), ZoneStep::What::Usual) {
  for (const PlannedRouter& router : plan.routers) {
    routers_by_zone_[router.zone].push_back(router.id);
    all_routers_.push_back(router.id);
    routing_periods_[router.id] = {0, kNever};
  }
}

void FrontBalancer::set_up(double now, RouterId router) {
  RoutingPeriod& period = routing_periods_[router];
  if (now < period.until && period.until != kNever) {
    period.until = kNever; // recovered before the failure was detected
  } else if (period.until != kNever) {
    period = {now + draw_uniform(0, spec_.ready_check_interval_ms, engine_), kNever};
  }
}

void FrontBalancer::set_down(double now, RouterId router) {
  RoutingPeriod& period = routing_periods_[router];
  period.until = std::min(period.until, now + spec_.failure_detection_ms);
}

void FrontBalancer::set_stopping(double now, RouterId router) {
  RoutingPeriod& period = routing_periods_[router];
  period.until =
      std::min(period.until, now + draw_uniform(kStopDetectionMinMs, kStopDetectionMaxMs, engine_));
}

std::optional<RouterId> FrontBalancer::next_in_turn(double now, const std::vector<RouterId>& routers,
                                                    std::size_t& next, bool include_unused) {
  for (std::size_t i = 0; i < routers.size(); ++i) {
    const RouterId router = routers[next++ % routers.size()];
    if (include_unused || is_used(now, router)) return router;
  }
  return std::nullopt;
}

std::optional<RouterId> FrontBalancer::pick(double now, std::uint32_t client_zone) {
  const ZoneStep::What zone_state = zone_states_[client_zone];
  if (zone_state == ZoneStep::What::Lost) return std::nullopt;
  if (zone_state == ZoneStep::What::Usual) {
    if (const auto router_in_zone =
            next_in_turn(now, routers_by_zone_[client_zone], next_in_zone_[client_zone], false))
      return router_in_zone;
  }
  if (const auto other_router = next_in_turn(now, all_routers_, next_overall_, false)) return other_router;
  return next_in_turn(now, all_routers_, next_overall_, true); // no router is usable: send to any
}

// ---- requests ----

Clients::Clients(const Spec& spec)
    : spec_(spec),
      behavior_engine_(stream(spec.seed, "habits")),
      retry_engine_(stream(spec.seed, "retries")) {}

void Clients::open(double now, const DrawnRequest& drawn, ClientActions& actions) {
  OpenRequest& open = open_[drawn.request];
  open.drawn = drawn;
  const double mean_max_retries = spec_.clients.mean_max_retries;
  open.max_tries =
      1 + static_cast<std::uint32_t>(mean_max_retries) +
      (draw_with_probability(mean_max_retries - std::floor(mean_max_retries), retry_engine_) ? 1 : 0);
  start_try(now, open, actions);
}

void Clients::start_try(double now, OpenRequest& open, ClientActions& actions) {
  const ClientSpec& client_spec = spec_.clients;
  const DrawnRequest& drawn = open.drawn;
  TryStart start;
  start.drawn = drawn;
  start.number = open.tries++;
  start.try_id = drawn.request << 4 | start.number;
  start.scheduled_at = start.number == 0 ? drawn.at : now;
  if (start.number == 0) open.first_try_at_ms = start.scheduled_at;
  const double try_timeout_ms =
      draw_uniform(client_spec.try_timeout_share_min, client_spec.try_timeout_share_max, behavior_engine_) *
      drawn.client_timeout_ms;
  start.deadline = std::min(start.scheduled_at + try_timeout_ms, drawn.at + drawn.client_timeout_ms);
  if (spec_.classes[drawn.cls].idempotency == Idempotency::WithKey) start.idempotency_key = drawn.request;
  open.waiting = true;
  // A final response that arrives after the deadline but within the grace still ends the try.
  open.deadline = start.deadline + spec_.routers.response_grace_ms + kResponseSlackMs;
  open.abandons_at = kNever;
  if (draw_with_probability(client_spec.abandon_share, behavior_engine_)) {
    open.abandons_at = draw_uniform(start.scheduled_at, start.deadline, behavior_engine_);
  }
  timers_.push({std::min(open.deadline, open.abandons_at), drawn.request, start.number, false});
  actions.push_back({now, start});
}

bool Clients::on_try_ended(double now, TryId try_id, TryOutcome outcome, double retry_after_ms,
                           ClientActions& actions) {
  const RequestNumber request = request_of(try_id);
  const auto found = open_.find(request);
  if (found == open_.end()) return false;
  OpenRequest& open = found->second;
  if (!open.waiting || open.tries - 1 != (try_id & 15)) return false;
  finish_try(now, request, open, outcome, retry_after_ms, actions);
  return true;
}

void Clients::finish_try(double now, RequestNumber request, OpenRequest& open, TryOutcome outcome,
                         double retry_after_ms, ClientActions& actions) {
  open.waiting = false;
  const ClientSpec& client_spec = spec_.clients;
  double wait_ms = client_spec.backoff_ms * draw_uniform(0.5, 1.5, retry_engine_);
  if (client_spec.backoff == Backoff::Exponential) wait_ms *= std::exp2(open.tries - 1);
  if (outcome == TryOutcome::Rejected && retry_after_ms > 0 &&
      draw_with_probability(client_spec.heed_retry_after_share, retry_engine_)) {
    wait_ms = std::max(wait_ms, std::min(retry_after_ms, spec_.routers.max_retry_after_ms));
  }
  if (!may_retry(open, outcome, now + wait_ms)) return close_request(now, request, open, outcome, actions);
  timers_.push({now + wait_ms, request, open.tries - 1, true});
}

bool Clients::may_retry(const OpenRequest& open, TryOutcome outcome, double at) const {
  if (outcome == TryOutcome::Served || outcome == TryOutcome::Abandoned || open.tries >= open.max_tries)
    return false;
  if (at >= open.drawn.at + open.drawn.client_timeout_ms) return false;
  const ClassSpec& cls = spec_.classes[open.drawn.cls];
  if (outcome == TryOutcome::Rejected || outcome == TryOutcome::Unreachable ||
      cls.idempotency == Idempotency::Idempotent)
    return true;
  return cls.idempotency == Idempotency::WithKey && cls.idempotency_scope == IdempotencyScope::All &&
         at < open.first_try_at_ms + cls.idempotency_window_ms;
}

void Clients::close_request(double now, RequestNumber request, const OpenRequest& open, TryOutcome outcome,
                            ClientActions& actions) {
  RequestEnded closed;
  closed.at = now;
  closed.request = request;
  closed.outcome = outcome;
  closed.tries = open.tries;
  closed.latency_ms = now - open.drawn.at;
  if (outcome == TryOutcome::Served) {
    closed.earned_weight =
        open.drawn.priority_weight *
        (closed.latency_ms <= open.drawn.latency_objective_ms ? 1 : open.drawn.late_value_share);
  }
  actions.push_back({now, closed});
  open_.erase(request);
}

double Clients::next_due_ms() const { return timers_.empty() ? kNever : timers_.top().at; }

void Clients::advance(double now, ClientActions& actions) {
  while (!timers_.empty() && timers_.top().at <= now) {
    const Timer timer = timers_.top();
    timers_.pop();
    const auto found = open_.find(timer.request);
    if (found == open_.end()) continue;
    OpenRequest& open = found->second;
    if (open.tries - 1 != timer.try_number || timer.retry == open.waiting) continue;
    if (timer.retry) {
      start_try(timer.at, open, actions);
      continue;
    }
    const TryOutcome outcome =
        open.abandons_at < open.deadline ? TryOutcome::Abandoned : TryOutcome::TimedOut;
    actions.push_back(
        {timer.at, TryCancelled{timer.request, timer.request << 4 | timer.try_number, outcome}});
    finish_try(timer.at, timer.request, open, outcome, 0, actions);
  }
}

} // namespace fernward::model
