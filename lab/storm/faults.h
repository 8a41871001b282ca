// The kinds of fault in a storm, and the period during which each is open. Pure.
//
// A fault is open from its start until its effect is undone: a killed node until it is started again, a
// move of discovery until the last router is reloaded. Times are milliseconds from the start of the run.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "model/spec.h"

namespace fernward::lab::storm {

enum class FaultKind : std::uint8_t {
  KillRouters,
  RestartRouters,
  UpgradeRouters, // in batches, one after another
  ReloadRouters,
  PartitionedZones,
  PartitionedNodes,
  DiscoveryOutage,
  DiscoveryMove, // some routers keep the old list until they are reloaded
  SlowNodes,
  SilentNodes,
  ColdNodes,
  ReplacedNodes,
  DrainedNodes,
  KilledNodes,
  BadResponses,
  OriginStall,
  OriginSlow,
  OriginFailure,
  LostZone,
  SlowLink,
  LoadSpike,
  HotKey,
  PartitionedRouters,
  LostDatagrams,
  PausedRouters,
  InconsistentRouter,
  Count
};
constexpr std::size_t kFaultKindCount = static_cast<std::size_t>(FaultKind::Count);
extern const std::array<const char*, kFaultKindCount> kFaultKindNames;

// nullopt: an event that undoes another fault (StartNodes).
std::optional<FaultKind> kind_of(const model::EventAction& event);

struct FaultSpan { // the period during which one fault is open
  FaultKind kind = FaultKind::KillRouters;
  std::uint32_t event = 0; // index into Spec::events
  double from_ms = 0, to_ms = 0;
};
// The spans of all faults, in the order of the events.
std::vector<FaultSpan> fault_spans(const model::Spec& spec);
// The time from which no fault is open any more; 0 without faults.
double last_fault_end_ms(const model::Spec& spec);

} // namespace fernward::lab::storm
