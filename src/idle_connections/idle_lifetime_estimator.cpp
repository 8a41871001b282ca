#include "idle_connections/idle_lifetime_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fernward::idle_connections {
namespace {

constexpr double kFirstBucketEndMs = 8;
constexpr double kBucketsPerDoubling = 4;

constexpr double kMaxExcessResets = 0.1; // a reset costs about as much as ten new connections
// For the first bucket: above it no connection is kept. Reached only if even the shortest idle times nearly
// always lead to resets.
constexpr double kKeepNothingExcess = 0.75;
// Decayed resets of a server at its safe idle time, above which the server itself is assumed to close there.
constexpr double kGuiltyResets = 0.5;
constexpr std::size_t kTrialBuckets = 2; // beyond the safe idle time

constexpr double kHalfLifeMs = 60000;
constexpr double kDecayIntervalMs = 1000;
constexpr double kSameOutageMs = 20;   // resets this close together have one cause, such as a crashed process
constexpr double kReestimateMs = 1000; // because the history decays
constexpr double kOtherResetsMs = 250; // until resets of other servers are considered
constexpr double kMinTrialIntervalMs = 250;
constexpr double kMaxTrialIntervalMs = 64000;

// Uses in one bucket after which the weight of older ones has fallen to a third.
constexpr double kEndpointMemory = 32;
constexpr double kFleetMemory = 128;

// Priors.
constexpr double kUsualResets = 0.01;      // share of all uses
constexpr double kPriorUses = 4;           // weight of a prior, in uses
constexpr double kChangeProbability = 0.1; // that resets depend on the idle time at all, below max_idle_ms
constexpr double kLikeFleet = 0.9;         // probability that a server behaves like the others
constexpr double kJeffreys = 0.5;
constexpr double kMaxLogRatio = 100;

void count(float& counted, float& other, double memory) {
  const auto keep = static_cast<float>(1 - 1 / memory);
  counted = counted * keep + 1;
  other *= keep;
}

// Share of resets, with a prior.
double reset_share(double answered, double reset, double prior) {
  return (reset + kPriorUses * prior) / (answered + reset + kPriorUses);
}

double log_beta(double a, double b) { return std::lgamma(a) + std::lgamma(b) - std::lgamma(a + b); }

} // namespace

IdleLifetimeEstimator::IdleLifetimeEstimator(double max_idle_ms) : max_idle_ms_(max_idle_ms) {
  while (buckets_ < kBuckets && begin_of(buckets_) < max_idle_ms_) ++buckets_;
  fleet_change_.probability.fill(kChangeProbability / static_cast<double>(buckets_));
}

std::size_t IdleLifetimeEstimator::bucket_of(double idle_ms) {
  if (!(idle_ms >= kFirstBucketEndMs)) return 0;
  const double bucket = 1 + std::floor(kBucketsPerDoubling * std::log2(idle_ms / kFirstBucketEndMs));
  return static_cast<std::size_t>(std::min(bucket, static_cast<double>(kBuckets - 1)));
}

double IdleLifetimeEstimator::begin_of(std::size_t bucket) {
  return bucket == 0
             ? 0
             : kFirstBucketEndMs * std::exp2(1 / kBucketsPerDoubling * static_cast<double>(bucket - 1));
}

void IdleLifetimeEstimator::History::decay(double now) {
  if (now - decayed_at < kDecayIntervalMs) return;
  const auto keep = static_cast<float>(std::exp2(-(now - decayed_at) / kHalfLifeMs));
  decayed_at = now;
  first_uses.answered *= keep;
  first_uses.reset *= keep;
  for (Counts& counts : reuses) {
    counts.answered *= keep;
    counts.reset *= keep;
  }
}

IdleLifetimeEstimator::Endpoint& IdleLifetimeEstimator::find(double now, EndpointId id) {
  fleet_history_.decay(now);
  const auto [it, added] = endpoints_.try_emplace(id);
  if (added) it->second.history.decayed_at = now;
  it->second.history.decay(now);
  return it->second;
}

