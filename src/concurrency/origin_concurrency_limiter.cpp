#include "concurrency/origin_concurrency_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fernward::concurrency {
namespace {

// Limits.
constexpr double kFleetInitialLimit = 32;    // attempts, over all routers
constexpr double kMinLimitShare = 1.0 / 256; // of the initial limit
constexpr double kMaxLimit = 4096;
constexpr double kReservedWrites = 1;      // attempts that writes may have in flight at any limit
constexpr double kWriteLimitFactor = 1.25; // of the limit, available to writes
constexpr double kFleetShareStep = 0.2;    // of the difference to the fleet share, per call
constexpr double kUnusedDecay = 0.98;      // per response while less than half of the limit is used

// Rate of a limit below one.
constexpr double kRateSlack = 1.5; // requests arrive unevenly
constexpr double kMaxTokens = 2;   // attempts
// A rate counts as used if attempts are at most this many intervals apart.
constexpr double kUsedRateIntervals = 3;

// Weights of one sample in moving averages.
constexpr double kLatencyWeight = 0.1;
constexpr double kInFlightWeight = 0.1;
constexpr double kSendIntervalWeight = 0.2;
constexpr double kSlowAtLimitWeight = 0.03;
constexpr double kObjectiveRatioWeight = 0.1;
constexpr double kLowLimitObjectiveRatioWeight = 0.3; // while the limit is below one
constexpr double kThroughputRiseWeight = 0.1;
constexpr double kThroughputFallWeight = 0.01;

// Tolerated slowdown: 1 + kToleranceByObjective * (objective / baseline - 1), bounded. An origin whose
// baseline is a third of the objective may be used closer to its capacity than one that is ten times as fast.
constexpr double kToleranceByObjective = 0.25;
constexpr double kMinTolerance = 1.2;
constexpr double kMaxTolerance = 2.5;
constexpr double kDefaultObjectiveRatio = 8;   // if the objective or the baseline is unknown
constexpr double kGrowthToleranceShare = 0.35; // of the tolerance, up to which the limit grows
constexpr double kMaxSlowdownSample = 4;
constexpr double kMaxObjectiveRatioSample = 1.5;
constexpr double kCongestionScoreLimit = 8;  // score at which the limit decreases
constexpr double kFullSampleWeightLimit = 8; // limit above which one sample has less weight
// Relative to the uncongested throughput. Above it a slow origin is congested, otherwise it is merely slow.
constexpr double kThroughputIncrease = 1.15;
// Slowdown in excess of the baseline that counts as full utilization.
constexpr double kExcessSlowdownAtFullUtilization = 0.6;

// Decrease.
constexpr double kRejectedFactor = 0.7; // of the attempts in use
constexpr double kLateFactor = 0.8;     // of the attempts in use
// Below the knee, so that the test can detect a baseline that is too high.
constexpr double kKneeFactor = 0.8;
constexpr double kMinKneeSlowdown = 1.2;
// Mean latency / objective above which the limit decreases whatever the slowdown: that of the baseline times
// kLateBaselineRatio, within these bounds.
constexpr double kLateObjectiveRatio = 0.55;
constexpr double kMaxLateObjectiveRatio = 0.75;
constexpr double kLateBaselineRatio = 1.25;
constexpr double kObjectiveRatioDecay = 0.9; // of the mean objective ratio, per decrease
// Share of samples that are slow while the limit is fully used, above which the baseline is tested.
constexpr double kSlowAtLimitTestShare = 0.3;
constexpr double kReconnectedFactor = 0.7;      // of the limit before the first failed connect attempt
constexpr double kReportedDecreaseFactor = 0.9; // decreases below it are reported

// Growth, in shares of the limit per response time.
constexpr double kFastGrowth = 0.2; // up to kFastGrowthKneeFactor
constexpr double kFastGrowthKneeFactor = 1.3;
constexpr double kSlowGrowth = 0.05; // beyond
// Decrease of a limit under mild congestion, per excess slowdown.
constexpr double kGradualDecrease = 0.2;
constexpr double kMaxGradualDecrease = 0.2;

// Baseline.
constexpr double kMaxSamples = 1000;
constexpr double kInitialSamples = 20;       // weighted equally
constexpr double kUnusedSampleWeight = 0.01; // of a sample while less than half of the limit is used
constexpr double kFastSampleWeight = 0.05;   // of a sample while the mean latency is below the baseline
constexpr double kFastSlowdown = 0.75;
constexpr double kSlowSampleWeight = 0.05; // of a sample while the origin is slow but not congested
constexpr double kSlowBaselineStep = 0.5;  // of the difference to a slowdown that is not caused by congestion

// Test of the baseline after a decrease.
constexpr double kMinTestSamples = 6;
constexpr double kMaxTestSamples = 16;
constexpr double kTestSamplesByLimit = 3;
constexpr double kMaxTestSlowdown = 5;
// A mean slowdown below this value shows that the baseline was too high.
constexpr double kBaselineTooHighSlowdown = 0.85;
constexpr double kTestDownStep = 0.5;
constexpr double kTestUpStep = 0.3;
constexpr double kMinTestIntervalMs = 1000;
constexpr double kMaxTestIntervalMs = 20000;
constexpr double kSlowAtLimitShareAfterTest = 0.2;
// Number of routers below which the result of one router's test is applied fully.
constexpr double kSmallFleetRouters = 9;

// Latency exchanged between routers.
constexpr double kRecentHalfLifeMs = 500;
constexpr double kRecentMaxAgeMs = 800;
constexpr double kFleetLatencyMaxAgeMs = 2000; // after it the limit adapts to its own samples again
// Fleet latency is delayed: if all routers followed it at once in both directions, their rates would
// oscillate together. A rise is followed within one lag, a fall over several lags.
constexpr double kFleetRiseLags = 1;
constexpr double kFleetFallLags = 6;
constexpr double kFleetGrowthRatio = 0.8; // of the late objective ratio, up to which a limit grows
constexpr double kMaxFleetStepMs = 1000;

} // namespace

