// Retry policy: what a request's attempts are bound to. Interface: include/fernward/balancer.h
#pragma once

#include <cstddef>
#include <optional>

#include "fernward/balancer.h"
#include "requests/request_state.h"

namespace fernward {

/// Whether settings and idempotency allow a request to be sent (again), and why not. The retry budget decides
/// whether a retry is worth its cost; proxy::RequestDispatcher::may_send() asks once more as the bytes go
/// out. Times: milliseconds on the clock of Balancer::on_event.
class RetryPolicy {
 public:
  /// `settings` is referred to and may change between calls.
  explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

  /// Are attempts left, beyond `reserved` of them?
  bool has_attempts_left(const RequestState& request, std::size_t reserved = 0) const {
    return request.attempts.size() + reserved < settings_.max_attempts_of(request.params.class_index);
  }
  /// May it be in flight at this server now, beside its other attempts and after them? Hedging and
  /// idempotency.
  bool allows_server(const RequestState& request, const Server& server, double now) const {
    return (request.in_flight == 0 || settings_.may_hedge) && idempotency_allows(request, server, now);
  }
  /// Why no further attempt is allowed at this server at any time: AttemptLimit or NotIdempotent.
  std::optional<GiveUpReason> retry_denied(const RequestState& request, const Server& server,
                                           double now) const;
  /// Why none is allowed now: as retry_denied(), or NotSent (too late), or NoEndpoint (not in service).
  std::optional<GiveUpReason> attempt_denied(const RequestState& request, const Server& server,
                                             double now) const;
  /// Can the client be promised that its own retry carries out no effect twice?
  bool client_may_retry(const RequestState& request) const;

 private:
  bool idempotency_allows(const RequestState& request, const Server& server, double now) const;

  const Settings& settings_;
};

} // namespace fernward
