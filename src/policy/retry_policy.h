// Retry policy: conditions for further attempts of a request. Interface: include/fernward/balancer.h
#pragma once

#include <cstddef>
#include <optional>

#include "fernward/balancer.h"
#include "requests/request_state.h"

namespace fernward {

/// Decides whether settings and idempotency allow an attempt or retry of a request, and if not, why. The
/// retry budget separately limits the number of retries; proxy::RequestDispatcher::may_send() checks again
/// when the bytes are sent. Owned by Balancer::Impl. Times: milliseconds on the clock of Balancer::on_event.
class RetryPolicy {
 public:
  /// Keeps a reference to `settings`, which may change between calls.
  explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

  /// Whether more than `reserved_attempts` attempts are left.
  bool has_attempts_left(const RequestState& request, std::size_t reserved_attempts = 0) const {
    return request.attempts.size() + reserved_attempts <
           settings_.max_attempts_for_class(request.params.class_index);
  }
  /// Whether hedging and idempotency settings allow an attempt at this server now, given the request's
  /// earlier attempts and those in flight.
  bool allows_server(const RequestState& request, const Server& server, double now) const {
    return (request.in_flight == 0 || settings_.may_hedge) && idempotency_allows(request, server, now);
  }
  /// Why no further attempt is allowed at this server: AttemptLimit or NotIdempotent; nullopt if it is
  /// allowed.
  std::optional<GiveUpReason> retry_denial_reason(const RequestState& request, const Server& server,
                                                  double now) const;
  /// Why an attempt must not be sent now: as retry_denial_reason(), or NotSent (deadline passed), or
  /// NoEndpoint (server not in service); nullopt if it may be sent.
  std::optional<GiveUpReason> attempt_denial_reason(const RequestState& request, const Server& server,
                                                    double now) const;
  /// Whether the client can be guaranteed that its own retry does not execute the request twice.
  bool client_may_retry(const RequestState& request) const;

 private:
  bool idempotency_allows(const RequestState& request, const Server& server, double now) const;

  const Settings& settings_;
};

} // namespace fernward