OriginConcurrencyLimiter OriginConcurrencyLimiter::for_router_count(double router_count) {
  return OriginConcurrencyLimiter(std::max(router_count, 1.0),
                                  kFleetInitialLimit / std::max(router_count, 1.0));
}

OriginConcurrencyLimiter::OriginConcurrencyLimiter(double router_count, double initial_limit)
    : limit_(initial_limit),
      initial_limit_(initial_limit),
      router_count_(router_count),
      mean_in_flight_(initial_limit),
      fast_growth_limit_(initial_limit) {}

// ---- Sending ----

double OriginConcurrencyLimiter::rate_tokens(double now, double rate) const {
  if (last_sent_at_ == kNever) return 1;
  return std::min(kMaxTokens,
                  tokens_ + (now - last_sent_at_) * kRateSlack * rate / std::max(latency_ms_, 1.0));
}

bool OriginConcurrencyLimiter::has_capacity(double now, std::uint32_t in_flight, bool write) const {
  const double in_flight_count = in_flight;
  if (write && in_flight_count < kReservedWrites) return true;
  // Before the first response the duration of an attempt and so the rate is unknown: one attempt at a time.
  if (latency_ms_ == 0 && limit_ < 2) return in_flight_count < 1;
  const double limit = write ? kWriteLimitFactor * limit_ : limit_;
  const double integer_limit = std::floor(limit);
  // The fraction is a rate. If it were rounded up, the excess would add up over many routers.
  return in_flight_count < integer_limit ||
         (in_flight_count == integer_limit && rate_tokens(now, limit - integer_limit) >= 1);
}

void OriginConcurrencyLimiter::on_attempt_sent(double now) {
  if (last_sent_at_ != kNever) {
    if (send_interval_ms_ == 0) send_interval_ms_ = now - last_sent_at_;
    update_moving_average(send_interval_ms_, now - last_sent_at_, kSendIntervalWeight);
  }
  tokens_ = std::max(0.0, rate_tokens(now, limit_ - std::floor(limit_)) - 1);
  last_sent_at_ = now;
}

// ---- Samples ----

