// Attempt outcomes, slow attempts, retries and hedged requests. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace fernward {

constexpr std::uint64_t kUncancelledSampleInterval = 4; // one of this many slow attempts is never cancelled
constexpr double kFleetMeanSampleWeight = 0.02;         // weight of one response in the means over all caches
constexpr double kOverloadedLimitFactor = 0.7;          // on the limit of a cache that responds as overloaded
constexpr int kConnectionFailureWeight = 2; // refused or broken connection; other failures count 1

namespace {

// Converts an outcome at the origin for its concurrency limiter; nullopt if it does not depend on its load.
std::optional<concurrency::AttemptEnding> to_attempt_ending(AttemptResult result, bool deadline_passed) {
  using concurrency::AttemptEnding;
  switch (result) {
    case AttemptResult::CacheMiss: // fast at any load
    case AttemptResult::InvalidRequest:
    case AttemptResult::Abandoned: return std::nullopt;
    case AttemptResult::Ok: return AttemptEnding::Answered;
    case AttemptResult::Overloaded: return AttemptEnding::Rejected;
    case AttemptResult::ConnectFailed: return AttemptEnding::ConnectFailed;
    case AttemptResult::Error:
    case AttemptResult::Reset: return AttemptEnding::Fault;
    case AttemptResult::TimedOut: return AttemptEnding::TimedOut;
    case AttemptResult::Cancelled:
      return deadline_passed ? AttemptEnding::TimedOut : AttemptEnding::Cancelled;
  }
  return AttemptEnding::Answered;
}

} // namespace

// ---- attempt outcomes ----

void Balancer::Impl::on_attempt_outcome(const AttemptOutcome& outcome) {
  const auto it = requests.find(outcome.id);
  if (it == requests.end() || outcome.attempt >= it->second.attempts.size()) return;
  RequestState& request = it->second;
  Attempt& attempt = request.attempts[outcome.attempt];
  if (!attempt.in_flight) return;
  attempt.in_flight = false;
  --request.in_flight;
  if (Replica* replica = find_server(attempt.server)) record_outcome(request, attempt, *replica, outcome);
  const bool executed = may_have_executed(outcome.result);
  request.may_have_executed |= executed;
  if (executed && request.params.write) placement.on_write(request.params.key, now);
  if (!request.finished && outcome.request_ended)
    finish_request(request, outcome.result == AttemptResult::Ok);
  if (!request.finished) continue_request(request, outcome);
  if (request.finished && request.in_flight == 0) requests.erase(outcome.id);
  dispatch_to_origin();
}

// For a forwarded response, the time until it starts is recorded, because its end depends on the client.
void Balancer::Impl::record_outcome(RequestState& request, Attempt& attempt, Replica& replica,
                                    const AttemptOutcome& outcome) {
  if (replica.record_report(now, settings.load_report_fields, outcome.load_report) && !is_origin(replica))
    update_moving_average(mean_cache_queue_length, replica.queue_length, kFleetMeanSampleWeight);
  if (attempt.response_started && outcome.result == AttemptResult::Ok) return;
  replica.in_flight -= !attempt.response_started && replica.in_flight > 0;
  replica.stalled_count -= std::exchange(attempt.stalled, false) && replica.stalled_count > 0;
  const double elapsed_ms =
      is_finite_non_negative(outcome.elapsed_ms) ? outcome.elapsed_ms : now - attempt.sent_at;
  if (outcome.result == AttemptResult::Ok || outcome.result == AttemptResult::CacheMiss)
    replica.latest_answered_send_at = std::max(replica.latest_answered_send_at, attempt.sent_at);
  const bool overloaded = is_origin(replica) ? update_origin_limit(request, replica, outcome, elapsed_ms)
                                             : update_cache_limit(request, replica, outcome, elapsed_ms);
  retry_budget.on_attempt_ended(now, overloaded, is_failure(outcome.result));
  if (std::exchange(attempt.exempt_from_cancellation, false))
    slow_attempts(replica).on_slow_attempt_ended(outcome.result != AttemptResult::TimedOut);
  if (is_origin(replica)) {
    record_origin_outcome(replica, outcome, elapsed_ms);
  } else {
    record_cache_outcome(request, attempt, replica, outcome, elapsed_ms);
  }
}

