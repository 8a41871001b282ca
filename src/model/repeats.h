// Keyed writes that were carried out lately, by the machines that discard repeats together.
//
// Bounded: a key is forgotten when its window is over, and the oldest one where there are too many.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "model/plan.h"

namespace fernward::model {

class Repeats {
 public:
  explicit Repeats(std::size_t most = 1u << 18) : most_(most) {}

  // True: it was begun within the window, by a machine of that group. Else it is noted as begun now.
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

// The machines that discard a class's repeats together, as a number.
std::uint64_t repeat_group(IdempotencyScope scope, const Machine& machine);

} // namespace fernward::model