DecreaseReason OriginConcurrencyLimiter::on_attempt_ended(double now, const AttemptSample& reported_sample) {
  AttemptSample sample = reported_sample;
  if (!is_finite_non_negative(sample.elapsed_ms)) sample.elapsed_ms = 0;
  if (!is_finite_non_negative(sample.work_ms)) sample.work_ms = 0;
  if (!is_finite_non_negative(sample.latency_objective_ms)) sample.latency_objective_ms = 0;
  const bool answered = sample.ending == AttemptEnding::Answered;
  const bool timed_out = sample.ending == AttemptEnding::TimedOut;

  update_moving_average(mean_in_flight_, std::min<double>(sample.in_flight + 1.0, limit_), kInFlightWeight);
  if (sample.ending == AttemptEnding::Rejected || sample.ending == AttemptEnding::ConnectFailed) {
    return on_rejected(now, sample);
  }
  if (!reflects_server_latency(now, sample)) return DecreaseReason::None;
  if (!baseline_.known()) {
    if (timed_out) decrease(now, kRejectedFactor * limit_);
    if (!answered) return timed_out ? DecreaseReason::TimedOut : DecreaseReason::None;
    baseline_.initialize(std::max(sample.elapsed_ms, 0.01));
  }
  update_latency(now, sample);
  const double slowdown = sample.elapsed_ms / std::max(expected_ms(sample), 0.01);
  if (answered) baseline_.update_work_factors(slowdown, mean_slowdown_, sample.work_ms, sample.write);
  const double limit_before = limit_;
  process_sample(now, sample, slowdown);
  if (limit_ >= limit_before * kReportedDecreaseFactor) return DecreaseReason::None;
  return timed_out ? DecreaseReason::TimedOut : DecreaseReason::Slow;
}

DecreaseReason OriginConcurrencyLimiter::on_rejected(double now, const AttemptSample& sample) {
  if (now - decreased_at_ < latency_ms_) return DecreaseReason::None;
  if (sample.ending == AttemptEnding::ConnectFailed && limit_before_connect_failures_ == 0) {
    limit_before_connect_failures_ = limit_;
  }
  decrease(now, kRejectedFactor * std::min(limit_, sample.in_flight + 1.0));
  return DecreaseReason::Rejected;
}

// Whether the sample's time reflects the latency of the server, rather than one connection or the request.
// Also updates the record of answers and timeouts, and restores the limit after failed connects.
bool OriginConcurrencyLimiter::reflects_server_latency(double now, const AttemptSample& sample) {
  const double sent_at = now - sample.elapsed_ms;
  switch (sample.ending) {
    case AttemptEnding::Answered:
      consecutive_timeouts_ = 0;
      last_answered_sent_at_ = std::max(last_answered_sent_at_, sent_at);
      // Failed connects indicate a network fault, not load. Once the network is back, they count as a single
      // decrease.
      if (limit_before_connect_failures_ > 0) {
        limit_ = std::max(limit_, kReconnectedFactor * std::exchange(limit_before_connect_failures_, 0.0));
      }
      return true;
    case AttemptEnding::TimedOut:
      // If a later attempt was answered, the connection is at fault. A first timeout is also attributed to
      // the connection.
      if (last_answered_sent_at_ >= sent_at) return false;
      ++consecutive_timeouts_;
      return consecutive_timeouts_ >= 2;
    case AttemptEnding::Fault:
    case AttemptEnding::Cancelled: return !(sample.elapsed_ms <= 2 * latency_ms_);
    case AttemptEnding::Rejected:
    case AttemptEnding::ConnectFailed: break;
  }
  return false;
}

void OriginConcurrencyLimiter::update_latency(double now, const AttemptSample& sample) {
  const double objective_ms = sample.latency_objective_ms;
  if (latency_ms_ == 0) latency_ms_ = sample.elapsed_ms;
  const double bounded_latency_ms =
      objective_ms > 0 ? std::min(sample.elapsed_ms, 2 * objective_ms) : sample.elapsed_ms;
  update_moving_average(latency_ms_, bounded_latency_ms, kLatencyWeight);
  if (objective_ms > 0) latency_objective_ms_ = objective_ms;
  const double retained_share = std::exp2((recent_updated_at_ - now) / kRecentHalfLifeMs);
  recent_sum_ms_ = retained_share * recent_sum_ms_ + bounded_latency_ms;
  recent_count_ = retained_share * recent_count_ + 1;
  recent_updated_at_ = now;
}

