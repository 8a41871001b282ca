#include "placement/hot_key_tracker.h"

#include <algorithm>
#include <cmath>

namespace fernward::placement {

namespace {
// Relative step of a threshold per read: accurate to about a tenth after some hundreds of reads.
constexpr double kThresholdStep = 0.01;
constexpr double kMinThreshold = 2;         // a key requested once is not popular
constexpr double kNoKeyThreshold = 1 << 20; // above any count: no key qualifies
} // namespace

void HotKeyTracker::on_read(std::uint64_t key) {
  const std::uint32_t previous_count = sketch_.add(key);
  for (Threshold& threshold : thresholds_) {
    if (threshold.share <= 0) {
      threshold.min_count = kNoKeyThreshold;
      continue;
    }
    if (threshold.min_count == kNoKeyThreshold) threshold.min_count = kMinThreshold;
    threshold.min_count *=
        std::exp(kThresholdStep * ((previous_count + 1 >= threshold.min_count ? 1 : 0) - threshold.share));
    threshold.min_count = std::clamp(threshold.min_count, kMinThreshold, kNoKeyThreshold / 2);
  }
  if (++reads_since_halving_ < kReadsPerHalving) return;
  reads_since_halving_ /= 2;
  sketch_.halve();
  for (Threshold& threshold : thresholds_) {
    if (threshold.min_count < kNoKeyThreshold)
      threshold.min_count = std::max(kMinThreshold, threshold.min_count / 2);
  }
}

} // namespace fernward::placement
