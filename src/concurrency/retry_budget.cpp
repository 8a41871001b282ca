#include "concurrency/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace fernward::concurrency {
namespace {

constexpr double kLeastShare = 0.1;   // earned by each request under crowding
constexpr double kMostShare = 1;      // earned with proven room: a third of attempts may fail, retries too
constexpr double kLeastCopies = 0.02; // earned by each request for copies, and the most
constexpr double kMostCopies = 0.5;
// For each request, by the square of the dead share of the late ones: a third of them dead takes ten times what a
// tenth takes, as copies of those that are merely slow only add to the load.
constexpr double kDeadCopies = 2;
constexpr double kLeastSaved = 10; // further attempts saved up at most under crowding
constexpr double kMostSaved = 40;
constexpr double kProveMs = 2000;  // room is proven over some such times without crowding
constexpr double kFewSigns = 0.02; // share of attempts that may show crowding while room grows
constexpr double kManySigns = 0.1; // at this share nothing is left of the proven room
constexpr double kHopeful = 0.5;   // share of attempts that may fail with all of the room still given
constexpr double kHopeless = 0.8;  // at this share a further attempt brings nothing
constexpr double kWeight = 0.02;   // of one attempt in that share

} // namespace

double RetryBudget::earned_per_request() const {
  // Where nearly all fail a further attempt fails too: asked twice as often, such a fleet does not come back.
  const double hope = std::clamp((kHopeless - failed_) / (kHopeless - kHopeful), 0.0, 1.0);
  return kLeastShare + (kMostShare - kLeastShare) * room_ * hope;
}

void RetryBudget::pass(double now) {
  if (changed_at_ < -1e17) changed_at_ = now;
  const double ms = std::max(0.0, now - changed_at_);
  changed_at_ = std::max(changed_at_, now);
  // Grows with time, not with requests: what a busy second shows is no better proof than a quiet one.
  if (crowded_ < kFewSigns) room_ += (1 - room_) * -std::expm1(-ms / kProveMs);
}

void RetryBudget::on_request(double now, double dead) {
  pass(now);
  const double most = kLeastSaved + (kMostSaved - kLeastSaved) * room_;
  saved_ = std::min(most, saved_ + earned_per_request());
  least_ = std::min(kLeastSaved, least_ + kLeastShare);
  copies_ = std::min(1 + 9 * room_,
                     copies_ + std::min(kMostCopies, kLeastCopies + kDeadCopies * room_ * dead * dead));
}

void RetryBudget::on_attempt_ended(double now, bool crowded, bool failed) {
  pass(now);
  failed_ += kWeight * ((failed ? 1 : 0) - failed_);
  crowded_ += kWeight * ((crowded ? 1 : 0) - crowded_);
  const double left = std::clamp((kManySigns - crowded_) / (kManySigns - kFewSigns), 0.0, 1.0);
  if (left >= room_) return;
  room_ = left;
  saved_ = std::min(saved_, kLeastSaved + (kMostSaved - kLeastSaved) * room_);
  copies_ = std::min(copies_, 1 + 9 * room_);
}

bool RetryBudget::try_consume(double now, Use use, double crowding) {
  pass(now);
  const bool full = !(crowding < 1);
  if (use == Use::Hedge) {
    if (full || copies_ < 1 || saved_ < 1) return false;
    copies_ -= 1;
  }
  if (full ? least_ < 1 : saved_ < 1) return false;
  saved_ = std::max(0.0, saved_ - 1);
  least_ = std::max(0.0, least_ - 1);
  return true;
}

void RetryBudget::refund(Use use) {
  if (use == Use::Hedge) copies_ += 1;
  saved_ += 1;
  least_ += 1;
}

} // namespace fernward::concurrency
