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

constexpr double kLeastMs = 1000; // of a run

std::uint32_t total(const Spec& spec) {
  std::uint32_t count = 0;
  for (const NodeGroup& g : spec.nodes) count += g.count + g.standby;
  return count;
}
std::uint32_t routers(const Spec& spec) {
  std::uint32_t count = 0;
  for (const RouterGroup& g : spec.routers.groups) count += g.count;
  return count;
}

// Calls visit_pick(NodePick&) or visit_pick(RouterPick&) for each pick of the event.
template <typename Do>
void each_pick(Happening& event, Do what) {
  std::visit(
      [&](auto& e) {
        if constexpr (requires { e.who; }) what(e.who);
        if constexpr (requires { e.nodes; }) what(e.nodes);
        if constexpr (requires { e.routers; }) what(e.routers);
      },
      event);
}

// Removes what can't run after a reduction: events past the end, and events without targets. False: the spec
// is invalid.
bool mend(Spec& spec) {
  std::erase_if(spec.events, [&](const TimedEvent& e) { return e.at_ms >= spec.duration_ms; });
  for (TimedEvent& e : spec.events) {
    std::visit(
        [&](auto& what) {
          if constexpr (requires { what.until_ms; })
            what.until_ms = std::min(what.until_ms, spec.duration_ms);
        },
        e.what);
  }
  if (!faults(spec).empty()) return false;
  auto idle = make_plan(spec).idle;
  std::sort(idle.rbegin(), idle.rend());
  idle.erase(std::unique(idle.begin(), idle.end()), idle.end());
  for (const std::uint32_t i : idle) spec.events.erase(spec.events.begin() + i);
  return true;
}

// Keeps the nodes for which `keep(number)` is true, and renumbers picks by number. False: fewer than two
// remain.
template <typename Keep>
bool keep_nodes(Spec& spec, Keep keep) {
  std::vector<std::optional<MachineId>> now(total(spec));
  MachineId number = 0, left = 0;
  for (NodeGroup& g : spec.nodes) {
    std::uint32_t stay = 0;
    for (std::uint32_t i = 0; i < g.count; ++i, ++number) {
      if (!keep(number)) continue;
      now[number] = left++;
      ++stay;
    }
    number += g.standby;
    left += g.standby;
    g.count = stay;
  }
  if (left < 2) return false;
  std::erase_if(spec.events, [&](TimedEvent& e) {
    bool nobody = false;
    each_pick(e.what, [&](auto& pick) {
      if constexpr (std::is_same_v<std::decay_t<decltype(pick)>, NodePick>) {
        if (pick.nodes.empty()) return;
        std::vector<MachineId> stay;
        for (const MachineId m : pick.nodes) {
          if (m < now.size() && now[m]) stay.push_back(*now[m]);
        }
        nobody |= stay.empty();
        pick.nodes = std::move(stay);
      }
    });
    return nobody;
  });
  return true;
}

void drop_empty_groups(Spec& spec) {
  for (std::size_t g = spec.nodes.size(); g-- > 0;) {
    if (spec.nodes[g].count + spec.nodes[g].standby > 0) continue;
    spec.nodes.erase(spec.nodes.begin() + static_cast<std::ptrdiff_t>(g));
    std::erase_if(spec.events, [&](TimedEvent& e) {
      bool gone = false;
      each_pick(e.what, [&](auto& pick) {
        if constexpr (std::is_same_v<std::decay_t<decltype(pick)>, NodePick>) {
          if (!pick.group) return;
          gone |= *pick.group == g;
          if (*pick.group > g) --*pick.group;
        }
      });
      return gone;
    });
  }
  for (std::uint32_t k = static_cast<std::uint32_t>(spec.kinds.size()); k-- > 0;) {
    if (std::any_of(spec.nodes.begin(), spec.nodes.end(), [&](const NodeGroup& g) { return g.kind == k; }))
      continue;
    spec.kinds.erase(spec.kinds.begin() + k);
    for (NodeGroup& g : spec.nodes) g.kind -= g.kind > k ? 1 : 0;
  }
}