// ---- Estimates ----

double OriginConcurrencyLimiter::tolerated_slowdown(double latency_objective_ms) const {
  const double ratio = latency_objective_ms > 0 && baseline_.known()
                           ? latency_objective_ms / baseline_.mean_ms()
                           : kDefaultObjectiveRatio;
  return std::clamp(1 + kToleranceByObjective * (ratio - 1), kMinTolerance, kMaxTolerance);
}

void OriginConcurrencyLimiter::process_sample(double now, const AttemptSample& sample, double slowdown) {
  const double bounded_slowdown = std::min(slowdown, kMaxSlowdownSample);
  if (now - sample.elapsed_ms < decrease_effective_at_) return; // sent before the last decrease took effect
  sample_count_ = std::min(sample_count_ + 1, kMaxSamples);
  update_moving_average(mean_slowdown_, bounded_slowdown, kLatencyWeight);
  if (testing_baseline_) return test_baseline(slowdown);
  update_baseline(sample, slowdown);

  const double objective_ms = sample.latency_objective_ms;
  const double tolerance = tolerated_slowdown(objective_ms);
  const double growth_bound = 1 + kGrowthToleranceShare * (tolerance - 1);
  const double weight = std::min(1.0, kFullSampleWeightLimit / std::max(limit_, 1.0));
  congestion_score_ = std::max(0.0, congestion_score_ + weight * (bounded_slowdown - tolerance));
  update_uncongested(growth_bound);
  const bool throughput_increased =
      mean_in_flight_ / std::max(1.0, mean_slowdown_) > kThroughputIncrease * uncongested_throughput_;
  update_moving_average(slow_at_limit_share_,
                        mean_slowdown_ > 0.9 * growth_bound && sample.in_flight + 2 > limit_,
                        kSlowAtLimitWeight);
  if (objective_ms > 0) {
    update_moving_average(mean_objective_ratio_,
                          std::min(kMaxObjectiveRatioSample, sample.elapsed_ms / objective_ms),
                          limit_ < 1 ? kLowLimitObjectiveRatioWeight : kObjectiveRatioWeight);
  }
  adjust(now, sample, slowdown, growth_bound, throughput_increased);
}

void OriginConcurrencyLimiter::test_baseline(double slowdown) {
  test_slowdown_sum_ += std::min(slowdown, kMaxTestSlowdown);
  ++test_sample_count_;
  if (test_sample_count_ < std::clamp(kTestSamplesByLimit * limit_, kMinTestSamples, kMaxTestSamples)) return;
  const double mean_test_slowdown = test_slowdown_sum_ / test_sample_count_;
  testing_baseline_ = false;
  const bool baseline_too_high = mean_test_slowdown < kBaselineTooHighSlowdown;
  test_interval_ms_ = baseline_too_high ? std::max(kMinTestIntervalMs, test_interval_ms_ / 2)
                                        : std::min(kMaxTestIntervalMs, 2 * test_interval_ms_);
  if (mean_test_slowdown >
      1 + 2 / std::sqrt(test_sample_count_)) { // as slow as before the decrease: slow, not congested
    baseline_.scale(std::pow(mean_test_slowdown, router_count_ < kSmallFleetRouters ? 1 : 0.5));
    fast_growth_limit_ = uncongested_limit_;
    limit_ = std::max(limit_, std::min(uncongested_limit_, uncongested_throughput_));
    slow_at_limit_share_ = kSlowAtLimitShareAfterTest;
    test_interval_ms_ = kMinTestIntervalMs;
  } else {
    const double step = baseline_too_high ? kTestDownStep : kTestUpStep / std::sqrt(router_count_);
    baseline_.scale(1 + step * (mean_test_slowdown - 1));
  }
  mean_slowdown_ = 1;
}

