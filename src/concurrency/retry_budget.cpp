#include "concurrency/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace fernward::concurrency {
namespace {

constexpr double kMinEarned = 0.1; // attempts per request, under congestion
constexpr double kMaxEarned = 1;   // attempts per request, with proven capacity: a third of attempts may fail

constexpr double kMinHedgesEarned = 0.02; // hedged requests per request
constexpr double kMaxHedgesEarned = 0.5;
// Hedged requests per request, multiplied by the square of the share of slow attempts that are never
// answered: hedging attempts that are only slow just adds load.
constexpr double kHedgesByDeadShare = 2;

constexpr double kMinMaxBalance = 10; // highest balance under congestion, in attempts
constexpr double kMaxMaxBalance = 40; // highest balance with proven capacity, in attempts

constexpr double kProofMs = 2000;            // time constant of the growth of proven capacity
constexpr double kProofCrowdedShare = 0.02;  // share of congested attempts up to which proven capacity grows
constexpr double kMaxCrowdedShare = 0.1;     // from this share on no capacity is proven
constexpr double kHopefulFailedShare = 0.5;  // share of failed attempts up to which requests earn fully
constexpr double kHopelessFailedShare = 0.8; // from this share on further attempts are useless
constexpr double kWeight = 0.02;             // weight of one attempt in these shares

} // namespace

double RetryBudget::earned_per_request() const {
  // If nearly all attempts fail, further attempts fail too, and their load prevents the fleet from
  // recovering.
  const double hope = std::clamp(
      (kHopelessFailedShare - failed_share_) / (kHopelessFailedShare - kHopefulFailedShare), 0.0, 1.0);
  return kMinEarned + (kMaxEarned - kMinEarned) * proven_capacity_ * hope;
}

double RetryBudget::max_balance() const {
  return kMinMaxBalance + (kMaxMaxBalance - kMinMaxBalance) * proven_capacity_;
}

// Capacity is proven by time without congestion, not by the number of requests.
void RetryBudget::advance(double now) {
  if (advanced_at_ == kNever) advanced_at_ = now;
  const double passed_ms = std::max(0.0, now - advanced_at_);
  advanced_at_ = std::max(advanced_at_, now);
  if (crowded_share_ < kProofCrowdedShare) {
    proven_capacity_ += (1 - proven_capacity_) * -std::expm1(-passed_ms / kProofMs);
  }
}

void RetryBudget::on_request(double now, double never_answered_share) {
  advance(now);
  balance_ = std::min(max_balance(), balance_ + earned_per_request());
  min_balance_ = std::min(kMinMaxBalance, min_balance_ + kMinEarned);
  const double hedges_earned =
      std::min(kMaxHedgesEarned, kMinHedgesEarned + kHedgesByDeadShare * proven_capacity_ *
                                                        never_answered_share * never_answered_share);
  hedges_ = std::min(max_hedges(), hedges_ + hedges_earned);
}

void RetryBudget::on_attempt_ended(double now, bool crowded, bool failed) {
  advance(now);
  smooth(failed_share_, failed ? 1 : 0, kWeight);
  smooth(crowded_share_, crowded ? 1 : 0, kWeight);
  const double bound =
      std::clamp((kMaxCrowdedShare - crowded_share_) / (kMaxCrowdedShare - kProofCrowdedShare), 0.0, 1.0);
  if (bound >= proven_capacity_) return;
  proven_capacity_ = bound;
  balance_ = std::min(balance_, max_balance());
  hedges_ = std::min(hedges_, max_hedges());
}

bool RetryBudget::try_consume(double now, Use use, double utilization) {
  advance(now);
  const bool server_full = !(utilization < 1); // also if it is NaN
  if (use == Use::Hedge) {
    if (server_full || hedges_ < 1 || balance_ < 1) return false;
    hedges_ -= 1;
  }
  if (server_full ? min_balance_ < 1 : balance_ < 1) return false;
  balance_ = std::max(0.0, balance_ - 1);
  min_balance_ = std::max(0.0, min_balance_ - 1);
  return true;
}

void RetryBudget::refund(Use use) {
  if (use == Use::Hedge) hedges_ += 1;
  balance_ += 1;
  min_balance_ += 1;
}

} // namespace fernward::concurrency
