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
  enum TopShare : std::size_t { Fifth, Half, FourFifths, Configured };
  bool is_in_top_share(TopShare top_share, std::uint64_t key) const {
    return count(key) >= thresholds_[top_share].min_count;
  }
  void set_configured_share(double share) { thresholds_[Configured].share = share; } // 0: no key

 private:
  static constexpr std::uint32_t kReadsPerHalving = 10 * FrequencySketch::kWidth;
  struct Threshold {
    double share, min_count;
  };
  FrequencySketch sketch_;
  static constexpr std::size_t kThresholdCount = Configured + 1;
  std::array<Threshold, kThresholdCount> thresholds_{{{0.2, 4}, {0.5, 4}, {0.8, 4}, {0, 4}}};
  std::uint32_t reads_since_halving_ = 0;
};

} // namespace fernward::placement
