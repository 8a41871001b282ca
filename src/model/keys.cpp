#include "model/keys.h"

#include <cmath>
#include <vector>

namespace fernward::model {
namespace {

constexpr std::uint64_t kRankBits = 24;
constexpr std::uint64_t kHotRanks = (1ull << kRankBits) - 1;     // ranks from here downwards are hot keys
constexpr std::uint64_t kPhase = 1, kChangePhase = 2, kSize = 3; // purpose of a hash

std::vector<double> weights(const KeySpec& keys) {
  std::vector<double> all;
  all.reserve(keys.count);
  for (std::uint32_t r = 0; r < keys.count; ++r) all.push_back(rank_weight(keys, r));
  return all;
}

} // namespace

double rank_weight(const KeySpec& keys, std::uint32_t rank) {
  return std::pow(static_cast<double>(rank) + 1 + keys.offset, -keys.zipf);
}

Keys::Keys(const Spec& spec) : spec_(spec.keys), seed_(spec.seed) {
  const std::vector<double> all = weights(spec_);
  ranks_ = boost::random::discrete_distribution<std::uint32_t>(all.begin(), all.end());
  double whole = 0, part = 0;
  for (const double w : all) whole += w;
  while (warm_ranks_ < all.size() && part < spec.origin.warm_hits * whole) part += all[warm_ranks_++];
}

std::uint64_t Keys::draw(double now, Engine& engine) { return key(ranks_(engine), now); }

std::uint64_t Keys::key(std::uint32_t rank, double now) const {
  std::uint64_t passed = 0;
  if (spec_.drift_per_s > 0 && now > 0) {
    // Each rank is reassigned at its own times; the phases of the ranks are uniformly distributed.
    passed = static_cast<std::uint64_t>(now / 1000 * spec_.drift_per_s + unit(mix(seed_, rank, kPhase)));
  }
  return (passed << kRankBits | rank) + 1;
}

double Keys::size_bytes(std::uint64_t key) const {
  Engine engine(mix(seed_, key, kSize));
  return model::draw(spec_.size, engine);
}

bool Keys::changed(std::uint64_t key, double from, double to) const {
  if (!(spec_.changes_per_s > 0)) return false;
  const double phase = unit(mix(seed_, key, kChangePhase));
  const auto version = [&](double t) { return std::floor(t / 1000 * spec_.changes_per_s + phase); };
  return version(from) != version(to);
}

bool Keys::held_at_start(std::uint64_t key) const {
  return (key - 1) >> kRankBits == 0 && rank_of(key) < warm_ranks_;
}

std::uint64_t Keys::hot_key(std::uint32_t number) { return kHotRanks - number % (1u << 16) + 1; }

std::uint32_t Keys::rank_of(std::uint64_t key) {
  return static_cast<std::uint32_t>((key - 1) & ((1ull << kRankBits) - 1));
}

} // namespace fernward::model
