#include "model/spec.h"

#include <cmath>
#include <type_traits>

#include "model/key_space.h"

namespace fernward::model {
namespace {

class SpecChecker {
 public:
  explicit SpecChecker(const Spec& spec) : spec_(spec) {}

  std::vector<SpecError> find_errors() {
    check_positive("duration_ms", spec_.duration_ms);
    check_not_empty("zones", spec_.zones.size());
    for (std::size_t i = 0; i < spec_.zones.size(); ++i) {
      check_non_negative(member_path("zones", i, "client_share"), spec_.zones[i].client_share);
    }
    check_network();
    check_not_empty("kinds", spec_.kinds.size());
    for (std::size_t i = 0; i < spec_.kinds.size(); ++i) check_kind(i, spec_.kinds[i]);
    check_not_empty("nodes", spec_.nodes.size());
    std::uint64_t nodes_at_start = 0;
    for (std::size_t i = 0; i < spec_.nodes.size(); ++i) {
      const NodeGroup& group = spec_.nodes[i];
      check_index(member_path("nodes", i, "kind"), group.kind, spec_.kinds.size(), "kind of node");
      check_zone(member_path("nodes", i, "zone"), group.zone);
      check_share(member_path("nodes", i, "weight_error"), group.weight_error, 0.9);
      nodes_at_start += group.count;
    }
    if (!spec_.nodes.empty() && nodes_at_start == 0)
      add_error("nodes", "no node is in service at the start; at least one group needs a count above 0");
    if (spec_.origin.enabled) check_origin();
    check_routers();
    check_remaining_tables();
    check_load();
    for (std::size_t i = 0; i < spec_.events.size(); ++i) check_event(i, spec_.events[i]);
    check_expectations();
    return std::move(errors_);
  }

 private:
  static std::string member_path(const char* table, std::size_t index, const char* member) {
    return std::string(table) + "[" + std::to_string(index) + "]." + member;
  }
  void add_error(std::string path, std::string reason) {
    errors_.push_back({std::move(path), std::move(reason)});
  }
  void check_non_negative(const std::string& path, double value) {
    if (!std::isfinite(value) || value < 0) add_error(path, "must be 0 or more");
  }
  void check_positive(const std::string& path, double value) {
    if (!std::isfinite(value) || value <= 0) add_error(path, "must be above 0");
  }
  void check_share(const std::string& path, double value, double maximum = 1) {
    if (!(value >= 0 && value <= maximum)) {
      add_error(path, maximum == 1 ? "must be a share from 0 to 1" : "must be from 0 to 0.9");
    }
  }
  void check_not_empty(const std::string& path, std::size_t count) {
    if (count == 0) add_error(path, "there is none");
  }
  void check_index(const std::string& path, std::size_t index, std::size_t size, const char* what) {
    if (index >= size) add_error(path, std::string("there is no such ") + what);
  }
  void check_zone(const std::string& path, std::size_t index) {
    check_index(path, index, spec_.zones.size(), "zone");
  }
  void check_range(const std::string& path, double minimum, double maximum) {
    check_non_negative(path, minimum);
    if (!(minimum <= maximum)) add_error(path, "the minimum is above the maximum");
  }
  void check_distribution(const std::string& path, const Distribution& distribution) {
    check_positive(path + ".mean", distribution.mean);
    if (distribution.shape == DistributionShape::LogNormal) check_non_negative(path + ".cv", distribution.cv);
  }

  void check_network() {
    const NetworkSpec& network_spec = spec_.network;
    check_non_negative("network.same_ms", network_spec.same_zone_delay_ms);
    check_non_negative("network.cross_ms", network_spec.cross_zone_delay_ms);
    check_non_negative("network.client_ms", network_spec.client_delay_ms);
    check_non_negative("network.jitter", network_spec.jitter);
    check_share("network.datagram_loss", network_spec.datagram_loss_share);
    check_share("network.datagram_twice", network_spec.datagram_duplicate_share);
    check_range("network.datagram_min_ms", network_spec.datagram_min_ms, network_spec.datagram_max_ms);
    for (std::size_t i = 0; i < network_spec.links.size(); ++i) {
      check_zone(member_path("network.links", i, "from"), network_spec.links[i].from);
      check_zone(member_path("network.links", i, "to"), network_spec.links[i].to);
      check_non_negative(member_path("network.links", i, "delay_ms"), network_spec.links[i].delay_ms);
    }
  }

