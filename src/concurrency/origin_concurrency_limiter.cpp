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
constexpr double kReservedWrites = 1;     // attempts that writes may have in flight at any limit
constexpr double kWriteLimitShare = 1.25; // of the limit, available to writes
constexpr double kFleetShareStep = 0.2;   // of the difference to the fleet share, per call
constexpr double kUnusedDecay = 0.98;     // per response while less than half of the limit is used

// Rate of a limit below one.
constexpr double kRateSlack = 1.5; // requests arrive unevenly
constexpr double kMaxTokens = 2;   // attempts
// A rate counts as used if attempts are at most this many intervals apart.
constexpr double kUsedRateIntervals = 3;

// Weights of one sample in moving averages.
constexpr double kLatencyWeight = 0.1;
constexpr double kUsedWeight = 0.1;
constexpr double kSendIntervalWeight = 0.2;
constexpr double kAtLimitWeight = 0.03;
constexpr double kLateWeight = 0.1;
constexpr double kRareLateWeight = 0.3; // while the limit is below one
constexpr double kUncrowdedRiseWeight = 0.1;
constexpr double kUncrowdedFallWeight = 0.01;

// Tolerated slowdown: 1 + kToleranceByObjective * (objective / baseline - 1), bounded. An origin whose
// baseline is a third of the objective may be used closer to its capacity than one that is ten times as fast.
constexpr double kToleranceByObjective = 0.25;
constexpr double kMinTolerance = 1.2;
constexpr double kMaxTolerance = 2.5;
constexpr double kDefaultObjectiveRatio = 8;   // if the objective or the baseline is unknown
constexpr double kGrowthToleranceShare = 0.35; // of the tolerance, up to which the limit grows
constexpr double kMaxSlowdownSample = 4;
constexpr double kMaxLateSample = 1.5;
constexpr double kStrainTrigger = 8;    // score at which the limit decreases
constexpr double kStrainSamples = 8;    // limit above which one sample has less weight
constexpr double kCarriesMore = 1.15;   // relative to the uncongested throughput; above: congested, not slow
constexpr double kSlowdownAtFull = 0.6; // relative to the baseline, that counts as full utilization

// Decrease.
constexpr double kRefusedFactor = 0.7; // of the attempts in use
constexpr double kLateFactor = 0.8;    // of the attempts in use
// Below the knee, so that the test can detect a baseline that is too high.
constexpr double kDecreaseOfKnee = 0.8;
constexpr double kMinKneeSlowdown = 1.2;
constexpr double kLateShare = 0.55; // of the objective; above it the limit decreases at any baseline
constexpr double kMaxLateShare = 0.75;
constexpr double kLateByBaseline = 1.25;
constexpr double kLateDecay = 0.9; // of the mean objective ratio, per decrease
// Share of samples that are slow while the limit is used up, above which the baseline is tested.
constexpr double kAtLimitTrigger = 0.3;
constexpr double kReachedAgainFactor = 0.7; // of the limit before the first failed connect attempt
constexpr double kReportedDecrease = 0.9;   // decreases below it are reported

// Growth, in shares of the limit per response time.
constexpr double kRegrow = 0.2; // up to kRegrowToKnee
constexpr double kRegrowToKnee = 1.3;
constexpr double kGrow = 0.05; // beyond
// Decrease of a limit under mild congestion, per excess slowdown.
constexpr double kEase = 0.2;
constexpr double kMaxEase = 0.2;

// Baseline.
constexpr double kMaxSamples = 1000;
constexpr double kInitialSamples = 20; // weighted equally
constexpr double kUnusedWeight = 0.01; // of a sample while less than half of the limit is used
constexpr double kQuickWeight = 0.05;  // of a sample while the mean latency is below the baseline
constexpr double kQuickSlowdown = 0.75;
constexpr double kSlowerWeight = 0.05; // of a sample while the origin is slow but not congested
constexpr double kSlowerStep = 0.5;    // of the difference to a slowdown that is not caused by congestion

