#include "lab/storm/shrink.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

#include "lab/storm/faults.h"
#include "model/plan.h"

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

constexpr double kMinDurationMs = 1000; // duration of a run

std::uint32_t node_count(const Spec& spec) { // with standby nodes
  std::uint32_t count = 0;
  for (const NodeGroup& g : spec.nodes) count += g.count + g.standby;
  return count;
}
std::uint32_t router_count(const Spec& spec) {
  std::uint32_t count = 0;
  for (const RouterGroup& g : spec.routers.groups) count += g.count;
  return count;
}

// Calls visit_selector(NodeSelector&) or visit_selector(RouterSelector&) for each selector of the event,
// except those of PartitionRouters.
template <typename Visit>
void for_each_selector(EventAction& event, Visit visit_selector) {
  std::visit(
      [&](auto& e) {
        if constexpr (requires { e.who; }) visit_selector(e.who);
        if constexpr (requires { e.nodes; }) visit_selector(e.nodes);
        if constexpr (requires { e.routers; }) visit_selector(e.routers);
      },
      event);
}

// Removes events that can't run after a reduction: those past the end, and those without targets. The others
// end with the run at the latest. Returns false if the spec is invalid.
bool remove_invalid_events(Spec& spec) {
  std::erase_if(spec.events, [&](const TimedEvent& e) { return e.at_ms >= spec.duration_ms; });
  for (TimedEvent& e : spec.events) {
    std::visit(
        [&](auto& what) {
          if constexpr (requires { what.until_ms; })
            what.until_ms = std::min(what.until_ms, spec.duration_ms);
        },
        e.what);
  }
  if (!find_spec_errors(spec).empty()) return false;
  auto events_without_targets = make_plan(spec).events_without_target;
  std::sort(events_without_targets.rbegin(), events_without_targets.rend());
  events_without_targets.erase(std::unique(events_without_targets.begin(), events_without_targets.end()),
                               events_without_targets.end());
  for (const std::uint32_t i : events_without_targets) spec.events.erase(spec.events.begin() + i);
  return true;
}

// Keeps the nodes for which `keep(number)` is true and all standby nodes, renumbers the nodes in
// selectors, and removes events that have no target left. Returns false if fewer than two nodes remain.
template <typename Keep>
bool keep_nodes(Spec& spec, Keep keep) {
  std::vector<std::optional<MachineId>> new_numbers(node_count(spec));
  MachineId number = 0, kept_count = 0;
  for (NodeGroup& g : spec.nodes) {
    std::uint32_t kept_in_group = 0;
    for (std::uint32_t i = 0; i < g.count; ++i, ++number) {
      if (!keep(number)) continue;
      new_numbers[number] = kept_count++;
      ++kept_in_group;
    }
    number += g.standby;
    kept_count += g.standby;
    g.count = kept_in_group;
  }
  if (kept_count < 2) return false;
  std::erase_if(spec.events, [&](TimedEvent& e) {
    bool no_target = false;
    for_each_selector(e.what, [&](auto& selector) {
      if constexpr (std::is_same_v<std::decay_t<decltype(selector)>, NodeSelector>) {
        if (selector.nodes.empty()) return;
        std::vector<MachineId> kept_nodes;
        for (const MachineId m : selector.nodes) {
          if (m < new_numbers.size() && new_numbers[m]) kept_nodes.push_back(*new_numbers[m]);
        }
        no_target |= kept_nodes.empty();
        selector.nodes = std::move(kept_nodes);
      }
    });
    return no_target;
  });
  return true;
}

