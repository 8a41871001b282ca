// Limit of concurrent attempts from this router to one cache. Pure decisions: no I/O, no clock.
//
// The limit follows latency with additive increase and multiplicative decrease, because caches do not
// announce their capacity, which all routers share. A limit below one is a rate: one attempt per 1/limit
// response times.
// Units: milliseconds on the caller's clock; attempts. Does not allocate.
#pragma once

#include <algorithm>
#include <cstdint>

#include "statistics/numbers.h"

namespace fernward::concurrency {

// A cache whose mean latency exceeds this share of the latency objective is congested.
constexpr double kCongestedShareOfObjective = 0.5;

class CacheConcurrencyLimiter {
 public:
  // The initial limit and the increase per response are divided by the number of routers.
  explicit CacheConcurrencyLimiter(double router_count)
      : limit_(kFleetInitialLimit / router_count),
        min_unused_limit_(limit_ / 2),
        increase_(limit_ / 8),
        min_limit_(limit_ / 256) {}

  double limit() const { return limit_; }

  // Whether one more attempt may be sent while `in_flight` attempts are in flight.
  bool has_capacity(double now, std::uint32_t in_flight) const {
    if (limit_ < 1) return in_flight == 0 && (now - last_sent_at_) * kRateSlack * limit_ >= mean_latency_ms_;
    return in_flight < limit_;
  }

  void on_attempt_sent(double now) { last_sent_at_ = now; }

  // A response was received after `elapsed_ms`, or none within that time; `in_flight` other attempts remain.
  // Returns true if the cache is congested.
  bool on_response(double now, double elapsed_ms, double objective_ms, std::uint32_t in_flight) {
    // An attempt on an unresponsive connection ends only when its client gives up. One such attempt must not
    // outweigh many responses.
    elapsed_ms = std::min(elapsed_ms, objective_ms);
    if (mean_latency_ms_ == 0) mean_latency_ms_ = elapsed_ms;
    update_moving_average(mean_latency_ms_, elapsed_ms, kLatencyWeight);
    update_moving_average(mean_share_of_objective_, elapsed_ms / objective_ms,
                          limit_ < 1 ? kLowLimitResponseWeight : kLatencyWeight);
    if (mean_share_of_objective_ > kCongestedShareOfObjective) {
      limit_ = std::min(limit_, in_flight + 1.0); // unused capacity did not cause the congestion
      decrease(now, kCongestedFactor);
      return true;
    }
    if (in_flight + 1 >= limit_ / 2) {
      limit_ += increase_ * std::min(1.0, 1 / limit_);
    } else if (limit_ > min_unused_limit_) {
      limit_ *= kUnusedDecay; // capacity that was not used recently may no longer exist
    }
    return false;
  }

  // Multiplies the limit by `factor`, at most once per response time, as one overload affects many responses.
  void decrease(double now, double factor) {
    if (now - decreased_at_ < mean_latency_ms_) return;
    decreased_at_ = now;
    limit_ = std::max(min_limit_, limit_ * factor);
  }

 private:
  static constexpr double kFleetInitialLimit = 12; // attempts, over all routers
  static constexpr double kUnusedDecay = 0.98;     // per response while less than half of the limit is used
  static constexpr double kRateSlack = 1.5;        // requests arrive unevenly
  static constexpr double kCongestedFactor = 0.8;  // applied to the limit
  static constexpr double kLatencyWeight = 0.1;    // weight of one response
  // Weight of one response while the limit is below one.
  static constexpr double kLowLimitResponseWeight = 0.5;

  double limit_;
  double min_unused_limit_; // an unused limit does not decay below it
  double increase_;
  double min_limit_;
  // Mean of latency / objective. Relative, so that slow writes do not count as congestion.
  double mean_share_of_objective_ = 0;
  double mean_latency_ms_ = 0; // 0: no response yet
  double decreased_at_ = kNever;
  double last_sent_at_ = kNever;
};

} // namespace fernward::concurrency