  void check_report(const std::string& path, const ReportSpec& report_spec) {
    if (!report_spec.enabled) return;
    check_positive(path + ".period_ms", report_spec.period_ms);
    check_non_negative(path + ".delay_ms", report_spec.delay_ms);
    check_share(path + ".noise", report_spec.noise);
    if (report_spec.fields.empty()) add_error(path + ".fields", "the report has no fields; expected 1 to 4");
    if (report_spec.fields.size() > 4) add_error(path + ".fields", "the report has more than 4 fields");
  }

  void check_kind(std::size_t kind_index, const NodeKind& node_kind) {
    const auto path = [&](const char* member) { return member_path("kinds", kind_index, member); };
    check_positive(path("cores"), node_kind.cores);
    check_positive(path("speed"), node_kind.speed);
    check_non_negative(path("speed_cv"), node_kind.speed_cv);
    if (node_kind.max_active == 0) add_error(path("places"), "must be above 0");
    check_non_negative(path("crowded_at"), node_kind.congested_at);
    check_non_negative(path("crowded_loss"), node_kind.congestion_slowdown);
    check_non_negative(path("memory_bytes"), node_kind.memory_bytes);
    check_non_negative(path("expire_ms"), node_kind.object_lifetime_ms);
    check_non_negative(path("object_overhead_bytes"), node_kind.object_overhead_bytes);
    check_non_negative(path("lease_ms"), node_kind.lease_ms);
    check_positive(path("hit_share_of_work"), node_kind.hit_share_of_work);
    check_non_negative(path("miss_share_of_work"), node_kind.miss_share_of_work);
    check_share(path("start_capacity"), node_kind.start_capacity);
    if (node_kind.warm_up_ms > 0 && node_kind.start_capacity <= 0)
      add_error(path("start_capacity"), "must be above 0");
    check_non_negative(path("warm_ms"), node_kind.warm_up_ms);
    check_non_negative(path("tip_ms"), node_kind.overload_failure_ms);
    if (node_kind.overload_failure_ms > 0) check_positive(path("tip_multiple"), node_kind.overload_multiple);
    check_share(path("error_rate"), node_kind.error_rate);
    check_non_negative(path("pause_every_ms"), node_kind.pause_interval_ms);
    check_non_negative(path("pause_ms"), node_kind.pause_duration_ms);
    if (node_kind.max_connections == 0) add_error(path("connections"), "must be above 0");
    check_share(path("full_table_loss"), node_kind.full_table_capacity_loss, 0.9);
    check_non_negative(path("handshake_ms"), node_kind.handshake_work_ms);
    check_non_negative(path("handshake_trips"), node_kind.handshake_round_trips);
    check_positive(path("idle_ms"), node_kind.idle_timeout_ms);
    check_report(path("report"), node_kind.report);
    // The routers' settings have one list of fields for all kinds.
    if (node_kind.report.enabled != spec_.kinds.front().report.enabled ||
        node_kind.report.fields != spec_.kinds.front().report.fields) {
      add_error(path("report.fields"), "all kinds must report the same fields");
    }
  }

  void check_origin() {
    const OriginSpec& origin_spec = spec_.origin;
    check_zone("origin.zone", origin_spec.zone);
    check_positive("origin.capacity_per_s", origin_spec.capacity_per_s);
    check_positive("origin.time_ms", origin_spec.service_time_ms);
    check_non_negative("origin.time_cv", origin_spec.service_time_cv);
    check_positive("origin.write_multiple", origin_spec.write_multiple);
    check_non_negative("origin.queue_ms", origin_spec.queue_limit_ms);
    check_share("origin.crowded_at", origin_spec.congested_at, 0.9);
    check_non_negative("origin.crowded_loss", origin_spec.congestion_slowdown);
    check_non_negative("origin.fall_multiple", origin_spec.overload_multiple);
    if (origin_spec.overload_multiple > 0) check_positive("origin.fall_ms", origin_spec.overload_failure_ms);
    check_non_negative("origin.down_ms", origin_spec.down_ms);
    check_non_negative("origin.handshake_trips", origin_spec.handshake_round_trips);
    check_positive("origin.idle_ms", origin_spec.idle_timeout_ms);
    check_share("origin.error_rate", origin_spec.error_rate);
    check_share("origin.warm_hits", origin_spec.initial_hit_ratio);
    check_report("origin.report", origin_spec.report);
  }

