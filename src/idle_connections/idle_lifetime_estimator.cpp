#include "idle_connections/idle_lifetime_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fernward::idle_connections {
namespace {

constexpr double kFirstBucketEndMs = 8;
constexpr double kBucketsPerDoubling = 4;

constexpr double kMaxExcessResetShare = 0.1; // a reset costs about as much as ten new connections
// For the first bucket: above it no connection is kept. Reached only if even the shortest idle times nearly
// always lead to resets.
constexpr double kKeepNoneExcessShare = 0.75;
// Decayed resets of a server at its safe idle time, above which the server itself is assumed to close there.
constexpr double kResponsibleResets = 0.5;
constexpr std::size_t kTrialBuckets = 2; // beyond the safe idle time

constexpr double kHalfLifeMs = 60000;
constexpr double kDecayIntervalMs = 1000;
constexpr double kSameOutageWindowMs =
    20; // resets this close together have one cause, such as a crashed process
constexpr double kReestimateIntervalMs = 1000; // because the history decays
constexpr double kOtherResetsDelayMs = 250;    // until resets of other servers are considered
constexpr double kMinTrialIntervalMs = 250;
constexpr double kMaxTrialIntervalMs = 64000;

// Uses in one bucket after which the weight of older ones has fallen to a third.
constexpr double kEndpointMemoryUses = 32;
constexpr double kFleetMemoryUses = 128;

// Priors.
constexpr double kPriorResetShare = 0.01;     // share of all uses
constexpr double kPriorUses = 4;              // weight of a prior, in uses
constexpr double kChangeProbability = 0.1;    // that resets depend on the idle time at all, below max_idle_ms
constexpr double kLikeFleetProbability = 0.9; // probability that a server behaves like the others
constexpr double kJeffreys = 0.5;
constexpr double kMaxLogRatio = 100;

void count_use(float& increased, float& decreased, double memory_uses) {
  const auto retained_share = static_cast<float>(1 - 1 / memory_uses);
  increased = increased * retained_share + 1;
  decreased *= retained_share;
}

// Share of resets, with a prior.
double reset_share(double answered, double reset, double prior) {
  return (reset + kPriorUses * prior) / (answered + reset + kPriorUses);
}

double log_beta(double alpha, double beta) {
  return std::lgamma(alpha) + std::lgamma(beta) - std::lgamma(alpha + beta);
}

} // namespace

IdleLifetimeEstimator::IdleLifetimeEstimator(double max_idle_ms) : max_idle_ms_(max_idle_ms) {
  while (bucket_count_ < kMaxBuckets && bucket_begin_ms(bucket_count_) < max_idle_ms_) ++bucket_count_;
  fleet_change_.probability.fill(kChangeProbability / static_cast<double>(bucket_count_));
}

std::size_t IdleLifetimeEstimator::bucket_of(double idle_ms) {
  if (!(idle_ms >= kFirstBucketEndMs)) return 0;
  const double bucket = 1 + std::floor(kBucketsPerDoubling * std::log2(idle_ms / kFirstBucketEndMs));
  return static_cast<std::size_t>(std::min(bucket, static_cast<double>(kMaxBuckets - 1)));
}

double IdleLifetimeEstimator::bucket_begin_ms(std::size_t bucket) {
  return bucket == 0
             ? 0
             : kFirstBucketEndMs * std::exp2(1 / kBucketsPerDoubling * static_cast<double>(bucket - 1));
}

void IdleLifetimeEstimator::History::decay(double now) {
  if (now - decayed_at < kDecayIntervalMs) return;
  const auto retained_share = static_cast<float>(std::exp2(-(now - decayed_at) / kHalfLifeMs));
  decayed_at = now;
  first_uses.answered *= retained_share;
  first_uses.reset *= retained_share;
  for (Counts& counts : reuses) {
    counts.answered *= retained_share;
    counts.reset *= retained_share;
  }
}

IdleLifetimeEstimator::Endpoint& IdleLifetimeEstimator::find_or_add(double now, EndpointId id) {
  fleet_history_.decay(now);
  const auto [it, added] = endpoints_.try_emplace(id);
  if (added) it->second.history.decayed_at = now;
  it->second.history.decay(now);
  return it->second;
}

void IdleLifetimeEstimator::forget(EndpointId endpoint) {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) return;
  for (std::size_t i = 0; i < kMaxBuckets; ++i) {
    float& reset = fleet_history_.reuses[i].reset;
    reset = std::max(0.0f, reset - it->second.history.reuses[i].reset);
  }
  endpoints_.erase(it);
  ++reset_version_;
}

