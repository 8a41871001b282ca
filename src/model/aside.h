// Records which nodes had a cache miss for a try: they store the object once the origin has answered.
//
// Bounded: entries that are not fetched are removed after `retention_ms`, the longest client timeout.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "model/record.h"

namespace fernward::model {

class Aside {
 public:
  struct Places { // the first two nodes with a miss
    std::array<MachineId, 2> machines{};
    std::uint32_t count = 0;
  };

  explicit Aside(double forget_ms) : forget_ms_(forget_ms) {}

  void missed(double now, TryId try_id, MachineId machine);
  Places fetched(double now, TryId try_id); // returns and removes the nodes of the try
  std::size_t size() const { return missed_.size(); }

 private:
  struct Noted {
    double at;
    TryId try_id;
  };
  void forget(double now);

  double forget_ms_;
  std::unordered_map<TryId, Places> missed_;
  std::deque<Noted> order_;
};

} // namespace fernward::model
