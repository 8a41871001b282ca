#include "idle_connections/idle_lifetime_estimator.h"

#include <algorithm>
#include <cmath>

namespace fernward::idle_connections {
namespace {

constexpr double kShortestMs = 8; // where the second class begins
constexpr double kWorth = 0.1;    // a reset costs about as much as ten new connections
// Not to keep any connection takes more: resets nearly always, after the shortest rests too.
constexpr double kNothingKept = 0.75;
constexpr double kHalfLifeMs = 60000;
constexpr double kOneBreakMs = 20;     // resets so close together have one cause, such as a process that died
constexpr double kReestimateMs = 1000; // as what was seen fades
constexpr double kHearMs = 250;        // of resets elsewhere
constexpr double kMinTrialMs = 250, kMaxTrialMs = 64000;
constexpr double kOwnMemory = 32,
                 kCommonMemory = 128; // uses in one class, after which the older ones count a third
constexpr double kUsualReset = 0.01;  // expected of any connection, before anything is known
constexpr double kFew = 4;            // uses as which an expectation counts
constexpr double kLife = 0.1;         // beforehand: that rests matter at all, before `longest_ms`
constexpr double kAlike = 0.9;        // beforehand: that a target is as the others are

void count(float& of, float& other, double memory) {
  const auto keep = static_cast<float>(1 - 1 / memory);
  of = of * keep + 1;
  other *= keep;
}

// Of resets, where `expected` counts as much as a few uses.
double rate(double answered, double reset, double expected) {
  return (reset + kFew * expected) / (answered + reset + kFew);
}

double log_beta(double a, double b) { return std::lgamma(a) + std::lgamma(b) - std::lgamma(a + b); }

} // namespace

IdleLifetimeEstimator::IdleLifetimeEstimator(double longest_ms) : longest_ms_(longest_ms) {
  while (classes_ < kClasses && begin_of(classes_) < longest_ms_) ++classes_;
  common_.likely.fill(kLife / static_cast<double>(classes_));
}

std::size_t IdleLifetimeEstimator::class_of(double rested_ms) {
  if (!(rested_ms >= kShortestMs)) return 0;
  const double cls = 1 + std::floor(4 * std::log2(rested_ms / kShortestMs));
  return static_cast<std::size_t>(std::min(cls, static_cast<double>(kClasses - 1)));
}

double IdleLifetimeEstimator::begin_of(std::size_t cls) {
  return cls == 0 ? 0 : kShortestMs * std::exp2(0.25 * static_cast<double>(cls - 1));
}

void IdleLifetimeEstimator::History::fade(double now) {
  if (now - at < 1000) return;
  const auto keep = static_cast<float>(std::exp2(-(now - at) / kHalfLifeMs));
  at = now;
  fresh.answered *= keep, fresh.reset *= keep;
  for (Tally& tally : rested) tally.answered *= keep, tally.reset *= keep;
}

IdleLifetimeEstimator::Known& IdleLifetimeEstimator::known(double now, EndpointId target) {
  common_.seen.fade(now);
  const auto [it, added] = targets_.try_emplace(target);
  if (added) it->second.seen.at = now;
  it->second.seen.fade(now);
  return it->second;
}

void IdleLifetimeEstimator::forget(EndpointId target) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) return;
  for (std::size_t i = 0; i < kClasses; ++i) {
    float& reset = common_.seen.rested[i].reset;
    reset = std::max(0.0f, reset - it->second.seen.rested[i].reset);
  }
  targets_.erase(it);
  ++version_;
}

// ---- what came of it ----

void IdleLifetimeEstimator::on_first_use(double now, EndpointId target, bool reset) {
  Known& k = known(now, target);
  for (auto [tally, memory] : {std::pair(&k.seen.fresh, kOwnMemory), {&common_.seen.fresh, kCommonMemory}}) {
    reset ? count(tally->reset, tally->answered, memory) : count(tally->answered, tally->reset, memory);
  }
}

// One break of a target, such as the end of its process, resets all its connections: it counts once.
bool IdleLifetimeEstimator::same_break(double now, Known& k) {
  const bool same = now - k.reset_at < kOneBreakMs;
  k.reset_at = now;
  return same;
}

void IdleLifetimeEstimator::on_reuse(double now, EndpointId target, double rested_ms, bool trial,
                                     bool reset) {
  Known& k = known(now, target);
  if (trial) {
    trial_wait_ms_ = std::clamp(trial_wait_ms_ * (reset ? 2 : 0.5), kMinTrialMs, kMaxTrialMs);
    trial_at_ = now + trial_wait_ms_;
  }
  if (reset && same_break(now, k)) return;
  const std::size_t cls = class_of(rested_ms);
  for (auto [history, memory] : {std::pair(&k.seen, kOwnMemory), {&common_.seen, kCommonMemory}}) {
    Tally& tally = history->rested[cls];
    reset ? count(tally.reset, tally.answered, memory) : count(tally.answered, tally.reset, memory);
  }
  if (reset) {
    trial_at_ = std::max(trial_at_, now + trial_wait_ms_);
    ++version_;
  }
  if (reset || trial) k.estimated_at = -1e9;
}