void IdleLifetimeEstimator::forget(EndpointId endpoint) {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) return;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    float& reset = fleet_history_.reuses[i].reset;
    reset = std::max(0.0f, reset - it->second.history.reuses[i].reset);
  }
  endpoints_.erase(it);
  ++version_;
}

// ---- Results ----

void IdleLifetimeEstimator::on_first_use(double now, EndpointId endpoint, bool reset) {
  Endpoint& own = find(now, endpoint);
  for (auto [history, memory] : {std::pair(&own.history, kEndpointMemory), {&fleet_history_, kFleetMemory}}) {
    Counts& counts = history->first_uses;
    reset ? count(counts.reset, counts.answered, memory) : count(counts.answered, counts.reset, memory);
  }
}

// An outage, such as a crashed process, resets all connections of a server and must count only once.
bool IdleLifetimeEstimator::is_same_outage(double now, Endpoint& endpoint) {
  const bool same = now - endpoint.reset_at < kSameOutageMs;
  endpoint.reset_at = now;
  return same;
}

void IdleLifetimeEstimator::on_reuse(double now, EndpointId endpoint, double idle_ms, bool trial,
                                     bool reset) {
  Endpoint& own = find(now, endpoint);
  if (trial) {
    trial_interval_ms_ =
        std::clamp(trial_interval_ms_ * (reset ? 2 : 0.5), kMinTrialIntervalMs, kMaxTrialIntervalMs);
    next_trial_at_ = now + trial_interval_ms_;
  }
  if (reset && is_same_outage(now, own)) return;
  const std::size_t bucket = bucket_of(idle_ms);
  for (auto [history, memory] : {std::pair(&own.history, kEndpointMemory), {&fleet_history_, kFleetMemory}}) {
    Counts& counts = history->reuses[bucket];
    reset ? count(counts.reset, counts.answered, memory) : count(counts.answered, counts.reset, memory);
  }
  if (reset) {
    next_trial_at_ = std::max(next_trial_at_, now + trial_interval_ms_);
    ++version_;
  }
  if (reset || trial) own.estimated_at = kLongAgo;
}

// ---- Estimates ----

IdleLifetimeEstimator::Endpoint& IdleLifetimeEstimator::estimated(double now, EndpointId id) {
  Endpoint& endpoint = find(now, id);
  const double age = now - endpoint.estimated_at;
  const bool other_resets = endpoint.version != version_ && age >= kOtherResetsMs;
  const bool decayed = endpoint.safe_ms < max_idle_ms_ && age >= kReestimateMs;
  if (!other_resets && !decayed) return endpoint;
  if (fleet_version_ != version_ || now - fleet_estimated_at_ >= kReestimateMs) {
    fleet_version_ = version_;
    fleet_estimated_at_ = now;
    const Counts& first_uses = fleet_history_.first_uses;
    find_change(fleet_change_, fleet_history_,
                reset_share(first_uses.answered, first_uses.reset, kUsualResets), nullptr);
  }
  endpoint.version = version_;
  endpoint.estimated_at = now;
  estimate(endpoint);
  return endpoint;
}