void OriginConcurrencyLimiter::update_baseline(const AttemptSample& sample, double slowdown) {
  const bool fast = mean_slowdown_ < kFastSlowdown;
  if (sample_count_ < kInitialSamples) {
    baseline_.update_mean(slowdown, 1 / sample_count_);
  } else if (fast || sample.in_flight + 1 < limit_ / 2) {
    baseline_.update_mean(slowdown, fast ? kFastSampleWeight : kUnusedSampleWeight);
  }
}

void OriginConcurrencyLimiter::update_uncongested(double growth_bound) {
  if (mean_slowdown_ >= 1 + 0.5 * (growth_bound - 1)) return;
  uncongested_limit_ = limit_;
  const double throughput = mean_in_flight_ / std::max(1.0, mean_slowdown_);
  update_moving_average(uncongested_throughput_, throughput,
                        throughput > uncongested_throughput_ ? kThroughputRiseWeight : kThroughputFallWeight);
}

// ---- Adjusting the limit ----

void OriginConcurrencyLimiter::adjust(double now, const AttemptSample& sample, double slowdown,
                                      double growth_bound, bool throughput_increased) {
  if (follows_fleet_latency(now)) {
    congestion_score_ = 0;
    return;
  }
  if (decrease_if_late(now, sample)) return;
  if (congestion_score_ > kCongestionScoreLimit && !throughput_increased) { // slow, not congested
    baseline_.scale(1 + kSlowBaselineStep * (mean_slowdown_ - 1));
    mean_slowdown_ = 1 + kSlowBaselineStep * (mean_slowdown_ - 1);
    congestion_score_ = 0;
  }
  if (decrease_if_congested(now)) return;
  if (mean_slowdown_ > growth_bound) {
    if (throughput_increased) {
      decrease_gradually(mean_slowdown_ - growth_bound);
    } else {
      baseline_.update_mean(slowdown, kSlowSampleWeight);
    }
    return;
  }
  growth_share_ = (growth_bound - mean_slowdown_) / (growth_bound - 1);
  grow(sample);
}

bool OriginConcurrencyLimiter::decrease_if_late(double now, const AttemptSample& sample) {
  if (!(mean_objective_ratio_ > late_objective_ratio(sample.latency_objective_ms) &&
        now - decreased_at_ >= latency_ms_))
    return false;
  decrease(now, kLateFactor * std::min(limit_, sample.in_flight + 1.0));
  mean_objective_ratio_ *= kObjectiveRatioDecay;
  return true;
}

bool OriginConcurrencyLimiter::decrease_if_congested(double now) {
  const bool test_due =
      slow_at_limit_share_ > kSlowAtLimitTestShare && now - decreased_at_ > test_interval_ms_;
  if (!((congestion_score_ > kCongestionScoreLimit || test_due) && now - decreased_at_ >= latency_ms_))
    return false;
  const double knee = std::min(limit_, std::max(mean_in_flight_, limit_ < 1 ? 0 : 1.0)) /
                      std::max(kMinKneeSlowdown, mean_slowdown_);
  decrease(now, kKneeFactor * knee);
  fast_growth_limit_ = kFastGrowthKneeFactor * knee;
  testing_baseline_ = true;
  test_sample_count_ = 0;
  test_slowdown_sum_ = 0;
  return true;
}

void OriginConcurrencyLimiter::decrease_gradually(double excess_slowdown) {
  const double step =
      std::min(1.0, 1 / limit_) * std::min(kMaxGradualDecrease, kGradualDecrease * excess_slowdown);
  limit_ = std::max(initial_limit_ * kMinLimitShare, limit_ * (1 - step));
}

void OriginConcurrencyLimiter::grow(const AttemptSample& sample) {
  if (sample.ending != AttemptEnding::Answered) return;
  const bool used = limit_ < 1 ? send_interval_ms_ < kUsedRateIntervals * latency_ms_ / (kRateSlack * limit_)
                               : sample.in_flight + 1 >= limit_ / 2;
  if (used) {
    const double response_weight =
        std::min(1.0, limit_); // a rate yields less than one response per response time
    if (slow_start_) {
      limit_ += response_weight;
    } else {
      limit_ += response_weight *
                    (limit_ < fast_growth_limit_ ? kFastGrowth : kSlowGrowth * std::min(1.0, growth_share_)) +
                initial_limit_ / 8 / 16 * response_weight / std::max(1.0, limit_);
    }
    limit_ = std::min(limit_, kMaxLimit);
  } else if (limit_ > initial_limit_) {
    limit_ = std::max(initial_limit_, limit_ * kUnusedDecay); // unused capacity may no longer be available
  }
}

