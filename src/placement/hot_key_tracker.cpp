#include "placement/hot_key_tracker.h"

#include <algorithm>
#include <cmath>

namespace fernward::placement {

namespace {
// Relative step of a threshold per read: accurate to about a tenth after some hundreds of reads.
constexpr double kStep = 0.01;
constexpr double kLeastLevel = 2;  // a key requested once is not popular
constexpr double kNoKey = 1 << 20; // above any count: no key qualifies
} // namespace

void HotKeyTracker::on_read(std::uint64_t key) {
  const std::uint32_t before = sketch_.add(key);
  for (Level& bar : bars_) {
    if (bar.share <= 0) {
      bar.level = kNoKey;
      continue;
    }
    if (bar.level == kNoKey) bar.level = kLeastLevel;
    bar.level *= std::exp(kStep * ((before + 1 >= bar.level ? 1 : 0) - bar.share));
    bar.level = std::clamp(bar.level, kLeastLevel, kNoKey / 2);
  }
  if (++seen_ < kMostSeen) return;
  seen_ /= 2;
  sketch_.halve();
  for (Level& bar : bars_) {
    if (bar.level < kNoKey) bar.level = std::max(kLeastLevel, bar.level / 2);
  }
}

} // namespace fernward::placement
