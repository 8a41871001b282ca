// How many attempts at once may be out from this router towards one server. Decides; no I/O, no clock.
//
//  - Units: milliseconds on the caller's clock, which only advances; counts of attempts; shares from 0 to 1.
//  - Ownership: plain values, no allocation; one for each server and router, a few hundred bytes.
//  - Use: ask room() before each attempt, tell sent() for each one that goes out and ended() for each that is over.
//    The caller counts what is out. A server that was restarted gets a new one.
//  - Misuse: figures that are not finite or are negative count as unknown.
#pragma once

#include <cstdint>

#include "concurrency/latency_baseline.h"

namespace fernward::concurrency {

enum class AttemptOutcome : std::uint8_t {
  Answered,      // by the server: a value, a miss, a refusal of the request itself
  Fault,         // an error or a reset: no crowding by itself, its time counts where it took long
  Rejected,      // unseen: no place, no waiting room
  ConnectFailed, // the connection never came up
  TimedOut,      // given up without a word from the server: late, or the connection is dead
  Cancelled      // given up early (another copy was quicker, the client left): it took at least this long
};

struct AttemptSample {
  AttemptOutcome outcome = AttemptOutcome::Answered;
  double elapsed_ms = 0;
  double work_ms = 0; // the work expected of the request, in any unit that its neighbours share; 0: unknown
  double latency_objective_ms = 0; // an answer within this is worth something; 0: no aim
  bool write = false;
  std::uint32_t in_flight = 0; // this router's attempts at the server that are still out after this one
};

// What a sample did to the limit, for the caller's log.
enum class DecreaseReason : std::uint8_t { None, Slow, Rejected, TimedOut };

class OriginConcurrencyLimiter {
 public:
  // Of the last resort of all, shared by `nodes` routers: it always leaves a write its turn.
  static OriginConcurrencyLimiter for_router_count(double nodes);

  // May one more go out, `out` being out already?
  bool has_capacity(double now, std::uint32_t out, bool write) const;
  void on_attempt_sent(double now);
  DecreaseReason on_attempt_ended(double now, const AttemptSample& sample);

  // What the routers together hold this one's part to be. Approached over some calls.
  void set_fleet_share(double part);

  // The response time as the routers saw it together, `age_ms` ago on average; 0: not known. A limit below one brings
  // an answer in many response times: its pace, and whether it falls or grows, then go by this and not by own answers.
  void set_fleet_latency(double now, double answer_ms, double age_ms);
  double recent_latency_ms(double now) const; // own response time of late, to be told; 0: no answer for 0.8 s

  double limit() const { return limit_; }          // attempts at once; below one it is a pace
  double latency_ms() const { return recent_ms_; } // response time lately; 0: none seen
  // How full the server is, as a share of what makes the limit fall: 0 nobody there, over 1 the limit falls.
  // `out`: this router's attempts there and those waiting for it.
  double utilization(double now, double out) const;

 private:
  OriginConcurrencyLimiter(double nodes, double start);
  double tokens(double now, double pace) const;
  double expected(const AttemptSample& s) const { return floor_.expected_ms(s.work_ms, s.write); }
  double tolerance(double aim_ms) const;
  void learn(double now, const AttemptSample& s, double slowdown);
  void grow(const AttemptSample& s);
  void cut(double now, double to);
  double too_late(double aim_ms) const;
  bool goes_by_pool(double now) const;

  double limit_, start_, nodes_;
  bool doubling_ = true;
  LatencyBaseline floor_;
  double recent_ms_ = 0;
  double slow_ = 1;   // time over floor, lately
  double strain_ = 0; // evidence of crowding, gathered over samples
  double seen_ = 0;   // answers, up to some
  double used_ = 0;   // attempts at once, lately
  double clear_ = 0, clear_seen_ = 0, clear_sum_ = 0;
  double was_ = 0; // up to here the limit grows quickly again
  double late_ = 0, pressed_ = 0, good_used_ = 0, test_ms_ = 4000, hold_ = 1;
  double good_ = 0;
  double sent_at_ = kNever, tokens_ = 0, gap_ms_ = 0;
  double cut_at_ = kNever, settled_at_ = kNever;
  double later_ = kNever; // when the latest attempt that was answered had been sent
  // Limit before the first of several connections that did not come up; 0: none since an answer.
  double reached_ = 0;
  double lately_sum_ = 0, lately_seen_ = 0, lately_at_ = kNever; // answers lately, the younger the more
  double aim_ms_ = 0;                                            // of the last answer that had one
  double pooled_at_ = kNever, led_at_ = kNever; // the others' last response time, their last word
  double silent_ = 0;                           // attempts in a row that ended without a word
};

} // namespace fernward::concurrency