// ---- Results ----

void IdleLifetimeEstimator::on_first_use(double now, EndpointId endpoint, bool reset) {
  Endpoint& own_endpoint = find_or_add(now, endpoint);
  for (auto [history, memory_uses] :
       {std::pair(&own_endpoint.history, kEndpointMemoryUses), {&fleet_history_, kFleetMemoryUses}}) {
    Counts& counts = history->first_uses;
    reset ? count_use(counts.reset, counts.answered, memory_uses)
          : count_use(counts.answered, counts.reset, memory_uses);
  }
}

// An outage, such as a crashed process, resets all connections of a server and must count only once.
// Also records the time of this reset.
bool IdleLifetimeEstimator::is_same_outage(double now, Endpoint& endpoint) {
  const bool same_outage = now - endpoint.reset_at < kSameOutageWindowMs;
  endpoint.reset_at = now;
  return same_outage;
}

void IdleLifetimeEstimator::on_reuse(double now, EndpointId endpoint, double idle_ms, bool trial,
                                     bool reset) {
  Endpoint& own_endpoint = find_or_add(now, endpoint);
  if (trial) {
    trial_interval_ms_ =
        std::clamp(trial_interval_ms_ * (reset ? 2 : 0.5), kMinTrialIntervalMs, kMaxTrialIntervalMs);
    next_trial_at_ = now + trial_interval_ms_;
  }
  if (reset && is_same_outage(now, own_endpoint)) return;
  const std::size_t bucket = bucket_of(idle_ms);
  for (auto [history, memory_uses] :
       {std::pair(&own_endpoint.history, kEndpointMemoryUses), {&fleet_history_, kFleetMemoryUses}}) {
    Counts& counts = history->reuses[bucket];
    reset ? count_use(counts.reset, counts.answered, memory_uses)
          : count_use(counts.answered, counts.reset, memory_uses);
  }
  if (reset) {
    next_trial_at_ = std::max(next_trial_at_, now + trial_interval_ms_);
    ++reset_version_;
  }
  if (reset || trial) own_endpoint.estimated_at = kLongAgo;
}

// ---- Estimates ----

IdleLifetimeEstimator::Endpoint& IdleLifetimeEstimator::find_with_estimate(double now, EndpointId id) {
  Endpoint& endpoint = find_or_add(now, id);
  const double age_ms = now - endpoint.estimated_at;
  const bool other_servers_reset = endpoint.reset_version != reset_version_ && age_ms >= kOtherResetsDelayMs;
  const bool history_decayed = endpoint.safe_idle_ms < max_idle_ms_ && age_ms >= kReestimateIntervalMs;
  if (!other_servers_reset && !history_decayed) return endpoint;
  if (fleet_reset_version_ != reset_version_ || now - fleet_estimated_at_ >= kReestimateIntervalMs) {
    fleet_reset_version_ = reset_version_;
    fleet_estimated_at_ = now;
    const Counts& first_uses = fleet_history_.first_uses;
    estimate_change_point(fleet_change_, fleet_history_,
                          reset_share(first_uses.answered, first_uses.reset, kPriorResetShare), nullptr);
  }
  endpoint.reset_version = reset_version_;
  endpoint.estimated_at = now;
  update_estimate(endpoint);
  return endpoint;
}