bool scale_routers(Spec& spec, std::uint32_t wanted) {
  const std::uint32_t all = routers(spec);
  if (wanted == 0 || wanted >= all) return false;
  for (std::uint32_t left = all - wanted; left > 0;) {
    auto most =
        std::max_element(spec.routers.groups.begin(), spec.routers.groups.end(),
                         [](const RouterGroup& a, const RouterGroup& b) { return a.count < b.count; });
    --most->count;
    --left;
  }
  std::erase_if(spec.routers.groups, [](const RouterGroup& g) { return g.count == 0; });
  std::erase_if(spec.events, [&](TimedEvent& e) {
    bool nobody = false;
    const auto fewer = [&](auto& pick) {
      if constexpr (std::is_same_v<std::decay_t<decltype(pick)>, RouterPick>) {
        if (pick.routers.empty()) return;
        std::erase_if(pick.routers, [&](RouterId r) { return r >= wanted; });
        nobody |= pick.routers.empty();
      }
    };
    each_pick(e.what, fewer);
    if (auto* cut = std::get_if<CutRouters>(&e.what)) {
      fewer(cut->a);
      fewer(cut->b);
    }
    return nobody;
  });
  return true;
}

// Moves the last zone's nodes and routers to the first zone, and removes its faults.
bool drop_last_zone(Spec& spec) {
  if (spec.zones.size() < 2) return false;
  const auto gone = static_cast<std::uint32_t>(spec.zones.size() - 1);
  std::erase_if(spec.events, [&](TimedEvent& e) {
    return std::visit(
        [&](auto& what) {
          using T = std::decay_t<decltype(what)>;
          bool met = false;
          if constexpr (std::is_same_v<T, CutZones>) {
            std::erase(what.a, gone);
            std::erase(what.b, gone);
            met = what.a.empty() || what.b.empty();
          } else if constexpr (std::is_same_v<T, LostZone>) {
            met = what.zone == gone;
          } else if constexpr (std::is_same_v<T, SlowLink>) {
            met = what.from == gone || what.to == gone;
          }
          if constexpr (requires { what.who.zone; }) met |= what.who.zone == gone;
          return met;
        },
        e.what);
  });
  for (NodeGroup& g : spec.nodes) g.zone = g.zone == gone ? 0 : g.zone;
  for (RouterGroup& g : spec.routers.groups) g.zone = g.zone == gone ? 0 : g.zone;
  if (spec.origin.zone == gone) spec.origin.zone = 0;
  std::erase_if(spec.network.links, [&](const ZoneLink& l) { return l.from == gone || l.to == gone; });
  spec.zones.pop_back();
  return true;
}

class Shrinking {
 public:
  Shrinking(const Spec& spec, const std::function<double(const Spec&)>& broken, std::uint32_t most)
      : broken_(broken), most_(most) {
    out_.spec = spec;
  }

  Shrunk run() {
    std::uint32_t before = 0;
    do {
      before = out_.cuts;
      events();
      shorter();
      fleet();
      rest();
    } while (out_.cuts > before && !used_up());
    return std::move(out_);
  }

 private:
  bool used_up() const { return out_.plays >= most_; }

  // Accepts the reduction if the storm still breaks the oracle.
  template <typename Cut>
  bool attempt(Cut cut) {
    if (used_up()) return false;
    Spec smaller = out_.spec;
    if (!cut(smaller) || !mend(smaller)) return false;
    ++out_.plays;
    if (broken_(smaller) < 1) return false;
    out_.spec = std::move(smaller);
    ++out_.cuts;
    return true;
  }

  void events() {
    for (std::size_t part = std::max<std::size_t>(1, (out_.spec.events.size() + 1) / 2);; part = part / 2) {
      for (std::size_t at = 0; at < out_.spec.events.size();) {
        const bool went = attempt([&](Spec& s) {
          const auto first = s.events.begin() + static_cast<std::ptrdiff_t>(at);
          s.events.erase(first, first + static_cast<std::ptrdiff_t>(std::min(part, s.events.size() - at)));
          return true;
        });
        if (!went) at += part;
      }
      if (part <= 1) break;
    }
  }

  void shorter() {
    for (const double share : {0.4, 0.7, 0.9}) {
      while (attempt([&](Spec& s) {
        s.duration_ms = std::round(s.duration_ms * share);
        return s.duration_ms >= kLeastMs;
      })) {}
    }
    // Moves all events earlier.
    while (attempt([](Spec& s) {
      double first = s.duration_ms;
      for (const TimedEvent& e : s.events) first = std::min(first, e.at_ms);
      const double less = std::floor(first / 2);
      if (s.events.empty() || less < 200) return false;
      for (TimedEvent& e : s.events) {
        e.at_ms -= less;
        std::visit(
            [&](auto& what) {
              if constexpr (requires { what.until_ms; }) what.until_ms -= what.until_ms > 0 ? less : 0;
            },
            e.what);
      }
      s.duration_ms -= less;
      return true;
    })) {}
    for (std::size_t i = 0; i < out_.spec.events.size(); ++i) {
      while (i < out_.spec.events.size() && attempt([&](Spec& s) {
               bool cut = false;
               const double at = s.events[i].at_ms;
               std::visit(
                   [&](auto& what) {
                     if constexpr (requires { what.until_ms; }) {
                       const double lasts = what.until_ms - at;
                       if (what.until_ms > 0 && lasts > 400) {
                         what.until_ms = std::round(at + lasts / 2);
                         cut = true;
                       }
                     }
                   },
                   s.events[i].what);
               return cut;
             })) {}
    }
  }

