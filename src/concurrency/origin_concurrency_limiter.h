// Limit of concurrent attempts from this router to the origin. Pure decisions: no I/O, no clock.
//
// Uses a latency gradient: the slowdown of a response is its latency divided by its expected latency
// (LatencyBaseline). While the slowdown is below a bound, the limit grows. Slowdown above the tolerated value
// adds to a congestion score until the limit is decreased. After such a decrease the baseline is tested: if
// the latency does not fall, the origin is slow rather than congested. A limit below one is a rate. It yields
// too few responses to adapt to, and follows the latency of the fleet instead.
// Units: milliseconds on the caller's clock, which only advances; attempts; shares from 0 to 1. Does not
// allocate.
#pragma once

#include <cstdint>

#include "concurrency/latency_baseline.h"
#include "statistics/numbers.h"

namespace fernward::concurrency {

enum class AttemptEnding : std::uint8_t {
  Answered,      // response received: a value, a miss or an error response to the request itself
  Fault,         // an error or a reset: no congestion by itself, but its time counts if it took long
  Rejected,      // not processed: the server had no connection or queue slot
  ConnectFailed, // the connection was not established
  TimedOut,      // abandoned without a byte from the server: it is late, or the connection is dead
  Cancelled      // abandoned early (a faster attempt, or the client disconnected): time is a lower bound
};

// Numbers that are negative or not finite count as unknown.
struct AttemptSample {
  AttemptEnding ending = AttemptEnding::Answered;
  double elapsed_ms = 0;
  double work_ms = 0;              // expected of the request; only ratios between requests count; 0: unknown
  double latency_objective_ms = 0; // 0: none
  bool write = false;
  std::uint32_t in_flight = 0; // this router's other attempts to the server that remain in flight
};

// Reason for which a sample decreased the limit, for the caller's log.
enum class DecreaseReason : std::uint8_t { None, Slow, Rejected, TimedOut };

// Call has_capacity() before each attempt, on_attempt_sent() when it is sent and on_attempt_ended() when it
// has ended. The caller counts the attempts in flight. A restarted server gets a new limiter.
class OriginConcurrencyLimiter {
 public:
  // The initial limit is divided by `router_count`.
  static OriginConcurrencyLimiter for_router_count(double router_count);

  // Whether one more attempt may be sent while `in_flight` attempts are in flight. A write never has to wait
  // while none is in flight.
  bool has_capacity(double now, std::uint32_t in_flight, bool write) const;
  void on_attempt_sent(double now);
  DecreaseReason on_attempt_ended(double now, const AttemptSample& reported_sample);

  // This router's share of the sum of all routers' limits. The limit approaches it over several calls; the
  // sum does not change.
  void set_fleet_share(double share);
  // Latency measured by all routers, on average `age_ms` ago; 0: unknown. Used by a limit below one.
  void set_fleet_latency(double now, double latency_ms, double age_ms);

  double limit() const { return limit_; }
  double latency_ms() const { return latency_ms_; } // moving average; 0: no response yet
  // This router's latency, for the other routers: mean of recent responses, weighted by age; 0: no response
  // in the last 0.8 s.
  double recent_latency_ms(double now) const;
  // Utilization relative to the point at which the limit decreases: 0: idle; above 1: the limit decreases.
  // `demand`: attempts in flight and waiting.
  double utilization(double now, double demand) const;

 private:
  OriginConcurrencyLimiter(double router_count, double initial_limit);

  double rate_tokens(double now, double rate) const;
  double expected_ms(const AttemptSample& sample) const {
    return baseline_.expected_ms(sample.work_ms, sample.write);
  }
  double tolerated_slowdown(double latency_objective_ms) const;
  double late_objective_ratio(double latency_objective_ms) const;
  bool follows_fleet_latency(double now) const;

  DecreaseReason on_rejected(double now, const AttemptSample& sample);
  bool reflects_server_latency(double now, const AttemptSample& sample);
  void update_latency(double now, const AttemptSample& sample);

  void process_sample(double now, const AttemptSample& sample, double slowdown);
  void test_baseline(double slowdown);
  void update_baseline(const AttemptSample& sample, double slowdown);
  void update_uncongested(double growth_bound);
  void adjust(double now, const AttemptSample& sample, double slowdown, double growth_bound,
              bool throughput_increased);
  bool decrease_if_late(double now, const AttemptSample& sample);
  bool decrease_if_congested(double now);
  void decrease_gradually(double excess_slowdown);
  void grow(const AttemptSample& sample);
  void decrease(double now, double new_limit);

  double limit_;
  double initial_limit_;
  double router_count_;
  bool slow_start_ = true; // until the first decrease
  LatencyBaseline baseline_;

  double latency_ms_ = 0;
  double latency_objective_ms_ = 0; // of the last sample that had one
  double mean_slowdown_ = 1;        // mean of latency / expected latency
  double mean_objective_ratio_ = 0; // mean of latency / objective
  double congestion_score_ = 0;     // evidence of congestion, summed over samples
  double sample_count_ = 0;         // up to kMaxSamples
  double mean_in_flight_;           // mean attempts in flight
  double slow_at_limit_share_ = 0;  // share of samples that were slow while the limit was fully used

  // Values while the server was not congested.
  double uncongested_limit_ = 0;
  double uncongested_throughput_ = 0;
  double growth_share_ = 1; // share of full growth, by the distance of the slowdown from the growth bound

  // Test of the baseline after a decrease.
  bool testing_baseline_ = false;
  double test_sample_count_ = 0;
  double test_slowdown_sum_ = 0;
  double test_interval_ms_ = 4000;

  double fast_growth_limit_; // after a decrease the limit grows fast up to this value
  double decreased_at_ = kNever;
  double decrease_effective_at_ = kNever;    // attempts sent earlier do not show the effect of the decrease
  double limit_before_connect_failures_ = 0; // 0: none since a response
  double last_answered_sent_at_ = kNever;    // send time of the latest sent attempt that was answered
  std::uint32_t consecutive_timeouts_ = 0;

  // Rate of a limit below one, or of the fractional part of the limit.
  double last_sent_at_ = kNever;
  double tokens_ = 0;
  double send_interval_ms_ = 0; // mean

  // This router's latency, reported to the other routers, and the latency reported by them.
  double recent_sum_ms_ = 0;
  double recent_count_ = 0;
  double recent_updated_at_ = kNever;
  double fleet_latency_known_at_ = kNever;    // last call that had a known latency
  double fleet_latency_received_at_ = kNever; // last call of set_fleet_latency()
};

} // namespace fernward::concurrency