// Test of the baseline after a decrease.
constexpr double kMinTestSamples = 6;
constexpr double kMaxTestSamples = 16;
constexpr double kTestSamplesByLimit = 3;
constexpr double kMaxTestSample = 5;
constexpr double kTestLower = 0.85; // a mean slowdown below it shows that the baseline was too high
constexpr double kTestDownStep = 0.5;
constexpr double kTestUpStep = 0.3;
constexpr double kMinTestIntervalMs = 1000;
constexpr double kMaxTestIntervalMs = 20000;
constexpr double kAtLimitAfterTest = 0.2;
// Number of routers below which the result of one router's test is applied fully.
constexpr double kSmallFleet = 9;

// Latency exchanged between routers.
constexpr double kRecentHalfLifeMs = 500;
constexpr double kRecentMaxAgeMs = 800;
constexpr double kFleetLatencyMaxAgeMs = 2000; // after it the limit adapts to its own samples again
// Fleet latency is delayed: if all routers followed it at once in both directions, their rates would
// oscillate together. A rise is followed within one lag, a fall over several lags.
constexpr double kFleetRiseLags = 1;
constexpr double kFleetFallLags = 6;
constexpr double kFleetGrowthShare = 0.8; // of the late objective ratio, up to which a limit grows
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
      used_(initial_limit),
      regrow_limit_(initial_limit) {}

// ---- Sending ----

double OriginConcurrencyLimiter::rate_tokens(double now, double rate) const {
  if (last_sent_at_ == kNever) return 1;
  return std::min(kMaxTokens,
                  tokens_ + (now - last_sent_at_) * kRateSlack * rate / std::max(latency_ms_, 1.0));
}

bool OriginConcurrencyLimiter::has_capacity(double now, std::uint32_t in_flight, bool write) const {
  const double held = in_flight;
  if (write && held < kReservedWrites) return true;
  // Before the first response the duration of an attempt and so the rate is unknown: one attempt at a time.
  if (latency_ms_ == 0 && limit_ < 2) return held < 1;
  const double limit = write ? kWriteLimitShare * limit_ : limit_;
  const double whole = std::floor(limit);
  // The fraction is a rate. If it were rounded up, the excess would add up over many routers.
  return held < whole || (held == whole && rate_tokens(now, limit - whole) >= 1);
}

void OriginConcurrencyLimiter::on_attempt_sent(double now) {
  if (last_sent_at_ != kNever) {
    if (send_interval_ms_ == 0) send_interval_ms_ = now - last_sent_at_;
    smooth(send_interval_ms_, now - last_sent_at_, kSendIntervalWeight);
  }
  tokens_ = std::max(0.0, rate_tokens(now, limit_ - std::floor(limit_)) - 1);
  last_sent_at_ = now;
}

// ---- Samples ----

DecreaseReason OriginConcurrencyLimiter::on_attempt_ended(double now, const AttemptSample& reported) {
  AttemptSample sample = reported;
  if (!usable_number(sample.elapsed_ms)) sample.elapsed_ms = 0;
  if (!usable_number(sample.work_ms)) sample.work_ms = 0;
  if (!usable_number(sample.latency_objective_ms)) sample.latency_objective_ms = 0;
  const bool answered = sample.outcome == AttemptEnding::Answered;
  const bool timed_out = sample.outcome == AttemptEnding::TimedOut;

  smooth(used_, std::min<double>(sample.in_flight + 1.0, limit_), kUsedWeight);
  if (sample.outcome == AttemptEnding::Rejected || sample.outcome == AttemptEnding::ConnectFailed) {
    return on_refused(now, sample);
  }
  if (!shows_latency(now, sample)) return DecreaseReason::None;
  if (!baseline_.known()) {
    if (timed_out) decrease(now, kRefusedFactor * limit_);
    if (!answered) return timed_out ? DecreaseReason::TimedOut : DecreaseReason::None;
    baseline_.start(std::max(sample.elapsed_ms, 0.01));
  }
  update_latency(now, sample);
  const double slowdown = sample.elapsed_ms / std::max(expected_ms(sample), 0.01);
  if (answered) baseline_.learn_work_factors(slowdown, slowdown_, sample.work_ms, sample.write);
  const double limit_before = limit_;
  learn(now, sample, slowdown);
  if (limit_ >= limit_before * kReportedDecrease) return DecreaseReason::None;
  return timed_out ? DecreaseReason::TimedOut : DecreaseReason::Slow;
}

