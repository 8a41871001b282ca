// The kinds of fault in a storm, and the period during which each is open. Pure.
//
// A fault is open from its start until its effect is undone: a killed node until it is restarted, a delayed
// endpoint list until it has arrived. Times are milliseconds from the start of the run.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "model/spec.h"

namespace fernward::lab::storm {

enum class Kind : std::uint8_t {
  KillRouters,
  RestartRouters,
  UpgradeRouters, // in batches, one after another
  ReloadRouters,
  CutZones,
  CutNodes,
  DiscoveryOutage,
  DiscoveryMove, // some routers keep the old list until they are reloaded
  SlowNodes,
  SilentNodes,
  ColdNodes,
  ReplacedNodes,
  DrainedNodes,
  KilledNodes,
  BadAnswers,
  OriginStall,
  OriginSlow,
  OriginFall,
  LostZone,
  SlowLink,
  LoadSpike,
  HotKey,
  CutRouters,
  LostDatagrams,
  PausedRouters,
  LyingRouter,
  Count
};
constexpr std::size_t kKinds = static_cast<std::size_t>(Kind::Count);
extern const std::array<const char*, kKinds> kKindNames;

// nullopt: an event that undoes another fault (restarted nodes).
std::optional<Kind> kind_of(const model::Happening& what);

struct Span {
  Kind kind = Kind::KillRouters;
  std::uint32_t event = 0; // index into Spec::events
  double from_ms = 0, to_ms = 0;
};
std::vector<Span> spans_of(const model::Spec& spec);
// When the last fault has ended and its effect is undone; 0 without faults.
double last_end(const model::Spec& spec);

} // namespace fernward::lab::storm
