// The idempotency keys of recently started writes, by group of machines that drop duplicates together.
//
// Bounded: a key is removed after its window, and the oldest one when there are more than `max_keys`.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "model/plan.h"

namespace fernward::model {

class Repeats {
 public:
  explicit Repeats(std::size_t most = 1u << 18) : most_(most) {}

  // True: a machine of the group started this write within the window. Otherwise records it as started now.
  bool seen(double now, std::uint64_t group, std::uint64_t repeat_key, double window_ms);
  std::size_t size() const { return until_.size(); }

 private:
  struct Noted {
    double until;
    std::uint64_t key;
  };
  std::size_t most_;
  std::unordered_map<std::uint64_t, double> until_;
  std::deque<Noted> order_;
};

// Number of the group of machines that drop duplicates of a class together.
std::uint64_t repeat_group(IdempotencyScope scope, const Machine& machine);

} // namespace fernward::model
