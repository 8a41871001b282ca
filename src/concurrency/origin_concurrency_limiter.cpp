#include "concurrency/origin_concurrency_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fernward::concurrency {
namespace {

constexpr double kOriginStart = 32;  // attempts at once that all routers together let a new origin have
constexpr double kWriteTurn = 1;     // that a write may count on however low the limit
constexpr double kLeast = 1.0 / 256; // of the start
constexpr double kMost = 4096;
constexpr double kWriteShare = 1.25; // of the origin limit that writes may fill; reads fill it once
constexpr double kPaceSlack = 1.5;   // by which a pace is quicker than the limit: requests come unevenly
constexpr double kBurst = 2;         // attempts that a pace saves up

// What a response time over the floor means depends on how much of it the aim leaves: a server whose ordinary time is
// a third of the aim may be used nearer to its end than one that is ten times as quick.
constexpr double kToleranceByAim = 0.25, kMostTolerance = 2.5;
constexpr double kHold = 0.35;    // of the tolerance, from which the limit no longer grows
constexpr double kTrigger = 8;    // strain at which the limit falls
constexpr double kClip = 4;       // one answer counts as so many times its expected time at most
constexpr double kBelow = 0.8;    // of the knee: a cut goes below it, so that a floor too high shows
constexpr double kRegrow = 0.2;   // of the limit in each response time, up to where it was before the cut
constexpr double kRegrowTo = 1.3; // of the knee
constexpr double kGrow = 0.05;    // beyond
constexpr double kMostEase = 0.2, kEase = 0.2; // by which a limit eases that holds more than is carried
constexpr double kPressed = 0.3; // share of answers under a full limit after which the floor is tested
constexpr double kMore = 1.15; // what is carried over what was carried while quick: crowded rather than slow
constexpr double kLate = 0.55; // share of the aim past which answers are cut whatever the floor says
constexpr double kFloorUp = 0.05;                  // by which a floor follows a server that has become slower
constexpr double kClearDown = 0.5, kClearUp = 0.3; // by which it follows what was seen after a cut
constexpr double kFewClear = 6, kManyClear = 16;   // samples that this takes
constexpr double kLead = 0.2;                      // of the way to its part that a limit goes at each call
constexpr double kReachedAgain = 0.7; // of the limit before the first connection that did not come up
constexpr double kLatelyMs = 500, kLatelyGone = 800; // half-life of own answers that are told, and their end
constexpr double kPoolGone = 2000; // without the others' response time for so long a limit learns alone again
// The words are old: followed at once in both directions, all paces swing together. So a pace is given up within the
// time that they lag behind, and taken back over several such times.
constexpr double kPoolRise = 1, kPoolFall = 6;
constexpr double kPoolHold = 0.8; // of the lateness that cuts, from which they grow no limit
constexpr double kUnused = 0.98;  // by which each answer takes back a limit less than half used

} // namespace

OriginConcurrencyLimiter OriginConcurrencyLimiter::for_router_count(double nodes) {
  return OriginConcurrencyLimiter(std::max(nodes, 1.0), kOriginStart / std::max(nodes, 1.0));
}

OriginConcurrencyLimiter::OriginConcurrencyLimiter(double nodes, double start)
    : limit_(start), start_(start), nodes_(nodes), used_(start), was_(start) {}

double OriginConcurrencyLimiter::tokens(double now, double pace) const {
  if (sent_at_ == kNever) return 1;
  return std::min(kBurst, tokens_ + (now - sent_at_) * kPaceSlack * pace / std::max(recent_ms_, 1.0));
}

bool OriginConcurrencyLimiter::has_capacity(double now, std::uint32_t out, bool write) const {
  const double held = out;
  if (write && held < kWriteTurn) return true;
  // Before the first answer nothing tells how long a turn is, and so how quick a pace may be: one at a time.
  if (recent_ms_ == 0 && limit_ < 2) return held < 1;
  const double mine = write ? kWriteShare * limit_ : limit_;
  const double whole = std::floor(mine);
  // What is left beyond whole attempts is a pace: rounded up it would add up to a crowd over many routers.
  return held < whole || (held == whole && tokens(now, mine - whole) >= 1);
}

