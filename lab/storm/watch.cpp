#include "lab/storm/watch.h"

#include <algorithm>
#include <cmath>

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

template <typename T>
void grow(std::vector<T>& all, std::size_t at) {
  if (all.size() <= at) all.resize(at + 1);
}

} // namespace

Cell over(const Series& series, double from_ms, double to_ms) {
  Cell sum;
  const double first = std::ceil(from_ms / kStepMs);
  for (auto i = static_cast<std::size_t>(std::max(0.0, first)); i < series.size(); ++i) {
    if (static_cast<double>(i) * kStepMs >= to_ms) break;
    sum.add(series[i]);
  }
  return sum;
}

Watch::Watch(const Spec& spec, const Plan& plan, double withdrawn_ms)
    : spec_(spec),
      plan_(plan),
      withdrawn_ms_(withdrawn_ms),
      up_(plan.routers.size()),
      silent_(plan.routers.size()),
      believed_(plan.routers.size() * plan.machines.size()),
      believers_(plan.machines.size()),
      withdrawn_at_(plan.machines.size()),
      unheard_until_(plan.routers.size()) {
  const auto steps = static_cast<std::size_t>(spec.duration_ms / kStepMs) + 1;
  seen_.whole.resize(steps);
  const auto groups = [&](Group::By by, std::size_t count) {
    for (std::uint32_t i = 0; i < count; ++i) seen_.groups.push_back({by, i, Series(steps)});
  };
  groups(Group::By::Zone, spec.zones.size());
  groups(Group::By::Class, spec.classes.size());
  groups(Group::By::Tenant, spec.tenants.size());
  for (const TimedEvent& e : spec.events) {
    if (const auto* o = std::get_if<DiscoveryOutage>(&e.what)) {
      outages_.emplace_back(e.at_ms, o->until_ms > 0 ? o->until_ms : spec.duration_ms);
    }
    if (const auto* m = std::get_if<DiscoveryMove>(&e.what)) { // each router until it is reloaded
      for (RouterId r = 0; r < plan.routers.size(); ++r) {
        unheard_until_[r] = std::max(unheard_until_[r], e.at_ms + m->reload_after_ms * (r + 1));
      }
    }
  }
}

template <typename Do>
void Watch::each(const Open& open, Do what) {
  what(seen_.whole[open.step]);
  const std::size_t zones = spec_.zones.size(), classes = spec_.classes.size();
  what(seen_.groups[open.zone].series[open.step]);
  what(seen_.groups[zones + open.cls].series[open.step]);
  if (!spec_.tenants.empty()) what(seen_.groups[zones + classes + open.tenant].series[open.step]);
}

void Watch::on(const Drawn& d) {
  const auto step = std::min(static_cast<std::uint32_t>(d.at / kStepMs),
                             static_cast<std::uint32_t>(seen_.whole.size() - 1));
  const Open open{step, d.zone, d.cls, d.tenant, d.over_share};
  open_[d.request] = open;
  ++seen_.work.requests;
  if (open.over) return;
  each(open, [&](Cell& c) {
    c.asked += d.worth;
    ++c.drawn;
  });
}

void Watch::on(const Closed& c) {
  const auto found = open_.find(c.request);
  if (found == open_.end()) return;
  const Open open = found->second;
  open_.erase(found);
  if (open.over) return;
  each(open, [&](Cell& cell) {
    cell.earned += c.earned;
    cell.served += c.end == Heard::Served ? 1 : 0;
  });
}

void Watch::on(const Tried& t) { seen_.work.tries += t.taken ? 1 : 0; }

void Watch::on(const LoadSample& s) { seen_.work.connections += s.new_connections; }

void Watch::on(const Arrived& a) {
  ++(a.machine == plan_.origin ? seen_.work.at_origin : seen_.work.at_caches);
  if (a.write) ++seen_.work.writes;
  if (a.machine >= believers_.size() || a.router >= up_.size()) return;
  const std::size_t own = std::size_t{a.router} * believers_.size() + a.machine;
  if (believers_[a.machine] != 1 || !believed_[own]) return;
  if (std::count(up_.begin(), up_.end(), 1) < 3) return; // with two routers there is no majority
  const double alone = a.sent_at - withdrawn_at_[a.machine];
  if (alone < withdrawn_ms_) return;
  for (RouterId r = 0; r < up_.size(); ++r) { // a router that misses updates may itself be wrong
    if (up_[r] && (silent_[r] || excused(r, withdrawn_at_[a.machine], a.sent_at))) return;
  }
  ++seen_.alone;
  if (alone <= seen_.alone_ms) return;
  seen_.alone_ms = alone;
  seen_.alone_at = a.at;
  seen_.alone_what = plan_.routers[a.router].name + " sent to " + plan_.machines[a.machine].name;
}

// Whether the router could not be notified for some time between `from` and `to`.
bool Watch::excused(RouterId router, double from, double to) const {
  if (unheard_until_[router] + withdrawn_ms_ > from) return true;
  return std::any_of(outages_.begin(), outages_.end(),
                     [&](const auto& o) { return o.first < to && o.second + withdrawn_ms_ > from; });
}

void Watch::believes(double now, RouterId router, MachineId machine, bool in_service) {
  char& believed = believed_[std::size_t{router} * believers_.size() + machine];
  if ((believed != 0) == in_service) return;
  believed = in_service ? 1 : 0;
  const std::uint32_t before = believers_[machine];
  believers_[machine] = in_service ? before + 1 : before - 1;
  // The first router notified of a start is not the last one notified of an end.
  if (in_service || before == 2) withdrawn_at_[machine] = now;
}

void Watch::on(const Told& t) {
  if (t.router >= up_.size() || t.machine >= believers_.size()) return;
  believes(t.at, t.router, t.machine, t.state == ServerState::Ready);
}

void Watch::on(const Shared& s) {
  if (seen_.held.empty() || seen_.held.back().at != s.at) {
    Held held;
    held.at = s.at;
    held.up = static_cast<std::uint32_t>(std::count(up_.begin(), up_.end(), 1));
    held.least_living = held.most_living = s.living;
    held.all_parts = true;
    seen_.held.push_back(held);
  }
  Held& held = seen_.held.back();
  ++held.routers;
  held.least_living = std::min(held.least_living, s.living);
  held.most_living = std::max(held.most_living, s.living);
  held.limits += s.limit;
  held.parts += s.part;
  held.all_parts &= s.part > 0;
}

void Watch::on(const RouterEvent& e) {
  if (e.router >= up_.size()) return;
  using What = RouterEvent::What;
  switch (e.what) {
    case What::Started: up_[e.router] = 1; break;
    case What::Killed:
    case What::Ended:
    case What::Crashed:
      up_[e.router] = 0;
      for (MachineId m = 0; m < believers_.size(); ++m) believes(e.at, e.router, m, false);
      break;
    case What::Silent: silent_[e.router] = 1; break;
    case What::Returned:
      silent_[e.router] = 0;
      unheard_until_[e.router] = std::max(unheard_until_[e.router], e.at);
      break;
    default: break;
  }
}

} // namespace fernward::lab::storm
