// The idempotency keys of recently started writes, by group of machines that drop duplicates together.
//
// Bounded: a key is removed after its window, and the oldest ones so that there are at most `max_keys`.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "model/plan.h"

namespace fernward::model {

class IdempotencyCache {
 public:
  explicit IdempotencyCache(std::size_t max_keys = 1u << 18) : max_keys_(max_keys) {}

  // True: a machine of the group started this write within the window. Otherwise records it as started now.
  bool check_and_add(double now, std::uint64_t group, std::uint64_t idempotency_key, double window_ms);
  std::size_t size() const { return expires_at_.size(); }

 private:
  struct Entry {
    double expires_at;
    std::uint64_t key;
  };
  std::size_t max_keys_;
  std::unordered_map<std::uint64_t, double> expires_at_;
  std::deque<Entry> expiry_order_;
};

// Number of the group of machines that drop duplicates of a class together.
std::uint64_t duplicate_group(IdempotencyScope scope, const PlannedMachine& machine);

} // namespace fernward::model
