#include "model/plan.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

#include "model/key_space.h"
#include "model/rng.h"

namespace fernward::model {
namespace {

class Planner {
 public:
  explicit Planner(const Spec& spec) : spec_(spec), selection_engine_(stream(spec.seed, "picks")) {}

  Plan build() {
    add_machines();
    add_routers();
    add_client_shares();
    std::vector<std::uint32_t> order(spec_.events.size());
    for (std::uint32_t i = 0; i < order.size(); ++i) order[i] = i;
    std::stable_sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
      return spec_.events[a].at_ms < spec_.events[b].at_ms;
    });
    for (const std::uint32_t i : order) add_event(i);
    std::stable_sort(plan_.steps.begin(), plan_.steps.end(),
                     [](const Step& a, const Step& b) { return a.at_ms < b.at_ms; });
    return std::move(plan_);
  }

 private:
  // ---- the fleet ----

  PlannedMachine& add_machine(std::string name, std::uint32_t group, std::uint32_t kind, std::uint32_t zone) {
    PlannedMachine machine;
    machine.id = static_cast<MachineId>(plan_.machines.size());
    machine.name = std::move(name);
    machine.group = group;
    machine.kind = kind;
    machine.zone = zone;
    machine.address_of = machine.id;
    plan_.machines.push_back(std::move(machine));
    in_service_.push_back(false);
    return plan_.machines.back();
  }

  void draw_speed_and_weight(PlannedMachine& machine) {
    const NodeKind& kind = spec_.kinds[machine.kind];
    Engine speed_engine = stream(spec_.seed, "speed", machine.id);
    machine.speed = kind.speed * draw_factor(kind.speed_cv, speed_engine);
    const double weight_error = spec_.nodes[machine.group].weight_error;
    machine.weight = kind.cores * kind.speed * (1 + draw_uniform(-weight_error, weight_error, speed_engine));
  }

  void add_machines() {
    std::uint32_t cell_count = 0;
    for (std::uint32_t group_index = 0; group_index < spec_.nodes.size(); ++group_index) {
      const NodeGroup& group = spec_.nodes[group_index];
      const std::uint32_t cell_size = std::max(1u, group.cell_size), group_size = group.count + group.standby;
      for (std::uint32_t i = 0; i < group_size; ++i) {
        PlannedMachine& machine =
            add_machine(group.name + "-" + std::to_string(i), group_index, group.kind, group.zone);
        machine.cell = cell_count + i / cell_size;
        machine.in_service_at_start = i < group.count;
        draw_speed_and_weight(machine);
        in_service_[machine.id] = machine.in_service_at_start;
      }
      cell_count += (group_size + cell_size - 1) / cell_size;
    }
    plan_.origin = static_cast<MachineId>(plan_.machines.size());
    if (spec_.origin.enabled) {
      const auto groups = static_cast<std::uint32_t>(spec_.nodes.size());
      PlannedMachine& machine = add_machine(kOriginKindName, groups, origin_kind(spec_), spec_.origin.zone);
      machine.cell = cell_count;
      machine.in_service_at_start = true;
    }
  }

  void add_routers() {
    for (const RouterGroup& group : spec_.routers.groups) {
      for (std::uint32_t i = 0; i < group.count; ++i) {
        const auto id = static_cast<RouterId>(plan_.routers.size());
        std::string name = "r";
        name += std::to_string(id);
        plan_.routers.push_back({id, std::move(name), group.zone});
      }
    }
  }

  void add_client_shares() {
    double share_sum = 0;
    for (const Zone& zone : spec_.zones) share_sum += zone.client_share;
    for (const Zone& zone : spec_.zones) {
      plan_.client_share.push_back(share_sum > 0 ? zone.client_share / share_sum
                                                 : 1 / static_cast<double>(spec_.zones.size()));
    }
  }

  // ---- selection ----

  template <typename Id>
  std::vector<Id> select_part(std::vector<Id> candidates, std::optional<std::uint32_t> count, double share,
                              bool random) {
    if (candidates.empty()) {
      plan_.events_without_target.push_back(event_number_);
      return candidates;
    }
    const auto size = static_cast<double>(candidates.size());
    std::size_t wanted = count ? *count : static_cast<std::size_t>(std::llround(share * size));
    if (!count) wanted = std::max<std::size_t>(wanted, 1);
    wanted = std::min(wanted, candidates.size());
    if (random) { // partial Fisher-Yates shuffle of the first `wanted`
      for (std::size_t i = 0; i < wanted; ++i) {
        boost::random::uniform_int_distribution<std::size_t> position(i, candidates.size() - 1);
        std::swap(candidates[i], candidates[position(selection_engine_)]);
      }
    }
    candidates.resize(wanted);
    std::sort(candidates.begin(), candidates.end());
    return candidates;
  }

