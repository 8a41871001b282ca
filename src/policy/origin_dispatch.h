// Origin dispatch: which requests are sent to the origin, and when. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "concurrency/connection_capacity_estimator.h"
#include "concurrency/origin_concurrency_limiter.h"
#include "concurrency/origin_request_queue.h"
#include "fernward/balancer.h"
#include "placement/fill_rate_limiter.h"

namespace fernward {

/// Combines the limits on attempts at the origin: the concurrency limit, the connection capacity, the fetch
/// rate while keys move between caches, and the queue of waiting requests. Owned by Balancer::Impl. Times:
/// milliseconds; `active_attempts`: this router's attempts in progress at the origin.
struct OriginDispatch {
  concurrency::OriginConcurrencyLimiter limiter = concurrency::OriginConcurrencyLimiter::for_router_count(1);
  concurrency::ConnectionCapacityEstimator connections;
  concurrency::OriginRequestQueue queue;

  /// The origin was added or restarted: earlier measurements no longer apply.
  void reset(std::uint32_t router_count) {
    limiter = concurrency::OriginConcurrencyLimiter::for_router_count(router_count);
    connections = {};
  }
  /// Attempts in progress plus queued requests.
  double demand(std::uint32_t active_attempts) const {
    return active_attempts + static_cast<double>(queue.size());
  }
  /// Updates the queue's service rate, estimated as a closed loop: the allowed concurrent attempts divided by
  /// the response time. `fetch_limit_per_ms`: limit of the fill rate limiter; 0: none.
  void update_service_rate(double fetch_limit_per_ms) {
    const double response_ms = limiter.latency_ms();
    const double max_active_attempts = std::min(limiter.limit(), connections.capacity());
    const double service_rate_per_ms = response_ms > 0 ? max_active_attempts / response_ms : 0;
    const bool fetches_limited = fetch_limit_per_ms > 0 && service_rate_per_ms > 0;
    queue.set_service_rate(
        fetches_limited ? std::min(fetch_limit_per_ms, service_rate_per_ms) : service_rate_per_ms,
        response_ms);
  }
  /// Removes and returns the next request that may be sent now; nullopt if there is none.
  std::optional<RequestId> take_next_request(double now, std::uint32_t active_attempts,
                                             placement::FillRateLimiter& fill_rate_limiter) {
    const bool has_connection = connections.has_capacity(now, active_attempts);
    const bool may_send_read = has_connection && limiter.has_capacity(now, active_attempts, false) &&
                               fill_rate_limiter.may_fetch(now);
    const bool may_send_write = has_connection && limiter.has_capacity(now, active_attempts, true);
    return queue.take(now, may_send_read, may_send_write);
  }
};

} // namespace fernward
