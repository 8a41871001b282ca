#include "lab/storm/draw.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "model/plan.h"
#include "model/rng.h"

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

// Time allowed for the routers in addition to the delays of discovery and the warm-up of nodes: their
// limiters halve an estimate in 4 s, and an ejected node is tried again within about the same time.
constexpr double kRecoveryAllowanceMs = 8000;
constexpr double kObservedTailMs = 8000; // time after that during which the storm is observed
constexpr double kRarePairShare = 0.75;  // share of storms that begin with a rarely covered pair
constexpr int kPairCandidates = 12;      // pairs drawn for it, of which the one covered least is used

bool needs_several_zones(FaultKind kind) {
  return kind == FaultKind::PartitionedZones || kind == FaultKind::LostZone || kind == FaultKind::SlowLink;
}

// Draws one storm in its constructor. The parts are drawn from one stream of random numbers, in a fixed
// order.
class StormGenerator {
 public:
  StormGenerator(std::uint64_t seed, const Coverage& coverage, const StormLimits& limits)
      : limits_(limits), engine_(stream(seed, "storm")) {
    spec_.seed = seed;
    spec_.name = "storm-" + std::to_string(seed);
    spec_.weight_basis = WeightBasis::Request;
    draw_fault_kinds(coverage);
    draw_fleet();
    draw_load();
    draw_settings();
    draw_faults();
    set_duration();
  }
  Spec take_spec() { return std::move(spec_); }

 private:
  double draw_unit() { return draw_uniform(0, 1, engine_); }
  double draw_between(double from, double to) { return draw_uniform(from, to, engine_); }
  bool draw_bool(double share) { return draw_unit() < share; }
  std::uint32_t draw_integer(std::uint32_t from, std::uint32_t to) { // inclusive
    return std::min(to, from + static_cast<std::uint32_t>(draw_unit() * (to - from + 1)));
  }
  FaultKind draw_kind() { return static_cast<FaultKind>(draw_integer(0, kFaultKindCount - 1)); }

  // ---- fault kinds ----

  void draw_fault_kinds(const Coverage& coverage) {
    FaultKind first = draw_kind(), second = draw_kind();
    if (draw_bool(kRarePairShare)) {
      for (int i = 0; i < kPairCandidates; ++i) {
        const FaultKind other_first = draw_kind(), other_second = draw_kind();
        if (other_first == other_second) continue;
        if (first == second ||
            coverage.storms_with_pair(other_first, other_second) < coverage.storms_with_pair(first, second))
          first = other_first, second = other_second;
      }
    }
    fault_kinds_ = {first, second};
    const auto extra_kinds = static_cast<std::uint32_t>(std::floor(6 * std::pow(draw_unit(), 1.5)));
    for (std::uint32_t i = 0; i < extra_kinds; ++i) fault_kinds_.push_back(draw_kind());
  }

  // ---- the fleet ----

