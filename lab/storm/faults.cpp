#include "lab/storm/faults.h"

#include <algorithm>
#include <type_traits>

namespace fernward::lab::storm {

using namespace fernward::model;

const std::array<const char*, kFaultKindCount> kFaultKindNames = {
    "kill-routers", "restart-routers",  "upgrade-routers", "reload-routers", "cut-zones",
    "cut-nodes",    "discovery-outage", "discovery-move",  "slow-nodes",     "silent-nodes",
    "cold-nodes",   "replaced-nodes",   "drained-nodes",   "killed-nodes",   "bad-answers",
    "origin-stall", "origin-slow",      "origin-fall",     "lost-zone",      "slow-link",
    "load-spike",   "hot-key",          "cut-routers",     "lose-datagrams", "pause-routers",
    "lying-router"};

std::optional<FaultKind> kind_of(const EventAction& event) {
  return std::visit(
      [](const auto& e) -> std::optional<FaultKind> {
        using T = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<T, RestartRouters>) {
          if (e.batch > 0 && e.over_ms > 0) return FaultKind::UpgradeRouters;
          return e.how == RouterEnd::Kill ? FaultKind::KillRouters : FaultKind::RestartRouters;
        }
        if constexpr (std::is_same_v<T, ReloadRouters>) return FaultKind::ReloadRouters;
        if constexpr (std::is_same_v<T, PartitionZones>) return FaultKind::PartitionedZones;
        if constexpr (std::is_same_v<T, PartitionNodes>) return FaultKind::PartitionedNodes;
        if constexpr (std::is_same_v<T, DiscoveryOutage>) return FaultKind::DiscoveryOutage;
        if constexpr (std::is_same_v<T, DiscoveryMove>) return FaultKind::DiscoveryMove;
        if constexpr (std::is_same_v<T, NoisyNeighbour>) return FaultKind::SlowNodes;
        if constexpr (std::is_same_v<T, SilentNodes>) return FaultKind::SilentNodes;
        if constexpr (std::is_same_v<T, RestartNodes>) return FaultKind::ColdNodes;
        if constexpr (std::is_same_v<T, ReplaceNodes>) return FaultKind::ReplacedNodes;
        if constexpr (std::is_same_v<T, DrainNodes>) return FaultKind::DrainedNodes;
        if constexpr (std::is_same_v<T, KillNodes>) return FaultKind::KilledNodes;
        if constexpr (std::is_same_v<T, BadResponses>) return FaultKind::BadResponses;
        if constexpr (std::is_same_v<T, OriginStall>) return FaultKind::OriginStall;
        if constexpr (std::is_same_v<T, OriginSlow>) return FaultKind::OriginSlow;
        if constexpr (std::is_same_v<T, OriginFall>) return FaultKind::OriginFailure;
        if constexpr (std::is_same_v<T, ZoneOutage>) return FaultKind::LostZone;
        if constexpr (std::is_same_v<T, SlowLink>) return FaultKind::SlowLink;
        if constexpr (std::is_same_v<T, LoadSpike>) return FaultKind::LoadSpike;
        if constexpr (std::is_same_v<T, HotKey>) return FaultKind::HotKey;
        if constexpr (std::is_same_v<T, PartitionRouters>) return FaultKind::PartitionedRouters;
        if constexpr (std::is_same_v<T, LoseDatagrams>) return FaultKind::LostDatagrams;
        if constexpr (std::is_same_v<T, PauseRouters>) return FaultKind::PausedRouters;
        if constexpr (std::is_same_v<T, InconsistentRouter>) return FaultKind::InconsistentRouter;
        return std::nullopt;
      },
      event);
}

namespace {

std::uint32_t count_routers(const Spec& spec) {
  std::uint32_t count = 0;
  for (const RouterGroup& g : spec.routers.groups) count += g.count;
  return count;
}

// Returns when the nodes that a fault stopped at `stopped_at_ms` are started again; the end of the run if
// they are not.
double restarted_at(const Spec& spec, double stopped_at_ms, const std::vector<MachineId>& nodes) {
  double restart_at_ms = spec.duration_ms;
  for (const TimedEvent& e : spec.events) {
    const auto* start = std::get_if<StartNodes>(&e.what);
    if (start == nullptr || e.at_ms < stopped_at_ms) continue;
    const auto& started = start->who.nodes;
    const bool includes_all = std::all_of(nodes.begin(), nodes.end(), [&](MachineId id) {
      return std::find(started.begin(), started.end(), id) != started.end();
    });
    if (started.empty() || (includes_all && !nodes.empty())) restart_at_ms = std::min(restart_at_ms, e.at_ms);
  }
  return restart_at_ms;
}

double fault_end_ms(const Spec& spec, const TimedEvent& e) {
  constexpr double kReloadMs = 500; // a reload counts as open this long, although it removes no capacity
  return std::visit(
      [&](const auto& what) {
        using T = std::decay_t<decltype(what)>;
        if constexpr (requires { what.until_ms; })
          return what.until_ms > 0 ? what.until_ms : spec.duration_ms;
        if constexpr (requires { what.after_ms; }) return e.at_ms + what.after_ms;
        if constexpr (std::is_same_v<T, RestartRouters>) {
          return what.down_ms > 0 ? e.at_ms + what.over_ms + what.down_ms : spec.duration_ms;
        }
        if constexpr (std::is_same_v<T, DrainNodes> || std::is_same_v<T, KillNodes>) {
          return restarted_at(spec, e.at_ms, what.who.nodes);
        }
        if constexpr (std::is_same_v<T, OriginFall>) return e.at_ms + what.down_ms;
        if constexpr (std::is_same_v<T, DiscoveryMove>) {
          return e.at_ms + std::max(what.old_stays_ms, what.reload_after_ms * count_routers(spec));
        }
        return e.at_ms + kReloadMs;
      },
      e.what);
}

} // namespace

std::vector<FaultSpan> fault_spans(const Spec& spec) {
  std::vector<FaultSpan> spans;
  for (std::uint32_t i = 0; i < spec.events.size(); ++i) {
    const auto kind = kind_of(spec.events[i].what);
    if (kind) spans.push_back({*kind, i, spec.events[i].at_ms, fault_end_ms(spec, spec.events[i])});
  }
  return spans;
}

double last_fault_end_ms(const Spec& spec) {
  double last_end_ms = 0;
  for (const FaultSpan& s : fault_spans(spec)) last_end_ms = std::max(last_end_ms, s.to_ms);
  return last_end_ms;
}

} // namespace fernward::lab::storm
