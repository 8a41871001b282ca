// Decides when to poll discovery for the endpoint list, and over which connections. No I/O, no clock. Times
// are in milliseconds on the caller's clock, which only advances.
//
// States of a call: connecting (polled_at is 0), polled, or answered with the next poll scheduled
// (next_poll_at). In each state it is overdue once overdue_at has passed. While any call is not overdue no
// other is opened; once all are, another is opened beside them. An overdue call may still be answered: the
// first valid answer closes all others. At most two calls are open; once both are overdue one is replaced,
// see close_one_of_two().
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace fernward::discovery {

using CallId = std::uint32_t;    // one connection to discovery, with at most one call on it
using ListIndex = std::uint64_t; // a version of the endpoint list, assigned by discovery

struct SubscriptionSettings {
  double long_poll_ms = 1000;      // how long discovery may hold a call; an empty answer costs it very little
  double silence_timeout_ms = 400; // silence after which a call is overdue
  double max_silence_timeout_ms = 1800;  // of a call opened beside another
  double abandon_after_ms = 15000;       // a call that has waited for this long is replaced
  double min_reconnect_pause_ms = 25;    // before reconnecting after a connection ended
  double max_reconnect_pause_ms = 125;   // the same after many ended in a row
  double max_rejected_pause_ms = 500;    // the same after refusals and invalid answers
  double min_empty_answer_pause_ms = 20; // before the next call after an empty answer without a wait
  // The same after many; a subscription expires 200 ms after its last answer.
  double max_empty_answer_pause_ms = 100;
};

// How a call ended without a list.
enum class Failure {
  Disconnected,  // refused, reset or closed before an answer began
  Refused,       // discovery reports that it is overloaded
  InvalidAnswer, // the answer is malformed, truncated, out of date or an error
};

// A valid answer: the list as of `index`.
struct Answer {
  ListIndex index = 0;
  bool complete = false; // false: changes only
};

struct OpenConnection {
  CallId call = 0;
};
struct Poll {
  CallId call = 0;
  std::optional<ListIndex> since; // the changes after this version; none: the complete list
  double wait_ms = 0;             // how long discovery may wait for a change
};
struct CloseConnection {
  CallId call = 0;
};
using Action = std::variant<OpenConnection, Poll, CloseConnection>;
using Actions = std::vector<Action>;

class Subscription {
 public:
  // `known_index`: the version of the list that the process already has, from any source, so that the first
  // call can ask for changes only.
  Subscription(const SubscriptionSettings& settings, std::uint64_t seed,
               std::optional<ListIndex> known_index = {});

  void start(double now, Actions& actions) { tick(now, actions); }
  void on_connected(double now, CallId id, Actions& actions);
  void on_data_received(double now, CallId id); // some bytes of its answer were received
  // `reusable`: the answer's connection can carry the next call.
  void on_answered(double now, CallId id, const Answer& answer, bool reusable, Actions& actions);
  void on_failed(double now, CallId id, Failure failure, Actions& actions);
  // Makes another call beside the open one, without waiting for that one's result.
  void refresh(double now, Actions& actions);

  void tick(double now, Actions& actions); // to be called at next_tick_at() or later
  double next_tick_at() const;             // infinity: nothing is scheduled

  // The lowest version that a valid answer to this call can have.
  ListIndex min_index(CallId id);
  std::size_t open_calls() const { return calls_.size(); }
  std::uint32_t failures() const { return failures_ + overdue_calls_; } // since the last valid answer

 private:
  struct Call {
    CallId id = 0;
    double silence_timeout_ms = 0;
    double opened_at = 0;
    double polled_at = 0; // 0: its connection is not established
    double wait_ms = 0;
    std::optional<ListIndex> since;
    double answer_deadline = 0; // it is overdue from then on, even if bytes arrive
    double overdue_at = 0;      // it is overdue from then on, unless bytes arrive before
    double next_poll_at = 0;    // when the next poll is sent on its connection; 0: none is scheduled
  };

  Call* find(CallId id);
  bool polls_for_changes(const Call& call) const { return call.polled_at > 0 && call.since.has_value(); }
  bool needs_complete_list(const Call& call) const;
  void erase(CallId id);
  void open_connection(double now, Actions& actions);
  void poll(double now, Call& call, Actions& actions);
  void close_others(CallId kept, Actions& actions);
  void close_one_of_two(double now, Actions& actions);
  bool all_overdue(double now) const;
  double empty_answer_pause_ms(double now, const Call& call, const Answer& answer);
  double jittered(double duration_ms, double min_share);

  SubscriptionSettings settings_;
  std::minstd_rand random_;
  std::vector<Call> calls_;              // two at most, the oldest first
  std::optional<ListIndex> known_index_; // the version after which changes can be requested
  ListIndex last_answered_index_ = 0;    // the last version that this discovery sent
  bool received_complete_list_ = false;  // this discovery has sent a complete list
  CallId last_call_id_ = 0;
  double reopen_at_ = 0;             // no connection is opened before this time
  double reconnect_pause_ms_ = 0;    // the last one, before jitter
  bool changes_failed_ = false;      // the last call for changes ended without an answer
  bool needs_complete_list_ = false; // an answer was invalid: the next call must get the complete list
  std::uint32_t failures_ = 0;       // calls that failed since the last valid answer
  std::uint32_t overdue_calls_ = 0;  // calls that became overdue since then
  std::uint32_t consecutive_empty_answers_ = 0;
};

} // namespace fernward::discovery
