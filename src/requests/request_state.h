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
  bool out = true;
  bool watched = false; // left to end by itself, to tell whether late ones are slow or dead
  bool late = false;    // slower than nearly all
  bool hung = false;    // and requests sent after it were answered: no place at the server is taken
  bool opened = false;  // its answer is being passed on: the server's work for it is done
};

// What can't be is taken for absent.
inline Request cleaned(Request in, double give_up_at) {
  if (!usable_number(in.expected_work_ms)) in.expected_work_ms = 0;
  if (!usable_number(in.body_complete_at)) in.body_complete_at = 0;
  if (!std::isfinite(in.deadline)) in.deadline = give_up_at;
  return in;
}

// A request from its arrival until its last attempt has ended.
struct RequestState {
  Request in;
  double end_at = 0; // its final answer goes out by then
  double value = 0;
  double slow_start_share =
      1; // of such requests, what a cache in slow start may be sent; see placement::KeyDemand
  std::vector<Attempt> attempts;
  std::vector<ServerId> missed;
  std::uint32_t out = 0;
  std::optional<placement::FillRateLimiter::Fill>
      filling; // its first attempt goes where the key is not held, to be stored there
  bool over = false, streaming = false, maybe_ran = false, leads = false, queued = false;
  double ran_at = 0; // send of the first attempt that may have run, and its server's group
  std::uint32_t ran_zone = 0, ran_cell = 0;

  bool waits_well() const { // for an attempt that is not late yet
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out && !a.late; });
  }
  bool missed_at(ServerId id) const { return std::find(missed.begin(), missed.end(), id) != missed.end(); }
  bool tried(ServerId id) const {
    return std::any_of(attempts.begin(), attempts.end(), [id](const Attempt& a) { return a.server == id; });
  }
};

// Repeating `o` at `at` carries out no effect twice.
inline bool may_repeat(const Settings& set, const RequestState& o, const Server& at, double now) {
  const ClassSettings& c = set.classes[o.in.class_index];
  if (c.idempotency == Idempotency::Idempotent || (!o.maybe_ran && o.out == 0)) return true;
  if (c.idempotency == Idempotency::NonIdempotent ||
      now - o.ran_at >= c.idempotency_window_ms - 2 * set.event_interval_ms)
    return false;
  return c.idempotency_scope == IdempotencyScope::All ||
         (c.idempotency_scope == IdempotencyScope::Zone && at.zone == o.ran_zone) ||
         (c.idempotency_scope == IdempotencyScope::Cell && at.cell == o.ran_cell);
}

inline bool failed(AttemptResult result) {
  return result == AttemptResult::Error || result == AttemptResult::Reset ||
         result == AttemptResult::ConnectFailed || result == AttemptResult::TimedOut;
}
inline bool may_have_run(AttemptResult result) {
  return result != AttemptResult::Overloaded && result != AttemptResult::ConnectFailed &&
         result != AttemptResult::Abandoned && result != AttemptResult::CacheMiss;
}

// What has happened as far as the server goes, when its answer begins to be passed on.
inline AttemptOutcome answered(const ResponseStarted& e) {
  AttemptOutcome made;
  made.id = e.id;
  made.attempt = e.attempt;
  made.server = e.server;
  made.result = AttemptResult::Ok;
  made.elapsed_ms = e.elapsed_ms;
  return made;
}

enum class Timer : std::uint64_t { Tick, End, Overdue, Again };
inline std::uint64_t token(Timer kind, RequestId id = 0, std::uint64_t attempt = 0) {
  return static_cast<std::uint64_t>(kind) << 60 | attempt << 52 | id;
}

} // namespace fernward
