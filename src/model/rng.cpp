#include "model/rng.h"

#include <xxhash.h>

#include <array>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace fernward::model {
namespace {

double unit_of(Engine& engine) { return boost::random::uniform_01<double>()(engine); }

// Boost's log-normal is parameterized by the mean and deviation of the underlying normal distribution.
double lognormal(double mean, double cv, Engine& engine) {
  const double variance = std::log1p(cv * cv);
  return boost::random::lognormal_distribution<double>(std::log(mean) - variance / 2,
                                                       std::sqrt(variance))(engine);
}

} // namespace

std::uint64_t mix(std::uint64_t a, std::uint64_t b, std::uint64_t c) {
  const std::array<std::uint64_t, 3> all{a, b, c};
  return XXH3_64bits(all.data(), sizeof all);
}

double unit(std::uint64_t mixed) { return static_cast<double>(mixed >> 11) * 0x1p-53; }

Engine stream(std::uint64_t seed, std::string_view name, std::uint64_t number) {
  const std::uint64_t named = XXH3_64bits_withSeed(name.data(), name.size(), seed);
  // Selects the generator's stream as well as its state, so that two consumers' sequences can't overlap.
  return Engine(mix(named, number, 1), mix(named, number, 2));
}

double draw(const Spread& spread, Engine& engine) {
  if (!(spread.mean > 0)) return 0;
  switch (spread.shape) {
    case Shape::Fixed: return spread.mean;
    case Shape::Exponential: return draw_exponential(spread.mean, engine);
    case Shape::LogNormal: return spread.cv > 0 ? lognormal(spread.mean, spread.cv, engine) : spread.mean;
  }
  return spread.mean;
}

double draw_uniform(double from, double to, Engine& engine) { return from + (to - from) * unit_of(engine); }

double draw_exponential(double mean, Engine& engine) {
  if (!(mean > 0)) return 0;
  return boost::random::exponential_distribution<double>(1 / mean)(engine);
}

double draw_factor(double cv, Engine& engine) { return cv > 0 ? lognormal(1, cv, engine) : 1; }

bool draw_chance(double share, Engine& engine) {
  if (share <= 0) return false;
  return share >= 1 || unit_of(engine) < share;
}

} // namespace fernward::model