  void draw_fleet() {
    const double size_draw = draw_unit();
    const auto scaled_count = [&](double min_count, double max_count, double draw_value) {
      return static_cast<std::uint32_t>(
          std::lround(min_count * std::pow(std::max(1.0, max_count / min_count),
                                           std::pow(draw_value, limits_.size_exponent))));
    };
    router_count_ = std::max(3u, scaled_count(3, limits_.max_routers, size_draw));
    node_count_ = std::max(6u, scaled_count(6, limits_.max_nodes, 0.6 * size_draw + 0.4 * draw_unit()));
    const bool several_zones = std::any_of(fault_kinds_.begin(), fault_kinds_.end(), &needs_several_zones);
    zone_count_ =
        std::max(several_zones ? 2u : 1u, std::min({draw_integer(1, 5), router_count_, node_count_}));
    for (std::uint32_t z = 0; z < zone_count_; ++z) {
      spec_.zones.push_back({"zone-" + std::to_string(z), draw_between(0.5, 2)});
      spec_.routers.groups.push_back(
          {z, router_count_ / zone_count_ + (z < router_count_ % zone_count_ ? 1 : 0)});
    }
    spec_.network.cross_zone_delay_ms = draw_between(1, 25);
    spec_.network.jitter = draw_between(0, 0.3);
    const std::uint32_t kind_count = draw_bool(0.3) ? 2 : 1;
    for (std::uint32_t k = 0; k < kind_count; ++k) {
      NodeKind kind;
      kind.name = k == 0 ? "plain" : "fast";
      kind.cores = node_count_ > 40 ? 1 : draw_integer(1, 3);
      kind.speed = k == 0 ? 1 : 1.5;
      kind.speed_cv = draw_between(0, 0.2);
      kind.max_queued = draw_integer(6, 24);
      kind.overload_multiple = draw_between(1.5, 4);
      kind.congestion_slowdown = draw_bool(0.5) ? 0.08 : 0;
      kind.start_capacity = draw_between(0.2, 0.6);
      kind.warm_up_ms = draw_between(1000, 6000);
      kind.warm_up_mode = draw_bool(0.5) ? WarmUpMode::Time : WarmUpMode::Requests;
      kind.error_rate = draw_bool(0.3) ? 0.001 : 0;
      kind.cancel_policy = static_cast<CancelPolicy>(draw_integer(0, 2));
      kind.drops_expired = draw_bool(0.3);
      kind.report.period_ms = draw_between(50, 400);
      kind.report.delay_ms = draw_between(10, 800);
      kind.report.enabled = true;
      spec_.kinds.push_back(kind);
    }
    for (std::uint32_t z = 0; z < zone_count_; ++z) {
      const std::uint32_t zone_nodes = node_count_ / zone_count_ + (z < node_count_ % zone_count_ ? 1 : 0);
      for (std::uint32_t k = 0; k < kind_count; ++k) {
        NodeGroup group;
        group.name = spec_.kinds[k].name + "-" + std::to_string(z);
        group.kind = k;
        group.zone = z;
        group.count = k == 0 ? zone_nodes - (kind_count - 1) * (zone_nodes / 3) : zone_nodes / 3;
        group.cell_size = draw_integer(1, 4);
        group.weight_error = draw_between(0, 0.3);
        if (group.count > 0) spec_.nodes.push_back(group);
      }
    }
    for (std::uint32_t k = kind_count; k-- > 1;) { // a small fleet may have no node of a kind
      if (std::none_of(spec_.nodes.begin(), spec_.nodes.end(),
                       [&](const NodeGroup& g) { return g.kind == k; })) {
        spec_.kinds.erase(spec_.kinds.begin() + k);
      }
    }
    node_count_ = 0;
    for (const NodeGroup& group : spec_.nodes) node_count_ += group.count;
  }

  // ---- the load ----