  std::vector<MachineId> select(const NodeSelector& selector, std::optional<bool> in_service) {
    std::vector<MachineId> candidates;
    for (const PlannedMachine& machine : plan_.machines) {
      if (machine.id == plan_.origin && spec_.origin.enabled) continue;
      if (!selector.nodes.empty() &&
          std::find(selector.nodes.begin(), selector.nodes.end(), machine.id) == selector.nodes.end())
        continue;
      if ((selector.group && *selector.group != machine.group) ||
          (selector.kind && *selector.kind != machine.kind))
        continue;
      if ((selector.zone && *selector.zone != machine.zone) || is_replaced(machine.id)) continue;
      if (in_service && in_service_[machine.id] != *in_service) continue;
      candidates.push_back(machine.id);
    }
    return select_part(std::move(candidates), selector.count, selector.share, selector.random);
  }
  std::vector<RouterId> select(const RouterSelector& selector, const std::vector<RouterId>& excluded = {}) {
    std::vector<RouterId> candidates;
    for (const PlannedRouter& router : plan_.routers) {
      if (std::find(excluded.begin(), excluded.end(), router.id) != excluded.end()) continue;
      if (!selector.routers.empty() &&
          std::find(selector.routers.begin(), selector.routers.end(), router.id) == selector.routers.end()) {
        continue;
      }
      if (!selector.zone || *selector.zone == router.zone) candidates.push_back(router.id);
    }
    return select_part(std::move(candidates), selector.count, selector.share, selector.random);
  }
  bool is_replaced(MachineId machine_id) const {
    return std::any_of(plan_.machines.begin(), plan_.machines.end(), [&](const PlannedMachine& machine) {
      return machine.address_of == machine_id && machine.id != machine_id;
    });
  }

  // ---- events ----

  void add_step(double at, decltype(Step::what) what) { plan_.steps.push_back({at, std::move(what)}); }
  void add_node_step(double at, MachineId id, NodeStep::What what, double share = 0,
                     BadResponse kind = BadResponse::Error) {
    add_step(at, NodeStep{id, what, share, kind});
  }
  double end_or_duration(double until) const { return until > 0 ? until : spec_.duration_ms; }

  void add_event(std::uint32_t number) {
    const TimedEvent& timed_event = spec_.events[number];
    event_number_ = number;
    event_end_ms_ = timed_event.at_ms;
    add_step(timed_event.at_ms, MarkStep{number, true});
    std::visit([&](const auto& what) { add_event_steps(timed_event.at_ms, what); }, timed_event.what);
    add_step(std::max(event_end_ms_, timed_event.at_ms), MarkStep{number, false});
  }