void OriginConcurrencyLimiter::on_attempt_sent(double now) {
  if (sent_at_ != kNever) {
    if (gap_ms_ == 0) gap_ms_ = now - sent_at_;
    smooth(gap_ms_, now - sent_at_, 0.2);
  }
  tokens_ = std::max(0.0, tokens(now, limit_ - std::floor(limit_)) - 1);
  sent_at_ = now;
}

double OriginConcurrencyLimiter::tolerance(double aim_ms) const {
  const double room = aim_ms > 0 && floor_.known() ? aim_ms / floor_.mean_ms() : 8;
  return std::clamp(1 + kToleranceByAim * (room - 1), 1.2, kMostTolerance);
}

DecreaseReason OriginConcurrencyLimiter::on_attempt_ended(double now, const AttemptSample& sample) {
  AttemptSample s = sample;
  if (!usable_number(s.elapsed_ms)) s.elapsed_ms = 0;
  if (!usable_number(s.work_ms)) s.work_ms = 0;
  if (!usable_number(s.latency_objective_ms)) s.latency_objective_ms = 0;
  const double sent = now - s.elapsed_ms;
  smooth(used_, std::min<double>(s.in_flight + 1.0, limit_), 0.1);
  switch (s.outcome) {
    case AttemptOutcome::Rejected:
    case AttemptOutcome::ConnectFailed:
      if (now - cut_at_ < recent_ms_) return DecreaseReason::None;
      if (s.outcome == AttemptOutcome::ConnectFailed && reached_ == 0) reached_ = limit_;
      cut(now, 0.7 * std::min(limit_, s.in_flight + 1.0));
      return DecreaseReason::Rejected;
    case AttemptOutcome::Answered:
      silent_ = 0;
      later_ = std::max(later_, sent);
      // What never came up tells of the way or the door, not of the work: back in reach, all of it counts as one cut.
      if (reached_ > 0) limit_ = std::max(limit_, kReachedAgain * std::exchange(reached_, 0.0));
      break;
    case AttemptOutcome::TimedOut:
      // Where what was sent later has been answered, or answers came at all since, the connection is at fault.
      if (later_ >= sent) return DecreaseReason::None;
      if (++silent_ < 2) return DecreaseReason::None;
      break;
    case AttemptOutcome::Fault:
    case AttemptOutcome::Cancelled:
      if (s.elapsed_ms <= 2 * recent_ms_) return DecreaseReason::None;
      break;
  }
  if (!floor_.known()) { // of a server that has answered nothing yet, nothing but faults are known
    if (s.outcome == AttemptOutcome::TimedOut) cut(now, 0.7 * limit_);
    if (s.outcome != AttemptOutcome::Answered)
      return s.outcome == AttemptOutcome::TimedOut ? DecreaseReason::TimedOut : DecreaseReason::None;
    floor_.start(std::max(s.elapsed_ms, 0.01));
  }
  if (recent_ms_ == 0) recent_ms_ = s.elapsed_ms;
  const double bounded =
      s.latency_objective_ms > 0 ? std::min(s.elapsed_ms, 2 * s.latency_objective_ms) : s.elapsed_ms;
  smooth(recent_ms_, bounded, 0.1);
  if (s.latency_objective_ms > 0) aim_ms_ = s.latency_objective_ms;
  const double fade = std::exp2((lately_at_ - now) / kLatelyMs);
  lately_sum_ = fade * lately_sum_ + bounded, lately_seen_ = fade * lately_seen_ + 1, lately_at_ = now;
  const double slowdown = s.elapsed_ms / std::max(expected(s), 0.01);
  if (s.outcome == AttemptOutcome::Answered) floor_.learn_work_factors(slowdown, slow_, s.work_ms, s.write);
  const double before = limit_;
  learn(now, s, slowdown);
  return limit_ < before * 0.9
             ? (s.outcome == AttemptOutcome::TimedOut ? DecreaseReason::TimedOut : DecreaseReason::Slow)
             : DecreaseReason::None;
}