  void draw_load() {
    double capacity = 0;
    for (const NodeGroup& g : spec_.nodes)
      capacity += g.count * spec_.kinds[g.kind].cores * spec_.kinds[g.kind].speed;
    const double utilization = draw_between(0.15, 0.7);
    double work_ms = draw_between(40, 120);
    double rate_per_s = utilization * capacity / work_ms * 1000;
    if (rate_per_s > limits_.max_rate_per_s) {
      work_ms *= rate_per_s / limits_.max_rate_per_s;
      rate_per_s = limits_.max_rate_per_s;
    }
    spec_.load.rate_per_s = std::max(10.0, std::round(rate_per_s));
    const double objective_ms = std::max(draw_between(500, 1500), 8 * work_ms);
    const auto add_class = [&](const char* name, double share, Idempotency idempotency,
                               IdempotencyScope scope, bool write, double priority_weight) {
      ClassSpec cls;
      cls.name = name;
      cls.share = share;
      cls.work = {draw_bool(0.5) ? DistributionShape::Exponential : DistributionShape::LogNormal,
                  std::round(work_ms * 10) / 10, 0.8};
      cls.attempt_work_cv = draw_between(0, 0.3);
      cls.latency_objective_ms = std::round(objective_ms);
      cls.client_timeout_ms = std::round(objective_ms * draw_between(1.5, 2.5));
      cls.priority_weight = priority_weight;
      cls.idempotency = idempotency;
      cls.idempotency_scope = scope;
      cls.idempotency_window_ms = std::round(draw_between(400, 2000));
      cls.write = write;
      spec_.classes.push_back(cls);
    };
    add_class("read", 0.8, Idempotency::Idempotent, IdempotencyScope::All, false, 3);
    if (draw_bool(0.8))
      add_class("write", draw_between(0.02, 0.08), Idempotency::WithKey, IdempotencyScope::All, true, 8);
    if (draw_bool(0.4))
      add_class("cell", draw_between(0.05, 0.2), Idempotency::WithKey,
                draw_bool(0.5) ? IdempotencyScope::Cell : IdempotencyScope::Zone, false, 2);
    if (draw_bool(0.4))
      add_class("once", draw_between(0.02, 0.1), Idempotency::NonIdempotent, IdempotencyScope::All,
                draw_bool(0.5), 4);
    if (draw_bool(0.3))
      add_class("cheap", draw_between(0.1, 0.3), Idempotency::Idempotent, IdempotencyScope::All, false, 1);
    const std::uint32_t tenant_count = draw_bool(0.5) ? draw_integer(2, 4) : 0;
    double remaining_share = 1;
    for (std::uint32_t t = 0; t < tenant_count; ++t) {
      const double share = t + 1 == tenant_count ? remaining_share : remaining_share * draw_between(0.3, 0.6);
      remaining_share -= share;
      const double quota =
          draw_bool(0.5) ? std::ceil(spec_.load.rate_per_s * share * draw_between(1.3, 2)) : 0;
      spec_.tenants.push_back({"tenant-" + std::to_string(t), std::floor(share * 1000) / 1000, 1, quota});
    }
    KeySpec& keys = spec_.keys;
    keys.count = draw_integer(300, 6000);
    keys.zipf = draw_between(0.7, 1.1);
    keys.offset = draw_between(0, 5);
    keys.size = {DistributionShape::LogNormal, 4000, 0.8};
    const double total_bytes = keys.count * 4100.0;
    for (NodeKind& k : spec_.kinds)
      k.memory_bytes = std::ceil(total_bytes * draw_between(1.5, 4) / node_count_) + 40000;
    OriginSpec& origin = spec_.origin;
    origin.zone = draw_integer(0, zone_count_ - 1);
    origin.initial_hit_ratio = draw_between(0.85, 0.97);
    origin.write_multiple = draw_between(1, 2);
    double shares = 0, origin_share = 0;
    for (const ClassSpec& c : spec_.classes) {
      shares += c.share;
      origin_share += c.share * (c.write ? origin.write_multiple : 1 - origin.initial_hit_ratio);
    }
    const double origin_rate_per_s = spec_.load.rate_per_s * origin_share / shares;
    origin.capacity_per_s = std::round(std::max(12.0, origin_rate_per_s * draw_between(1.4, 4)));
    origin.service_time_ms = draw_between(30, 110);
    origin.service_time_cv = draw_between(0, 0.8);
    origin.queue_limit_ms = draw_between(300, 1500);
    origin.congestion_slowdown = draw_bool(0.5) ? draw_between(0.05, 0.5) : 0;
    origin.overload_multiple = draw_bool(0.2) ? 2.5 : 0;
    origin.down_ms = 2000;
    origin.overload_failure_ms = 1500;
    origin.drops_expired = draw_bool(0.3);
    ClientSpec& clients = spec_.clients;
    clients.mean_max_retries = draw_bool(0.2) ? 0 : draw_between(0.3, 3);
    clients.backoff = draw_bool(0.5) ? Backoff::Fixed : Backoff::Exponential;
    clients.backoff_ms = draw_between(10, 300);
    clients.heed_retry_after_share = draw_between(0, 1);
    clients.try_timeout_share_min = draw_between(0.4, 0.9);
    clients.abandon_share = draw_bool(0.2) ? 0.02 : 0;
    clients.keep_connections = draw_bool(0.7);
  }

  void draw_settings() {
    RouterSpec& routers = spec_.routers;
    routers.max_attempts = draw_integer(2, 5);
    routers.event_interval_ms = draw_bool(0.5) ? 5 : draw_between(1, 20);
    routers.may_hedge = draw_bool(0.7);
    routers.may_cancel = draw_bool(0.8);
    routers.send_retry_after = draw_bool(0.8);
    routers.weight_kind = static_cast<WeightKind>(draw_integer(0, 3));
    routers.drain_grace_ms = draw_between(100, 400);
    const auto needs_gossip = [](FaultKind k) {
      return k == FaultKind::PartitionedRouters || k == FaultKind::LostDatagrams ||
             k == FaultKind::InconsistentRouter;
    };
    routers.sharing.enabled =
        draw_bool(0.6) || std::any_of(fault_kinds_.begin(), fault_kinds_.end(), needs_gossip);
    routers.sharing.ping_period_ms = draw_bool(0.7) ? 250 : std::round(draw_between(150, 800));
    if (draw_bool(0.3)) spec_.network.datagram_loss_share = draw_between(0, 0.2);
    if (draw_bool(0.5)) {
      routers.resize.transition_ms = draw_between(2000, 10000);
      routers.resize.second_replica_share = draw_bool(0.5) ? 0.3 : 0;
    }
    DiscoverySpec& discovery = spec_.discovery; // discovery delays are 0.2 to 1.5 times the defaults
    const double delay_factor = draw_between(0.2, 1.5);
    for (double* delay_ms :
         {&discovery.add_delay_min_ms, &discovery.add_delay_max_ms, &discovery.leave_delay_min_ms,
          &discovery.leave_delay_max_ms, &discovery.silence_delay_min_ms, &discovery.silence_delay_max_ms,
          &discovery.delivery_spread_ms}) {
      *delay_ms = std::round(*delay_ms * delay_factor);
    }
    spec_.front.failure_detection_ms = draw_between(300, 2500);
  }

