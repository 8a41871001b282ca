#include "health/outlier_state.h"

#include <algorithm>

namespace fernward::health {
namespace {

constexpr int kEjectionFailureThreshold = 3; // sum of weights of consecutive failures (record_failure())
constexpr double kMinTrialBackoffFactor = 2; // multiple of the slow attempt threshold

} // namespace

bool OutlierState::record_success(double now) {
  record_response(now);
  if (!ejected_) {
    if (trial_backoff_ms_ > 0 && now - next_trial_at_ > kMaxTrialBackoffMs) trial_backoff_ms_ = 0;
    return false;
  }
  ejected_ = false;
  half_open_trial_ = false;
  next_trial_at_ = now;
  return true;
}

bool OutlierState::record_failure(double now, int weight, bool exempt_from_ejection) {
  consecutive_failures_ += weight;
  if (weight > 0) last_failure_at_ = now;
  if (ejected_ || consecutive_failures_ < kEjectionFailureThreshold || exempt_from_ejection) return false;
  ejected_ = true;
  return true;
}

bool OutlierState::on_reported_outlier(double observed_at) {
  if (ejected_ || last_response_at_ >= observed_at) return false;
  ejected_ = true;
  return true;
}

void OutlierState::on_reported_healthy(double now, double observed_at) {
  if (ejected_ && !half_open_trial_ && observed_at > last_failure_at_)
    next_trial_at_ = std::min(next_trial_at_, now);
}

void OutlierState::schedule_trial(double now, double slow_threshold_ms, double random_unit) {
  half_open_trial_ = false;
  trial_backoff_ms_ = std::clamp(2 * trial_backoff_ms_,
                                 std::min(kMinTrialBackoffFactor * slow_threshold_ms, kMaxTrialBackoffMs),
                                 kMaxTrialBackoffMs);
  // Jitter keeps routers from sending their trials at the same time.
  next_trial_at_ = now + trial_backoff_ms_ * (0.75 + 0.5 * random_unit);
}

} // namespace fernward::health
