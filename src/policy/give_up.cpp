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
  if (request.leads_fetch) complete_fetch(request, served);
  if (request.in_flight == 0) finished.push_back(request.params.id);
}

void Balancer::Impl::cancel_attempts(const RequestState& request, std::size_t except) {
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const Attempt& attempt = request.attempts[i];
    // The origin completes requests that it has started: the attempt is not cancelled, so that the
    // concurrency limit still counts it.
    const bool waited_for = attempt.runs_to_end || (origin != nullptr && attempt.server == origin->entry.id);
    if (i != except && attempt.in_flight && settings.may_cancel && !waited_for) {
      emit(Cancel{request.params.id, static_cast<std::uint32_t>(i)});
    }
  }
}

// Rejects if a retry by the client is guaranteed to be safe, otherwise fails. Under overload the maximum
// Retry-After is sent; otherwise about the duration of a slow attempt.
void Balancer::Impl::give_up(RequestState& request, GiveUpReason why) {
  if (request.in_flight > 0 && now < request.answer_by) return; // an attempt in flight may still be answered
  if (retry_policy.client_may_retry(request)) {
    const bool overloaded = why == GiveUpReason::Shed || why == GiveUpReason::QueueTimeout ||
                            why == GiveUpReason::ResponseTimeout || why == GiveUpReason::NotSent;
    const double retry_after_ms =
        overloaded ? settings.max_retry_after_ms
                   : std::min(settings.max_retry_after_ms, cache_slow_attempts.slow_threshold_ms);
    emit(Reject{request.params.id, settings.send_retry_after ? retry_after_ms : 0, why});
  } else {
    emit(Fail{request.params.id, why});
  }
  finish_request(request, false);
}

void Balancer::Impl::on_client_disconnected(const ClientDisconnected& event) {
  if (RequestState* request = find_request(event.id)) finish_request(*request, false);
}

} // namespace fernward