// Updates the cache's concurrency limiter. Returns true if the outcome indicates overload.
bool Balancer::Impl::update_cache_limit(const RequestState& request, Replica& replica,
                                        const AttemptOutcome& outcome, double elapsed_ms) {
  if (outcome.result == AttemptResult::Overloaded) replica.limiter.decrease(now, kOverloadedLimitFactor);
  const double objective_ms = latency_objective_ms(request);
  const bool unanswered =
      outcome.result == AttemptResult::Cancelled || outcome.result == AttemptResult::TimedOut;
  // Late unanswered attempts count, otherwise the limit would stop changing when no response is in time.
  const bool late_unanswered =
      unanswered && elapsed_ms > concurrency::kCongestedShareOfObjective * objective_ms;
  if (outcome.result == AttemptResult::Ok || late_unanswered)
    return replica.limiter.on_response(now, elapsed_ms, objective_ms, replica.active_attempts());
  return outcome.result == AttemptResult::Overloaded;
}

// Updates the origin's concurrency limiter and connection capacity estimate. Returns true if the outcome
// indicates overload.
bool Balancer::Impl::update_origin_limit(const RequestState& request, const Replica& replica,
                                         const AttemptOutcome& outcome, double elapsed_ms) {
  // The connection was refused by an origin that responds: it lacks connections, not capacity.
  const bool lacks_connections =
      outcome.result == AttemptResult::ConnectFailed && responded_recently(replica);
  if (lacks_connections || (outcome.result == AttemptResult::Overloaded && outcome.first_on_connection)) {
    origin_dispatch.connections.on_connection_refused(
        now, replica.active_attempts(), origin_dispatch.limiter.latency_ms(), random.next_unit());
    log("origin refuses further connections, in use:", replica.active_attempts());
    return false;
  }
  const auto ending = to_attempt_ending(outcome.result, now >= request.response_deadline);
  if (!ending) return false;
  if (outcome.result == AttemptResult::Ok)
    origin_dispatch.connections.on_connection_used(replica.active_attempts() + 1);
  const concurrency::AttemptSample sample{*ending,
                                          elapsed_ms,
                                          request.params.expected_work_ms,
                                          latency_objective_ms(request),
                                          request.params.write,
                                          replica.active_attempts()};
  const concurrency::DecreaseReason reason = origin_dispatch.limiter.on_attempt_ended(now, sample);
  if (reason == concurrency::DecreaseReason::Rejected)
    log("origin crowded, attempts at once cut to", origin_dispatch.limiter.limit());
  return reason == concurrency::DecreaseReason::Rejected || reason == concurrency::DecreaseReason::Slow;
}

void Balancer::Impl::record_cache_outcome(RequestState& request, const Attempt& attempt, Replica& replica,
                                          const AttemptOutcome& outcome, double elapsed_ms) {
  // The cache had closed an idle connection: it is healthy, and a new connection will work.
  const bool stale_connection = outcome.result == AttemptResult::Reset && outcome.on_reused_connection;
  const bool healthy = outcome.result == AttemptResult::Ok || outcome.result == AttemptResult::CacheMiss ||
                       outcome.result == AttemptResult::Overloaded;
  if (outcome.result != AttemptResult::Cancelled && outcome.result != AttemptResult::Abandoned &&
      !stale_connection)
    outlier_ejection.record_attempt_result(replica, healthy);
  switch (outcome.result) {
    case AttemptResult::Ok:
      record_success(replica);
      update_moving_average(mean_cache_response_ms, elapsed_ms, kFleetMeanSampleWeight);
      cache_slow_attempts.on_response(elapsed_ms);
      replica.record_response(now, elapsed_ms);
      record_cache_lookup(request, attempt, true);
      break;
    case AttemptResult::CacheMiss:
      record_success(replica);
      record_cache_lookup(request, attempt, false);
      request.cache_misses.push_back(replica.entry.id);
      break;
    case AttemptResult::Overloaded: record_overloaded(replica, outcome.attempt > 0); break;
    case AttemptResult::ConnectFailed:
    case AttemptResult::Reset:
      record_failure(replica, stale_connection ? 0 : kConnectionFailureWeight);
      break;
    case AttemptResult::Error: record_failure(replica, 1); break;
    case AttemptResult::Cancelled: record_unanswered(replica, elapsed_ms); break;
    case AttemptResult::TimedOut:
      record_unanswered(replica, elapsed_ms);
      record_failure(replica, 1);
      break;
    case AttemptResult::Abandoned:
    case AttemptResult::InvalidRequest: break;
  }
  if (replica.outlier.is_ejected() && outcome.result != AttemptResult::Overloaded) schedule_trial(replica);
}