  void check_routers() {
    const RouterSpec& router_spec = spec_.routers;
    std::uint64_t router_count = 0;
    for (std::size_t i = 0; i < router_spec.groups.size(); ++i) {
      check_zone(member_path("routers.groups", i, "zone"), router_spec.groups[i].zone);
      router_count += router_spec.groups[i].count;
    }
    if (router_count == 0) add_error("routers.groups", "there is no router");
    if (router_count > 65536) add_error("routers.groups", "more than 65536 routers");
    if (router_spec.max_sockets < 64) add_error("routers.sockets", "must be 64 or more");
    if (router_spec.memory_mb < 8) add_error("routers.memory_mb", "must be 8 or more");
    check_positive("routers.cores", router_spec.cores);
    check_non_negative("routers.max_retry_after_ms", router_spec.max_retry_after_ms);
    if (router_spec.max_attempts == 0) add_error("routers.max_attempts", "must be above 0");
    check_non_negative("routers.tick_ms", router_spec.event_interval_ms);
    check_positive("routers.connect_timeout_ms", router_spec.connect_timeout_ms);
    check_positive("routers.conn_idle_ms", router_spec.connection_idle_ms);
    if (router_spec.max_open_requests == 0) add_error("routers.open_cap", "must be above 0");
    check_non_negative("routers.grace_to_answer_ms", router_spec.response_grace_ms);
    check_non_negative("routers.drain_grace_ms", router_spec.drain_grace_ms);
    check_share("routers.over_share_worth", router_spec.over_quota_weight);
    const SharingSpec& sharing = router_spec.sharing;
    if (!(sharing.ping_period_ms >= 50 && sharing.ping_period_ms <= 5000))
      add_error("routers.sharing.period_ms", "must be from 50 ms to 5 s");
    if (sharing.indirect_probes > 8) add_error("routers.sharing.asked", "must be 8 or less");
  }

  void check_congestion(const CongestionSpec& congestion_spec) {
    check_non_negative("discovery.congestion.answers_per_second", congestion_spec.answers_per_second);
    check_non_negative("discovery.congestion.bytes_per_second", congestion_spec.bytes_per_second);
    check_non_negative("discovery.congestion.piece_size_bytes", congestion_spec.piece_size_bytes);
    check_non_negative("discovery.congestion.piece_interval_ms", congestion_spec.piece_interval_ms);
    check_share("discovery.congestion.refused_share", congestion_spec.refused_share);
    check_share("discovery.congestion.silent_share", congestion_spec.silent_share);
    if (congestion_spec.piece_interval_ms > 0 && congestion_spec.piece_size_bytes == 0) {
      add_error("discovery.congestion.piece_interval_ms", "has no effect without piece_size");
    }
  }

  void check_remaining_tables() {
    check_non_negative("front.notice_ms", spec_.front.failure_detection_ms);
    check_positive("front.ready_every_ms", spec_.front.ready_check_interval_ms);
    const DiscoverySpec& discovery = spec_.discovery;
    check_range("discovery.add_min_ms", discovery.add_delay_min_ms, discovery.add_delay_max_ms);
    check_range("discovery.notice_min_ms", discovery.leave_delay_min_ms, discovery.leave_delay_max_ms);
    check_range("discovery.silent_min_ms", discovery.silence_delay_min_ms, discovery.silence_delay_max_ms);
    check_non_negative("discovery.period_ms", discovery.update_period_ms);
    check_non_negative("discovery.spread_ms", discovery.delivery_spread_ms);
    check_positive("discovery.at_latest_ms", discovery.notified_at_latest_ms);
    check_positive("discovery.reload_at_latest_ms", discovery.reload_notified_at_latest_ms);
    check_congestion(discovery.congestion);
    const ClientSpec& clients = spec_.clients;
    check_non_negative("clients.retries", clients.mean_max_retries);
    if (clients.mean_max_retries > 14) add_error("clients.retries", "must be 14 or less");
    check_non_negative("clients.backoff_ms", clients.backoff_ms);
    check_share("clients.heed", clients.heed_retry_after_share);
    check_range("clients.try_share_min", clients.try_timeout_share_min, clients.try_timeout_share_max);
    check_positive("clients.try_share_min", clients.try_timeout_share_min);
    check_share("clients.try_share_max", clients.try_timeout_share_max);
    check_share("clients.leave_share", clients.abandon_share);
  }

