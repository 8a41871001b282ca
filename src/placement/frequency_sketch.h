// How often keys were asked for lately: a count-min sketch with conservative update ("New directions in
// traffic measurement and accounting", Estan and Varghese). Decides; no I/O, no clock.
//
// A count is never too low since the last halving, and too high only where a key shares all four of its
// places with others.
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
  static constexpr std::size_t kWidth = 4096; // places in each of the rows

  FrequencySketch() : counts_(kRows * kWidth, 0) {}

  std::uint32_t add(std::uint64_t key); // the key's count before
  std::uint32_t count(std::uint64_t key) const;
  void halve(); // all counts, rounded down: old requests fade

 private:
  static constexpr std::size_t kRows = 4;

  static std::size_t place(std::size_t row, std::uint64_t key) {
    return row * kWidth + mix(key + row * 0x9e3779b97f4a7c15ull) % kWidth;
  }

  std::vector<std::uint16_t> counts_;
};

} // namespace fernward::placement
