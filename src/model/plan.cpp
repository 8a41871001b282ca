#include "model/plan.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

#include "model/keys.h"
#include "model/rng.h"

namespace fernward::model {
namespace {

class Planner {
 public:
  explicit Planner(const Spec& spec) : spec_(spec), picks_(stream(spec.seed, "picks")) {}

  Plan make() {
    machines();
    routers();
    shares();
    std::vector<std::uint32_t> order(spec_.events.size());
    for (std::uint32_t i = 0; i < order.size(); ++i) order[i] = i;
    std::stable_sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
      return spec_.events[a].at_ms < spec_.events[b].at_ms;
    });
    for (const std::uint32_t i : order) event(i);
    std::stable_sort(plan_.steps.begin(), plan_.steps.end(),
                     [](const Step& a, const Step& b) { return a.at_ms < b.at_ms; });
    return std::move(plan_);
  }

 private:
  // ---- the fleet ----

  Machine& add(std::string name, std::uint32_t group, std::uint32_t kind, std::uint32_t zone) {
    Machine m;
    m.id = static_cast<MachineId>(plan_.machines.size());
    m.name = std::move(name);
    m.group = group;
    m.kind = kind;
    m.zone = zone;
    m.address_of = m.id;
    plan_.machines.push_back(std::move(m));
    in_service_.push_back(false);
    return plan_.machines.back();
  }

  void size_up(Machine& m) {
    const NodeKind& kind = spec_.kinds[m.kind];
    Engine speeds = stream(spec_.seed, "speed", m.id);
    m.speed = kind.speed * draw_factor(kind.speed_cv, speeds);
    const double error = spec_.nodes[m.group].weight_error;
    m.weight = kind.cores * kind.speed * (1 + draw_uniform(-error, error, speeds));
  }

  void machines() {
    std::uint32_t cells = 0;
    for (std::uint32_t g = 0; g < spec_.nodes.size(); ++g) {
      const NodeGroup& group = spec_.nodes[g];
      const std::uint32_t in_cell = std::max(1u, group.cell_size), all = group.count + group.standby;
      for (std::uint32_t i = 0; i < all; ++i) {
        Machine& m = add(group.name + "-" + std::to_string(i), g, group.kind, group.zone);
        m.cell = cells + i / in_cell;
        m.at_start = i < group.count;
        size_up(m);
        in_service_[m.id] = m.at_start;
      }
      cells += (all + in_cell - 1) / in_cell;
    }
    plan_.origin = static_cast<MachineId>(plan_.machines.size());
    if (spec_.origin.on) {
      const auto groups = static_cast<std::uint32_t>(spec_.nodes.size());
      Machine& m = add(kOriginKindName, groups, origin_kind(spec_), spec_.origin.zone);
      m.cell = cells;
      m.at_start = true;
    }
  }

  void routers() {
    for (const RouterGroup& group : spec_.routers.groups) {
      for (std::uint32_t i = 0; i < group.count; ++i) {
        const auto id = static_cast<RouterId>(plan_.routers.size());
        std::string name = "r";
        name += std::to_string(id);
        plan_.routers.push_back({id, std::move(name), group.zone});
      }
    }
  }

  void shares() {
    double sum = 0;
    for (const Zone& zone : spec_.zones) sum += zone.client_share;
    for (const Zone& zone : spec_.zones) {
      plan_.client_share.push_back(sum > 0 ? zone.client_share / sum
                                           : 1 / static_cast<double>(spec_.zones.size()));
    }
  }

  // ---- selection ----

  template <typename Id>
  std::vector<Id> part_of(std::vector<Id> all, std::optional<std::uint32_t> count, double share,
                          bool random) {
    if (all.empty()) {
      plan_.idle.push_back(number_);
      return all;
    }
    const auto size = static_cast<double>(all.size());
    std::size_t wanted = count ? *count : static_cast<std::size_t>(std::llround(share * size));
    if (!count) wanted = std::max<std::size_t>(wanted, 1);
    wanted = std::min(wanted, all.size());
    if (random) { // partial Fisher-Yates shuffle of the first `wanted`
      for (std::size_t i = 0; i < wanted; ++i) {
        boost::random::uniform_int_distribution<std::size_t> at(i, all.size() - 1);
        std::swap(all[i], all[at(picks_)]);
      }
    }
    all.resize(wanted);
    std::sort(all.begin(), all.end());
    return all;
  }

