#include "health/health.h"

#include <algorithm>

namespace fernward::health {
namespace {

constexpr int kStrikes = 3; // silent attempts in a row; a refused one counts twice

} // namespace

bool Health::heard(double now) {
  lives(now);
  if (!out_) {
    if (wait_ms_ > 0 && now - trial_at_ > kLongestWaitMs) wait_ms_ = 0;
    return false;
  }
  out_ = trial_out_ = false;
  trial_at_ = now;
  return true;
}

bool Health::struck(double now, int weight, bool stays) {
  strikes_ += weight;
  if (weight > 0) struck_at_ = now;
  if (out_ || strikes_ < kStrikes || stays) return false;
  return out_ = true;
}

bool Health::told_bad(double seen_at) {
  if (out_ || heard_at_ >= seen_at) return false;
  return out_ = true;
}

void Health::told_well(double now, double seen_at) {
  if (out_ && !trial_out_ && seen_at > struck_at_) trial_at_ = std::min(trial_at_, now);
}

void Health::wait(double now, double slow_ms, double draw) {
  trial_out_ = false;
  wait_ms_ = std::clamp(2 * wait_ms_, std::min(2 * slow_ms, kLongestWaitMs), kLongestWaitMs);
  trial_at_ = now + wait_ms_ * (0.75 + 0.5 * draw);
}

} // namespace fernward::health