// Change point by beta-binomial likelihood: P(change at bucket i) ~
// prior(i) * L(before i | baseline_reset_share) * L(from i on | Jeffreys),
// against L(all | baseline_reset_share) for no change. A server that resets whatever the idle time therefore
// shows no change. `fleet_prior`: the change point of the fleet as prior of a server; null: uniform prior.
void IdleLifetimeEstimator::estimate_change_point(ChangePoint& change, const History& history,
                                                  double baseline_reset_share,
                                                  const ChangePoint* fleet_prior) const {
  Counts before;
  Counts after;
  for (std::size_t i = 0; i < bucket_count_; ++i) {
    after.answered += history.reuses[i].answered;
    after.reset += history.reuses[i].reset;
  }
  const double prior_resets = kPriorUses * baseline_reset_share;
  const double prior_answered = kPriorUses * (1 - baseline_reset_share);
  const double prior_norm = log_beta(prior_resets, prior_answered);
  const double jeffreys_norm = log_beta(kJeffreys, kJeffreys);
  const double log_no_change_likelihood =
      log_beta(prior_resets + after.reset, prior_answered + after.answered) - prior_norm;
  const double uniform = kChangeProbability / static_cast<double>(bucket_count_);
  double probability_sum = 1 - kChangeProbability;
  if (fleet_prior != nullptr) {
    double change_probability = 0;
    for (std::size_t i = 0; i < bucket_count_; ++i) change_probability += fleet_prior->probability[i];
    probability_sum =
        (1 - kLikeFleetProbability) * probability_sum + kLikeFleetProbability * (1 - change_probability);
  }
  for (std::size_t i = 0; i < bucket_count_; ++i) {
    const double prior = fleet_prior == nullptr ? uniform
                                                : (1 - kLikeFleetProbability) * uniform +
                                                      kLikeFleetProbability * fleet_prior->probability[i];
    const double log_change_likelihood =
        log_beta(prior_resets + before.reset, prior_answered + before.answered) - prior_norm +
        log_beta(kJeffreys + after.reset, kJeffreys + after.answered) - jeffreys_norm;
    change.probability[i] = prior * std::exp(std::clamp(log_change_likelihood - log_no_change_likelihood,
                                                        -kMaxLogRatio, kMaxLogRatio));
    probability_sum += change.probability[i];
    const double reset_share_after = (after.reset + 0.5) / (after.answered + after.reset + 1);
    change.excess_reset_share[i] =
        std::max(0.0, reset_share_after - reset_share(before.answered, before.reset, baseline_reset_share));
    before.answered += history.reuses[i].answered;
    before.reset += history.reuses[i].reset;
    after.answered = std::max(0.0f, after.answered - history.reuses[i].answered);
    after.reset = std::max(0.0f, after.reset - history.reuses[i].reset);
  }
  for (std::size_t i = 0; i < bucket_count_; ++i) change.probability[i] /= probability_sum;
}

// Safe up to the bucket at which the sum of probability * excess_reset_share exceeds kMaxExcessResetShare.
void IdleLifetimeEstimator::update_estimate(Endpoint& endpoint) {
  const Counts& fleet_first_uses = fleet_history_.first_uses;
  const Counts& own_first_uses = endpoint.history.first_uses;
  const double fleet_reset_share =
      reset_share(fleet_first_uses.answered, fleet_first_uses.reset, kPriorResetShare);
  ChangePoint change;
  estimate_change_point(change, endpoint.history,
                        reset_share(own_first_uses.answered, own_first_uses.reset, fleet_reset_share),
                        &fleet_change_);
  std::size_t safe_bucket = 0;
  if (change.probability[0] * change.excess_reset_share[0] <= kKeepNoneExcessShare) {
    // The first bucket is not counted: if resets follow the shortest idle times, no shorter limit helps.
    double excess_reset_share_sum = 0;
    for (safe_bucket = 1; safe_bucket < bucket_count_; ++safe_bucket) {
      excess_reset_share_sum += change.probability[safe_bucket] * change.excess_reset_share[safe_bucket];
      if (!(excess_reset_share_sum <= kMaxExcessResetShare)) break;
    }
  }
  const std::size_t keep_bucket = safe_bucket + kTrialBuckets;
  endpoint.safe_idle_ms = safe_bucket < bucket_count_ ? bucket_begin_ms(safe_bucket) : max_idle_ms_;
  endpoint.max_keep_ms = keep_bucket < bucket_count_ ? bucket_begin_ms(keep_bucket) : max_idle_ms_;
}

double IdleLifetimeEstimator::safe_idle_ms(double now, EndpointId endpoint) {
  return find_with_estimate(now, endpoint).safe_idle_ms;
}

double IdleLifetimeEstimator::max_keep_ms(double now, EndpointId endpoint) {
  return find_with_estimate(now, endpoint).max_keep_ms;
}

IdleLifetimeEstimator::Reuse IdleLifetimeEstimator::decide_reuse(double now, EndpointId endpoint,
                                                                 double idle_ms) {
  const Endpoint& estimate = find_with_estimate(now, endpoint);
  if (idle_ms < estimate.safe_idle_ms) return Reuse::Allowed;
  // Trials start with servers that had no reset at that idle time themselves.
  const bool server_responsible =
      estimate.history.reuses[bucket_of(estimate.safe_idle_ms)].reset > kResponsibleResets;
  const double trial_at = next_trial_at_ + (server_responsible ? trial_interval_ms_ : 0);
  if (idle_ms >= estimate.max_keep_ms || now < trial_at) return Reuse::Refused;
  next_trial_at_ = now + trial_interval_ms_;
  return Reuse::Trial;
}

} // namespace fernward::idle_connections