  void fleet() {
    while (attempt([](Spec& s) { return scale_routers(s, routers(s) / 2); })) {}
    while (attempt([](Spec& s) { return scale_routers(s, routers(s) - 1); })) {}
    while (attempt([](Spec& s) {
      const bool cut = total(s) > 2 && keep_nodes(s, [](MachineId m) { return m % 2 == 0; });
      if (cut) {
        s.load.rate_per_s /= 2;
        drop_empty_groups(s);
      }
      return cut;
    })) {}
    for (MachineId m = 0; m < total(out_.spec) && !used_up();) {
      const bool went = attempt([&](Spec& s) {
        const bool cut = total(s) > 2 && keep_nodes(s, [&](MachineId other) { return other != m; });
        if (cut) drop_empty_groups(s);
        return cut;
      });
      if (!went) m += 1 + total(out_.spec) / 16;
    }
    while (attempt(&drop_last_zone)) {}
  }

  void rest() {
    for (const double share : {0.5, 0.8}) {
      while (attempt([&](Spec& s) {
        s.load.rate_per_s = std::round(s.load.rate_per_s * share * 10) / 10;
        return s.load.rate_per_s >= 1;
      })) {}
    }
    attempt([](Spec& s) { return std::exchange(s.tenants, {}).size() > 0; });
    for (std::size_t c = out_.spec.classes.size(); c-- > 0;) {
      attempt([&](Spec& s) {
        if (s.classes.size() < 2 || c >= s.classes.size()) return false;
        s.classes.erase(s.classes.begin() + static_cast<std::ptrdiff_t>(c));
        return true;
      });
    }
    // Sets settings back to their defaults.
    const Spec usual;
    const auto back = [&](auto member) {
      attempt([&](Spec& s) {
        auto& value = member(s);
        const auto& wanted = member(usual);
        if (value == wanted) return false;
        value = wanted;
        return true;
      });
    };
    back([](auto& s) -> auto& { return s.clients.retries; });
    back([](auto& s) -> auto& { return s.clients.leave_share; });
    back([](auto& s) -> auto& { return s.clients.keep_connections; });
    back([](auto& s) -> auto& { return s.clients.heed; });
    back([](auto& s) -> auto& { return s.network.jitter; });
    back([](auto& s) -> auto& { return s.network.cross_ms; });
    back([](auto& s) -> auto& { return s.routers.tick_ms; });
    back([](auto& s) -> auto& { return s.routers.max_attempts; });
    back([](auto& s) -> auto& { return s.routers.may_duplicate; });
    back([](auto& s) -> auto& { return s.routers.may_cancel; });
    back([](auto& s) -> auto& { return s.routers.retry_advice; });
    back([](auto& s) -> auto& { return s.routers.drain_grace_ms; });
    back([](auto& s) -> auto& { return s.routers.resize.transition_ms; });
    back([](auto& s) -> auto& { return s.routers.resize.second_replica_share; });
    back([](auto& s) -> auto& { return s.origin.fall_multiple; });
    back([](auto& s) -> auto& { return s.origin.crowded_loss; });
    back([](auto& s) -> auto& { return s.front.notice_ms; });
    back([](auto& s) -> auto& { return s.routers.sharing.on; });
    back([](auto& s) -> auto& { return s.network.datagram_loss; });
    attempt([](Spec& s) {
      bool cut = false;
      for (NodeKind& k : s.kinds) {
        cut |= k.error_rate > 0 || k.crowded_loss > 0 || k.speed_cv > 0;
        k.error_rate = k.crowded_loss = k.speed_cv = 0;
      }
      return cut;
    });
  }

  const std::function<double(const Spec&)>& broken_;
  const std::uint32_t most_;
  Shrunk out_;
};

} // namespace

Shrunk shrink(const Spec& spec, const std::function<double(const Spec&)>& broken, std::uint32_t most_plays) {
  return Shrinking(spec, broken, most_plays).run();
}

} // namespace fernward::lab::storm
