// The keys that clients request, the sizes of their objects and the times at which they change.
//
// A key consists of its rank (24 bits, from 0) and the number of times that the rank was reassigned to a new
// key; it is never 0. Everything follows from the seed and the key alone, so that all parts of a run agree
// without communication.
#pragma once

#include <boost/random/discrete_distribution.hpp>
#include <cstdint>

#include "model/plan.h"
#include "model/rng.h"

namespace fernward::model {

class KeySpace {
 public:
  explicit KeySpace(const Spec& spec);

  std::uint64_t draw(double now, Engine& engine);          // the key of a request at time `now`
  std::uint64_t key(std::uint32_t rank, double now) const; // the key that has the rank at time `now`
  double size_bytes(std::uint64_t key) const;
  // Whether the object changed at the origin between the two times.
  bool changed_between(std::uint64_t key, double from, double to) const;
  // Whether the nodes held the key when the run began (OriginSpec::initial_hit_ratio).
  bool cached_at_start(std::uint64_t key) const;
  // The number of ranks, from rank 0, whose initial keys the nodes held when the run began.
  std::uint32_t warm_ranks() const { return warm_ranks_; }

  // A key that is not requested until event `number` makes it hot.
  static std::uint64_t hot_key(std::uint32_t number);
  static std::uint32_t rank_of(std::uint64_t key);

 private:
  KeySpec spec_;
  std::uint64_t seed_;
  std::uint32_t warm_ranks_ = 0;
  boost::random::discrete_distribution<std::uint32_t> ranks_; // Walker's alias method
};

// The weight with which `rank` (from 0) is drawn.
double rank_weight(const KeySpec& keys, std::uint32_t rank);
inline constexpr std::uint32_t kMaxKeys = 1u << 22;

} // namespace fernward::model
