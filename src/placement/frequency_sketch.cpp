#include "placement/frequency_sketch.h"

#include <algorithm>

namespace fernward::placement {

std::uint32_t FrequencySketch::add(std::uint64_t key) {
  const std::uint32_t before = count(key);
  // Conservative update: raising the larger counters too would only raise the counts of other keys.
  for (std::size_t row = 0; row < kRows && before < UINT16_MAX; ++row) {
    std::uint16_t& c = counts_[place(row, key)];
    if (c == before) ++c;
  }
  return before;
}

std::uint32_t FrequencySketch::count(std::uint64_t key) const {
  std::uint32_t least = UINT16_MAX;
  for (std::size_t row = 0; row < kRows; ++row)
    least = std::min<std::uint32_t>(least, counts_[place(row, key)]);
  return least;
}

void FrequencySketch::halve() {
  for (std::uint16_t& c : counts_) c /= 2;
}

} // namespace fernward::placement
