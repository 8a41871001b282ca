// Which keys are asked for often, and which of them make up a given share of the reads. Decides; no I/O, no clock.
//
// A count-min sketch whose counts are halved once it has seen ten times as many reads as it has places ("TinyLFU: A
// highly efficient cache admission policy", Einziger, Friedman, Manes): a count is never too low for a key that is
// still asked for, and too high only where a key shares all four of its places with others.
//
//  - Units: counts of reads lately; shares from 0 to 1.
//  - Size: fixed, 32 KiB. Nothing grows with the number of keys.
//  - Ownership: plain values; copies are independent.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "numbers/numbers.h"

namespace fernward::placement {

class Popularity {
 public:
  Popularity() : counts_(kRows * kWidth, 0) {}

  void seen(std::uint64_t key);
  std::uint32_t count(std::uint64_t key) const;

  // Is it among the keys that make up the first share of the reads, the most popular first? Each share has a bar of its
  // own that is moved with every read until so many of the reads are above it.
  enum Bar : std::size_t { Fifth, Half, MostPart, Chosen, kBars };
  bool above(Bar bar, std::uint64_t key) const { return count(key) >= bars_[bar].level; }
  void choose(double share) { bars_[Chosen].share = share; } // 0: no key

 private:
  static constexpr std::size_t kRows = 4, kWidth = 4096;
  static constexpr std::uint32_t kMostSeen = 10 * kWidth;
  struct Level {
    double share, level;
  };
  std::size_t place(std::size_t row, std::uint64_t key) const {
    return row * kWidth + mix(key + row * 0x9e3779b97f4a7c15ull) % kWidth;
  }
  std::vector<std::uint16_t> counts_;
  std::array<Level, kBars> bars_{{{0.2, 4}, {0.5, 4}, {0.8, 4}, {0, 4}}};
  std::uint32_t seen_ = 0;
};

} // namespace fernward::placement
