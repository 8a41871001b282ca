// What the decision module stands on: numbers, hashing, randomness, a bounded memory, what is kept of a request
// and how a timer names it. No decisions here.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <vector>

#include "fernward/choice.h"

namespace fernward {

inline bool usable_number(double v) { return std::isfinite(v) && v >= 0; }

inline std::uint64_t mix(std::uint64_t x) { // splitmix64's finisher
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

struct Random {
  std::uint64_t state;
  double unit() { return static_cast<double>(mix(state++) >> 11) * 0x1p-53; }
};

inline void smooth(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

// Which caches this node saw holding a key lately. Bounded: keys that share a slot displace each other.
class KeyMemory {
  struct Slot {
    std::uint64_t key = 0;
    std::array<ServerId, 2> holders{};
    std::uint8_t count = 0;
  };

 public:
  explicit KeyMemory(std::size_t size) : slots_(size) {}

  bool holds(std::uint64_t key, ServerId id) {
    const Slot& s = at(key);
    return s.key == key &&
           std::find(s.holders.begin(), s.holders.begin() + s.count, id) != s.holders.begin() + s.count;
  }
  void add(std::uint64_t key, ServerId id) {
    Slot& s = at(key);
    if (s.key != key) s = {key, {}, 0};
    if (holds(key, id)) return;
    if (s.count == s.holders.size()) s.holders[0] = s.holders[1], --s.count;
    s.holders[s.count++] = id;
  }
  void remove(std::uint64_t key, ServerId id) {
    if (!holds(key, id)) return;
    Slot& s = at(key);
    if (s.holders[0] == id) s.holders[0] = s.holders[1];
    --s.count;
  }

 private:
  Slot& at(std::uint64_t key) { return slots_[mix(key) % slots_.size()]; }
  std::vector<Slot> slots_;
};

struct Attempt {
  ServerId server = 0;
  double sent_at = 0;
  bool out = true;
};

// A request from its arrival until its last attempt has ended.
struct Open {
  Request in;
  double end_at = 0; // its final answer goes out by then
  double value = 0;
  std::vector<Attempt> attempts;
  std::vector<ServerId> missed;
  std::uint32_t out = 0;
  bool over = false, streaming = false, maybe_ran = false, leads = false, queued = false;
  double ran_at = 0; // send of the first attempt that may have run, and its server's group
  std::uint32_t ran_zone = 0, ran_cell = 0;

  bool missed_at(ServerId id) const { return std::find(missed.begin(), missed.end(), id) != missed.end(); }
  bool tried(ServerId id) const {
    return std::any_of(attempts.begin(), attempts.end(), [id](const Attempt& a) { return a.server == id; });
  }
};

enum class Timer : std::uint64_t { Tick, End, Overdue, Again };
inline std::uint64_t token(Timer kind, RequestId id = 0, std::uint64_t attempt = 0) {
  return static_cast<std::uint64_t>(kind) << 60 | attempt << 52 | id;
}

} // namespace fernward