DecreaseReason OriginConcurrencyLimiter::on_refused(double now, const AttemptSample& sample) {
  if (now - decreased_at_ < latency_ms_) return DecreaseReason::None;
  if (sample.outcome == AttemptEnding::ConnectFailed && limit_before_connect_failures_ == 0) {
    limit_before_connect_failures_ = limit_;
  }
  decrease(now, kRefusedFactor * std::min(limit_, sample.in_flight + 1.0));
  return DecreaseReason::Rejected;
}

// Whether the sample's time reflects the latency of the server, rather than one connection or the request.
bool OriginConcurrencyLimiter::shows_latency(double now, const AttemptSample& sample) {
  const double sent_at = now - sample.elapsed_ms;
  switch (sample.outcome) {
    case AttemptEnding::Answered:
      consecutive_timeouts_ = 0;
      last_answered_sent_at_ = std::max(last_answered_sent_at_, sent_at);
      // Failed connects indicate a network fault, not load. Once the network is back, they count as a single
      // decrease.
      if (limit_before_connect_failures_ > 0) {
        limit_ = std::max(limit_, kReachedAgainFactor * std::exchange(limit_before_connect_failures_, 0.0));
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
  const double bounded = objective_ms > 0 ? std::min(sample.elapsed_ms, 2 * objective_ms) : sample.elapsed_ms;
  smooth(latency_ms_, bounded, kLatencyWeight);
  if (objective_ms > 0) latency_objective_ms_ = objective_ms;
  const double decay = std::exp2((recent_at_ - now) / kRecentHalfLifeMs);
  recent_sum_ms_ = decay * recent_sum_ms_ + bounded;
  recent_count_ = decay * recent_count_ + 1;
  recent_at_ = now;
}

// ---- Learning ----

double OriginConcurrencyLimiter::tolerated_slowdown(double latency_objective_ms) const {
  const double ratio = latency_objective_ms > 0 && baseline_.known()
                           ? latency_objective_ms / baseline_.mean_ms()
                           : kDefaultObjectiveRatio;
  return std::clamp(1 + kToleranceByObjective * (ratio - 1), kMinTolerance, kMaxTolerance);
}

void OriginConcurrencyLimiter::learn(double now, const AttemptSample& sample, double slowdown) {
  const double bounded = std::min(slowdown, kMaxSlowdownSample);
  if (now - sample.elapsed_ms < decrease_settled_at_) return; // sent before the last decrease took effect
  samples_ = std::min(samples_ + 1, kMaxSamples);
  smooth(slowdown_, bounded, kLatencyWeight);
  if (testing_baseline_) return test_baseline(slowdown);
  learn_baseline(sample, slowdown);

  const double objective_ms = sample.latency_objective_ms;
  const double tolerance = tolerated_slowdown(objective_ms);
  const double growth_bound = 1 + kGrowthToleranceShare * (tolerance - 1);
  const double weight = std::min(1.0, kStrainSamples / std::max(limit_, 1.0));
  strain_ = std::max(0.0, strain_ + weight * (bounded - tolerance));
  remember_uncrowded(growth_bound);
  const bool carries_more = used_ / std::max(1.0, slowdown_) > kCarriesMore * uncrowded_used_;
  smooth(at_limit_, slowdown_ > 0.9 * growth_bound && sample.in_flight + 2 > limit_, kAtLimitWeight);
  if (objective_ms > 0) {
    smooth(late_, std::min(kMaxLateSample, sample.elapsed_ms / objective_ms),
           limit_ < 1 ? kRareLateWeight : kLateWeight);
  }
  adjust(now, sample, slowdown, growth_bound, carries_more);
}

void OriginConcurrencyLimiter::test_baseline(double slowdown) {
  test_sum_ += std::min(slowdown, kMaxTestSample);
  ++test_samples_;
  if (test_samples_ < std::clamp(kTestSamplesByLimit * limit_, kMinTestSamples, kMaxTestSamples)) return;
  const double mean = test_sum_ / test_samples_;
  testing_baseline_ = false;
  const bool too_high = mean < kTestLower;
  test_interval_ms_ = too_high ? std::max(kMinTestIntervalMs, test_interval_ms_ / 2)
                               : std::min(kMaxTestIntervalMs, 2 * test_interval_ms_);
  if (mean > 1 + 2 / std::sqrt(test_samples_)) { // as slow as before the decrease: slow, not congested
    baseline_.scale(std::pow(mean, router_count_ < kSmallFleet ? 1 : 0.5));
    regrow_limit_ = uncrowded_limit_;
    limit_ = std::max(limit_, std::min(uncrowded_limit_, uncrowded_used_));
    at_limit_ = kAtLimitAfterTest;
    test_interval_ms_ = kMinTestIntervalMs;
  } else {
    const double step = too_high ? kTestDownStep : kTestUpStep / std::sqrt(router_count_);
    baseline_.scale(1 + step * (mean - 1));
  }
  slowdown_ = 1;
}

void OriginConcurrencyLimiter::learn_baseline(const AttemptSample& sample, double slowdown) {
  const bool quick = slowdown_ < kQuickSlowdown;
  if (samples_ < kInitialSamples) {
    baseline_.learn(slowdown, 1 / samples_);
  } else if (quick || sample.in_flight + 1 < limit_ / 2) {
    baseline_.learn(slowdown, quick ? kQuickWeight : kUnusedWeight);
  }
}

void OriginConcurrencyLimiter::remember_uncrowded(double growth_bound) {
  if (slowdown_ >= 1 + 0.5 * (growth_bound - 1)) return;
  uncrowded_limit_ = limit_;
  const double carried = used_ / std::max(1.0, slowdown_);
  smooth(uncrowded_used_, carried, carried > uncrowded_used_ ? kUncrowdedRiseWeight : kUncrowdedFallWeight);
}

// ---- Adjusting the limit ----

void OriginConcurrencyLimiter::adjust(double now, const AttemptSample& sample, double slowdown,
                                      double growth_bound, bool carries_more) {
  if (follows_fleet_latency(now)) {
    strain_ = 0;
    return;
  }
  if (decrease_if_late(now, sample)) return;
  if (strain_ > kStrainTrigger && !carries_more) { // slow, not congested
    baseline_.scale(1 + kSlowerStep * (slowdown_ - 1));
    slowdown_ = 1 + kSlowerStep * (slowdown_ - 1);
    strain_ = 0;
  }
  if (decrease_if_crowded(now)) return;
  if (slowdown_ > growth_bound) {
    if (carries_more) {
      ease(slowdown_ - growth_bound);
    } else {
      baseline_.learn(slowdown, kSlowerWeight);
    }
    return;
  }
  growth_share_ = (growth_bound - slowdown_) / (growth_bound - 1);
  grow(sample);
}

bool OriginConcurrencyLimiter::decrease_if_late(double now, const AttemptSample& sample) {
  if (!(late_ > late_share(sample.latency_objective_ms) && now - decreased_at_ >= latency_ms_)) return false;
  decrease(now, kLateFactor * std::min(limit_, sample.in_flight + 1.0));
  late_ *= kLateDecay;
  return true;
}

bool OriginConcurrencyLimiter::decrease_if_crowded(double now) {
  const bool test_due = at_limit_ > kAtLimitTrigger && now - decreased_at_ > test_interval_ms_;
  if (!((strain_ > kStrainTrigger || test_due) && now - decreased_at_ >= latency_ms_)) return false;
  const double knee =
      std::min(limit_, std::max(used_, limit_ < 1 ? 0 : 1.0)) / std::max(kMinKneeSlowdown, slowdown_);
  decrease(now, kDecreaseOfKnee * knee);
  regrow_limit_ = kRegrowToKnee * knee;
  testing_baseline_ = true;
  test_samples_ = 0;
  test_sum_ = 0;
  return true;
}

void OriginConcurrencyLimiter::ease(double excess_slowdown) {
  const double step = std::min(1.0, 1 / limit_) * std::min(kMaxEase, kEase * excess_slowdown);
  limit_ = std::max(initial_limit_ * kMinLimitShare, limit_ * (1 - step));
}

void OriginConcurrencyLimiter::grow(const AttemptSample& sample) {
  if (sample.outcome != AttemptEnding::Answered) return;
  const bool used = limit_ < 1 ? send_interval_ms_ < kUsedRateIntervals * latency_ms_ / (kRateSlack * limit_)
                               : sample.in_flight + 1 >= limit_ / 2;
  if (used) {
    const double responses = std::min(1.0, limit_); // a rate yields less than one response per response time
    if (slow_start_) {
      limit_ += responses;
    } else {
      limit_ += responses * (limit_ < regrow_limit_ ? kRegrow : kGrow * std::min(1.0, growth_share_)) +
                initial_limit_ / 8 / 16 * responses / std::max(1.0, limit_);
    }
    limit_ = std::min(limit_, kMaxLimit);
  } else if (limit_ > initial_limit_) {
    limit_ = std::max(initial_limit_, limit_ * kUnusedDecay); // unused capacity may no longer be available
  }
}

void OriginConcurrencyLimiter::decrease(double now, double to) {
  slow_start_ = false;
  regrow_limit_ = limit_;
  limit_ = std::clamp(to, initial_limit_ * kMinLimitShare, limit_);
  testing_baseline_ = false;
  decreased_at_ = now;
  decrease_settled_at_ = now + latency_ms_;
  strain_ = 0;
  slowdown_ = 1;
  tokens_ = std::min(tokens_, 0.0);
}

double OriginConcurrencyLimiter::late_share(double latency_objective_ms) const {
  const double by_baseline = kLateByBaseline * baseline_.mean_ms() / std::max(latency_objective_ms, 1.0);
  return std::max(kLateShare, std::min(by_baseline, kMaxLateShare));
}

double OriginConcurrencyLimiter::utilization(double, double wanted) const {
  return std::max(wanted / limit_, (slowdown_ - 1) / kSlowdownAtFull);
}

// ---- The other routers ----

void OriginConcurrencyLimiter::set_fleet_share(double share) {
  if (!usable_number(share) || share == 0) return;
  share = std::clamp(share, initial_limit_ * kMinLimitShare, kMaxLimit);
  smooth(limit_, share, kFleetShareStep); // also at the start: other routers would not yield to a sudden rise
}

bool OriginConcurrencyLimiter::follows_fleet_latency(double now) const {
  return limit_ < 1 && now - fleet_latency_at_ < kFleetLatencyMaxAgeMs;
}

double OriginConcurrencyLimiter::recent_latency_ms(double now) const {
  return recent_count_ > 0 && now - recent_at_ < kRecentMaxAgeMs ? recent_sum_ms_ / recent_count_ : 0;
}

void OriginConcurrencyLimiter::set_fleet_latency(double now, double latency_ms, double age_ms) {
  const double passed_ms = std::clamp(now - fleet_heard_at_, 0.0, kMaxFleetStepMs);
  fleet_heard_at_ = now;
  if (!usable_number(latency_ms) || !usable_number(age_ms) || latency_ms == 0) return;
  fleet_latency_at_ = now;
  if (limit_ >= 1) return;
  const double lag_ms = latency_ms + age_ms; // since the measured attempts were sent
  // Also before the first response: otherwise one attempt would stay in flight at any limit, and an origin
  // that answers no router in time would never recover.
  if (latency_ms_ == 0) latency_ms_ = latency_ms;
  const double lags = latency_ms > latency_ms_ ? kFleetRiseLags : kFleetFallLags;
  smooth(latency_ms_, latency_ms, std::min(1.0, passed_ms / (lags * lag_ms)));
  if (!baseline_.known() || latency_objective_ms_ == 0) return;
  if (now - decreased_at_ < lag_ms) return; // measured before the last decrease took effect
  const double late = latency_ms / latency_objective_ms_;
  const double max_late = late_share(latency_objective_ms_);
  if (late > max_late) return decrease(now, kLateFactor * limit_);
  const double interval_ms = std::max(send_interval_ms_, now - last_sent_at_);
  const bool used = interval_ms < kUsedRateIntervals * latency_ms / (kRateSlack * limit_);
  if (late < kFleetGrowthShare * max_late && used) {
    limit_ *= 1 + (slow_start_ ? kRegrow : kGrow) * std::min(1.0, passed_ms / lag_ms);
  }
}

} // namespace fernward::concurrency
