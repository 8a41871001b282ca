// What all deciding packages stand on: numbers, hashing, randomness from one seed.
#pragma once

#include <cmath>
#include <cstdint>

namespace fernward {

constexpr double kNever = -1e18; // a time long before any other

inline bool usable_number(double v) { return std::isfinite(v) && v >= 0; }

inline std::uint64_t mix(std::uint64_t x) { // splitmix64's finisher
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

struct Random {
  std::uint64_t state;
  double unit() { return static_cast<double>(mix(state++) >> 11) * 0x1p-53; }
};

inline void smooth(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

} // namespace fernward
