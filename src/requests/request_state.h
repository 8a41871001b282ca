// State of an active request, and timer tokens. Contains no decisions.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <vector>

#include "fernward/balancer.h"
#include "placement/fill_rate_limiter.h"
#include "statistics/numbers.h"

namespace fernward {

/// One sending of a request to one server.
struct Attempt {
  ServerId server = 0;
  double sent_at = 0; // ms, clock time
  bool in_flight = true;
  // Never cancelled, to measure whether slow attempts are ever answered.
  bool exempt_from_cancellation = false;
  bool slow = false;             // exceeded the slow attempt threshold
  bool stalled = false;          // slow, and later ones were answered: uses no server capacity
  bool head_received = false;    // of a successful response, whose body is incomplete
  bool response_started = false; // response is being forwarded: the server has completed its work
};

/// Returns the request with invalid values replaced by those for absent ones.
inline Request sanitize_request(Request request, double default_deadline) {
  if (!is_finite_non_negative(request.expected_work_ms)) request.expected_work_ms = 0;
  if (!is_finite_non_negative(request.body_complete_at)) request.body_complete_at = 0;
  if (!std::isfinite(request.deadline)) request.deadline = default_deadline;
  return request;
}

/// A request from its arrival until its last attempt has ended. Owned by Balancer::Impl. Times: milliseconds,
/// clock time.
struct RequestState {
  Request params;
  double response_deadline = 0;         // the final answer is sent by then, unless awaits_body()
  double give_up_timer_at = 0;          // when the earliest pending GiveUp timer fires
  bool deadline_changed = false;        // GiveUp timers may fire before response_deadline
  double response_value = 0;            // of a response in time, by priority
  double slow_start_admitted_share = 1; // share admitted to caches in slow start, see placement::KeyDemand
  std::vector<Attempt> attempts;
  std::vector<ServerId> cache_misses;
  std::uint32_t in_flight = 0;
  // Set if the first attempt was sent to a cache without the key, so that the key is stored there.
  std::optional<placement::FillRateLimiter::Fill> pending_fill;
  bool finished = false;          // the final answer was sent
  bool streaming = false;         // a response is being forwarded
  bool may_have_executed = false; // by one of its attempts
  bool is_fetch_leader = false;   // others may wait for its fetch, see FetchCoalescer
  bool queued_for_origin = false;
  // Time and place of the first attempt that may have executed: the servers there know the idempotency key.
  double key_bound_at = 0;
  std::uint32_t key_bound_zone = 0;
  std::uint32_t key_bound_cell = 0;

  bool has_timely_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& a) { return a.in_flight && !a.slow; });
  }
  /// Whether a server has begun to respond, so that the response only has to arrive.
  bool awaits_body() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& a) { return a.in_flight && a.head_received; });
  }
  bool has_missed(ServerId id) const {
    return std::find(cache_misses.begin(), cache_misses.end(), id) != cache_misses.end();
  }
  bool has_tried(ServerId id) const {
    return std::any_of(attempts.begin(), attempts.end(), [id](const Attempt& a) { return a.server == id; });
  }
};

inline bool is_failure(AttemptResult result) {
  return result == AttemptResult::Error || result == AttemptResult::Reset ||
         result == AttemptResult::ConnectFailed || result == AttemptResult::TimedOut;
}
inline bool may_have_executed(AttemptResult result) {
  return result != AttemptResult::Overloaded && result != AttemptResult::ConnectFailed &&
         result != AttemptResult::Abandoned && result != AttemptResult::CacheMiss;
}

/// The outcome as far as the server is concerned, once its response starts to be forwarded.
inline AttemptOutcome outcome_from_response_start(const ResponseStarted& event) {
  AttemptOutcome outcome;
  outcome.id = event.id;
  outcome.attempt = event.attempt;
  outcome.server = event.server;
  outcome.result = AttemptResult::Ok;
  outcome.elapsed_ms = event.elapsed_ms;
  return outcome;
}

enum class TimerKind : std::uint64_t { Tick, GiveUp, SlowAttempt, RetryOrigin };

// Layout of a timer token from the highest bit: 4 bits kind, 8 bits attempt index, 52 bits request id.
constexpr unsigned kTimerKindShift = 60;
constexpr unsigned kTimerAttemptShift = 52;
inline std::uint64_t timer_token(TimerKind kind, RequestId id = 0, std::uint64_t attempt = 0) {
  return static_cast<std::uint64_t>(kind) << kTimerKindShift | attempt << kTimerAttemptShift | id;
}
inline TimerKind timer_kind(std::uint64_t token) { return static_cast<TimerKind>(token >> kTimerKindShift); }
inline std::size_t timer_attempt(std::uint64_t token) { return (token >> kTimerAttemptShift) & 0xff; }
inline RequestId timer_request(std::uint64_t token) { return token & ((1ull << kTimerAttemptShift) - 1); }

} // namespace fernward
