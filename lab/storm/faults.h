// The kinds of fault that a storm is made of, and when each is open. Pure.
//
// A fault is open from its begin until what it did is undone: a node that is killed, until it is started again; a list
// that is late, until it has come. Times are milliseconds from the start of the run.
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
  UpgradeRouters, // one batch after the other
  ReloadRouters,
  CutZones,
  CutNodes,
  DiscoveryOutage,
  DiscoveryMove, // a part of the fleet keeps the list as it was until it is reloaded
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

// None: what undoes another fault (nodes started again).
std::optional<Kind> kind_of(const model::Happening& what);

struct Span {
  Kind kind = Kind::KillRouters;
  std::uint32_t event = 0; // of Spec::events
  double from_ms = 0, to_ms = 0;
};
std::vector<Span> spans_of(const model::Spec& spec);
// When the last fault has ended and all that it took away is back; 0 without faults.
double last_end(const model::Spec& spec);

} // namespace fernward::lab::storm