// The cache would probably reject further requests for about the duration of one request. `is_retry`: it was
// not the request's first attempt, so more than one cache is overloaded.
void Balancer::Impl::record_overloaded(Replica& replica, bool is_retry) {
  replica.outlier.record_response(now);
  admission.choices_without_capacity += is_retry;
  const double overload_pause_ms = replica.service_time_ms > 0
                                       ? replica.service_time_ms
                                       : replica.expected_response_ms(now, mean_cache_response_ms);
  replica.overloaded_until = now + overload_pause_ms;
}

// An attempt ended without a response: its elapsed time is a lower bound of the response time.
void Balancer::Impl::record_unanswered(Replica& replica, double elapsed_ms) {
  if (elapsed_ms > replica.expected_response_ms(now, mean_cache_response_ms))
    replica.record_response(now, elapsed_ms);
  if (elapsed_ms > mean_cache_response_ms)
    update_moving_average(mean_cache_response_ms, elapsed_ms, kFleetMeanSampleWeight);
}

void Balancer::Impl::record_cache_lookup(RequestState& request, const Attempt& attempt, bool hit) {
  if (hit && request.pending_fill)
    // A fetch by another router has already stored the key in the cache.
    placement.fill_rate_limiter().refund(*std::exchange(request.pending_fill, {}));
  if (settings.origin_kind < 0 || request.params.key == 0) return;
  if (hit) {
    placement.on_hit(request.params.key, attempt.server, attempt.sent_at);
  } else {
    placement.on_miss(request.params.key, attempt.server);
  }
}

void Balancer::Impl::record_origin_outcome(Replica& replica, const AttemptOutcome& outcome,
                                           double elapsed_ms) {
  if (outcome.result != AttemptResult::Ok) return;
  replica.outlier.record_response(now);
  replica.record_response(now, elapsed_ms);
  origin_slow_attempts.on_response(elapsed_ms);
}

void Balancer::Impl::continue_request(RequestState& request, const AttemptOutcome& outcome) {
  // A slow attempt may be on a connection that no longer responds: a hedged request does not wait for it.
  if (request.queued_for_origin || request.has_timely_attempt() ||
      (request.in_flight > 0 && (request.streaming || !settings.may_hedge)))
    return;
  if (request.in_flight > 0 && !retry_budget.try_consume(now, concurrency::RetryBudget::Use::Hedge, 0))
    return;
  if (outcome.result == AttemptResult::CacheMiss) return continue_after_miss(request);
  if (request.is_fetch_leader) complete_fetch(request, false);
  if (outcome.result == AttemptResult::InvalidRequest) { // a retry would only use up what other requests need
    emit(Fail{request.params.id, GiveUpReason::InvalidRequest});
    return finish_request(request, false);
  }
  // These cases have no GiveUpReason of their own: an abandoned attempt counts as NoEndpoint, a consumed body
  // as NotIdempotent.
  if (outcome.result == AttemptResult::Abandoned || outcome.body_consumed)
    return give_up(request, outcome.body_consumed ? GiveUpReason::NotIdempotent : GiveUpReason::NoEndpoint);
  retry(request, outcome);
}

void Balancer::Impl::retry(RequestState& request, const AttemptOutcome& outcome) {
  const bool at_origin = origin != nullptr && outcome.server == origin->entry.id;
  // An attempt that was rejected as overloaded or never connected costs a server almost nothing, so it is not
  // charged to the retry budget; the attempt limit bounds such retries.
  if (outcome.result != AttemptResult::Overloaded && outcome.result != AttemptResult::ConnectFailed) {
    const double origin_utilization =
        at_origin ? origin_dispatch.limiter.utilization(now, origin->active_attempts()) : 0;
    if (!retry_budget.try_consume(now, concurrency::RetryBudget::Use::Retry, origin_utilization))
      return give_up(request, GiveUpReason::RetryBudgetEmpty);
  }
  if (at_origin) return retry_at_origin(request, outcome);
  if (!send_to_best_cache(request)) queue_for_origin(request); // gives up if there is no origin
}