void OriginConcurrencyLimiter::decrease(double now, double new_limit) {
  slow_start_ = false;
  fast_growth_limit_ = limit_;
  limit_ = std::clamp(new_limit, initial_limit_ * kMinLimitShare, limit_);
  testing_baseline_ = false;
  decreased_at_ = now;
  decrease_effective_at_ = now + latency_ms_;
  congestion_score_ = 0;
  mean_slowdown_ = 1;
  tokens_ = std::min(tokens_, 0.0);
}

double OriginConcurrencyLimiter::late_objective_ratio(double latency_objective_ms) const {
  const double baseline_ratio =
      kLateBaselineRatio * baseline_.mean_ms() / std::max(latency_objective_ms, 1.0);
  return std::max(kLateObjectiveRatio, std::min(baseline_ratio, kMaxLateObjectiveRatio));
}

double OriginConcurrencyLimiter::utilization(double, double demand) const {
  return std::max(demand / limit_, (mean_slowdown_ - 1) / kExcessSlowdownAtFullUtilization);
}

// ---- The other routers ----

void OriginConcurrencyLimiter::set_fleet_share(double share) {
  if (!is_finite_non_negative(share) || share == 0) return;
  share = std::clamp(share, initial_limit_ * kMinLimitShare, kMaxLimit);
  // In steps at the start, too: the other routers would not yield to a sudden rise.
  update_moving_average(limit_, share, kFleetShareStep);
}

bool OriginConcurrencyLimiter::follows_fleet_latency(double now) const {
  return limit_ < 1 && now - fleet_latency_known_at_ < kFleetLatencyMaxAgeMs;
}

double OriginConcurrencyLimiter::recent_latency_ms(double now) const {
  return recent_count_ > 0 && now - recent_updated_at_ < kRecentMaxAgeMs ? recent_sum_ms_ / recent_count_ : 0;
}

void OriginConcurrencyLimiter::set_fleet_latency(double now, double latency_ms, double age_ms) {
  const double elapsed_ms = std::clamp(now - fleet_latency_received_at_, 0.0, kMaxFleetStepMs);
  fleet_latency_received_at_ = now;
  if (!is_finite_non_negative(latency_ms) || !is_finite_non_negative(age_ms) || latency_ms == 0) return;
  fleet_latency_known_at_ = now;
  if (limit_ >= 1) return;
  const double lag_ms = latency_ms + age_ms; // since the measured attempts were sent
  // Also before the first response: otherwise one attempt would stay in flight at any limit, and an origin
  // that answers no router in time would never recover.
  if (latency_ms_ == 0) latency_ms_ = latency_ms;
  const double lags = latency_ms > latency_ms_ ? kFleetRiseLags : kFleetFallLags;
  update_moving_average(latency_ms_, latency_ms, std::min(1.0, elapsed_ms / (lags * lag_ms)));
  if (!baseline_.known() || latency_objective_ms_ == 0) return;
  if (now - decreased_at_ < lag_ms) return; // measured before the last decrease took effect
  const double objective_ratio = latency_ms / latency_objective_ms_;
  const double max_objective_ratio = late_objective_ratio(latency_objective_ms_);
  if (objective_ratio > max_objective_ratio) return decrease(now, kLateFactor * limit_);
  const double interval_ms = std::max(send_interval_ms_, now - last_sent_at_);
  const bool used = interval_ms < kUsedRateIntervals * latency_ms / (kRateSlack * limit_);
  if (objective_ratio < kFleetGrowthRatio * max_objective_ratio && used) {
    limit_ *= 1 + (slow_start_ ? kFastGrowth : kSlowGrowth) * std::min(1.0, elapsed_ms / lag_ms);
  }
}

} // namespace fernward::concurrency
