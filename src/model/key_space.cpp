#include "model/key_space.h"

#include <cmath>
#include <vector>

namespace fernward::model {
namespace {

constexpr std::uint64_t kRankBits = 24;
constexpr std::uint64_t kFirstHotRank = (1ull << kRankBits) - 1; // ranks from here downwards are hot keys
constexpr std::uint64_t kDriftPhase = 1, kChangePhase = 2, kSizeDraw = 3; // arguments of a hash, by purpose

std::vector<double> rank_weights(const KeySpec& keys) {
  std::vector<double> weights_by_rank;
  weights_by_rank.reserve(keys.count);
  for (std::uint32_t rank = 0; rank < keys.count; ++rank) weights_by_rank.push_back(rank_weight(keys, rank));
  return weights_by_rank;
}

} // namespace

double rank_weight(const KeySpec& keys, std::uint32_t rank) {
  return std::pow(static_cast<double>(rank) + 1 + keys.offset, -keys.zipf);
}

KeySpace::KeySpace(const Spec& spec) : spec_(spec.keys), seed_(spec.seed) {
  const std::vector<double> weights_by_rank = rank_weights(spec_);
  ranks_ =
      boost::random::discrete_distribution<std::uint32_t>(weights_by_rank.begin(), weights_by_rank.end());
  double total_weight = 0, warm_weight = 0;
  for (const double weight : weights_by_rank) total_weight += weight;
  while (warm_ranks_ < weights_by_rank.size() && warm_weight < spec.origin.initial_hit_ratio * total_weight)
    warm_weight += weights_by_rank[warm_ranks_++];
}

std::uint64_t KeySpace::draw(double now, Engine& engine) { return key(ranks_(engine), now); }

std::uint64_t KeySpace::key(std::uint32_t rank, double now) const {
  std::uint64_t generation = 0;
  if (spec_.drift_per_s > 0 && now > 0) {
    // Each rank is reassigned at its own times; the phases of the ranks are uniformly distributed.
    generation = static_cast<std::uint64_t>(now / 1000 * spec_.drift_per_s +
                                            unit_interval(hash_numbers(seed_, rank, kDriftPhase)));
  }
  return (generation << kRankBits | rank) + 1;
}

double KeySpace::size_bytes(std::uint64_t key) const {
  Engine engine(hash_numbers(seed_, key, kSizeDraw));
  return model::draw(spec_.size, engine);
}

bool KeySpace::changed_between(std::uint64_t key, double from, double to) const {
  if (!(spec_.changes_per_s > 0)) return false;
  const double phase = unit_interval(hash_numbers(seed_, key, kChangePhase));
  const auto version_at = [&](double at) { return std::floor(at / 1000 * spec_.changes_per_s + phase); };
  return version_at(from) != version_at(to);
}

bool KeySpace::cached_at_start(std::uint64_t key) const {
  return (key - 1) >> kRankBits == 0 && rank_of(key) < warm_ranks_;
}

std::uint64_t KeySpace::hot_key(std::uint32_t number) { return kFirstHotRank - number % (1u << 16) + 1; }

std::uint32_t KeySpace::rank_of(std::uint64_t key) {
  return static_cast<std::uint32_t>((key - 1) & ((1ull << kRankBits) - 1));
}

} // namespace fernward::model
