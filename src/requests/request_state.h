// What is kept of a request while it is open, and how a timer names it. No decisions here.
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

struct Attempt {
  ServerId server = 0;
  double sent_at = 0;
  bool in_flight = true;
  bool runs_to_end = false;      // left to end by itself, to tell whether late ones are slow or dead
  bool slow = false;             // slower than nearly all
  bool stalled = false;          // and requests sent after it were answered: no place at the server is taken
  bool response_started = false; // its answer is being passed on: the server's work for it is done
};

// What can't be is taken for absent.
inline Request sanitized(Request request, double give_up_at) {
  if (!usable_number(request.expected_work_ms)) request.expected_work_ms = 0;
  if (!usable_number(request.body_complete_at)) request.body_complete_at = 0;
  if (!std::isfinite(request.deadline)) request.deadline = give_up_at;
  return request;
}

// A request from its arrival until its last attempt has ended.
struct RequestState {
  Request params;
  double answer_by = 0; // its final answer goes out by then
  double value = 0;
  double slow_start_share =
      1; // of such requests, what a cache in slow start may be sent; see placement::KeyDemand
  std::vector<Attempt> attempts;
  std::vector<ServerId> cache_misses;
  std::uint32_t in_flight = 0;
  std::optional<placement::FillRateLimiter::Fill>
      pending_fill; // its first attempt goes where the key is not held, to be stored there
  bool finished = false, streaming = false, may_have_executed = false, leads_fetch = false,
       queued_for_origin = false;
  double bound_at = 0; // send of the first attempt that may have run, and its server's group
  std::uint32_t bound_zone = 0, bound_cell = 0;

  bool has_attempt_on_time() const { // for an attempt that is not late yet
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& a) { return a.in_flight && !a.slow; });
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

// What has happened as far as the server goes, when its answer begins to be passed on.
inline AttemptOutcome outcome_of(const ResponseStarted& event) {
  AttemptOutcome outcome;
  outcome.id = event.id;
  outcome.attempt = event.attempt;
  outcome.server = event.server;
  outcome.result = AttemptResult::Ok;
  outcome.elapsed_ms = event.elapsed_ms;
  return outcome;
}

enum class Timer : std::uint64_t { Tick, GiveUp, SlowAttempt, RetryOrigin };
inline std::uint64_t timer_token(Timer kind, RequestId id = 0, std::uint64_t attempt = 0) {
  return static_cast<std::uint64_t>(kind) << 60 | attempt << 52 | id;
}

} // namespace fernward