  // ---- the faults ----

  // Picks nodes for a fault that ends their process. No node is part of two such faults, and less than
  // 60% of the nodes are part of any.
  std::vector<MachineId> pick_free_nodes(double share) {
    std::vector<MachineId> picked;
    if (free_nodes_.empty() && picked_nodes_ == 0) {
      for (MachineId m = 0; m < node_count_; ++m) free_nodes_.push_back(m);
    }
    const auto target_count = std::max<std::size_t>(1, static_cast<std::size_t>(share * node_count_));
    while (picked.size() < target_count && !free_nodes_.empty() && picked_nodes_ + 1 < node_count_ * 6 / 10) {
      const std::size_t i =
          std::min(free_nodes_.size() - 1,
                   static_cast<std::size_t>(draw_unit() * static_cast<double>(free_nodes_.size())));
      picked.push_back(free_nodes_[i]);
      free_nodes_.erase(free_nodes_.begin() + static_cast<std::ptrdiff_t>(i));
      ++picked_nodes_;
    }
    std::sort(picked.begin(), picked.end());
    return picked;
  }
  double draw_target_share() { return draw_bool(0.15) ? 1 : draw_between(0.05, 0.6); }
  NodeSelector draw_node_selector() {
    NodeSelector selector;
    selector.share = draw_target_share();
    if (draw_bool(0.2))
      selector.zone = spec_.nodes[draw_integer(0, static_cast<std::uint32_t>(spec_.nodes.size()) - 1)].zone;
    return selector;
  }
  std::vector<RouterId> pick_routers(double share) { // neighbours by number: at least one, but not all
    const std::uint32_t target_count =
        std::clamp(static_cast<std::uint32_t>(share * router_count_), 1u, router_count_ - 1);
    const std::uint32_t first = draw_integer(0, router_count_ - 1);
    std::vector<RouterId> picked;
    for (std::uint32_t i = 0; i < target_count; ++i) picked.push_back((first + i) % router_count_);
    std::sort(picked.begin(), picked.end());
    return picked;
  }
  RouterSelector draw_router_selector() {
    RouterSelector selector;
    selector.share = draw_target_share();
    return selector;
  }

  void add_event(double at_ms, EventAction event) {
    const auto kind = kind_of(event);
    const std::string label = kind ? kFaultKindNames[static_cast<std::size_t>(*kind)] : "back";
    spec_.events.push_back({std::round(at_ms), label, std::move(event)});
  }

  // Adds an event that ends nodes and starts them or their replacements: at most the share `max_share` of
  // all nodes, and only those that pick_free_nodes() has not returned before.
  template <typename Event>
  void add_restart(double at_ms, Event event, double max_share, double duration_ms) {
    event.who.nodes = pick_free_nodes(draw_between(0.05, max_share));
    event.after_ms = std::min(duration_ms, 4000.0);
    if (!event.who.nodes.empty()) add_event(at_ms, event);
  }