// Removes groups without nodes and kinds without groups, and corrects the references to the others by
// index.
void remove_empty_groups(Spec& spec) {
  for (std::size_t g = spec.nodes.size(); g-- > 0;) {
    if (spec.nodes[g].count + spec.nodes[g].standby > 0) continue;
    spec.nodes.erase(spec.nodes.begin() + static_cast<std::ptrdiff_t>(g));
    std::erase_if(spec.events, [&](TimedEvent& e) {
      bool target_removed = false;
      for_each_selector(e.what, [&](auto& selector) {
        if constexpr (std::is_same_v<std::decay_t<decltype(selector)>, NodeSelector>) {
          if (!selector.group) return;
          target_removed |= *selector.group == g;
          if (*selector.group > g) --*selector.group;
        }
      });
      return target_removed;
    });
  }
  for (std::uint32_t k = static_cast<std::uint32_t>(spec.kinds.size()); k-- > 0;) {
    if (std::any_of(spec.nodes.begin(), spec.nodes.end(), [&](const NodeGroup& g) { return g.kind == k; }))
      continue;
    spec.kinds.erase(spec.kinds.begin() + k);
    for (NodeGroup& g : spec.nodes) g.kind -= g.kind > k ? 1 : 0;
  }
}

// Takes routers from the largest groups until `target_count` remain, and removes events that have no
// target left. Returns false if `target_count` is 0 or not lower than the current count.
bool reduce_routers(Spec& spec, std::uint32_t target_count) {
  const std::uint32_t current_count = router_count(spec);
  if (target_count == 0 || target_count >= current_count) return false;
  for (std::uint32_t excess = current_count - target_count; excess > 0;) {
    auto largest_group =
        std::max_element(spec.routers.groups.begin(), spec.routers.groups.end(),
                         [](const RouterGroup& a, const RouterGroup& b) { return a.count < b.count; });
    --largest_group->count;
    --excess;
  }
  std::erase_if(spec.routers.groups, [](const RouterGroup& g) { return g.count == 0; });
  std::erase_if(spec.events, [&](TimedEvent& e) {
    bool no_target = false;
    const auto remove_routers = [&](auto& selector) {
      if constexpr (std::is_same_v<std::decay_t<decltype(selector)>, RouterSelector>) {
        if (selector.routers.empty()) return;
        std::erase_if(selector.routers, [&](RouterId r) { return r >= target_count; });
        no_target |= selector.routers.empty();
      }
    };
    for_each_selector(e.what, remove_routers);
    if (auto* partition = std::get_if<PartitionRouters>(&e.what)) {
      remove_routers(partition->a);
      remove_routers(partition->b);
    }
    return no_target;
  });
  return true;
}

// Moves the nodes, routers and origin of the last zone to the first zone, and removes the zone and the faults
// that need it. Returns false if there is only one zone.
bool remove_last_zone(Spec& spec) {
  if (spec.zones.size() < 2) return false;
  const auto last_zone = static_cast<std::uint32_t>(spec.zones.size() - 1);
  std::erase_if(spec.events, [&](TimedEvent& e) {
    return std::visit(
        [&](auto& what) {
          using T = std::decay_t<decltype(what)>;
          bool affected = false;
          if constexpr (std::is_same_v<T, PartitionZones>) {
            std::erase(what.a, last_zone);
            std::erase(what.b, last_zone);
            affected = what.a.empty() || what.b.empty();
          } else if constexpr (std::is_same_v<T, ZoneOutage>) {
            affected = what.zone == last_zone;
          } else if constexpr (std::is_same_v<T, SlowLink>) {
            affected = what.from == last_zone || what.to == last_zone;
          }
          if constexpr (requires { what.who.zone; }) affected |= what.who.zone == last_zone;
          return affected;
        },
        e.what);
  });
  for (NodeGroup& g : spec.nodes) g.zone = g.zone == last_zone ? 0 : g.zone;
  for (RouterGroup& g : spec.routers.groups) g.zone = g.zone == last_zone ? 0 : g.zone;
  if (spec.origin.zone == last_zone) spec.origin.zone = 0;
  std::erase_if(spec.network.links,
                [&](const ZoneLink& l) { return l.from == last_zone || l.to == last_zone; });
  spec.zones.pop_back();
  return true;
}

