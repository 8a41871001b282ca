// Counts recent requests per key: a count-min sketch with conservative update ("New directions in traffic
// measurement and accounting", Estan and Varghese). No I/O, no clock.
//
// Since the last halving a count is never too low, and it is too high only if a key shares all four of its
// counters with other keys.
//
//  - Size: fixed, 32 KiB. Nothing grows with the number of keys.
//  - Ownership: plain values; copies are independent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "statistics/numbers.h"

namespace fernward::placement {

class FrequencySketch {
 public:
  static constexpr std::size_t kWidth = 4096; // counters per row

  FrequencySketch() : counts_(kRows * kWidth, 0) {}

  std::uint32_t add(std::uint64_t key); // returns the previous count of the key
  std::uint32_t count(std::uint64_t key) const;
  void halve(); // halves all counts, rounded down, so that old requests lose weight

 private:
  static constexpr std::size_t kRows = 4;

  static std::size_t counter_index(std::size_t row, std::uint64_t key) {
    return row * kWidth + mix_bits(key + row * 0x9e3779b97f4a7c15ull) % kWidth;
  }

  std::vector<std::uint16_t> counts_;
};

} // namespace fernward::placement