  std::vector<MachineId> pick(const NodePick& who, std::optional<bool> in_service) {
    std::vector<MachineId> all;
    for (const Machine& m : plan_.machines) {
      if (m.id == plan_.origin && spec_.origin.on) continue;
      if (!who.nodes.empty() && std::find(who.nodes.begin(), who.nodes.end(), m.id) == who.nodes.end())
        continue;
      if ((who.group && *who.group != m.group) || (who.kind && *who.kind != m.kind)) continue;
      if ((who.zone && *who.zone != m.zone) || replaced(m.id)) continue;
      if (in_service && in_service_[m.id] != *in_service) continue;
      all.push_back(m.id);
    }
    return part_of(std::move(all), who.count, who.share, who.random);
  }
  std::vector<RouterId> pick(const RouterPick& who, const std::vector<RouterId>& but = {}) {
    std::vector<RouterId> all;
    for (const RouterPlace& r : plan_.routers) {
      if (std::find(but.begin(), but.end(), r.id) != but.end()) continue;
      if (!who.routers.empty() &&
          std::find(who.routers.begin(), who.routers.end(), r.id) == who.routers.end()) {
        continue;
      }
      if (!who.zone || *who.zone == r.zone) all.push_back(r.id);
    }
    return part_of(std::move(all), who.count, who.share, who.random);
  }
  bool replaced(MachineId id) const {
    return std::any_of(plan_.machines.begin(), plan_.machines.end(),
                       [&](const Machine& m) { return m.address_of == id && m.id != id; });
  }

  // ---- events ----

  void step(double at, decltype(Step::what) what) { plan_.steps.push_back({at, std::move(what)}); }
  void node(double at, MachineId id, NodeStep::What what, double share = 0,
            BadAnswer kind = BadAnswer::Error) {
    step(at, NodeStep{id, what, share, kind});
  }
  double end_of(double until) const { return until > 0 ? until : spec_.duration_ms; }

  void event(std::uint32_t number) {
    const TimedEvent& e = spec_.events[number];
    number_ = number;
    until_ = e.at_ms;
    step(e.at_ms, MarkStep{number, true});
    std::visit([&](const auto& what) { happen(e.at_ms, what); }, e.what);
    step(std::max(until_, e.at_ms), MarkStep{number, false});
  }