  void check_load() {
    check_not_empty("classes", spec_.classes.size());
    double share_sum = 0;
    for (std::size_t i = 0; i < spec_.classes.size(); ++i) {
      const ClassSpec& class_spec = spec_.classes[i];
      const auto path = [&](const char* member) { return member_path("classes", i, member); };
      check_non_negative(path("share"), class_spec.share);
      share_sum += class_spec.share;
      check_distribution(path("work"), class_spec.work);
      check_non_negative(path("attempt_noise"), class_spec.attempt_work_cv);
      check_positive(path("give_up_ms"), class_spec.client_timeout_ms);
      check_non_negative(path("aim_ms"), class_spec.latency_objective_ms);
      if (class_spec.latency_objective_ms > class_spec.client_timeout_ms)
        add_error(path("aim_ms"), "is above give_up_ms");
      check_non_negative(path("aim_stretch"), class_spec.objective_per_work);
      check_share(path("late_share"), class_spec.late_value_share);
      check_non_negative(path("worth"), class_spec.priority_weight);
      if (class_spec.idempotency == Idempotency::WithKey)
        check_positive(path("window_ms"), class_spec.idempotency_window_ms);
    }
    if (!spec_.classes.empty() && !(share_sum > 0))
      add_error("classes", "the shares of all classes are 0; at least one must be above 0");
    double usage_sum = 0;
    for (std::size_t i = 0; i < spec_.tenants.size(); ++i) {
      const TenantSpec& tenant = spec_.tenants[i];
      check_share(member_path("tenants", i, "share"), tenant.share);
      check_non_negative(member_path("tenants", i, "usage"), tenant.usage_factor);
      check_non_negative(member_path("tenants", i, "quota_per_s"), tenant.quota_per_s);
      usage_sum += tenant.share * tenant.usage_factor;
    }
    if (!spec_.tenants.empty() && !(usage_sum > 0))
      add_error("tenants", "no tenant sends any requests; one needs a share and a usage above 0");
    const KeySpec& keys = spec_.keys;
    if (keys.count == 0 || keys.count > kMaxKeys) add_error("keys.count", "must be from 1 to 4194304");
    check_non_negative("keys.zipf", keys.zipf);
    check_non_negative("keys.offset", keys.offset);
    check_non_negative("keys.drift_per_s", keys.drift_per_s);
    check_non_negative("keys.changes_per_s", keys.changes_per_s);
    check_distribution("keys.size", keys.size);
    const LoadSpec& load_spec = spec_.load;
    check_positive("load.rate_per_s", load_spec.rate_per_s);
    if (load_spec.shape == LoadShape::Ramp) check_positive("load.ramp_to", load_spec.ramp_to);
    if (load_spec.shape == LoadShape::Day) {
      check_share("load.swing", load_spec.swing);
      check_positive("load.period_ms", load_spec.period_ms);
    }
  }

  // ---- events ----

  struct EventPath {
    SpecChecker& checker;
    std::size_t event_index;
    std::string operator()(const char* member) const { return member_path("events", event_index, member); }
  };

  void check_selector(const EventPath& path, const NodeSelector& selector, const char* member = "who") {
    std::size_t node_count = 0;
    for (const NodeGroup& group : spec_.nodes) node_count += group.count + group.standby;
    const std::string selector_path = path(member);
    for (const MachineId id : selector.nodes) check_index(selector_path + ".nodes", id, node_count, "node");
    if (selector.group) check_index(selector_path + ".group", *selector.group, spec_.nodes.size(), "group");
    if (selector.zone) check_zone(selector_path + ".zone", *selector.zone);
    if (selector.kind)
      check_index(selector_path + ".kind", *selector.kind, spec_.kinds.size(), "kind of node");
    check_share(selector_path + ".share", selector.share);
  }
  void check_selector(const EventPath& path, const RouterSelector& selector, const char* member = "who") {
    std::size_t router_count = 0;
    for (const RouterGroup& group : spec_.routers.groups) router_count += group.count;
    const std::string selector_path = path(member);
    for (const RouterId id : selector.routers)
      check_index(selector_path + ".routers", id, router_count, "router");
    if (selector.zone) check_zone(selector_path + ".zone", *selector.zone);
    check_share(selector_path + ".share", selector.share);
  }

  void check_sharing_enabled(const std::string& path) {
    if (!spec_.routers.sharing.enabled)
      add_error(path, "no datagram passes between routers while routers.sharing.on is false");
  }

