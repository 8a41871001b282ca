#include "concurrency/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace fernward::concurrency {
namespace {

constexpr double kMinEarnedPerRequest = 0.1; // attempts per request, under congestion
// Attempts per request, with proven capacity: a third of attempts may fail.
constexpr double kMaxEarnedPerRequest = 1;

constexpr double kMinHedgesEarned = 0.02; // hedged requests per request
constexpr double kMaxHedgesEarned = 0.5;
// Hedged requests per request, multiplied by the square of the share of slow attempts that are never
// answered: hedging attempts that are only slow just adds load.
constexpr double kHedgesByNeverAnsweredShare = 2;

constexpr double kCongestedMaxBalance = 10; // highest balance under congestion, in attempts
constexpr double kProvenMaxBalance = 40;    // highest balance with proven capacity, in attempts

constexpr double kCapacityProofMs = 2000;     // time constant of the growth of proven capacity
constexpr double kProofCongestedShare = 0.02; // share of congested attempts up to which proven capacity grows
constexpr double kMaxCongestedShare = 0.1;    // from this share on no capacity is proven
constexpr double kFullEarningFailedShare = 0.5; // share of failed attempts up to which requests earn fully
constexpr double kNoEarningFailedShare = 0.8;   // from it on requests earn the minimum: attempts are useless
constexpr double kAttemptWeight = 0.02;         // weight of one attempt in these shares

} // namespace

double RetryBudget::earned_per_request() const {
  // If nearly all attempts fail, further attempts fail too, and their load prevents the fleet from
  // recovering.
  const double earning_factor = std::clamp(
      (kNoEarningFailedShare - failed_share_) / (kNoEarningFailedShare - kFullEarningFailedShare), 0.0, 1.0);
  return kMinEarnedPerRequest +
         (kMaxEarnedPerRequest - kMinEarnedPerRequest) * proven_capacity_ * earning_factor;
}

double RetryBudget::max_balance() const {
  return kCongestedMaxBalance + (kProvenMaxBalance - kCongestedMaxBalance) * proven_capacity_;
}

// Capacity is proven by time without congestion, not by the number of requests.
void RetryBudget::advance(double now) {
  if (advanced_at_ == kNever) advanced_at_ = now;
  const double elapsed_ms = std::max(0.0, now - advanced_at_);
  advanced_at_ = std::max(advanced_at_, now);
  if (congested_share_ < kProofCongestedShare) {
    proven_capacity_ += (1 - proven_capacity_) * -std::expm1(-elapsed_ms / kCapacityProofMs);
  }
}

void RetryBudget::on_request(double now, double never_answered_share) {
  advance(now);
  balance_ = std::min(max_balance(), balance_ + earned_per_request());
  guaranteed_balance_ = std::min(kCongestedMaxBalance, guaranteed_balance_ + kMinEarnedPerRequest);
  const double hedges_earned =
      std::min(kMaxHedgesEarned, kMinHedgesEarned + kHedgesByNeverAnsweredShare * proven_capacity_ *
                                                        never_answered_share * never_answered_share);
  hedge_balance_ = std::min(max_hedge_balance(), hedge_balance_ + hedges_earned);
}

void RetryBudget::on_attempt_ended(double now, bool congested, bool failed) {
  advance(now);
  update_moving_average(failed_share_, failed ? 1 : 0, kAttemptWeight);
  update_moving_average(congested_share_, congested ? 1 : 0, kAttemptWeight);
  const double max_proven_capacity = std::clamp(
      (kMaxCongestedShare - congested_share_) / (kMaxCongestedShare - kProofCongestedShare), 0.0, 1.0);
  if (max_proven_capacity >= proven_capacity_) return;
  proven_capacity_ = max_proven_capacity;
  balance_ = std::min(balance_, max_balance());
  hedge_balance_ = std::min(hedge_balance_, max_hedge_balance());
}

bool RetryBudget::try_consume(double now, Use use, double utilization) {
  advance(now);
  const bool server_fully_utilized = !(utilization < 1); // also if it is NaN
  if (use == Use::Hedge) {
    if (server_fully_utilized || hedge_balance_ < 1 || balance_ < 1) return false;
    hedge_balance_ -= 1;
  }
  if (server_fully_utilized ? guaranteed_balance_ < 1 : balance_ < 1) return false;
  balance_ = std::max(0.0, balance_ - 1);
  guaranteed_balance_ = std::max(0.0, guaranteed_balance_ - 1);
  return true;
}

void RetryBudget::refund(Use use) {
  if (use == Use::Hedge) hedge_balance_ += 1;
  balance_ += 1;
  guaranteed_balance_ += 1;
}

} // namespace fernward::concurrency