// Holds the smallest storm so far that breaks the oracle, and tries to reduce it further.
class Shrinker {
 public:
  Shrinker(const Spec& spec, const std::function<double(const Spec&)>& distance_of, std::uint32_t max_runs)
      : distance_of_(distance_of), max_runs_(max_runs) {
    result_.spec = spec;
  }

  ShrinkResult run() {
    std::uint32_t reductions_before = 0;
    do {
      reductions_before = result_.reductions;
      remove_events();
      shorten();
      shrink_fleet();
      simplify_settings();
    } while (result_.reductions > reductions_before && !runs_exhausted());
    return std::move(result_);
  }

 private:
  bool runs_exhausted() const { return result_.runs >= max_runs_; }

  // Accepts the reduction if the storm still breaks the oracle. `reduce` changes a spec; it returns false
  // if there is nothing to reduce.
  template <typename Reduce>
  bool try_reduction(Reduce reduce) {
    if (runs_exhausted()) return false;
    Spec smaller = result_.spec;
    if (!reduce(smaller) || !remove_invalid_events(smaller)) return false;
    ++result_.runs;
    if (distance_of_(smaller) < 1) return false;
    result_.spec = std::move(smaller);
    ++result_.reductions;
    return true;
  }

  void remove_events() {
    for (std::size_t chunk = std::max<std::size_t>(1, (result_.spec.events.size() + 1) / 2);;
         chunk = chunk / 2) {
      for (std::size_t position = 0; position < result_.spec.events.size();) {
        const bool removed = try_reduction([&](Spec& s) {
          const auto first = s.events.begin() + static_cast<std::ptrdiff_t>(position);
          s.events.erase(first,
                         first + static_cast<std::ptrdiff_t>(std::min(chunk, s.events.size() - position)));
          return true;
        });
        if (!removed) position += chunk;
      }
      if (chunk <= 1) break;
    }
  }

  void shorten() {
    for (const double share : {0.4, 0.7, 0.9}) {
      while (try_reduction([&](Spec& s) {
        s.duration_ms = std::round(s.duration_ms * share);
        return s.duration_ms >= kMinDurationMs;
      })) {}
    }
    // Moves all events earlier.
    while (try_reduction([](Spec& s) {
      double first_event_ms = s.duration_ms;
      for (const TimedEvent& e : s.events) first_event_ms = std::min(first_event_ms, e.at_ms);
      const double shift_ms = std::floor(first_event_ms / 2);
      if (s.events.empty() || shift_ms < 200) return false;
      for (TimedEvent& e : s.events) {
        e.at_ms -= shift_ms;
        std::visit(
            [&](auto& what) {
              if constexpr (requires { what.until_ms; }) what.until_ms -= what.until_ms > 0 ? shift_ms : 0;
            },
            e.what);
      }
      s.duration_ms -= shift_ms;
      return true;
    })) {}
    for (std::size_t i = 0; i < result_.spec.events.size(); ++i) {
      while (i < result_.spec.events.size() && try_reduction([&](Spec& s) {
               bool reduced = false;
               const double at = s.events[i].at_ms;
               std::visit(
                   [&](auto& what) {
                     if constexpr (requires { what.until_ms; }) {
                       const double event_duration_ms = what.until_ms - at;
                       if (what.until_ms > 0 && event_duration_ms > 400) {
                         what.until_ms = std::round(at + event_duration_ms / 2);
                         reduced = true;
                       }
                     }
                   },
                   s.events[i].what);
               return reduced;
             })) {}
    }
  }

