// Tracks which keys are requested often, and which of them account for a given share of the reads. No I/O, no
// clock.
//
// The counts of its sketch are halved after ten times as many reads as a row has counters ("TinyLFU: A highly
// efficient cache admission policy", Einziger, Friedman, Manes).
//
//  - Units: counts of recent reads; shares from 0 to 1.
//  - Size: fixed, that of the sketch.
//  - Ownership: plain values; copies are independent.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "placement/frequency_sketch.h"

namespace fernward::placement {

class HotKeyTracker {
 public:
  void on_read(std::uint64_t key);
  std::uint32_t count(std::uint64_t key) const { return sketch_.count(key); }

  // Whether the key is among the most popular keys that together account for the given share of the reads.
  // Each share has a threshold, which is adjusted with every read until that share of the reads is above it.
  enum Bar : std::size_t { Fifth, Half, MostPart, Chosen };
  bool is_in_top_share(Bar bar, std::uint64_t key) const { return count(key) >= bars_[bar].level; }
  void set_chosen_share(double share) { bars_[Chosen].share = share; } // 0: no key

 private:
  static constexpr std::uint32_t kMostSeen = 10 * FrequencySketch::kWidth;
  struct Level {
    double share, level;
  };
  FrequencySketch sketch_;
  static constexpr std::size_t kBarCount = Chosen + 1;
  std::array<Level, kBarCount> bars_{{{0.2, 4}, {0.5, 4}, {0.8, 4}, {0, 4}}};
  std::uint32_t seen_ = 0;
};

} // namespace fernward::placement