  void happen(double at, const Neighbour& n) {
    until_ = end_of(n.until_ms);
    for (const MachineId id : pick(n.who, true)) {
      if (!(n.on_ms > 0) || !(n.off_ms > 0)) {
        node(at, id, NodeStep::What::Neighbour, n.share);
      } else {
        Engine spells = stream(spec_.seed, "neighbour", mix(number_, id));
        for (double t = at + draw_uniform(0, n.off_ms, spells); t < until_;) {
          node(t, id, NodeStep::What::Neighbour, n.share);
          t += draw_exponential(n.on_ms, spells);
          if (t < until_) node(t, id, NodeStep::What::Neighbour, 0);
          t += draw_exponential(n.off_ms, spells);
        }
      }
      node(until_, id, NodeStep::What::Neighbour, 0);
    }
  }
  void happen(double at, const StartNodes& s) {
    for (const MachineId id : pick(s.who, false)) {
      node(at, id, NodeStep::What::Start);
      in_service_[id] = true;
    }
  }
  void happen(double at, const DrainNodes& d) {
    const auto who = pick(d.who, true);
    for (std::size_t i = 0; i < who.size(); ++i) {
      const double begins = at + d.over_ms * static_cast<double>(i) / static_cast<double>(who.size());
      node(begins, who[i], NodeStep::What::Drain);
      node(begins + d.drain_ms, who[i], NodeStep::What::End);
      until_ = std::max(until_, begins + d.drain_ms);
      in_service_[who[i]] = false;
    }
  }
  void happen(double at, const KillNodes& k) {
    for (const MachineId id : pick(k.who, true)) {
      node(at, id, NodeStep::What::End);
      in_service_[id] = false;
    }
  }
  void happen(double at, const ReplaceNodes& r) {
    until_ = at + r.after_ms;
    for (const MachineId id : pick(r.who, true)) {
      node(at, id, NodeStep::What::End);
      in_service_[id] = false;
      const Machine old = plan_.machines[id];
      Machine& next = add(old.name + "-next", old.group, old.kind, old.zone);
      next.cell = old.cell;
      next.address_of = old.address_of;
      size_up(next);
      in_service_[next.id] = true;
      node(until_, next.id, NodeStep::What::Start);
    }
  }
  void happen(double at, const RestartNodes& r) {
    until_ = at + r.after_ms;
    for (const MachineId id : pick(r.who, true)) {
      node(at, id, NodeStep::What::End);
      node(until_, id, NodeStep::What::Start);
    }
  }
  void happen(double at, const SilentNodes& s) {
    until_ = end_of(s.until_ms);
    for (const MachineId id : pick(s.who, true)) {
      node(at, id, NodeStep::What::Silence);
      if (s.until_ms > 0) node(until_, id, NodeStep::What::Return);
    }
  }
  void happen(double at, const CutZones& c) {
    CutStep cut;
    const auto in = [](const std::vector<std::uint32_t>& zones, std::uint32_t zone) {
      return std::find(zones.begin(), zones.end(), zone) != zones.end();
    };
    for (const Machine& m : plan_.machines) {
      if (in(c.a, m.zone)) cut.machines_a.push_back(m.id);
      if (in(c.b, m.zone)) cut.machines_b.push_back(m.id);
    }
    for (const RouterPlace& r : plan_.routers) {
      if (in(c.a, r.zone)) cut.routers_a.push_back(r.id);
      if (in(c.b, r.zone)) cut.routers_b.push_back(r.id);
    }
    spell(at, std::move(cut), c.until_ms);
  }
  void happen(double at, const CutNodes& c) {
    CutStep cut;
    cut.machines_a = pick(c.nodes, std::nullopt);
    cut.routers_b = pick(c.routers);
    spell(at, std::move(cut), c.until_ms);
  }
  void happen(double at, const CutRouters& c) {
    CutStep cut;
    cut.one_way = c.one_way;
    cut.routers_a = pick(c.a);
    cut.routers_b = pick(c.b, cut.routers_a);
    if (c.carries == CutWhat::All) {
      const auto stand_in = [this](const std::vector<RouterId>& routers, std::uint32_t zone) {
        return std::any_of(routers.begin(), routers.end(),
                           [&](RouterId r) { return plan_.routers[r].zone == zone; });
      };
      for (const Machine& m : plan_.machines) {
        const bool a = stand_in(cut.routers_a, m.zone), b = stand_in(cut.routers_b, m.zone);
        if (a && !b) cut.machines_a.push_back(m.id);
        if (b && !a) cut.machines_b.push_back(m.id);
      }
    }
    spell(at, std::move(cut), c.until_ms);
  }
  void spell(double at, CutStep cut, double until) {
    until_ = end_of(until);
    cut.cut = number_;
    cut.on = true;
    step(at, cut);
    if (until > 0) step(until_, CutStep{number_, false, {}, {}, {}, {}, false});
  }
  void happen(double at, const LoseDatagrams& l) {
    until_ = end_of(l.until_ms);
    step(at, LossStep{number_, true, l.share, l.twice, pick(l.who)});
    if (l.until_ms > 0) step(until_, LossStep{number_, false, 0, 0, {}});
  }
  void happen(double at, const PauseRouters& p) {
    until_ = end_of(p.until_ms);
    for (const RouterId id : pick(p.who)) {
      step(at, RouterStep{id, RouterStep::What::Pause, 0});
      if (p.until_ms > 0) step(until_, RouterStep{id, RouterStep::What::Wake, 0});
    }
  }
  void happen(double at, const LyingRouter& l) {
    until_ = end_of(l.until_ms);
    step(at, LieStep{number_, true, l, pick(l.who)});
    if (l.until_ms > 0) step(until_, LieStep{number_, false, {}, {}});
  }
  void happen(double at, const RestartRouters& r) {
    const auto who = pick(r.who);
    const std::size_t batch = r.batch > 0 ? r.batch : std::max<std::size_t>(1, who.size());
    const std::size_t batches = (who.size() + batch - 1) / batch;
    for (std::size_t i = 0; i < who.size(); ++i) {
      const double part = batches > 0 ? static_cast<double>(i / batch) / static_cast<double>(batches) : 0;
      const double begins = at + r.over_ms * part;
      const bool kill = r.how == RouterEnd::Kill, back = r.down_ms > 0;
      step(begins,
           RouterStep{who[i], kill ? RouterStep::What::Kill : RouterStep::What::Term, back ? r.down_ms : -1});
      if (kill && back) step(begins + r.down_ms, RouterStep{who[i], RouterStep::What::Start, 0});
      until_ = std::max(until_, begins + (back ? r.down_ms : 0));
    }
  }
  void happen(double at, const ReloadRouters& r) {
    for (const RouterId id : pick(r.who)) step(at, RouterStep{id, RouterStep::What::Reload, 0});
  }
  void happen(double at, const DiscoveryOutage& o) {
    until_ = end_of(o.until_ms);
    step(at, DiscoveryStep{DiscoveryStep::What::Down});
    if (o.until_ms > 0) step(until_, DiscoveryStep{DiscoveryStep::What::Up});
  }
  void happen(double at, const DiscoveryMove& m) {
    step(at, DiscoveryStep{DiscoveryStep::What::MoveBegins});
    step(at + m.old_stays_ms, DiscoveryStep{DiscoveryStep::What::OldEnds});
    for (const RouterPlace& r : plan_.routers) {
      until_ = at + m.reload_after_ms * (r.id + 1);
      step(until_, RouterStep{r.id, RouterStep::What::Reload, 0});
    }
    until_ = std::max(until_, at + m.old_stays_ms);
  }
  void speed(double at, double factor, double until) {
    until_ = end_of(until);
    step(at, OriginStep{OriginStep::What::Speed, factor, 0});
    if (until > 0) step(until_, OriginStep{OriginStep::What::Speed, 1, 0});
  }
  void happen(double at, const OriginStall& s) { speed(at, 0, s.until_ms); }
  void happen(double at, const OriginSlow& s) { speed(at, s.factor, s.until_ms); }
  void happen(double at, const OriginFall& f) {
    until_ = at + f.down_ms;
    step(at, OriginStep{OriginStep::What::Fall, 1, f.down_ms});
  }
  void happen(double at, const HotKey& h) {
    until_ = end_of(h.until_ms);
    plan_.hot.push_back({at, until_, h.share, Keys::hot_key(number_)});
  }
  void happen(double at, const LoadSpike& s) {
    until_ = end_of(s.until_ms);
    plan_.rates.push_back({at, until_, s.factor});
  }
  void happen(double at, const BadAnswers& b) {
    until_ = end_of(b.until_ms);
    for (const MachineId id : pick(b.who, true)) {
      node(at, id, NodeStep::What::Bad, b.share, b.kind);
      if (b.until_ms > 0) node(until_, id, NodeStep::What::Bad, 0, b.kind);
    }
  }
  void happen(double at, const LostZone& z) {
    until_ = end_of(z.until_ms);
    const bool back = z.until_ms > 0;
    for (const Machine& m : plan_.machines) {
      if (m.zone != z.zone) continue;
      node(at, m.id, NodeStep::What::Silence);
      if (back) node(until_, m.id, NodeStep::What::Return);
    }
    for (const RouterPlace& r : plan_.routers) {
      if (r.zone != z.zone) continue;
      step(at, RouterStep{r.id, RouterStep::What::Silence, 0});
      if (back) step(until_, RouterStep{r.id, RouterStep::What::Return, 0});
    }
    step(at, ZoneStep{z.zone, z.clients_move ? ZoneStep::What::Move : ZoneStep::What::Lost});
    if (back) step(until_, ZoneStep{z.zone, ZoneStep::What::Usual});
  }
  void happen(double at, const SlowLink& s) {
    until_ = end_of(s.until_ms);
    step(at, LinkStep{s.from, s.to, s.factor});
    if (s.until_ms > 0) step(until_, LinkStep{s.from, s.to, 1});
  }

  const Spec& spec_;
  Engine picks_;
  Plan plan_;
  std::vector<bool> in_service_; // by machine, after the events planned so far
  std::uint32_t number_ = 0;     // of the event that is being planned
  double until_ = 0;             // when that event ends, for its mark
};

} // namespace

Plan make_plan(const Spec& spec) { return Planner(spec).make(); }

} // namespace fernward::model
