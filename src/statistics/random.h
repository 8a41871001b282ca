// Hashing, and random numbers that depend only on a seed.
#pragma once

#include <cstdint>

namespace fernward {

inline std::uint64_t mix_bits(std::uint64_t x) { // finalizer of splitmix64
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

struct Random {
  std::uint64_t state;
  // Uniform in [0, 1).
  double next_unit() { return static_cast<double>(mix_bits(state++) >> 11) * 0x1p-53; }
};

} // namespace fernward