  void add_event_steps(double at, const NoisyNeighbour& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    for (const MachineId id : select(event.who, true)) {
      if (!(event.on_ms > 0) || !(event.off_ms > 0)) {
        add_node_step(at, id, NodeStep::What::Neighbour, event.share);
      } else {
        Engine on_off_engine = stream(spec_.seed, "neighbour", hash_numbers(event_number_, id));
        for (double time_ms = at + draw_uniform(0, event.off_ms, on_off_engine); time_ms < event_end_ms_;) {
          add_node_step(time_ms, id, NodeStep::What::Neighbour, event.share);
          time_ms += draw_exponential(event.on_ms, on_off_engine);
          if (time_ms < event_end_ms_) add_node_step(time_ms, id, NodeStep::What::Neighbour, 0);
          time_ms += draw_exponential(event.off_ms, on_off_engine);
        }
      }
      add_node_step(event_end_ms_, id, NodeStep::What::Neighbour, 0);
    }
  }
  void add_event_steps(double at, const StartNodes& event) {
    for (const MachineId id : select(event.who, false)) {
      add_node_step(at, id, NodeStep::What::Start);
      in_service_[id] = true;
    }
  }
  void add_event_steps(double at, const DrainNodes& event) {
    const auto selected = select(event.who, true);
    for (std::size_t i = 0; i < selected.size(); ++i) {
      const double begins_ms =
          at + event.over_ms * static_cast<double>(i) / static_cast<double>(selected.size());
      add_node_step(begins_ms, selected[i], NodeStep::What::Drain);
      add_node_step(begins_ms + event.drain_ms, selected[i], NodeStep::What::End);
      event_end_ms_ = std::max(event_end_ms_, begins_ms + event.drain_ms);
      in_service_[selected[i]] = false;
    }
  }
  void add_event_steps(double at, const KillNodes& event) {
    for (const MachineId id : select(event.who, true)) {
      add_node_step(at, id, NodeStep::What::End);
      in_service_[id] = false;
    }
  }
  void add_event_steps(double at, const ReplaceNodes& event) {
    event_end_ms_ = at + event.after_ms;
    for (const MachineId id : select(event.who, true)) {
      add_node_step(at, id, NodeStep::What::End);
      in_service_[id] = false;
      const PlannedMachine old_machine = plan_.machines[id];
      PlannedMachine& replacement =
          add_machine(old_machine.name + "-next", old_machine.group, old_machine.kind, old_machine.zone);
      replacement.cell = old_machine.cell;
      replacement.address_of = old_machine.address_of;
      draw_speed_and_weight(replacement);
      in_service_[replacement.id] = true;
      add_node_step(event_end_ms_, replacement.id, NodeStep::What::Start);
    }
  }
  void add_event_steps(double at, const RestartNodes& event) {
    event_end_ms_ = at + event.after_ms;
    for (const MachineId id : select(event.who, true)) {
      add_node_step(at, id, NodeStep::What::End);
      add_node_step(event_end_ms_, id, NodeStep::What::Start);
    }
  }
  void add_event_steps(double at, const SilentNodes& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    for (const MachineId id : select(event.who, true)) {
      add_node_step(at, id, NodeStep::What::Silence);
      if (event.until_ms > 0) add_node_step(event_end_ms_, id, NodeStep::What::Return);
    }
  }
  void add_event_steps(double at, const PartitionZones& event) {
    PartitionStep partition;
    const auto contains = [](const std::vector<std::uint32_t>& zones, std::uint32_t zone) {
      return std::find(zones.begin(), zones.end(), zone) != zones.end();
    };
    for (const PlannedMachine& machine : plan_.machines) {
      if (contains(event.a, machine.zone)) partition.machines_a.push_back(machine.id);
      if (contains(event.b, machine.zone)) partition.machines_b.push_back(machine.id);
    }
    for (const PlannedRouter& router : plan_.routers) {
      if (contains(event.a, router.zone)) partition.routers_a.push_back(router.id);
      if (contains(event.b, router.zone)) partition.routers_b.push_back(router.id);
    }
    add_partition(at, std::move(partition), event.until_ms);
  }
  void add_event_steps(double at, const PartitionNodes& event) {
    PartitionStep partition;
    partition.machines_a = select(event.nodes, std::nullopt);
    partition.routers_b = select(event.routers);
    add_partition(at, std::move(partition), event.until_ms);
  }
  void add_event_steps(double at, const PartitionRouters& event) {
    PartitionStep partition;
    partition.one_way = event.one_way;
    partition.routers_a = select(event.a);
    partition.routers_b = select(event.b, partition.routers_a);
    if (event.carries == PartitionedTraffic::All) {
      const auto has_router_in = [this](const std::vector<RouterId>& routers, std::uint32_t zone) {
        return std::any_of(routers.begin(), routers.end(),
                           [&](RouterId router) { return plan_.routers[router].zone == zone; });
      };
      for (const PlannedMachine& machine : plan_.machines) {
        const bool in_a = has_router_in(partition.routers_a, machine.zone),
                   in_b = has_router_in(partition.routers_b, machine.zone);
        if (in_a && !in_b) partition.machines_a.push_back(machine.id);
        if (in_b && !in_a) partition.machines_b.push_back(machine.id);
      }
    }
    add_partition(at, std::move(partition), event.until_ms);
  }
  void add_partition(double at, PartitionStep partition, double until) {
    event_end_ms_ = end_or_duration(until);
    partition.number = event_number_;
    partition.enabled = true;
    add_step(at, partition);
    if (until > 0) add_step(event_end_ms_, PartitionStep{event_number_, false, {}, {}, {}, {}, false});
  }
  void add_event_steps(double at, const LoseDatagrams& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    add_step(at, DatagramLossStep{event_number_, true, event.share, event.twice, select(event.who)});
    if (event.until_ms > 0) add_step(event_end_ms_, DatagramLossStep{event_number_, false, 0, 0, {}});
  }
  void add_event_steps(double at, const PauseRouters& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    for (const RouterId id : select(event.who)) {
      add_step(at, RouterStep{id, RouterStep::What::Pause, 0});
      if (event.until_ms > 0) add_step(event_end_ms_, RouterStep{id, RouterStep::What::Resume, 0});
    }
  }
  void add_event_steps(double at, const InconsistentRouter& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    add_step(at, InconsistentRouterStep{event_number_, true, event, select(event.who)});
    if (event.until_ms > 0) add_step(event_end_ms_, InconsistentRouterStep{event_number_, false, {}, {}});
  }
  void add_event_steps(double at, const RestartRouters& event) {
    const auto selected = select(event.who);
    const std::size_t batch = event.batch > 0 ? event.batch : std::max<std::size_t>(1, selected.size());
    const std::size_t batches = (selected.size() + batch - 1) / batch;
    for (std::size_t i = 0; i < selected.size(); ++i) {
      const double done_share =
          batches > 0 ? static_cast<double>(i / batch) / static_cast<double>(batches) : 0;
      const double begins_ms = at + event.over_ms * done_share;
      const bool kill = event.how == RouterEnd::Kill, comes_back = event.down_ms > 0;
      add_step(begins_ms, RouterStep{selected[i], kill ? RouterStep::What::Kill : RouterStep::What::Term,
                                     comes_back ? event.down_ms : -1});
      if (kill && comes_back)
        add_step(begins_ms + event.down_ms, RouterStep{selected[i], RouterStep::What::Start, 0});
      event_end_ms_ = std::max(event_end_ms_, begins_ms + (comes_back ? event.down_ms : 0));
    }
  }
  void add_event_steps(double at, const ReloadRouters& event) {
    for (const RouterId id : select(event.who)) add_step(at, RouterStep{id, RouterStep::What::Reload, 0});
  }
  void add_event_steps(double at, const DiscoveryOutage& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    add_step(at, DiscoveryStep{DiscoveryStep::What::Down});
    if (event.until_ms > 0) add_step(event_end_ms_, DiscoveryStep{DiscoveryStep::What::Up});
  }
  void add_event_steps(double at, const DiscoveryMove& event) {
    add_step(at, DiscoveryStep{DiscoveryStep::What::MoveBegins});
    add_step(at + event.old_stays_ms, DiscoveryStep{DiscoveryStep::What::OldEnds});
    for (const PlannedRouter& router : plan_.routers) {
      event_end_ms_ = at + event.reload_after_ms * (router.id + 1);
      add_step(event_end_ms_, RouterStep{router.id, RouterStep::What::Reload, 0});
    }
    event_end_ms_ = std::max(event_end_ms_, at + event.old_stays_ms);
  }
  void add_origin_speed_period(double at, double factor, double until) {
    event_end_ms_ = end_or_duration(until);
    add_step(at, OriginStep{OriginStep::What::Speed, factor, 0});
    if (until > 0) add_step(event_end_ms_, OriginStep{OriginStep::What::Speed, 1, 0});
  }
  void add_event_steps(double at, const OriginStall& event) {
    add_origin_speed_period(at, 0, event.until_ms);
  }
  void add_event_steps(double at, const OriginSlow& event) {
    add_origin_speed_period(at, event.factor, event.until_ms);
  }
  void add_event_steps(double at, const OriginFall& event) {
    event_end_ms_ = at + event.down_ms;
    add_step(at, OriginStep{OriginStep::What::Fall, 1, event.down_ms});
  }
  void add_event_steps(double at, const HotKey& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    plan_.hot_key_periods.push_back({at, event_end_ms_, event.share, KeySpace::hot_key(event_number_)});
  }
  void add_event_steps(double at, const LoadSpike& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    plan_.rate_changes.push_back({at, event_end_ms_, event.factor});
  }
  void add_event_steps(double at, const BadResponses& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    for (const MachineId id : select(event.who, true)) {
      add_node_step(at, id, NodeStep::What::Bad, event.share, event.kind);
      if (event.until_ms > 0) add_node_step(event_end_ms_, id, NodeStep::What::Bad, 0, event.kind);
    }
  }
  void add_event_steps(double at, const ZoneOutage& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    const bool comes_back = event.until_ms > 0;
    for (const PlannedMachine& machine : plan_.machines) {
      if (machine.zone != event.zone) continue;
      add_node_step(at, machine.id, NodeStep::What::Silence);
      if (comes_back) add_node_step(event_end_ms_, machine.id, NodeStep::What::Return);
    }
    for (const PlannedRouter& router : plan_.routers) {
      if (router.zone != event.zone) continue;
      add_step(at, RouterStep{router.id, RouterStep::What::Silence, 0});
      if (comes_back) add_step(event_end_ms_, RouterStep{router.id, RouterStep::What::Return, 0});
    }
    add_step(at, ZoneStep{event.zone, event.clients_move ? ZoneStep::What::Move : ZoneStep::What::Lost});
    if (comes_back) add_step(event_end_ms_, ZoneStep{event.zone, ZoneStep::What::Usual});
  }
  void add_event_steps(double at, const SlowLink& event) {
    event_end_ms_ = end_or_duration(event.until_ms);
    add_step(at, LinkStep{event.from, event.to, event.factor});
    if (event.until_ms > 0) add_step(event_end_ms_, LinkStep{event.from, event.to, 1});
  }

  const Spec& spec_;
  Engine selection_engine_;
  Plan plan_;
  std::vector<bool> in_service_;   // by machine, after the events planned so far
  std::uint32_t event_number_ = 0; // of the event that is being planned
  double event_end_ms_ = 0;        // when that event ends, for its mark
};

} // namespace

Plan make_plan(const Spec& spec) { return Planner(spec).build(); }

} // namespace fernward::model
