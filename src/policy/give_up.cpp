// Final answers and cancellation. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>

namespace fernward {

// The client has received its answer, or has disconnected.
void Balancer::Impl::finish_request(RequestState& request, bool served) {
  request.finished = true;
  if (request.queued_for_origin) origin_dispatch.queue.remove(request.params.id);
  request.queued_for_origin = false;
  cancel_attempts(request, request.attempts.size());
  if (request.is_fetch_leader) complete_fetch(request, served);
  if (request.in_flight == 0) finished_request_ids.push_back(request.params.id);
}

void Balancer::Impl::cancel_attempts(const RequestState& request, std::size_t excluded_attempt) {
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const Attempt& attempt = request.attempts[i];
    // The origin completes requests that it has started: the attempt is not cancelled, so that the
    // concurrency limit still counts it.
    const bool must_complete =
        attempt.exempt_from_cancellation || (origin != nullptr && attempt.server == origin->entry.id);
    if (i != excluded_attempt && attempt.in_flight && settings.may_cancel && !must_complete) {
      emit(Cancel{request.params.id, static_cast<std::uint32_t>(i)});
    }
  }
}

// A server that has begun to respond has done its work: its response is awaited until the client's deadline,
// even if it has no value after the latency objective.
double Balancer::Impl::give_up_at(const RequestState& request) const {
  if (!request.awaits_body()) return request.response_deadline;
  return std::max(request.response_deadline, request.params.deadline - settings.event_interval_ms);
}

void Balancer::Impl::on_give_up_timer(RequestState& request) {
  if ((request.deadline_changed || request.awaits_body()) && now < give_up_at(request)) {
    if (now >= request.give_up_timer_at) start_give_up_timer(request);
    return;
  }
  give_up(request, request.in_flight > 0       ? GiveUpReason::ResponseTimeout
                   : request.queued_for_origin ? GiveUpReason::QueueTimeout
                                               : GiveUpReason::NotSent);
}

// Rejects if a retry by the client is guaranteed to be safe, otherwise fails. Under overload the maximum
// Retry-After is sent; otherwise about the duration of a slow attempt.
void Balancer::Impl::give_up(RequestState& request, GiveUpReason reason) {
  if (request.in_flight > 0 && now < give_up_at(request))
    return; // an attempt in flight may still be answered
  if (retry_policy.client_may_retry(request)) {
    const bool overloaded = reason == GiveUpReason::Shed || reason == GiveUpReason::QueueTimeout ||
                            reason == GiveUpReason::ResponseTimeout || reason == GiveUpReason::NotSent;
    const double retry_after_ms =
        overloaded ? settings.max_retry_after_ms
                   : std::min(settings.max_retry_after_ms, cache_slow_attempts.slow_threshold_ms);
    emit(Reject{request.params.id, settings.send_retry_after ? retry_after_ms : 0, reason});
  } else {
    emit(Fail{request.params.id, reason});
  }
  finish_request(request, false);
}

void Balancer::Impl::on_client_disconnected(const ClientDisconnected& event) {
  if (RequestState* request = find_request(event.id)) finish_request(*request, false);
}

} // namespace fernward
