#include "placement/fill_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace fernward::placement {

namespace {

constexpr double kSteadyMs = 20000; // averaging window of the steady rates
constexpr double kTrafficMs = 4000; // averaging window of the current traffic
constexpr double kByChance = 1.15;  // traffic / its mean that random variation reaches without growth
constexpr double kRecentMs = 1000;  // averaging window of the current fetches
constexpr double kCalmingMs = 4000; // averaging window of the fetches that show whether a transition is over
constexpr double kCalm = 1.15;      // fetches / base rate up to which a transition is over
// Number of transition times after which a fleet that keeps changing is treated as steady.
constexpr double kUnrest = 8;
// With less steady observation time than this, the steady rate is unknown. It is then assumed to be a share
// of the reads, typical of useful caches, or a part of the rate observed during the transition.
constexpr double kKnownMs = 4000;
constexpr double kAssumed = 0.1, kUnsure = 0.7;
// Share of the multiple that is used: load varies randomly between seconds, and the routers' shares of the
// traffic change slightly.
constexpr double kOfMultiple = 0.8;
constexpr double kFillShare = 0.5;    // of the allowed rate beyond the base rate
constexpr double kSecondShare = 0.05; // of the base rate, for second replicas
constexpr double kMostSaved = 3;      // saved fills
constexpr double kBurst = 1;          // saved fetches

} // namespace

void Rate::fade(double now, double over) {
  if (at_ == kNever) at_ = now;
  const double part = std::exp(-(now - at_) / over);
  at_ = now;
  count_ *= part;
  watched_ = watched_ * part + over * (1 - part);
}

double Rate::per_ms(double now, double over) const {
  Rate r = *this;
  r.fade(now, over);
  return r.watched_ > 0 ? r.count_ / r.watched_ : 0;
}

void FillRateLimiter::Bucket::refill(double now, double per_ms, double most) {
  count = std::min(most, at == kNever ? 1 : count + (now - at) * per_ms);
  at = now;
}

bool FillRateLimiter::known() const { return calm_ms_ >= kKnownMs; }

// Fetches during a transition do not belong to the steady rate. They are used only if the steady rate is
// unknown, or if transitions follow one another without end.
bool FillRateLimiter::learns(double now) const {
  return !is_active(now) || !known() || now - opened_at_ > kUnrest * set_.transition_ms;
}

void FillRateLimiter::on_read(double now) {
  if (read_at_ != kNever && !is_active(now)) calm_ms_ += std::min(now - read_at_, kTrafficMs);
  read_at_ = now;
  reads_.add(now, kTrafficMs);
  if (learns(now)) {
    steady_fetches_.add(now, kSteadyMs, 0); // both rates must cover the same time
    return steady_reads_.add(now, kSteadyMs);
  }
  steady_reads_.skip(now);
  steady_fetches_.skip(now);
}

void FillRateLimiter::on_fetch(double now) {
  learns(now) ? steady_fetches_.add(now, kSteadyMs) : steady_fetches_.skip(now);
  recent_.add(now, kRecentMs);
  calming_.add(now, kCalmingMs);
  if (!is_active(now)) return;
  fetches_.count -= 1;
  // Otherwise all fetches that were held back would be sent at once when the limit ends.
  if (now > until_ - kCalmingMs / 2 && calming_.per_ms(now, kCalmingMs) > kCalm * base_per_ms(now)) {
    until_ = std::max(until_, std::min(until_ + kCalmingMs / 2, at_latest_));
  }
}

double FillRateLimiter::steady_fetches_per_ms(double now) const {
  return steady_fetches_.per_ms(now, kSteadyMs);
}

double FillRateLimiter::base_per_ms(double now) const {
  const double traffic = reads_.per_ms(now, kTrafficMs);
  // A rate observed only during a transition may result from this limit itself. It counts less, as otherwise
  // the limit would raise itself.
  if (!known()) return std::max(kAssumed * traffic, kUnsure * steady_fetches_per_ms(now));
  const double before = steady_reads_.per_ms(now, kSteadyMs);
  return before > 0 ? steady_fetches_per_ms(now) * std::max(1.0, traffic / before / kByChance) : 0;
}

double FillRateLimiter::max_fetches_per_ms(double now) const {
  if (!is_active(now) || set_.origin_load_multiple <= 0) return 0;
  return base_per_ms(now) * std::max(1.0, kOfMultiple * set_.origin_load_multiple);
}

double FillRateLimiter::utilization(double now, double waiting) const {
  const double most = max_fetches_per_ms(now);
  return most > 0 ? (recent_.per_ms(now, kRecentMs) + waiting / kRecentMs) / most : 0;
}

bool FillRateLimiter::may_fetch(double now) {
  const double rate = max_fetches_per_ms(now);
  if (rate <= 0) return true;
  fetches_.refill(now, rate, kBurst);
  return fetches_.count >= 0.5;
}

bool FillRateLimiter::may_fill(double now, Fill what, double& saved) {
  const double base = base_per_ms(now);
  const double over = set_.origin_load_multiple > 0 ? kOfMultiple * set_.origin_load_multiple - 1 : 1;
  const double rate =
      what == Fill::SecondReplica ? kSecondShare * base : kFillShare * std::max(0.1, over) * base;
  Bucket& bucket = tokens(what);
  bucket.refill(now, rate, kMostSaved);
  saved = bucket.count;
  return bucket.count >= 1 && may_fetch(now);
}

} // namespace fernward::placement
