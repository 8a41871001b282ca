// Defects put into the routers of virtual time on purpose, to see that what judges runs finds them. The product has none
// of this: it stands between the balancer and the network half that the lab plays.
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
  ForgetsStarts,  // a merge that forgets the incarnation: a node started again counts as the old, warm one
  ColdByRouter,   // a cold node's allowance is what the fleet's is, for each router
  DeafToDrains,   // news of a node that drains or went is passed over
  NeverForgives,  // a judgement that never ends: a node that failed thrice is left out for good
  UncountedRetry, // an attempt that failed is sent again, and nobody counts it
  SafeWrites,     // each class is taken for one that may be repeated
  LostPlace,      // a lease that never ends: a place at the origin is not given back after a time-out
  NoReuse,        // a connection for each attempt
  Spins,          // a timer that sets itself for now, from the first node on that goes
  SilentEnd,      // no answer where no server is left to ask
  StarvesLast,    // the last class is turned away as soon as two requests are open
  DoublePart,     // the part of the origin's limit is counted twice
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
  void restart(); // the process is another
  // What the module is told in the event's place; false: nothing. `origin`: its kind, -1: there is none.
  bool tell(Event& event, std::int32_t origin);
  // In place of an answer to a request that just came; true: it is refused unseen.
  bool refuses(const Request& request, std::size_t open, std::size_t classes) const;

 private:
  Planted what_;
  double warmer_ms_ = 0; // than it is, ColdByRouter takes a cold node for
  std::unordered_map<ServerId, std::uint32_t> failed_;
  std::unordered_set<ServerId> origins_;
};

} // namespace fernward::lab
