#include "placement/fill_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace fernward::placement {

namespace {

constexpr double kSteadyWindowMs = 20000; // averaging window of the steady rates
constexpr double kTrafficWindowMs = 4000; // averaging window of the current traffic
// Traffic / its mean that random variation reaches without growth.
constexpr double kTrafficNoiseFactor = 1.15;
constexpr double kRecentWindowMs = 1000; // averaging window of the current fetches
// Averaging window of the fetches that show whether a transition is over.
constexpr double kSettlingWindowMs = 4000;
constexpr double kSettledFactor = 1.15; // fetches / base rate up to which a transition is over
// Number of transition times after which a fleet that keeps changing is treated as steady.
constexpr double kMaxUnsettledTransitions = 8;
// With less steady observation time than this, the steady rate is unknown. It is then assumed to be a share
// of the reads, typical of useful caches, or a part of the rate observed during the transition.
constexpr double kMinSteadyObservedMs = 4000;
constexpr double kAssumedFetchShare = 0.1, kTransitionRateFactor = 0.7;
// Share of the multiple that is used: load varies randomly between seconds, and the routers' shares of the
// traffic change slightly.
constexpr double kUsedShareOfMultiple = 0.8;
constexpr double kFillShare = 0.5;               // of the allowed rate beyond the base rate
constexpr double kSecondReplicaFillShare = 0.05; // of the base rate, for second replicas
constexpr double kMaxSavedFills = 3;
constexpr double kMaxSavedFetches = 1;

} // namespace

void DecayingRate::decay(double now, double window_ms) {
  if (updated_at_ == kNever) updated_at_ = now;
  const double retained_share = std::exp(-(now - updated_at_) / window_ms);
  updated_at_ = now;
  count_ *= retained_share;
  observed_ms_ = observed_ms_ * retained_share + window_ms * (1 - retained_share);
}

double DecayingRate::per_ms(double now, double window_ms) const {
  DecayingRate decayed = *this;
  decayed.decay(now, window_ms);
  return decayed.observed_ms_ > 0 ? decayed.count_ / decayed.observed_ms_ : 0;
}

void FillRateLimiter::TokenBucket::refill(double now, double per_ms, double max_tokens) {
  token_count = std::min(max_tokens, refilled_at == kNever ? 1 : token_count + (now - refilled_at) * per_ms);
  refilled_at = now;
}

bool FillRateLimiter::steady_rate_known() const { return steady_observed_ms_ >= kMinSteadyObservedMs; }

// Fetches during a transition do not belong to the steady rate. They are used only if the steady rate is
// unknown, or if transitions follow one another without end.
bool FillRateLimiter::updates_steady_rate(double now) const {
  return !is_active(now) || !steady_rate_known() ||
         now - active_since_ > kMaxUnsettledTransitions * settings_.transition_ms;
}

void FillRateLimiter::on_read(double now) {
  if (last_read_at_ != kNever && !is_active(now))
    steady_observed_ms_ += std::min(now - last_read_at_, kTrafficWindowMs);
  last_read_at_ = now;
  reads_.add(now, kTrafficWindowMs);
  if (updates_steady_rate(now)) {
    steady_fetches_.add(now, kSteadyWindowMs, 0); // both rates must cover the same time
    return steady_reads_.add(now, kSteadyWindowMs);
  }
  steady_reads_.skip_until(now);
  steady_fetches_.skip_until(now);
}

void FillRateLimiter::on_fetch(double now) {
  updates_steady_rate(now) ? steady_fetches_.add(now, kSteadyWindowMs) : steady_fetches_.skip_until(now);
  recent_fetches_.add(now, kRecentWindowMs);
  settling_fetches_.add(now, kSettlingWindowMs);
  if (!is_active(now)) return;
  fetch_tokens_.token_count -= 1;
  // Otherwise all delayed fetches would be sent at once when the limit ends.
  if (now > active_until_ - kSettlingWindowMs / 2 &&
      settling_fetches_.per_ms(now, kSettlingWindowMs) > kSettledFactor * base_fetches_per_ms(now)) {
    active_until_ =
        std::max(active_until_, std::min(active_until_ + kSettlingWindowMs / 2, latest_active_until_));
  }
}

double FillRateLimiter::steady_fetches_per_ms(double now) const {
  return steady_fetches_.per_ms(now, kSteadyWindowMs);
}

double FillRateLimiter::base_fetches_per_ms(double now) const {
  const double traffic_per_ms = reads_.per_ms(now, kTrafficWindowMs);
  // A rate observed only during a transition may result from this limit itself. It counts less, as otherwise
  // the limit would raise itself.
  if (!steady_rate_known())
    return std::max(kAssumedFetchShare * traffic_per_ms, kTransitionRateFactor * steady_fetches_per_ms(now));
  const double steady_reads_per_ms = steady_reads_.per_ms(now, kSteadyWindowMs);
  return steady_reads_per_ms > 0
             ? steady_fetches_per_ms(now) *
                   std::max(1.0, traffic_per_ms / steady_reads_per_ms / kTrafficNoiseFactor)
             : 0;
}

double FillRateLimiter::max_fetches_per_ms(double now) const {
  if (!is_active(now) || settings_.origin_load_multiple <= 0) return 0;
  return base_fetches_per_ms(now) * std::max(1.0, kUsedShareOfMultiple * settings_.origin_load_multiple);
}

double FillRateLimiter::utilization(double now, double waiting_fetches) const {
  const double max_per_ms = max_fetches_per_ms(now);
  return max_per_ms > 0
             ? (recent_fetches_.per_ms(now, kRecentWindowMs) + waiting_fetches / kRecentWindowMs) / max_per_ms
             : 0;
}

bool FillRateLimiter::may_fetch(double now) {
  const double rate_per_ms = max_fetches_per_ms(now);
  if (rate_per_ms <= 0) return true;
  fetch_tokens_.refill(now, rate_per_ms, kMaxSavedFetches);
  return fetch_tokens_.token_count >= 0.5;
}

bool FillRateLimiter::may_fill(double now, Fill fill, double& saved_fills) {
  const double base_rate_per_ms = base_fetches_per_ms(now);
  const double excess_multiple =
      settings_.origin_load_multiple > 0 ? kUsedShareOfMultiple * settings_.origin_load_multiple - 1 : 1;
  const double rate_per_ms = fill == Fill::SecondReplica
                                 ? kSecondReplicaFillShare * base_rate_per_ms
                                 : kFillShare * std::max(0.1, excess_multiple) * base_rate_per_ms;
  TokenBucket& fill_tokens = token_bucket(fill);
  fill_tokens.refill(now, rate_per_ms, kMaxSavedFills);
  saved_fills = fill_tokens.token_count;
  return fill_tokens.token_count >= 1 && may_fetch(now);
}

} // namespace fernward::placement