// Change point by beta-binomial likelihood: P(change at bucket i) ~ prior(i) * L(before i | usual_resets) *
// L(from i on | Jeffreys), against L(all | usual_resets) for no change. A server that resets whatever the
// idle time therefore shows no change. `others`: the change point of the fleet as prior of a server; null:
// uniform prior.
void IdleLifetimeEstimator::find_change(ChangePoint& change, const History& history, double usual_resets,
                                        const ChangePoint* others) const {
  Counts before;
  Counts after;
  for (std::size_t i = 0; i < buckets_; ++i) {
    after.answered += history.reuses[i].answered;
    after.reset += history.reuses[i].reset;
  }
  const double a = kPriorUses * usual_resets;
  const double b = kPriorUses * (1 - usual_resets);
  const double norm = log_beta(a, b);
  const double jeffreys_norm = log_beta(kJeffreys, kJeffreys);
  const double no_change = log_beta(a + after.reset, b + after.answered) - norm;
  const double uniform = kChangeProbability / static_cast<double>(buckets_);
  double sum = 1 - kChangeProbability;
  if (others != nullptr) {
    double changed = 0;
    for (std::size_t i = 0; i < buckets_; ++i) changed += others->probability[i];
    sum = (1 - kLikeFleet) * sum + kLikeFleet * (1 - changed);
  }
  for (std::size_t i = 0; i < buckets_; ++i) {
    const double prior =
        others == nullptr ? uniform : (1 - kLikeFleet) * uniform + kLikeFleet * others->probability[i];
    const double change_here = log_beta(a + before.reset, b + before.answered) - norm +
                               log_beta(kJeffreys + after.reset, kJeffreys + after.answered) - jeffreys_norm;
    change.probability[i] =
        prior * std::exp(std::clamp(change_here - no_change, -kMaxLogRatio, kMaxLogRatio));
    sum += change.probability[i];
    const double resets_after = (after.reset + 0.5) / (after.answered + after.reset + 1);
    change.excess_resets[i] =
        std::max(0.0, resets_after - reset_share(before.answered, before.reset, usual_resets));
    before.answered += history.reuses[i].answered;
    before.reset += history.reuses[i].reset;
    after.answered = std::max(0.0f, after.answered - history.reuses[i].answered);
    after.reset = std::max(0.0f, after.reset - history.reuses[i].reset);
  }
  for (std::size_t i = 0; i < buckets_; ++i) change.probability[i] /= sum;
}

// Safe up to the bucket at which the sum of probability * excess_resets exceeds kMaxExcessResets.
void IdleLifetimeEstimator::estimate(Endpoint& endpoint) {
  const Counts& fleet = fleet_history_.first_uses;
  const Counts& own = endpoint.history.first_uses;
  const double fleet_resets = reset_share(fleet.answered, fleet.reset, kUsualResets);
  ChangePoint change;
  find_change(change, endpoint.history, reset_share(own.answered, own.reset, fleet_resets), &fleet_change_);
  std::size_t safe = 0;
  if (change.probability[0] * change.excess_resets[0] <= kKeepNothingExcess) {
    // The first bucket is not counted: if resets follow the shortest idle times, no shorter limit helps.
    double excess = 0;
    for (safe = 1; safe < buckets_; ++safe) {
      excess += change.probability[safe] * change.excess_resets[safe];
      if (!(excess <= kMaxExcessResets)) break;
    }
  }
  const std::size_t keep = safe + kTrialBuckets;
  endpoint.safe_ms = safe < buckets_ ? begin_of(safe) : max_idle_ms_;
  endpoint.keep_ms = keep < buckets_ ? begin_of(keep) : max_idle_ms_;
}

double IdleLifetimeEstimator::safe_idle_ms(double now, EndpointId endpoint) {
  return estimated(now, endpoint).safe_ms;
}

double IdleLifetimeEstimator::keep_ms(double now, EndpointId endpoint) {
  return estimated(now, endpoint).keep_ms;
}

IdleLifetimeEstimator::Reuse IdleLifetimeEstimator::decide_reuse(double now, EndpointId endpoint,
                                                                 double idle_ms) {
  const Endpoint& estimate = estimated(now, endpoint);
  if (idle_ms < estimate.safe_ms) return Reuse::Allowed;
  // Servers that had no reset themselves at that idle time are tried first.
  const bool guilty = estimate.history.reuses[bucket_of(estimate.safe_ms)].reset > kGuiltyResets;
  const double trial_at = next_trial_at_ + (guilty ? trial_interval_ms_ : 0);
  if (idle_ms >= estimate.keep_ms || now < trial_at) return Reuse::Refused;
  next_trial_at_ = now + trial_interval_ms_;
  return Reuse::Trial;
}

} // namespace fernward::idle_connections