  void check_event(std::size_t event_index, const TimedEvent& timed_event) {
    const EventPath path{*this, event_index};
    check_non_negative(path("at_ms"), timed_event.at_ms);
    if (timed_event.at_ms >= spec_.duration_ms) add_error(path("at_ms"), "is past the end of the scenario");
    std::visit(
        [&](const auto& what) {
          using Event = std::decay_t<decltype(what)>;
          if constexpr (requires { what.until_ms; }) {
            if (what.until_ms != 0 && !(what.until_ms > timed_event.at_ms))
              add_error(path("until_ms"), "must be after the start of the event");
            if (what.until_ms > spec_.duration_ms)
              add_error(path("until_ms"), "is past the end of the scenario");
          }
          if constexpr (requires { what.who; }) check_selector(path, what.who);
          if constexpr (requires { what.share; }) check_share(path("share"), what.share);
          if constexpr (requires { what.factor; }) check_non_negative(path("factor"), what.factor);
          if constexpr (requires { what.down_ms; }) check_non_negative(path("down_ms"), what.down_ms);
          if constexpr (requires { what.over_ms; }) check_non_negative(path("over_ms"), what.over_ms);
          if constexpr (requires { what.after_ms; }) check_non_negative(path("after_ms"), what.after_ms);
          if constexpr (std::is_same_v<Event, NoisyNeighbour>) {
            check_non_negative(path("on_ms"), what.on_ms);
            check_non_negative(path("off_ms"), what.off_ms);
          } else if constexpr (std::is_same_v<Event, DrainNodes>) {
            check_non_negative(path("drain_ms"), what.drain_ms);
          } else if constexpr (std::is_same_v<Event, PartitionZones>) {
            for (const std::uint32_t zone : what.a) check_zone(path("a"), zone);
            for (const std::uint32_t zone : what.b) check_zone(path("b"), zone);
            if (what.a.empty()) add_error(path("a"), "there is none");
            if (what.b.empty()) add_error(path("b"), "there is none");
          } else if constexpr (std::is_same_v<Event, PartitionNodes>) {
            check_selector(path, what.nodes, "nodes");
            check_selector(path, what.routers, "routers");
          } else if constexpr (std::is_same_v<Event, PartitionRouters>) {
            check_selector(path, what.a, "a");
            check_selector(path, what.b, "b");
            if (what.carries == PartitionedTraffic::Datagrams) check_sharing_enabled(path("carries"));
            // If one direction of a connection fails, the other direction gets no responses either.
            if (what.carries == PartitionedTraffic::All && what.one_way)
              add_error(
                  path("one_way"),
                  "must be false when the event carries all messages: a cut connection is cut both ways");
          } else if constexpr (std::is_same_v<Event, LoseDatagrams>) {
            check_share(path("twice"), what.twice);
            check_sharing_enabled(path("what"));
          } else if constexpr (std::is_same_v<Event, InconsistentRouter>) {
            check_sharing_enabled(path("what"));
          } else if constexpr (std::is_same_v<Event, DiscoveryMove>) {
            check_non_negative(path("old_stays_ms"), what.old_stays_ms);
            check_non_negative(path("reload_after_ms"), what.reload_after_ms);
          } else if constexpr (std::is_same_v<Event, ZoneOutage>) {
            check_zone(path("zone"), what.zone);
          } else if constexpr (std::is_same_v<Event, SlowLink>) {
            check_zone(path("from"), what.from);
            check_zone(path("to"), what.to);
          } else if constexpr (std::is_same_v<Event, OriginStall> || std::is_same_v<Event, OriginSlow> ||
                               std::is_same_v<Event, OriginFall>) {
            if (!spec_.origin.enabled) add_error(path("what"), "there is no origin");
          }
        },
        timed_event.what);
  }

  void check_expectations() {
    const Expectations& expectations = spec_.expectations;
    for (std::size_t i = 0; i < expectations.bounds.size(); ++i) {
      const Bound& bound = expectations.bounds[i];
      const auto path = [&](const char* member) { return member_path("holds.bounds", i, member); };
      if (!bound.at_least && !bound.at_most)
        add_error(path("at_least"), "neither at_least nor at_most is given");
      if (bound.cls) {
        check_index(path("cls"), *bound.cls, spec_.classes.size(), "class");
        if (*bound.cls < spec_.classes.size() && !(spec_.classes[*bound.cls].share > 0)) {
          add_error(path("cls"), "no client sends this class");
        }
      }
      if (bound.tenant) check_index(path("tenant"), *bound.tenant, spec_.tenants.size(), "tenant");
      check_non_negative(path("from_ms"), bound.from_ms);
      if (bound.from_ms >= spec_.duration_ms) add_error(path("from_ms"), "is past the end of the scenario");
      if (bound.to_ms != 0 && !(bound.to_ms > bound.from_ms))
        add_error(path("to_ms"), "must be after from_ms");
      check_share(path("quantile"), bound.quantile);
      check_positive(path("window_ms"), bound.window_ms);
    }
    for (const double weight : {expectations.overall_weight, expectations.worst_window_weight,
                                expectations.worst_class_weight, expectations.worst_tenant_weight}) {
      if (!(weight >= 0)) add_error("holds.whole_weight", "the score's weights must be 0 or more");
    }
  }

  const Spec& spec_;
  std::vector<SpecError> errors_;
};

} // namespace

std::vector<SpecError> find_spec_errors(const Spec& spec) { return SpecChecker(spec).find_errors(); }

} // namespace fernward::model