  void add_fault(FaultKind kind, double at_ms, double until_ms) {
    at_ms = std::round(at_ms);
    until_ms = std::round(until_ms);
    const double duration_ms = until_ms - at_ms;
    switch (kind) {
      case FaultKind::KillRouters: {
        const double down_ms = draw_bool(0.1) && router_count_ > 4 ? 0 : duration_ms;
        RouterSelector selector = draw_router_selector();
        if (down_ms == 0) selector.share = draw_between(0.05, 0.3); // these are not restarted
        return add_event(at_ms, RestartRouters{selector, RouterEnd::Kill, down_ms, 0, 0});
      }
      case FaultKind::RestartRouters:
        return add_event(at_ms, RestartRouters{draw_router_selector(), RouterEnd::Term,
                                               std::max(200.0, duration_ms / 2), 0, 0});
      case FaultKind::UpgradeRouters: {
        RouterSelector all;
        return add_event(
            at_ms, RestartRouters{all, draw_bool(0.2) ? RouterEnd::Kill : RouterEnd::Term,
                                  draw_between(100, 800), std::max(1u, router_count_ / 8), duration_ms});
      }
      case FaultKind::ReloadRouters: return add_event(at_ms, ReloadRouters{draw_router_selector()});
      case FaultKind::PartitionedZones: {
        const std::uint32_t a = draw_integer(0, zone_count_ - 1);
        PartitionZones partition;
        partition.until_ms = until_ms;
        partition.a = {a};
        for (std::uint32_t z = 0; z < zone_count_; ++z) {
          if (z != a && (partition.b.empty() || draw_bool(0.6))) partition.b.push_back(z);
        }
        return add_event(at_ms, partition);
      }
      case FaultKind::PartitionedNodes:
        return add_event(at_ms, PartitionNodes{draw_node_selector(), draw_router_selector(), until_ms});
      case FaultKind::DiscoveryOutage: return add_event(at_ms, DiscoveryOutage{until_ms});
      case FaultKind::DiscoveryMove:
        return add_event(at_ms, DiscoveryMove{draw_between(0, 2000), duration_ms / router_count_});
      case FaultKind::SlowNodes: {
        NoisyNeighbour neighbour{draw_node_selector(), draw_between(0.3, 0.9), until_ms, 0, 0};
        if (draw_bool(0.4))
          neighbour.on_ms = draw_between(200, 2000), neighbour.off_ms = draw_between(200, 2000);
        return add_event(at_ms, neighbour);
      }
      case FaultKind::SilentNodes: return add_event(at_ms, SilentNodes{draw_node_selector(), until_ms});
      // pick_free_nodes() excludes nodes that another fault replaces, as a replaced machine does not
      // return.
      case FaultKind::ColdNodes: return add_restart(at_ms, RestartNodes{}, 0.6, duration_ms);
      case FaultKind::ReplacedNodes: return add_restart(at_ms, ReplaceNodes{}, 0.3, duration_ms);
      case FaultKind::DrainedNodes: {
        DrainNodes drain;
        drain.who.nodes = pick_free_nodes(draw_between(0.05, 0.35));
        drain.drain_ms = draw_between(300, 4000);
        drain.over_ms = draw_bool(0.5) ? duration_ms / 2 : 0;
        if (drain.who.nodes.empty()) return;
        StartNodes restart{drain.who};
        const double restart_at_ms =
            at_ms + drain.over_ms + drain.drain_ms + std::max(500.0, duration_ms / 2);
        add_event(at_ms, drain);
        return add_event(restart_at_ms, restart);
      }
      case FaultKind::KilledNodes: {
        KillNodes kill;
        kill.who.nodes = pick_free_nodes(draw_between(0.05, 0.35));
        if (kill.who.nodes.empty()) return;
        StartNodes restart{kill.who};
        add_event(at_ms, kill);
        return add_event(until_ms, restart);
      }
      case FaultKind::BadResponses:
        return add_event(at_ms, BadResponses{draw_node_selector(), draw_between(0.05, 0.9), until_ms,
                                             static_cast<BadResponse>(draw_integer(0, 7))});
      case FaultKind::OriginStall: return add_event(at_ms, OriginStall{until_ms});
      case FaultKind::OriginSlow: return add_event(at_ms, OriginSlow{draw_between(0.1, 0.8), until_ms});
      case FaultKind::OriginFailure: return add_event(at_ms, OriginFall{duration_ms});
      case FaultKind::LostZone:
        return add_event(at_ms, ZoneOutage{draw_integer(0, zone_count_ - 1), until_ms, draw_bool(0.8)});
      case FaultKind::SlowLink: {
        const std::uint32_t from = draw_integer(0, zone_count_ - 1);
        return add_event(at_ms, SlowLink{from, (from + 1) % zone_count_, draw_between(2, 20), until_ms});
      }
      case FaultKind::LoadSpike: return add_event(at_ms, LoadSpike{draw_between(1.2, 3), until_ms});
      case FaultKind::HotKey: return add_event(at_ms, HotKey{draw_between(0.05, 0.4), until_ms});
      case FaultKind::PartitionedRouters: {
        PartitionRouters partition;
        partition.a.routers = pick_routers(draw_between(0.1, 0.6));
        partition.carries = draw_bool(0.3) ? PartitionedTraffic::All : PartitionedTraffic::Datagrams;
        // Connections can't be partitioned in one direction.
        partition.one_way = partition.carries == PartitionedTraffic::Datagrams && draw_bool(0.4);
        partition.until_ms = until_ms;
        return add_event(at_ms, partition);
      }
      case FaultKind::LostDatagrams:
        return add_event(at_ms, LoseDatagrams{draw_router_selector(), draw_between(0.1, 1),
                                              draw_bool(0.3) ? 0.3 : 0, until_ms});
      case FaultKind::PausedRouters: return add_event(at_ms, PauseRouters{draw_router_selector(), until_ms});
      case FaultKind::InconsistentRouter: {
        InconsistentRouter inconsistent_router;
        inconsistent_router.who.count = 1;
        inconsistent_router.demand = draw_bool(0.5) ? ReportedExtreme::Maximum : ReportedExtreme::Minimum;
        inconsistent_router.limit = draw_bool(0.5) ? ReportedExtreme::Maximum : ReportedExtreme::Minimum;
        inconsistent_router.of_others = draw_bool(0.5);
        inconsistent_router.accuses = draw_bool(0.5);
        inconsistent_router.until_ms = until_ms;
        return add_event(at_ms, inconsistent_router);
      }
      case FaultKind::Count: return;
    }
  }