void Balancer::Impl::retry_at_origin(RequestState& request, const AttemptOutcome& outcome) {
  const double connection_wait_ms = origin_dispatch.connections.wait_ms(now, origin->active_attempts());
  if (connection_wait_ms > 0)
    emit(SetTimer{connection_wait_ms, timer_token(TimerKind::RetryOrigin, request.params.id)});
  // After a fault a delay has no use; if connections are lacking, the request waits in the queue.
  if (outcome.result == AttemptResult::Error || outcome.result == AttemptResult::Reset ||
      connection_wait_ms > 0)
    return queue_for_origin(request);
  if (!retry_policy.allows_server(request, origin->entry, now))
    return give_up(request, GiveUpReason::NotIdempotent);
  const double wait_ms =
      std::max(origin_dispatch.limiter.latency_ms(), settings.event_interval_ms) * (0.5 + random.next_unit());
  if (now + wait_ms >= request.response_deadline) return give_up(request, GiveUpReason::QueueTimeout);
  emit(SetTimer{wait_ms, timer_token(TimerKind::RetryOrigin, request.params.id)});
}

void Balancer::Impl::on_response_head_received(const ResponseHeadReceived& head) {
  RequestState* request = find_request(head.id);
  if (request == nullptr || head.attempt >= request->attempts.size()) return;
  request->attempts[head.attempt].head_received = true;
}

void Balancer::Impl::on_response_started(const ResponseStarted& started) {
  RequestState* request = find_request(started.id);
  if (request == nullptr || started.attempt >= request->attempts.size() ||
      !request->attempts[started.attempt].in_flight)
    return;
  if (Replica* replica = find_server(started.server))
    record_outcome(*request, request->attempts[started.attempt], *replica,
                   outcome_from_response_start(started));
  request->attempts[started.attempt].response_started = true;
  request->streaming = true;
  cancel_attempts(*request, started.attempt); // the slower attempts
  // The origin has responded: followers need not wait until this client has read the response.
  if (request->is_fetch_leader)
    complete_fetch(*request, origin != nullptr && started.server == origin->entry.id);
}

void Balancer::Impl::on_health_check_result(const HealthCheckResult& result) {
  Replica* replica = find_server(result.server);
  if (replica == nullptr) return;
  replica->record_report(now, settings.load_report_fields, result.load_report);
  if (result.ok) record_success(*replica);
  if (replica->outlier.is_ejected()) schedule_trial(*replica);
}

// The attempt is slower than nearly all others: the server or connection may be stuck, and a hedged request
// may be faster.
void Balancer::Impl::on_slow_attempt(RequestState& request, std::size_t attempt_index) {
  if (attempt_index >= request.attempts.size() || !request.attempts[attempt_index].in_flight) return;
  Attempt& attempt = request.attempts[attempt_index];
  Replica* replica = find_server(attempt.server);
  if (replica == nullptr || attempt.slow) return;
  attempt.slow = true;
  attempt.exempt_from_cancellation =
      is_origin(*replica) || mix_bits(request.params.id) % kUncancelledSampleInterval == 0;
  attempt.stalled = replica->latest_answered_send_at > attempt.sent_at &&
                    slow_attempts(*replica).expects_unanswered_attempts();
  replica->stalled_count += attempt.stalled;
  record_failure(*replica, 1);
  if (settings.may_hedge_class(request.params.class_index)) {
    hedge(request, attempt, *replica);
  } else {
    cancel_for_retry(request, attempt_index);
  }
}

// If no second attempt may be in flight, the slow one is cancelled; its outcome then starts the retry.
void Balancer::Impl::cancel_for_retry(const RequestState& request, std::size_t attempt_index) {
  const bool idempotent = settings.classes[request.params.class_index].idempotency == Idempotency::Idempotent;
  if (settings.may_cancel && idempotent && !request.attempts[attempt_index].head_received &&
      retry_budget.balance() >= 1 && retry_policy.has_attempts_left(request))
    emit(Cancel{request.params.id, static_cast<std::uint32_t>(attempt_index)});
}

// At the origin a hedged request costs a fetch, so it is sent only if the connection seems to be stuck.
void Balancer::Impl::hedge(RequestState& request, const Attempt& slow_attempt, Replica& replica) {
  if (request.queued_for_origin || request.has_timely_attempt()) return;
  const bool at_origin = is_origin(replica);
  const double origin_utilization =
      at_origin ? origin_dispatch.limiter.utilization(now, replica.active_attempts()) : 0;
  if (at_origin && !slow_attempt.stalled) return;
  if (!retry_budget.try_consume(now, concurrency::RetryBudget::Use::Hedge, origin_utilization)) return;
  const bool sent = at_origin ? origin_dispatch.limiter.has_capacity(now, replica.active_attempts(),
                                                                     request.params.write) &&
                                    send_attempt(request, replica)
                              : send_to_best_cache(request);
  if (!sent) retry_budget.refund(concurrency::RetryBudget::Use::Hedge);
}

} // namespace fernward
