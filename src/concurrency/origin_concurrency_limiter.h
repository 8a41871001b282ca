// Limit of concurrent attempts from this router at the origin. Decides; no I/O, no clock.
//
// Latency gradient: each response's latency by its expected value (LatencyBaseline) is its slowdown. Below a
// bound the limit grows, beyond the tolerated slowdown strain gathers until the limit is decreased. After a
// decrease for strain the baseline is tested: a latency that stays shows an origin that is slow, not crowded.
// A limit below one is a rate. It yields too few responses to learn from and follows the fleet's latency
// instead.
// Units: milliseconds on the caller's clock, which only advances; attempts; shares from 0 to 1. No
// allocation.
#pragma once

#include <cstdint>

#include "concurrency/latency_baseline.h"
#include "statistics/numbers.h"

namespace fernward::concurrency {

enum class AttemptEnding : std::uint8_t {
  Answered,      // by the server: a value, a miss, a refusal of the request itself
  Fault,         // an error or a reset: no crowding by itself, its time counts where it took long
  Rejected,      // unseen: no connection or queue slot
  ConnectFailed, // the connection never came up
  TimedOut,      // given up without a byte from the server: late, or the connection is dead
  Cancelled      // given up early (another attempt was quicker, the client left): it took at least this long
};

// Numbers that are not finite or are negative count as unknown.
struct AttemptSample {
  AttemptEnding outcome = AttemptEnding::Answered;
  double elapsed_ms = 0;
  double work_ms = 0; // work expected of the request, in any unit shared by all requests; 0: unknown
  double latency_objective_ms = 0; // 0: none
  bool write = false;
  std::uint32_t in_flight = 0; // this router's attempts at the server that remain after this one
};

// Why a sample decreased the limit, for the caller's log.
enum class DecreaseReason : std::uint8_t { None, Slow, Rejected, TimedOut };

// Ask has_capacity() before each attempt; tell on_attempt_sent() of each that is sent and on_attempt_ended()
// of each that is over. The caller counts attempts in flight. A restarted server gets a new limiter.
class OriginConcurrencyLimiter {
 public:
  // The initial limit is shared by `router_count` routers.
  static OriginConcurrencyLimiter for_router_count(double router_count);

  // May one more attempt be sent while `in_flight` are? A write is never kept waiting with none in flight.
  bool has_capacity(double now, std::uint32_t in_flight, bool write) const;
  void on_attempt_sent(double now);
  DecreaseReason on_attempt_ended(double now, const AttemptSample& reported);

  // This router's share of the sum of all routers' limits, approached over several calls. Adds nothing to the
  // sum.
  void set_fleet_share(double share);
  // Latency as seen by all routers, `age_ms` ago on average; 0: unknown. Used by a limit below one.
  void set_fleet_latency(double now, double latency_ms, double age_ms);

  double limit() const { return limit_; }
  double latency_ms() const { return latency_ms_; } // moving average; 0: none seen
  // Own latency for the other routers: responses of the last 0.8 s, weighted by age; 0: none.
  double recent_latency_ms(double now) const;
  // Of what makes the limit decrease: 0 idle, over 1 decreasing. `wanted`: attempts in flight and waiting.
  double utilization(double now, double wanted) const;

 private:
  OriginConcurrencyLimiter(double router_count, double initial_limit);

  double rate_tokens(double now, double rate) const;
  double expected_ms(const AttemptSample& sample) const {
    return baseline_.expected_ms(sample.work_ms, sample.write);
  }
  double tolerated_slowdown(double latency_objective_ms) const;
  double late_share(double latency_objective_ms) const;
  bool follows_fleet_latency(double now) const;

  DecreaseReason on_refused(double now, const AttemptSample& sample);
  bool shows_latency(double now, const AttemptSample& sample);
  void update_latency(double now, const AttemptSample& sample);

  void learn(double now, const AttemptSample& sample, double slowdown);
  void test_baseline(double slowdown);
  void learn_baseline(const AttemptSample& sample, double slowdown);
  void remember_uncrowded(double growth_bound);
  void adjust(double now, const AttemptSample& sample, double slowdown, double growth_bound,
              bool carries_more);
  bool decrease_if_late(double now, const AttemptSample& sample);
  bool decrease_if_crowded(double now);
  void ease(double excess_slowdown);
  void grow(const AttemptSample& sample);
  void decrease(double now, double to);

  double limit_;
  double initial_limit_;
  double router_count_;
  bool slow_start_ = true; // until the first decrease
  LatencyBaseline baseline_;

  double latency_ms_ = 0;
  double latency_objective_ms_ = 0; // of the last sample that had one
  double slowdown_ = 1;             // mean latency by its expected value
  double late_ = 0;                 // mean latency by the objective
  double strain_ = 0;               // evidence of crowding, summed over samples
  double samples_ = 0;              // up to kMaxSamples
  double used_;                     // mean attempts in flight
  double at_limit_ = 0;             // share of samples that were slow while the limit was used up

  // While the server was uncrowded.
  double uncrowded_limit_ = 0;
  double uncrowded_used_ = 0;
  double growth_share_ = 1; // of full growth, by how far the slowdown is from the growth bound

  // Test of the baseline after a decrease.
  bool testing_baseline_ = false;
  double test_samples_ = 0;
  double test_sum_ = 0;
  double test_interval_ms_ = 4000;

  double regrow_limit_; // up to here the limit grows quickly after a decrease
  double decreased_at_ = kNever;
  double decrease_settled_at_ = kNever;      // attempts sent before it show nothing new
  double limit_before_connect_failures_ = 0; // 0: none since a response
  double last_answered_sent_at_ = kNever;    // when the latest attempt that was answered had been sent
  std::uint32_t consecutive_timeouts_ = 0;

  // Rate of a limit below one, or of its fraction.
  double last_sent_at_ = kNever;
  double tokens_ = 0;
  double send_interval_ms_ = 0; // mean

  // Own latency told to the other routers, and theirs.
  double recent_sum_ms_ = 0;
  double recent_count_ = 0;
  double recent_at_ = kNever;
  double fleet_latency_at_ = kNever; // last known latency of the fleet
  double fleet_heard_at_ = kNever;   // last call of set_fleet_latency()
};

} // namespace fernward::concurrency
