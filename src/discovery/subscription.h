// When to ask discovery for the endpoint list, and over which connections. Decides; no I/O, no clock. Times
// in milliseconds on the caller's clock, which only advances.
//
// States of a call: connecting (asked_at 0), asked, answered and to be asked again (ask_at), each of them in
// doubt once doubt_at has passed. While a call is not in doubt nothing more is opened; once all are, another
// is opened beside them. A call in doubt may still be answered: the first sound answer closes all others. At
// most two calls are open; once both are in doubt one is replaced, see close_one_of_two().
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace fernward::discovery {

using CallId = std::uint32_t;    // one connection to discovery, with at most one call on it
using ListIndex = std::uint64_t; // a version of the list, as discovery counts them

struct SubscriptionRules {
  double poll_ms = 1000;    // how long discovery may hold a call; an empty answer costs it next to nothing
  double patience_ms = 400; // silence after which a call is in doubt
  double max_patience_ms = 1800;     // of a call that was opened beside another
  double abandon_ms = 15000;         // a call that has waited for this long gives way to another
  double first_pause_ms = 25;        // before the next connection, after one that ended
  double max_pause_ms = 125;         // the same after many
  double max_useless_pause_ms = 500; // after refusals and answers of no use
  double min_empty_ms = 20;          // before the next call, after an empty answer that did not wait
  double max_empty_ms = 100; // the same after many; a subscription lapses 200 ms after its last answer
};

// How a call ended that brought no list.
enum class Failure {
  Disconnected, // refused, reset or closed before an answer began
  Refused,      // discovery is overloaded, and says so
  Useless,      // an answer that can't be read, breaks off, is out of date or an error
};

// A sound answer: the list as of `index`.
struct Answer {
  ListIndex index = 0;
  bool complete = false; // false: changes alone
};

struct OpenConnection {
  CallId call = 0;
};
struct Ask {
  CallId call = 0;
  std::optional<ListIndex> since; // the changes after this version; none: the complete list
  double wait_ms = 0;             // how long discovery may wait for a change
};
struct CloseConnection {
  CallId call = 0;
};
using Action = std::variant<OpenConnection, Ask, CloseConnection>;
using Actions = std::vector<Action>;

class Subscription {
 public:
  // `known`: the version of the list that the process has already, from wherever: changes can be asked for
  // from the first moment on.
  Subscription(const SubscriptionRules& rules, std::uint64_t seed, std::optional<ListIndex> known = {});

  void start(double now, Actions& actions) { tick(now, actions); }
  void connected(double now, CallId id, Actions& actions);
  void progressed(double now, CallId id); // some bytes of its answer have come
  // `reusable`: the answer's connection can carry the next call.
  void answered(double now, CallId id, const Answer& answer, bool reusable, Actions& actions);
  void failed(double now, CallId id, Failure failure, Actions& actions);
  // Makes another call beside the open one, whatever that one will bring.
  void refresh(double now, Actions& actions);

  void tick(double now, Actions& actions); // to be called at next() or later
  double next() const;                     // infinity: nothing is waited for

  // The least version that a sound answer to this call can have.
  ListIndex at_least(CallId id);
  std::size_t open_calls() const { return calls_.size(); }
  std::uint32_t failures() const { return failures_ + doubts_; } // since the last sound answer

 private:
  struct Call {
    CallId id = 0;
    double patience_ms = 0;
    double opened_at = 0;
    double asked_at = 0; // 0: its connection has not come up
    double wait_ms = 0;
    std::optional<ListIndex> since;
    double limit_at = 0; // it is in doubt from then on, whatever comes
    double doubt_at = 0; // and from then on, unless something comes before
    double ask_at = 0;   // when the next call is made on its connection; 0: it has been made
  };

  Call* find(CallId id);
  bool asks_for_changes(const Call& call) const { return call.asked_at > 0 && call.since.has_value(); }
  bool needs_full_list(const Call& call) const;
  void erase(CallId id);
  void open(double now, Actions& actions);
  void ask(double now, Call& call, Actions& actions);
  void close_others(CallId kept, Actions& actions);
  void close_one_of_two(double now, Actions& actions);
  bool all_in_doubt(double now) const;
  double pause_after_empty(double now, const Call& call, const Answer& answer);
  double jittered(double ms, double min_share);

  SubscriptionRules rules_;
  std::minstd_rand random_;
  std::vector<Call> calls_;        // two at most, the oldest first
  std::optional<ListIndex> known_; // the version that changes can be asked from
  ListIndex last_index_ = 0;       // the last version that this discovery has told
  bool has_full_list_ = false;     // this discovery has told a complete list
  CallId last_call_ = 0;
  double reopen_at_ = 0;        // no connection is opened before
  double pause_ms_ = 0;         // the last one, before jitter
  bool changes_failed_ = false; // the last call for changes ended without an answer
  bool resync_ = false;         // an answer was of no use: only the complete list will do
  std::uint32_t failures_ = 0;  // calls that ended since the last sound answer
  std::uint32_t doubts_ = 0;    // calls that came into doubt since then
  std::uint32_t empty_in_a_row_ = 0;
};

} // namespace fernward::discovery