// ---- what follows ----

IdleLifetimeEstimator::Known& IdleLifetimeEstimator::estimated(double now, EndpointId target) {
  Known& k = known(now, target);
  const double age = now - k.estimated_at;
  if ((k.version != version_ && age >= kHearMs) || (k.safe_ms < longest_ms_ && age >= kReestimateMs)) {
    if (common_version_ != version_ || now - common_at_ >= kReestimateMs) {
      common_version_ = version_;
      common_at_ = now;
      weigh(common_, rate(common_.seen.fresh.answered, common_.seen.fresh.reset, kUsualReset), nullptr);
    }
    k.version = version_;
    k.estimated_at = now;
    estimate(k);
  }
  return k;
}

// How likely each class is the one from which on connections die of their rest, and how much likelier a reset
// is from there on than before.
void IdleLifetimeEstimator::weigh(Weighed& w, double usual, const Weighed* others) const {
  const History& h = w.seen;
  Tally before, after;
  for (std::size_t i = 0; i < classes_; ++i)
    after.answered += h.rested[i].answered, after.reset += h.rested[i].reset;
  const double a = kFew * usual, b = kFew * (1 - usual), norm = log_beta(a, b), own_norm = log_beta(0.5, 0.5);
  const double same = log_beta(a + after.reset, b + after.answered) - norm; // rests do not matter
  const double even = kLife / static_cast<double>(classes_);
  double sum = 1 - kLife;
  if (others != nullptr) {
    double changed = 0;
    for (std::size_t i = 0; i < classes_; ++i) changed += others->likely[i];
    sum = (1 - kAlike) * sum + kAlike * (1 - changed);
  }
  for (std::size_t i = 0; i < classes_; ++i) {
    const double prior = others == nullptr ? even : (1 - kAlike) * even + kAlike * others->likely[i];
    const double fits = log_beta(a + before.reset, b + before.answered) - norm +
                        log_beta(0.5 + after.reset, 0.5 + after.answered) - own_norm;
    w.likely[i] = prior * std::exp(std::clamp(fits - same, -100.0, 100.0));
    sum += w.likely[i];
    const double late = (after.reset + 0.5) / (after.answered + after.reset + 1);
    w.excess[i] = std::max(0.0, late - rate(before.answered, before.reset, usual));
    before.answered += h.rested[i].answered, before.reset += h.rested[i].reset;
    after.answered = std::max(0.0f, after.answered - h.rested[i].answered);
    after.reset = std::max(0.0f, after.reset - h.rested[i].reset);
  }
  for (std::size_t i = 0; i < classes_; ++i) w.likely[i] /= sum;
}

void IdleLifetimeEstimator::estimate(Known& k) {
  Weighed w;
  w.seen = k.seen;
  const Tally &all_fresh = common_.seen.fresh, &own_fresh = k.seen.fresh;
  const double expected = rate(all_fresh.answered, all_fresh.reset, kUsualReset);
  weigh(w, rate(own_fresh.answered, own_fresh.reset, expected), &common_);
  std::size_t i = 0;
  if (w.likely[0] * w.excess[0] <= kNothingKept) {
    double excess = 0; // where even the shortest rests are bad, shorter ones do not help
    for (i = 1; i < classes_ && (excess += w.likely[i] * w.excess[i]) <= kWorth; ++i) {}
  }
  k.safe_ms = i < classes_ ? begin_of(i) : longest_ms_;
  k.hold_ms = i + 2 < classes_ ? begin_of(i + 2) : longest_ms_;
}

double IdleLifetimeEstimator::safe_idle_ms(double now, EndpointId target) {
  return estimated(now, target).safe_ms;
}
double IdleLifetimeEstimator::keep_ms(double now, EndpointId target) {
  return estimated(now, target).hold_ms;
}

IdleLifetimeEstimator::Reuse IdleLifetimeEstimator::decide_reuse(double now, EndpointId target,
                                                                 double rested_ms) {
  const Known& k = estimated(now, target);
  if (rested_ms < k.safe_ms) return Reuse::Allowed;
  // A target that had no reset there itself goes first.
  const bool guilty = k.seen.rested[class_of(k.safe_ms)].reset > 0.5;
  if (rested_ms >= k.hold_ms || now < trial_at_ + (guilty ? trial_wait_ms_ : 0)) return Reuse::Refused;
  trial_at_ = now + trial_wait_ms_;
  return Reuse::Trial;
}

} // namespace fernward::idle_connections