void OriginConcurrencyLimiter::learn(double now, const AttemptSample& s, double slowdown) {
  const double x = std::min(slowdown, kClip);
  if (now - s.elapsed_ms < settled_at_) return; // a crowd that the last cut has answered already
  seen_ = std::min(seen_ + 1, 1000.0);
  smooth(slow_, x, 0.1);
  if (clear_ > 0) {
    clear_sum_ += std::min(slowdown, 5.0);
    ++clear_seen_;
    if (clear_seen_ < std::clamp(3 * limit_, kFewClear, kManyClear)) return;
    const double m = clear_sum_ / clear_seen_;
    clear_ = 0;
    test_ms_ = m < 0.85 ? std::max(1000.0, test_ms_ / 2) : std::min(20000.0, 2 * test_ms_);
    if (m > 1 + 2 / std::sqrt(clear_seen_)) { // the cut changed nothing: the server is slow, not crowded
      floor_.scale(std::pow(m, nodes_ < 9 ? 1 : 0.5));
      was_ = good_;
      limit_ = std::max(limit_, std::min(good_, good_used_));
      pressed_ = 0.2;
      test_ms_ = 1000;
    } else {
      floor_.scale(1 + (m < 0.85 ? kClearDown : kClearUp / std::sqrt(nodes_)) * (m - 1));
    }
    slow_ = 1;
    return;
  }
  const bool unlimited = s.in_flight + 1 < limit_ / 2;
  if (seen_ < 20) {
    floor_.learn(slowdown, 1 / seen_);
  } else if (unlimited || slow_ < 0.75) {
    floor_.learn(slowdown, slow_ < 0.75 ? 0.05 : 0.01);
  }
  const double tol = tolerance(s.latency_objective_ms), hold = 1 + kHold * (tol - 1);
  const double weight = std::min(1.0, 8 / std::max(limit_, 1.0));
  strain_ = std::max(0.0, strain_ + weight * (x - tol));
  if (slow_ < 1 + 0.5 * (hold - 1)) {
    good_ = limit_;
    const double carried = used_ / std::max(1.0, slow_);
    smooth(good_used_, carried, carried > good_used_ ? 0.1 : 0.01);
  }
  const bool more = used_ / std::max(1.0, slow_) > kMore * good_used_;
  smooth(pressed_, slow_ > 0.9 * hold && s.in_flight + 2 > limit_, 0.03);
  if (s.latency_objective_ms > 0)
    smooth(late_, std::min(1.5, s.elapsed_ms / s.latency_objective_ms), limit_ < 1 ? 0.3 : 0.1);
  if (goes_by_pool(now)) {
    strain_ = 0;
    return;
  }
  if (late_ > too_late(s.latency_objective_ms) && now - cut_at_ >= recent_ms_) {
    cut(now, 0.8 * std::min(limit_, s.in_flight + 1.0));
    late_ *= 0.9;
    return;
  }
  if (strain_ > kTrigger && !more) {
    floor_.scale(1 + 0.5 * (slow_ - 1));
    slow_ = 1 + 0.5 * (slow_ - 1);
    strain_ = 0;
  }
  const bool due = pressed_ > kPressed && now - cut_at_ > test_ms_;
  if ((strain_ > kTrigger || due) && now - cut_at_ >= recent_ms_) {
    const double knee = std::min(limit_, std::max(used_, limit_ < 1 ? 0 : 1.0)) / std::max(1.2, slow_);
    cut(now, kBelow * knee);
    was_ = kRegrowTo * knee;
    clear_ = 1, clear_seen_ = 0, clear_sum_ = 0;
    return;
  }
  if (slow_ > hold) {
    if (more) {
      limit_ = std::max(start_ * kLeast, limit_ * (1 - std::min(1.0, 1 / limit_) *
                                                           std::min(kMostEase, kEase * (slow_ - hold))));
    } else {
      floor_.learn(slowdown, kFloorUp); // no more is carried than when it was quick: it is slow
    }
    return;
  }
  hold_ = (hold - slow_) / (hold - 1);
  grow(s);
}

