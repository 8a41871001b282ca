// Request arrival, cache selection and sending. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward {

constexpr double kNoObjectiveMs = 1e12;
constexpr double kNoDeadline = 1e15;             // clock time
constexpr double kOtherZoneScoreFactor = 3;      // cross-zone traffic is costly, and zones fail independently
constexpr double kUncachedKeyScorePenalty = 1e9; // for a newly added cache that would have to fetch

// ---- request arrival ----

void Balancer::Impl::on_request(const Request& new_request) {
  if (new_request.class_index >= settings.classes.size() || requests.count(new_request.id) != 0) return;
  const ClassSettings& class_settings = settings.classes[new_request.class_index];
  RequestState& request = requests[new_request.id];
  request.params = sanitize_request(new_request, now + class_settings.client_timeout_ms);
  request.params.body_complete_at = std::max(now, request.params.body_complete_at);
  request.response_deadline = response_deadline(request);
  const std::size_t priority_index =
      2 * new_request.class_index + (tenant_quotas.record_and_check_quota(new_request.tenant) ? 1 : 0);
  request.response_value = admission.priority_weights[priority_index];
  admission.priority_rates[priority_index] += 1;
  tenant_quotas.record_request();
  retry_budget.on_request(
      now, std::max(cache_slow_attempts.never_answered_share, origin_slow_attempts.never_answered_share));
  if (request.response_deadline <= now || !admission.admits(priority_index, random.next_unit())) {
    retry_budget.on_attempt_ended(now, true);
    return give_up(request, GiveUpReason::Shed);
  }
  start_give_up_timer(request);
  request.slow_start_admitted_share = key_demand.on_request(
      now, new_request.key, outlier_ejection.ready_cache_count(), settings.overload_multiple);
  if (new_request.write && settings.origin_kind >= 0) return queue_for_origin(request);
  placement.on_read(now, new_request.key);
  if (!send_to_best_cache(request)) queue_for_origin(request); // gives up if there is no origin
}

// If a response after the latency objective has no value, the request ends at the objective.
double Balancer::Impl::response_deadline(const RequestState& request) const {
  const bool has_late_value = settings.classes[request.params.class_index].late_response_value_share > 0;
  const double objective_deadline =
      has_late_value ? kNoDeadline : request.params.body_complete_at + latency_objective_ms(request);
  return std::min(request.params.deadline, objective_deadline) - settings.event_interval_ms;
}

void Balancer::Impl::start_give_up_timer(RequestState& request) {
  request.give_up_timer_at = give_up_at(request);
  emit(SetTimer{request.give_up_timer_at - now, timer_token(TimerKind::GiveUp, request.params.id)});
}

// A later deadline keeps the timer, which is started again when it fires: so that at most two are pending.
void Balancer::Impl::on_deadline_changed(const DeadlineChanged& event) {
  RequestState* request = find_request(event.id);
  if (request == nullptr || request->streaming) return;
  if (!std::isfinite(event.deadline) || !is_finite_non_negative(event.body_complete_at)) return;
  request->params.deadline = event.deadline;
  request->params.body_complete_at = event.body_complete_at;
  request->response_deadline = response_deadline(*request);
  request->deadline_changed = true;
  origin_dispatch.queue.set_deadline(event.id, request->response_deadline);
  if (give_up_at(*request) <= now) return on_give_up_timer(*request);
  if (give_up_at(*request) < request->give_up_timer_at) start_give_up_timer(*request);
}

double Balancer::Impl::latency_objective_ms(const RequestState& request) const {
  const ClassSettings& class_settings = settings.classes[request.params.class_index];
  if (class_settings.latency_objective_ms > 0)
    return class_settings.latency_objective_ms +
           class_settings.objective_work_factor * request.params.expected_work_ms;
  return class_settings.client_timeout_ms > 0 ? class_settings.client_timeout_ms : kNoObjectiveMs;
}

// ---- cache selection ----

// Candidates for an attempt now. A cache that is overloaded or has missed stays in the list, so that the next
// cache on the ring is not taken for the key's first one and tried as well.
Balancer::Impl::CandidateList Balancer::Impl::cache_candidates(const RequestState& request,
                                                               std::uint64_t key) {
  if (outlier_ejection.ready_cache_count() == 0) return {}; // avoids iterating over the whole ring
  return placement.candidates(now, key, [&](const Replica& replica) {
    const bool is_eligible = now < replica.overloaded_until || request.has_missed(replica.entry.id) ||
                             !request.has_tried(replica.entry.id);
    return is_eligible && retry_policy.allows_server(request, replica.entry, now) &&
           outlier_ejection.is_usable(replica, now);
  });
}

bool Balancer::Impl::can_accept_attempt(Replica& replica, const RequestState& request, bool first_candidate) {
  return !request.has_missed(replica.entry.id) && now >= replica.overloaded_until &&
         slow_start.admits(replica, request, first_candidate, now) &&
         replica.limiter.has_capacity(now, replica.active_attempts());
}