  void shrink_fleet() {
    while (try_reduction([](Spec& s) { return reduce_routers(s, router_count(s) / 2); })) {}
    while (try_reduction([](Spec& s) { return reduce_routers(s, router_count(s) - 1); })) {}
    while (try_reduction([](Spec& s) {
      const bool reduced = node_count(s) > 2 && keep_nodes(s, [](MachineId m) { return m % 2 == 0; });
      if (reduced) {
        s.load.rate_per_s /= 2;
        remove_empty_groups(s);
      }
      return reduced;
    })) {}
    for (MachineId m = 0; m < node_count(result_.spec) && !runs_exhausted();) {
      const bool removed = try_reduction([&](Spec& s) {
        const bool reduced = node_count(s) > 2 && keep_nodes(s, [&](MachineId other) { return other != m; });
        if (reduced) remove_empty_groups(s);
        return reduced;
      });
      if (!removed) m += 1 + node_count(result_.spec) / 16;
    }
    while (try_reduction(&remove_last_zone)) {}
  }

  void simplify_settings() {
    for (const double share : {0.5, 0.8}) {
      while (try_reduction([&](Spec& s) {
        s.load.rate_per_s = std::round(s.load.rate_per_s * share * 10) / 10;
        return s.load.rate_per_s >= 1;
      })) {}
    }
    try_reduction([](Spec& s) { return std::exchange(s.tenants, {}).size() > 0; });
    for (std::size_t c = result_.spec.classes.size(); c-- > 0;) {
      try_reduction([&](Spec& s) {
        if (s.classes.size() < 2 || c >= s.classes.size()) return false;
        s.classes.erase(s.classes.begin() + static_cast<std::ptrdiff_t>(c));
        return true;
      });
    }
    // Sets settings back to their defaults.
    const Spec defaults;
    const auto reset_setting = [&](auto member) {
      try_reduction([&](Spec& s) {
        auto& value = member(s);
        const auto& default_value = member(defaults);
        if (value == default_value) return false;
        value = default_value;
        return true;
      });
    };
    reset_setting([](auto& s) -> auto& { return s.clients.mean_max_retries; });
    reset_setting([](auto& s) -> auto& { return s.clients.abandon_share; });
    reset_setting([](auto& s) -> auto& { return s.clients.keep_connections; });
    reset_setting([](auto& s) -> auto& { return s.clients.heed_retry_after_share; });
    reset_setting([](auto& s) -> auto& { return s.network.jitter; });
    reset_setting([](auto& s) -> auto& { return s.network.cross_zone_delay_ms; });
    reset_setting([](auto& s) -> auto& { return s.routers.event_interval_ms; });
    reset_setting([](auto& s) -> auto& { return s.routers.max_attempts; });
    reset_setting([](auto& s) -> auto& { return s.routers.may_hedge; });
    reset_setting([](auto& s) -> auto& { return s.routers.may_cancel; });
    reset_setting([](auto& s) -> auto& { return s.routers.send_retry_after; });
    reset_setting([](auto& s) -> auto& { return s.routers.drain_grace_ms; });
    reset_setting([](auto& s) -> auto& { return s.routers.resize.transition_ms; });
    reset_setting([](auto& s) -> auto& { return s.routers.resize.second_replica_share; });
    reset_setting([](auto& s) -> auto& { return s.origin.overload_multiple; });
    reset_setting([](auto& s) -> auto& { return s.origin.congestion_slowdown; });
    reset_setting([](auto& s) -> auto& { return s.front.failure_detection_ms; });
    reset_setting([](auto& s) -> auto& { return s.routers.sharing.enabled; });
    reset_setting([](auto& s) -> auto& { return s.network.datagram_loss_share; });
    try_reduction([](Spec& s) {
      bool reduced = false;
      for (NodeKind& k : s.kinds) {
        reduced |= k.error_rate > 0 || k.congestion_slowdown > 0 || k.speed_cv > 0;
        k.error_rate = k.congestion_slowdown = k.speed_cv = 0;
      }
      return reduced;
    });
  }

  const std::function<double(const Spec&)>& distance_of_;
  const std::uint32_t max_runs_;
  ShrinkResult result_;
};

} // namespace

ShrinkResult shrink(const Spec& spec, const std::function<double(const Spec&)>& distance_of,
                    std::uint32_t max_runs) {
  return Shrinker(spec, distance_of, max_runs).run();
}

} // namespace fernward::lab::storm
