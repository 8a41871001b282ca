#include "placement/pace.h"

#include <algorithm>
#include <cmath>

namespace fernward::placement {

namespace {

constexpr double kSteadyMs = 10000;  // over which the steady rates are taken
constexpr double kDisturbedMs = 1e5; // the same while a move is open: a fleet that never rests is steady, too
constexpr double kTrafficMs = 2000;  // over which the traffic of the moment is taken
constexpr double kRecentMs = 1000;   // over which the fetches of the moment are taken
constexpr double kCalmingMs = 4000;
constexpr double kCalm = 1.15;    // times the steady rate: the move is over
constexpr double kKnownMs = 4000; // watched for less, the steady rate is not known
constexpr double kOfMultiple =
    0.75; // of the multiple is given out: chance makes some seconds busier than others
constexpr double kFillShare = 0.5;    // of what is given out beyond the steady rate
constexpr double kSecondShare = 0.05; // of the steady rate, for second holders
constexpr double kMostSaved = 3;      // fills saved up
constexpr double kBurst = 1.5;        // fetches saved up

// A fading count, as a rate: what came long ago counts for little.
void fade(double& rate, double since, double over) { rate *= std::exp(-since / over); }

} // namespace

void Pace::Bucket::refill(double now, double per_ms, double most) {
  count = std::min(most, at == kNever ? 1 : count + (now - at) * per_ms);
  at = now;
}

bool Pace::known(double now) const { return first_at_ != kNever && now - first_at_ >= kKnownMs; }

void Pace::read(double now) {
  if (first_at_ == kNever) first_at_ = read_at_ = fetch_at_ = now;
  const double over = open(now) ? kDisturbedMs : kSteadyMs;
  const double since = now - read_at_;
  read_at_ = now;
  fade(steady_reads_, since, over);
  fade(reads_, since, kTrafficMs);
  steady_reads_ += 1 / over;
  reads_ += 1 / kTrafficMs;
}

void Pace::fetched(double now) {
  if (first_at_ == kNever) first_at_ = read_at_ = fetch_at_ = now;
  const double over = open(now) ? kDisturbedMs : kSteadyMs;
  fade(steady_fetches_, now - fetch_at_, over);
  fade(recent_, now - fetch_at_, kRecentMs);
  fade(calming_, now - fetch_at_, kCalmingMs);
  calming_ += 1 / kCalmingMs;
  // Else all that the pace kept back would come at once when it ends.
  if (open(now) && now > until_ - kCalmingMs / 2 && calming_ > kCalm * base_per_ms()) {
    until_ = std::min(until_ + kCalmingMs / 2, at_latest_);
  }
  fetch_at_ = now;
  steady_fetches_ += 1 / over;
  recent_ += 1 / kRecentMs;
  if (open(now)) fetches_.count -= 1;
}

// What was watched for less than the whole time is scaled up, else the rates would begin too low.
double Pace::steady_per_ms() const {
  return first_at_ == kNever ? 0 : steady_fetches_ / (1e-9 - std::expm1(-(read_at_ - first_at_) / kSteadyMs));
}

double Pace::base_per_ms() const {
  if (steady_reads_ <= 0) return 0;
  const double reads = steady_reads_ / (1e-9 - std::expm1(-(read_at_ - first_at_) / kSteadyMs));
  return steady_per_ms() * std::max(1.0, reads_ / reads);
}

double Pace::per_ms(double now) const {
  if (!open(now) || set_.ledger_multiple <= 0 || !known(now)) return 0;
  return base_per_ms() * std::max(1.0, kOfMultiple * set_.ledger_multiple);
}

double Pace::crowding(double now, double waiting) const {
  const double most = per_ms(now);
  if (most <= 0) return 0;
  double recent = recent_;
  fade(recent, now - fetch_at_, kRecentMs);
  return (recent + waiting / kRecentMs) / most;
}

bool Pace::may_fetch(double now) {
  const double rate = per_ms(now);
  if (rate <= 0) return true;
  fetches_.refill(now, rate, kBurst);
  return fetches_.count >= 0.5;
}

bool Pace::may_fill(double now, Fill what, double& saved) {
  const double base = base_per_ms();
  const double over = set_.ledger_multiple > 0 ? kOfMultiple * set_.ledger_multiple - 1 : 1;
  const double rate = what == Fill::Second ? kSecondShare * base : kFillShare * std::max(0.1, over) * base;
  Bucket& bucket = tokens(what);
  bucket.refill(now, rate, kMostSaved);
  saved = bucket.count;
  return bucket.count >= 1 && may_fetch(now);
}

} // namespace fernward::placement
