// Schedule of discovery calls for the endpoint list. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>

#include "fernward/balancer.h"

namespace fernward {

/// Decides when to send a WatchEndpoints in DiscoveryMode::Poll. States: idle; pending after
/// record_poll_sent(); subscribed from the first list after that. A failed call leads back to idle, with
/// exponential backoff. Owned by Balancer::Impl. Times: milliseconds; `random_unit`: uniform random number in
/// [0, 1).
class EndpointPollSchedule {
 public:
  /// Many routers may restart at the same time: the first calls are spread, to avoid overloading discovery.
  void start(double now, double random_unit) { next_poll_at_ = now + kInitialPollJitterMs * random_unit; }
  bool is_due(double now) const { return !subscribed_ && now >= next_poll_at_; }
  /// `poll_interval_ms`: the call is repeated if no list arrives within this time; 0: a default is used.
  void record_poll_sent(double now, double poll_interval_ms) {
    poll_pending_ = true;
    next_poll_at_ = now + (poll_interval_ms > 0 ? poll_interval_ms : kMaxBackoffMs);
  }
  void on_list(EndpointListKind kind) {
    if (kind == EndpointListKind::Cached || !poll_pending_) return;
    subscribed_ = true;
    poll_pending_ = false;
    backoff_ms_ = 0;
  }
  void on_failure(double now, double random_unit) {
    subscribed_ = false;
    poll_pending_ = false;
    backoff_ms_ = std::clamp(2 * backoff_ms_, kMinBackoffMs, kMaxBackoffMs);
    next_poll_at_ = now + backoff_ms_ * (0.5 + random_unit);
  }
  double next_poll_at() const { return next_poll_at_; }

 private:
  static constexpr double kInitialPollJitterMs = 1000;
  static constexpr double kMaxBackoffMs = 8000;
  static constexpr double kMinBackoffMs = kMaxBackoffMs / 16;

  bool subscribed_ = false;
  bool poll_pending_ = false;
  double next_poll_at_ = 0;
  double backoff_ms_ = 0;
};

} // namespace fernward
