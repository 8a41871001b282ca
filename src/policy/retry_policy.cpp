// Retry policy: conditions for further attempts of a request. Interface: include/fernward/balancer.h
#include "policy/retry_policy.h"

namespace fernward {

// With an idempotency key the servers of its scope discard duplicates within the window. The margin of two
// event intervals covers the granularity at which the two event times are observed.
bool RetryPolicy::idempotency_allows(const RequestState& request, const Server& server, double now) const {
  const ClassSettings& class_settings = settings_.classes[request.params.class_index];
  if (class_settings.idempotency == Idempotency::Idempotent) return true;
  if (!request.may_have_executed && request.in_flight == 0) return true;
  if (class_settings.idempotency == Idempotency::NonIdempotent) return false;
  const double window_ms = class_settings.idempotency_window_ms - 2 * settings_.event_interval_ms;
  if (now - request.key_bound_at >= window_ms) return false;
  switch (class_settings.idempotency_scope) {
    case IdempotencyScope::All: return true;
    case IdempotencyScope::Zone: return server.zone == request.key_bound_zone;
    case IdempotencyScope::Cell: return server.cell == request.key_bound_cell;
  }
  return false;
}

std::optional<GiveUpReason> RetryPolicy::retry_denial_reason(const RequestState& request,
                                                             const Server& server, double now) const {
  if (!has_attempts_left(request)) return GiveUpReason::AttemptLimit;
  if (!allows_server(request, server, now)) return GiveUpReason::NotIdempotent;
  return std::nullopt;
}

std::optional<GiveUpReason> RetryPolicy::attempt_denial_reason(const RequestState& request,
                                                               const Server& server, double now) const {
  if (const auto reason = retry_denial_reason(request, server, now)) return reason;
  if (now >= request.response_deadline) return GiveUpReason::NotSent;
  if (server.state != ServerState::Ready) return GiveUpReason::NoEndpoint;
  return std::nullopt;
}

bool RetryPolicy::client_may_retry(const RequestState& request) const {
  if (request.in_flight == 0 && !request.may_have_executed) return true;
  const ClassSettings& class_settings = settings_.classes[request.params.class_index];
  return class_settings.idempotency == Idempotency::Idempotent ||
         (class_settings.idempotency == Idempotency::WithKey &&
          class_settings.idempotency_scope == IdempotencyScope::All);
}

} // namespace fernward
