#include "lab/storm/faults.h"

#include <algorithm>
#include <type_traits>

namespace fernward::lab::storm {

using namespace fernward::model;

const std::array<const char*, kKinds> kKindNames = {
    "kill-routers", "restart-routers",  "upgrade-routers", "reload-routers", "cut-zones",
    "cut-nodes",    "discovery-outage", "discovery-move",  "slow-nodes",     "silent-nodes",
    "cold-nodes",   "replaced-nodes",   "drained-nodes",   "killed-nodes",   "bad-answers",
    "origin-stall", "origin-slow",      "origin-fall",     "lost-zone",      "slow-link",
    "load-spike",   "hot-key",          "cut-routers",     "lose-datagrams", "pause-routers",
    "lying-router"};

std::optional<Kind> kind_of(const Happening& what) {
  return std::visit(
      [](const auto& e) -> std::optional<Kind> {
        using T = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<T, RestartRouters>) {
          if (e.batch > 0 && e.over_ms > 0) return Kind::UpgradeRouters;
          return e.how == RouterEnd::Kill ? Kind::KillRouters : Kind::RestartRouters;
        }
        if constexpr (std::is_same_v<T, ReloadRouters>) return Kind::ReloadRouters;
        if constexpr (std::is_same_v<T, CutZones>) return Kind::CutZones;
        if constexpr (std::is_same_v<T, CutNodes>) return Kind::CutNodes;
        if constexpr (std::is_same_v<T, DiscoveryOutage>) return Kind::DiscoveryOutage;
        if constexpr (std::is_same_v<T, DiscoveryMove>) return Kind::DiscoveryMove;
        if constexpr (std::is_same_v<T, Neighbour>) return Kind::SlowNodes;
        if constexpr (std::is_same_v<T, SilentNodes>) return Kind::SilentNodes;
        if constexpr (std::is_same_v<T, RestartNodes>) return Kind::ColdNodes;
        if constexpr (std::is_same_v<T, ReplaceNodes>) return Kind::ReplacedNodes;
        if constexpr (std::is_same_v<T, DrainNodes>) return Kind::DrainedNodes;
        if constexpr (std::is_same_v<T, KillNodes>) return Kind::KilledNodes;
        if constexpr (std::is_same_v<T, BadAnswers>) return Kind::BadAnswers;
        if constexpr (std::is_same_v<T, OriginStall>) return Kind::OriginStall;
        if constexpr (std::is_same_v<T, OriginSlow>) return Kind::OriginSlow;
        if constexpr (std::is_same_v<T, OriginFall>) return Kind::OriginFall;
        if constexpr (std::is_same_v<T, LostZone>) return Kind::LostZone;
        if constexpr (std::is_same_v<T, SlowLink>) return Kind::SlowLink;
        if constexpr (std::is_same_v<T, LoadSpike>) return Kind::LoadSpike;
        if constexpr (std::is_same_v<T, HotKey>) return Kind::HotKey;
        if constexpr (std::is_same_v<T, CutRouters>) return Kind::CutRouters;
        if constexpr (std::is_same_v<T, LoseDatagrams>) return Kind::LostDatagrams;
        if constexpr (std::is_same_v<T, PauseRouters>) return Kind::PausedRouters;
        if constexpr (std::is_same_v<T, LyingRouter>) return Kind::LyingRouter;
        return std::nullopt;
      },
      what);
}

namespace {

std::uint32_t routers_of(const Spec& spec) {
  std::uint32_t count = 0;
  for (const RouterGroup& g : spec.routers.groups) count += g.count;
  return count;
}

// Returns when the given nodes are started again; the end of the run if they are not.
double started_again(const Spec& spec, double at, const std::vector<MachineId>& nodes) {
  double back = spec.duration_ms;
  for (const TimedEvent& e : spec.events) {
    const auto* start = std::get_if<StartNodes>(&e.what);
    if (start == nullptr || e.at_ms < at) continue;
    const auto& started = start->who.nodes;
    const bool all = std::all_of(nodes.begin(), nodes.end(), [&](MachineId id) {
      return std::find(started.begin(), started.end(), id) != started.end();
    });
    if (started.empty() || (all && !nodes.empty())) back = std::min(back, e.at_ms);
  }
  return back;
}

double end_of(const Spec& spec, const TimedEvent& e) {
  constexpr double kReloadMs = 500; // a reload: no capacity is removed
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
          return started_again(spec, e.at_ms, what.who.nodes);
        }
        if constexpr (std::is_same_v<T, OriginFall>) return e.at_ms + what.down_ms;
        if constexpr (std::is_same_v<T, DiscoveryMove>) {
          return e.at_ms + std::max(what.old_stays_ms, what.reload_after_ms * routers_of(spec));
        }
        return e.at_ms + kReloadMs;
      },
      e.what);
}

} // namespace

std::vector<Span> spans_of(const Spec& spec) {
  std::vector<Span> spans;
  for (std::uint32_t i = 0; i < spec.events.size(); ++i) {
    const auto kind = kind_of(spec.events[i].what);
    if (kind) spans.push_back({*kind, i, spec.events[i].at_ms, end_of(spec, spec.events[i])});
  }
  return spans;
}

double last_end(const Spec& spec) {
  double last = 0;
  for (const Span& s : spans_of(spec)) last = std::max(last, s.to_ms);
  return last;
}

} // namespace fernward::lab::storm
