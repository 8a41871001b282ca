// Remembers which caches were recently observed to hold a key, and since when a write may have invalidated
// this. No I/O, no clock. Bounded size: keys that share a slot displace each other.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fernward/balancer.h"
#include "statistics/numbers.h"

namespace fernward::placement {

class KeyLocationCache {
  struct Slot {
    std::uint64_t key = 0;
    std::array<ServerId, 2> servers{};
    std::uint8_t server_count = 0;
    double invalidated_at = kNever;
  };

 public:
  explicit KeyLocationCache(std::size_t slot_count) : slots_(slot_count) {}

  bool holds(std::uint64_t key, ServerId id) const {
    const Slot& slot = slot_of(key);
    return slot.key == key && std::find(slot.servers.begin(), slot.servers.begin() + slot.server_count, id) !=
                                  slot.servers.begin() + slot.server_count;
  }
  // The server had the key for an attempt sent at `sent_at`. Ignored if a write has invalidated the key
  // since.
  void add(std::uint64_t key, ServerId id, double sent_at) {
    Slot& slot = slot_of(key);
    if (slot.key != key) slot = {key, {}, 0, kNever};
    if (sent_at <= slot.invalidated_at || holds(key, id)) return;
    if (slot.server_count == slot.servers.size()) slot.servers[0] = slot.servers[1], --slot.server_count;
    slot.servers[slot.server_count++] = id;
  }
  void remove(std::uint64_t key, ServerId id) {
    if (!holds(key, id)) return;
    Slot& slot = slot_of(key);
    if (slot.servers[0] == id) slot.servers[0] = slot.servers[1];
    --slot.server_count;
  }
  // A write of the key was executed, or may have been: the origin invalidates all cached values.
  void invalidate(std::uint64_t key, double now) { slot_of(key) = {key, {}, 0, now}; }
  // Forgets all keys of the restarted servers.
  template <typename Restarted>
  void forget(Restarted restarted) {
    for (Slot& slot : slots_) {
      while (slot.server_count > 0 && restarted(slot.servers[slot.server_count - 1])) --slot.server_count;
      if (slot.server_count > 0 && restarted(slot.servers[0]))
        slot.servers[0] = slot.servers[--slot.server_count];
    }
  }

 private:
  std::size_t slot_index(std::uint64_t key) const { return mix_bits(key) % slots_.size(); }
  Slot& slot_of(std::uint64_t key) { return slots_[slot_index(key)]; }
  const Slot& slot_of(std::uint64_t key) const { return slots_[slot_index(key)]; }
  std::vector<Slot> slots_;
};

} // namespace fernward::placement