void OriginConcurrencyLimiter::grow(const AttemptSample& s) {
  if (s.outcome != AttemptOutcome::Answered) return;
  const bool used =
      limit_ < 1 ? gap_ms_ < 3 * recent_ms_ / (kPaceSlack * limit_) : s.in_flight + 1 >= limit_ / 2;
  if (used) {
    const double part = std::min(1.0, limit_); // a pace brings less than one answer in a response time
    if (doubling_) {
      limit_ += part;
    } else {
      limit_ += part * (limit_ < was_ ? kRegrow : kGrow * std::min(1.0, hold_)) +
                start_ / 8 / 16 * part / std::max(1.0, limit_);
    }
    limit_ = std::min(limit_, kMost);
  } else if (limit_ > start_) {
    limit_ = std::max(start_, limit_ * kUnused); // room that was not tried lately is not known to be there
  }
}

// What all hold, dealt out anew, stays what all hold: this adds nothing to the sum and learns nothing.
void OriginConcurrencyLimiter::set_fleet_share(double part) {
  if (!usable_number(part) || part == 0) return;
  part = std::clamp(part, start_ * kLeast, kMost);
  limit_ += kLead * (part - limit_); // also of one at its beginning: what it took at once nobody would give
}

double OriginConcurrencyLimiter::too_late(double aim_ms) const {
  return std::max(kLate, std::min(1.25 * floor_.mean_ms() / std::max(aim_ms, 1.0), 0.75));
}

bool OriginConcurrencyLimiter::goes_by_pool(double now) const {
  return limit_ < 1 && now - pooled_at_ < kPoolGone;
}

double OriginConcurrencyLimiter::recent_latency_ms(double now) const {
  return lately_seen_ > 0 && now - lately_at_ < kLatelyGone ? lately_sum_ / lately_seen_ : 0;
}

void OriginConcurrencyLimiter::set_fleet_latency(double now, double answer_ms, double age_ms) {
  const double passed = std::clamp(now - led_at_, 0.0, 1000.0);
  led_at_ = now;
  if (!usable_number(answer_ms) || !usable_number(age_ms) || answer_ms == 0) return;
  pooled_at_ = now;
  if (limit_ >= 1) return;
  const double lag = answer_ms + age_ms; // since what they were answered was sent
  // Of one that had no answer yet, too: else it keeps one attempt out whatever its limit, and half of a tier that comes
  // back to a ledger which answers nobody in time would keep it so.
  if (recent_ms_ == 0) recent_ms_ = answer_ms;
  const double lags = answer_ms > recent_ms_ ? kPoolRise : kPoolFall;
  smooth(recent_ms_, answer_ms, std::min(1.0, passed / (lags * lag)));
  if (!floor_.known() || aim_ms_ == 0) return; // nothing is known that the time could be set against
  // What was sent before the last cut, and seen some time ago, is answered by that cut already.
  if (now - cut_at_ < lag) return;
  const double late = answer_ms / aim_ms_, most = too_late(aim_ms_);
  if (late > most) return cut(now, 0.8 * limit_);
  const double gap = std::max(gap_ms_, now - sent_at_);
  if (late < kPoolHold * most && gap < 3 * answer_ms / (kPaceSlack * limit_))
    limit_ *= 1 + (doubling_ ? kRegrow : kGrow) * std::min(1.0, passed / lag); // quicker until the first cut
}

void OriginConcurrencyLimiter::cut(double now, double to) {
  doubling_ = false;
  was_ = limit_;
  limit_ = std::clamp(to, start_ * kLeast, limit_);
  clear_ = 0;
  cut_at_ = now;
  settled_at_ = now + recent_ms_;
  strain_ = 0;
  slow_ = 1;
  tokens_ = std::min(tokens_, 0.0);
}

double OriginConcurrencyLimiter::utilization(double, double out) const {
  return std::max(out / limit_, (slow_ - 1) / 0.6);
}

} // namespace fernward::concurrency
