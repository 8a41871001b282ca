// How many attempts at once this node lets a cache have. Decides; no I/O, no clock.
//
// Capacities are told nowhere and all nodes share them, so the limit follows response times: a closed loop can't
// send faster than the server answers. A cache whose answers take more than half of the aim is crowded: there are
// others to ask, and the ring's choice among them needs a bound well below the aim. (The origin has no other beside
// it; its limit follows its own floor of response time, see limiter.h.) Below one the limit is a pace, else the
// floors of many nodes add up to more than any server carries.
//
// Units: milliseconds; attempts. Plain values, no allocation.
#pragma once

#include <algorithm>
#include <cstdint>

#include "statistics/numbers.h"

namespace fernward::concurrency {

constexpr double kCrowdedShareOfObjective =
    0.5; // a cache whose response time is past this share of the aim is crowded

class CacheConcurrencyLimiter {
 public:
  // All nodes together start with a few attempts at once at a cache: a few from each of a hundred push it over before
  // any of them hears of it. What an answer adds is shared likewise, as all feel their way at once.
  explicit CacheConcurrencyLimiter(double nodes)
      : limit_(kStart / nodes), rest_(limit_ / 2), growth_(limit_ / 8), least_(limit_ / 256) {}

  double limit() const { return limit_; }

  bool has_capacity(double now, std::uint32_t out) const {
    if (limit_ < 1) return out == 0 && (now - sent_at_) * kPaceSlack * limit_ >= recent_ms_;
    return out < limit_;
  }
  void on_attempt_sent(double now) { sent_at_ = now; }

  // An answer came, or did not in `elapsed_ms`; `out` others are still out. True: a sign of crowding.
  bool on_response(double now, double elapsed_ms, double aim_ms, std::uint32_t out) {
    // A connection that fell silent ends as late as its client waits: one must not outweigh many answers.
    elapsed_ms = std::min(elapsed_ms, aim_ms);
    if (recent_ms_ == 0) recent_ms_ = elapsed_ms;
    smooth(recent_ms_, elapsed_ms, 0.1);
    smooth(lateness_, elapsed_ms / aim_ms, limit_ < 1 ? 0.5 : 0.1); // a slow pace brings few answers
    if (lateness_ > kCrowdedShareOfObjective) {
      limit_ = std::min(limit_, out + 1.0); // room that is not used takes no part in the crowding
      decrease(now, 0.8);
      return true;
    }
    if (out + 1 >= limit_ / 2) {
      limit_ += growth_ * std::min(1.0, 1 / limit_);
    } else if (limit_ > rest_) {
      limit_ *= kUnused; // room that was not tried lately is not known to be there
    }
    return false;
  }
  // At most once for each response time: one crowding shows in many answers.
  void decrease(double now, double factor) {
    if (now - cut_at_ < recent_ms_) return;
    cut_at_ = now;
    limit_ = std::max(least_, limit_ * factor);
  }

 private:
  static constexpr double kStart = 12;      // attempts at once that all nodes together let a new cache have
  static constexpr double kUnused = 0.98;   // by which each answer takes back a limit less than half used
  static constexpr double kPaceSlack = 1.5; // by which a pace is quicker: requests come unevenly

  double limit_, rest_, growth_, least_; // rest: where it falls when unused
  double lateness_ = 0; // as a share of the aim, so that heavy writes don't pass for crowding
  double recent_ms_ = 0, cut_at_ = kNever, sent_at_ = kNever;
};

} // namespace fernward::concurrency
