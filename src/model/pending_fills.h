// Records which nodes had a cache miss for a try: they store the object once the origin has answered.
//
// Bounded: entries that are not taken are removed after `retention_ms`.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "model/records.h"

namespace fernward::model {

class PendingFills {
 public:
  struct WaitingNodes { // the first two nodes with a miss
    std::array<MachineId, 2> machines{};
    std::uint32_t count = 0;
  };

  // `retention_ms` must be above the longest client timeout: a later answer of the origin fills no cache.
  explicit PendingFills(double retention_ms) : retention_ms_(retention_ms) {}

  void add_miss(double now, TryId try_id, MachineId machine);
  WaitingNodes take(double now, TryId try_id); // returns and removes the nodes of the try
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    double at;
    TryId try_id;
  };
  void remove_expired(double now);

  double retention_ms_;
  std::unordered_map<TryId, WaitingNodes> entries_;
  std::deque<Entry> expiry_order_;
};

} // namespace fernward::model