  void draw_faults() {
    const double duration_factor = limits_.full_duration ? 1 : 0.5;
    // The first two faults overlap.
    const double overlap_at_ms =
        limits_.fault_free_ms + draw_between(0.2, 0.7) * limits_.fault_begin_window_ms;
    for (std::size_t i = 0; i < fault_kinds_.size(); ++i) {
      double at_ms = i < 2 ? overlap_at_ms - draw_between(0, 0.2) * limits_.fault_begin_window_ms
                           : limits_.fault_free_ms + draw_between(0, 1) * limits_.fault_begin_window_ms;
      double duration_ms = duration_factor * std::clamp(draw_exponential(3000, engine_), 400.0, 9000.0);
      if (i < 2) duration_ms += overlap_at_ms - at_ms;
      add_fault(fault_kinds_[i], at_ms, at_ms + duration_ms);
    }
    std::stable_sort(spec_.events.begin(), spec_.events.end(),
                     [](const TimedEvent& a, const TimedEvent& b) { return a.at_ms < b.at_ms; });
  }

  void set_duration() {
    // A permanent fault lasts until duration_ms, here 1e6 as a mark, and does not count.
    double last_end_ms = 0;
    spec_.duration_ms = 1e6;
    for (const FaultSpan& s : fault_spans(spec_)) {
      if (s.to_ms < 1e6) last_end_ms = std::max(last_end_ms, s.to_ms);
    }
    auto events_without_targets = make_plan(spec_).events_without_target;
    std::sort(events_without_targets.rbegin(), events_without_targets.rend());
    events_without_targets.erase(std::unique(events_without_targets.begin(), events_without_targets.end()),
                                 events_without_targets.end());
    for (const std::uint32_t i : events_without_targets) spec_.events.erase(spec_.events.begin() + i);
    const double refill_allowance_ms = limits_.full_duration ? draw_between(2000, 8000) : 0;
    spec_.duration_ms =
        std::ceil((last_end_ms + settle_ms(spec_) + refill_allowance_ms + kObservedTailMs) / 100) * 100;
  }

  const StormLimits limits_;
  Engine engine_;
  Spec spec_;
  std::vector<FaultKind> fault_kinds_;
  std::uint32_t router_count_ = 0, node_count_ = 0, zone_count_ = 0;
  std::vector<MachineId> free_nodes_;
  std::size_t picked_nodes_ = 0;
};

} // namespace

Spec draw_storm(std::uint64_t seed, const Coverage& coverage, const StormLimits& limits) {
  return StormGenerator(seed, coverage, limits).take_spec();
}

double settle_ms(const Spec& spec) {
  double max_warm_up_ms = 0;
  for (const NodeKind& k : spec.kinds) max_warm_up_ms = std::max(max_warm_up_ms, k.warm_up_ms);
  const DiscoverySpec& discovery = spec.discovery;
  return discovery.add_delay_max_ms + discovery.update_period_ms + discovery.delivery_spread_ms +
         max_warm_up_ms + kRecoveryAllowanceMs;
}

} // namespace fernward::lab::storm
