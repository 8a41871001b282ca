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
    std::array<ServerId, 2> holders{};
    std::uint8_t count = 0;
    double voided_at = kNever;
  };

 public:
  explicit KeyLocationCache(std::size_t size) : slots_(size) {}

  bool holds(std::uint64_t key, ServerId id) const {
    const Slot& s = at(key);
    return s.key == key &&
           std::find(s.holders.begin(), s.holders.begin() + s.count, id) != s.holders.begin() + s.count;
  }
  // The server had the key for an attempt sent at `sent_at`. Ignored if a write has invalidated the key
  // since.
  void add(std::uint64_t key, ServerId id, double sent_at) {
    Slot& s = at(key);
    if (s.key != key) s = {key, {}, 0, kNever};
    if (sent_at <= s.voided_at || holds(key, id)) return;
    if (s.count == s.holders.size()) s.holders[0] = s.holders[1], --s.count;
    s.holders[s.count++] = id;
  }
  void remove(std::uint64_t key, ServerId id) {
    if (!holds(key, id)) return;
    Slot& s = at(key);
    if (s.holders[0] == id) s.holders[0] = s.holders[1];
    --s.count;
  }
  // A write of the key was executed, or may have been: the origin invalidates all cached values.
  void invalidate(std::uint64_t key, double now) { at(key) = {key, {}, 0, now}; }
  // Forgets all keys of the restarted servers.
  template <typename Anew>
  void forget(Anew anew) {
    for (Slot& s : slots_) {
      while (s.count > 0 && anew(s.holders[s.count - 1])) --s.count;
      if (s.count > 0 && anew(s.holders[0])) s.holders[0] = s.holders[--s.count];
    }
  }

 private:
  std::size_t index(std::uint64_t key) const { return mix(key) % slots_.size(); }
  Slot& at(std::uint64_t key) { return slots_[index(key)]; }
  const Slot& at(std::uint64_t key) const { return slots_[index(key)]; }
  std::vector<Slot> slots_;
};

} // namespace fernward::placement
