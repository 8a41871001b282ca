#include "placement/frequency_sketch.h"

#include <algorithm>

namespace fernward::placement {

std::uint32_t FrequencySketch::add(std::uint64_t key) {
  const std::uint32_t previous_count = count(key);
  // Conservative update: raising the larger counters too would only raise the counts of other keys.
  for (std::size_t row = 0; row < kRows && previous_count < UINT16_MAX; ++row) {
    std::uint16_t& counter = counts_[counter_index(row, key)];
    if (counter == previous_count) ++counter;
  }
  return previous_count;
}

std::uint32_t FrequencySketch::count(std::uint64_t key) const {
  std::uint32_t lowest_count = UINT16_MAX;
  for (std::size_t row = 0; row < kRows; ++row)
    lowest_count = std::min<std::uint32_t>(lowest_count, counts_[counter_index(row, key)]);
  return lowest_count;
}

void FrequencySketch::halve() {
  for (std::uint16_t& counter : counts_) counter /= 2;
}

} // namespace fernward::placement
