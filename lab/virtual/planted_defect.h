// Defects injected into the routers of virtual time, to verify that the checks of runs find them. The product
// contains none of this: the injector is between the balancer and the simulated sockets.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::lab {

enum class PlantedDefect : std::uint8_t {
  None,
  IgnoresIncarnations, // ignores start times: a restarted node counts as the old, warm one
  WarmUpPerRouter,     // each router applies the fleet's allowance for a cold node
  IgnoresDraining,     // ignores updates about draining or gone nodes
  NeverReadmits,       // a node that failed three times is ejected permanently
  UncountedRetry,      // a failed attempt is resent without being counted
  RepeatsAllClasses,   // treats every class as idempotent
  LeaksOriginSlots,    // an origin slot is not released after a timeout
  NoConnectionReuse,   // a new connection for each attempt
  TimerLoop,           // a timer that re-arms itself without delay, from the first withdrawn node on
  NoFinalResponse,     // no response when no server is left
  StarvesLastClass,    // rejects the last class while more than two requests are open
  DoublesSharedPart,   // counts the shared part of the origin's limit twice
  Count
};
inline constexpr std::size_t kPlantedDefectCount = static_cast<std::size_t>(PlantedDefect::Count);
inline constexpr std::array<const char*, kPlantedDefectCount> kPlantedDefectNames = {
    "none",        "forgets-starts", "cold-by-router", "deaf-to-drains", "never-forgives", "uncounted-retry",
    "safe-writes", "lost-place",     "no-reuse",       "spins",          "silent-end",     "starves-last",
    "double-part"};

// Injects one defect into one router. Owned by the router.
class DefectInjector {
 public:
  explicit DefectInjector(PlantedDefect defect) : defect_(defect) {}
  // For defects that the router implements itself.
  bool injects(PlantedDefect defect) const { return defect_ == defect; }
  bool active() const { return defect_ != PlantedDefect::None; }

  void apply_to_settings(Settings& settings);
  void on_restart(); // a new process has started
  // Modifies the event before it reaches the balancer; false: drop it. `origin_kind`: -1: no origin.
  bool filter_event(Event& event, std::int32_t origin_kind);
  // Whether to reject a new request before it reaches the balancer.
  bool rejects_request(const Request& request, std::size_t open_requests, std::size_t class_count) const;

 private:
  PlantedDefect defect_;
  double start_shift_ms_ = 0; // WarmUpPerRouter assumes that a cold node started this much earlier
  std::unordered_map<ServerId, std::uint32_t> failures_;
  std::unordered_set<ServerId> origin_servers_;
};

} // namespace fernward::lab
