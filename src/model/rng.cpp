#include "model/rng.h"

#include <xxhash.h>

#include <array>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace fernward::model {
namespace {

double draw_unit(Engine& engine) { return boost::random::uniform_01<double>()(engine); }

// Boost's log-normal is parameterized by the mean and deviation of the underlying normal distribution.
double lognormal(double mean, double cv, Engine& engine) {
  const double variance = std::log1p(cv * cv);
  return boost::random::lognormal_distribution<double>(std::log(mean) - variance / 2,
                                                       std::sqrt(variance))(engine);
}

} // namespace

std::uint64_t hash_numbers(std::uint64_t a, std::uint64_t b, std::uint64_t c) {
  const std::array<std::uint64_t, 3> values{a, b, c};
  return XXH3_64bits(values.data(), sizeof values);
}

double unit_interval(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1p-53; }

Engine stream(std::uint64_t seed, std::string_view name, std::uint64_t number) {
  const std::uint64_t name_hash = XXH3_64bits_withSeed(name.data(), name.size(), seed);
  // Selects the generator's stream as well as its state, so that two consumers' sequences can't overlap.
  return Engine(hash_numbers(name_hash, number, 1), hash_numbers(name_hash, number, 2));
}

double draw(const Distribution& distribution, Engine& engine) {
  if (!(distribution.mean > 0)) return 0;
  switch (distribution.shape) {
    case DistributionShape::Fixed: return distribution.mean;
    case DistributionShape::Exponential: return draw_exponential(distribution.mean, engine);
    case DistributionShape::LogNormal:
      return distribution.cv > 0 ? lognormal(distribution.mean, distribution.cv, engine) : distribution.mean;
  }
  return distribution.mean;
}

double draw_uniform(double from, double to, Engine& engine) { return from + (to - from) * draw_unit(engine); }

double draw_exponential(double mean, Engine& engine) {
  if (!(mean > 0)) return 0;
  return boost::random::exponential_distribution<double>(1 / mean)(engine);
}

double draw_factor(double cv, Engine& engine) { return cv > 0 ? lognormal(1, cv, engine) : 1; }

bool draw_with_probability(double probability, Engine& engine) {
  if (probability <= 0) return false;
  return probability >= 1 || draw_unit(engine) < probability;
}

} // namespace fernward::model