// The score of the TAP paper (policy/replica.h); lower is better. `origin_fetch_cost_ms`: expected duration
// of a fetch at the origin.
double Balancer::Impl::cache_score(const Replica& replica, std::uint64_t key, bool likely_has_key,
                                   double origin_fetch_cost_ms) const {
  const double expected_fetch_ms = likely_has_key
                                       ? (1 - slow_start.capacity_factor(replica, now)) * origin_fetch_cost_ms
                                       : origin_fetch_cost_ms;
  double score =
      replica.score(now, live_routers, mean_cache_response_ms, mean_cache_queue_length, expected_fetch_ms);
  if (settings.zone && replica.entry.zone != *settings.zone) score *= kOtherZoneScoreFactor;
  if (!likely_has_key && placement.in_transition(now, key, replica)) score += kUncachedKeyScorePenalty;
  return score;
}

// Returns false if no cache can be sent to, or if the origin is expected to be faster than another cache.
bool Balancer::Impl::send_to_best_cache(RequestState& request) {
  const std::uint64_t key = request.params.key != 0 ? request.params.key : mix_bits(request.params.id);
  const bool first_attempt = request.attempts.empty();
  const CandidateList candidates = cache_candidates(request, key);
  const double origin_fetch_cost_ms = origin_cost_ms();
  std::size_t best_index = candidates.size;
  double best_score = std::numeric_limits<double>::infinity();
  if (!request.cache_misses.empty()) best_score = origin_fetch_cost_ms;
  placement::Placement<Replica>::FillChoice planned_fill;
  if (first_attempt) planned_fill = placement.choose_fill(now, request.params.key, candidates);
  for (std::size_t i = 0; i < candidates.size; ++i) {
    Replica& replica = *candidates.replicas[i];
    if (!can_accept_attempt(replica, request, i == 0)) continue;
    const bool likely_has_key = placement.likely_holds(candidates, i, request.params.key);
    double score = cache_score(replica, key, likely_has_key, origin_fetch_cost_ms);
    if (&replica == planned_fill.target) {
      score = -1; // preferred over all others
      request.pending_fill = planned_fill.fill;
    }
    if (score < best_score) {
      best_score = score;
      best_index = i;
    }
  }
  const bool found = best_index < candidates.size;
  admission.choices += first_attempt;
  admission.choices_without_capacity += first_attempt && !found;
  if (!found && request.cache_misses.empty()) retry_budget.on_attempt_ended(now, true);
  if (!found) return false;
  for (std::size_t i = 0; i < candidates.size; ++i)
    candidates.replicas[i]->passed_over_count += i != best_index;
  if (candidates.replicas[best_index] == planned_fill.target)
    placement.fill_rate_limiter().on_filled(planned_fill.fill);
  return send_attempt(request, *candidates.replicas[best_index]);
}

// Cost of a cache miss, which the TAP paper (policy/replica.h) does not model: the origin's response time,
// scaled with the cube of its utilization as a cache's score is with its queue. The utilization is that of
// the concurrency limit or, while keys move between caches, of the fetch rate.
double Balancer::Impl::origin_cost_ms() const {
  if (origin == nullptr) return 0;
  const double limit_utilization =
      origin_dispatch.limiter.utilization(now, origin_dispatch.demand(origin->active_attempts()));
  const double fill_rate_utilization =
      placement.fill_rate_limiter().utilization(now, static_cast<double>(origin_dispatch.queue.size()));
  const double load_factor = 2 * std::max(limit_utilization, fill_rate_utilization);
  return origin->expected_response_ms(now, origin_dispatch.limiter.latency_ms()) *
         (1 + load_factor * load_factor * load_factor);
}

// ---- sending an attempt ----

bool Balancer::Impl::send_attempt(RequestState& request, Replica& replica) {
  if (request.finished || request.streaming ||
      retry_policy.attempt_denial_reason(request, replica.entry, now))
    return false;
  replica.outlier.record_attempt_sent();
  emit(SetTimer{std::max(slow_attempts(replica).slow_threshold_ms, 2 * settings.event_interval_ms),
                timer_token(TimerKind::SlowAttempt, request.params.id, request.attempts.size() & 0xff)});
  if (!request.may_have_executed && request.in_flight == 0) {
    // From now on a request with an idempotency key is bound to the servers of its scope.
    request.key_bound_at = now;
    request.key_bound_zone = replica.entry.zone;
    request.key_bound_cell = replica.entry.cell;
  }
  record_attempt_sent(request, replica);
  emit(Send{request.params.id, replica.entry.id, 0});
  return true;
}

void Balancer::Impl::record_attempt_sent(RequestState& request, Replica& replica) {
  request.attempts.push_back({replica.entry.id, now});
  ++request.in_flight;
  ++replica.in_flight;
  if (!is_origin(replica)) {
    slow_start.record_attempt_sent(replica, now);
    replica.limiter.on_attempt_sent(now);
    return;
  }
  origin_dispatch.connections.on_attempt_sent(now, replica.active_attempts() - 1);
  origin_dispatch.limiter.on_attempt_sent(now);
  if (!request.params.write) placement.fill_rate_limiter().on_fetch(now);
}

} // namespace fernward
