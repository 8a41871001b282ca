// Defects injected into the routers of virtual time, to verify that the checks of runs find them. The product
// contains none of this: the injector sits between the balancer and the simulated network half.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::lab {

enum class Planted : std::uint8_t {
  None,
  ForgetsStarts,  // ignores the incarnation: a restarted node counts as the old, warm one
  ColdByRouter,   // each router applies the fleet's allowance for a cold node
  DeafToDrains,   // ignores updates about draining or gone nodes
  NeverForgives,  // a node that failed three times is ejected permanently
  UncountedRetry, // a failed attempt is resent without being counted
  SafeWrites,     // treats every class as idempotent
  LostPlace,      // an origin slot is not released after a timeout
  NoReuse,        // a new connection for each attempt
  Spins,          // a timer that re-arms itself without delay, from the first withdrawn node on
  SilentEnd,      // no response when no server is left
  StarvesLast,    // rejects the last class while more than two requests are open
  DoublePart,     // counts the shared part of the origin's limit twice
  Count
};
inline constexpr std::size_t kPlanted = static_cast<std::size_t>(Planted::Count);
inline constexpr std::array<const char*, kPlanted> kPlantedNames = {
    "none",        "forgets-starts", "cold-by-router", "deaf-to-drains", "never-forgives", "uncounted-retry",
    "safe-writes", "lost-place",     "no-reuse",       "spins",          "silent-end",     "starves-last",
    "double-part"};

class Defect {
 public:
  explicit Defect(Planted what) : what_(what) {}
  bool is(Planted what) const { return what_ == what; }
  bool any() const { return what_ != Planted::None; }

  void settings(Settings& settings);
  void restart(); // a new process has started
  // Modifies the event before it reaches the balancer; false: drop it. `origin_kind`: -1: there is no origin.
  bool tell(Event& event, std::int32_t origin);
  // Whether to reject a new request before it reaches the balancer.
  bool refuses(const Request& request, std::size_t open, std::size_t classes) const;

 private:
  Planted what_;
  double warmer_ms_ = 0; // WarmUpPerRouter assumes that a cold node started this much earlier
  std::unordered_map<ServerId, std::uint32_t> failed_;
  std::unordered_set<ServerId> origins_;
};

} // namespace fernward::lab
