#include "lab/scenario/schema.h"

#include <array>
#include <type_traits>
#include <utility>

namespace fernward::lab {
namespace {

using namespace fernward::model;
using toml_document::each_item;
using toml_document::enum_choice;
using toml_document::optional_member;

constexpr std::array kWarmBy{"time", "requests"};
constexpr std::array kEvict{"lru", "fifo"};
constexpr std::array kOnCancel{"keep", "drop-waiting", "stop"};
constexpr std::array kReportFields{"inflight", "queue", "util", "latency_ms", "qps", "eps", "other"};
constexpr std::array kWeightKinds{"off", "nominal", "rough", "live"};
constexpr std::array kShapes{"fixed", "exponential", "log-normal"};
constexpr std::array kIdempotencies{"safe", "keyed", "unsafe"};
constexpr std::array kIdempotencyScopes{"all", "zone", "cell"};
constexpr std::array kLoadShapes{"steady", "ramp", "day"};
constexpr std::array kBackoffs{"fixed", "exponential"};
constexpr std::array kRouterEnds{"kill", "term"};
constexpr std::array kBadAnswers{"error",      "garbage",     "too-large",  "cut-off",
                                 "never-ends", "early-close", "wrong-body", "slow-bytes"};
constexpr std::array kCutTraffic{"datagrams", "all"};
constexpr std::array kClaims{"least", "most"};
constexpr std::array kCountedBy{"request", "work"};
constexpr std::array kMetrics{"service",
                              "worst-window",
                              "worst-class",
                              "worst-tenant",
                              "served",
                              "refused",
                              "failed",
                              "latency",
                              "origin",
                              "origin-peak",
                              "fetch-surge",
                              "hit-ratio",
                              "handshakes-per-request",
                              "recovery"};
constexpr std::array kEvents{
    "neighbour",      "start-nodes",      "drain-nodes",    "kill-nodes",    "replace-nodes",
    "restart-nodes",  "silent-nodes",     "cut-zones",      "cut-nodes",     "restart-routers",
    "reload-routers", "discovery-outage", "discovery-move", "origin-stall",  "origin-slow",
    "origin-fall",    "hot-key",          "load-spike",     "bad-answers",   "lost-zone",
    "slow-link",      "cut-routers",      "lose-datagrams", "pause-routers", "lying-router"};
static_assert(kEvents.size() == std::variant_size_v<EventAction>);

// The unit of at_least and at_most of a bound.
Unit unit_of(Metric metric) {
  switch (metric) {
    case Metric::LatencyMs:
    case Metric::RecoveryMs: return Unit::Time;
    case Metric::OriginPerS:
    case Metric::OriginPeakPerS: return Unit::Rate;
    case Metric::FetchSurgeFactor:
    case Metric::HandshakesPerRequest: return Unit::Number;
    default: return Unit::Share;
  }
}

void describe_distribution(Visitor& visitor, const char* member, Distribution& distribution, Unit unit,
                           const char* doc) {
  visitor.enter(member, doc);
  enum_choice(visitor, "shape", distribution.shape, kShapes, "shape of the distribution");
  visitor.amount("mean", distribution.mean, unit, "mean of the distribution");
  visitor.amount("cv", distribution.cv, Unit::Number, "for `log-normal`: standard deviation / mean");
  visitor.leave();
}

void describe_report(Visitor& visitor, ReportSpec& report_spec) {
  visitor.enter("report", "load report that is sent with responses");
  visitor.flag("on", report_spec.enabled, "whether responses carry a load report");
  visitor.amount("period_ms", report_spec.period_ms, Unit::Time, "interval between readings of the values");
  visitor.amount("delay_ms", report_spec.delay_ms, Unit::Time,
                 "time from a reading until its values are available");
  visitor.amount("noise", report_spec.noise, Unit::Share,
                 "standard deviation of the relative error of each value (normal distribution)");
  std::vector<std::size_t> fields;
  for (const LoadReportField field : report_spec.fields) fields.push_back(static_cast<std::size_t>(field));
  visitor.choices("fields", fields, kReportFields,
                  "values in the report, in this order; must be the same for all kinds");
  report_spec.fields.clear();
  for (const std::size_t field : fields) report_spec.fields.push_back(static_cast<LoadReportField>(field));
  visitor.leave();
}

void describe_network(Visitor& visitor, NetworkSpec& network_spec) {
  visitor.enter("network", "one-way network delays");
  visitor.amount("same_ms", network_spec.same_zone_delay_ms, Unit::Time, "delay within a zone");
  visitor.amount("cross_ms", network_spec.cross_zone_delay_ms, Unit::Time, "delay between two zones");
  visitor.amount("client_ms", network_spec.client_delay_ms, Unit::Time,
                 "delay between a client and the routers of its zone");
  visitor.amount("jitter", network_spec.jitter, Unit::Share,
                 "each delay is increased by up to this share, drawn uniformly; does not apply to datagrams "
                 "between routers");
  visitor.amount("datagram_min_ms", network_spec.datagram_min_ms, Unit::Time,
                 "minimum time added to the delay of a datagram between routers");
  visitor.amount("datagram_max_ms", network_spec.datagram_max_ms, Unit::Time,
                 "maximum time added to the delay of a datagram between routers");
  visitor.amount("datagram_loss", network_spec.datagram_loss_share, Unit::Share,
                 "share of the datagrams that are lost");
  visitor.amount("datagram_twice", network_spec.datagram_duplicate_share, Unit::Share,
                 "share of the datagrams that are duplicated");
  each_item(visitor, "links", network_spec.links, "pairs of zones with their own delay, in both directions",
            [&](ZoneLink& link) {
              visitor.ref("from", link.from, tables::kZones, true, "first zone of the pair");
              visitor.ref("to", link.to, tables::kZones, true, "second zone of the pair");
              visitor.amount("delay_ms", link.delay_ms, Unit::Time, "one-way delay, which overrides `cross`");
            });
  visitor.leave();
}

void describe_kind(Visitor& visitor, NodeKind& node_kind) {
  visitor.text("name", node_kind.name, true, "name of the kind");
  visitor.amount("cores", node_kind.cores, Unit::Number, "number of cores of a machine");
  visitor.amount("speed", node_kind.speed, Unit::Number,
                 "speed of a core; work is stated in time on a core of speed 1");
  visitor.amount("speed_cv", node_kind.speed_cv, Unit::Number,
                 "coefficient of variation of the speed across nodes (log-normal)");
  visitor.count("places", node_kind.max_active,
                "maximum number of active requests; they share the cores evenly");
  visitor.count("waiting", node_kind.max_queued,
                "maximum number of queued requests; further ones are rejected");
  visitor.amount("crowded_at", node_kind.congested_at, Unit::Number,
                 "active and queued requests per core above which the node is congested");
  visitor.amount("crowded_loss", node_kind.congestion_slowdown, Unit::Number,
                 "when congested, work takes 1 + this x (requests per core - crowded_at) times as long");
  visitor.amount("memory_bytes", node_kind.memory_bytes, Unit::Bytes,
                 "memory for objects; objects are evicted above this size");
  enum_choice(visitor, "evict", node_kind.eviction_policy, kEvict,
              "object that is evicted first: the least recently used or the oldest");
  visitor.amount("expire_ms", node_kind.object_lifetime_ms, Unit::Time,
                 "an object expires this long after it was stored; 0: never");
  visitor.amount("object_overhead_bytes", node_kind.object_overhead_bytes, Unit::Bytes,
                 "memory that an object takes in addition to its size");
  visitor.amount(
      "lease_ms", node_kind.lease_ms, Unit::Time,
      "for this long after the first cache miss of a key, further misses of it get `pending`; 0: none do");
  visitor.amount("hit_share_of_work", node_kind.hit_share_of_work, Unit::Number,
                 "work of a cache hit, as a share of the request's work");
  visitor.amount("miss_share_of_work", node_kind.miss_share_of_work, Unit::Number,
                 "work of a cache miss, as a share of the request's work");
  visitor.amount("start_capacity", node_kind.start_capacity, Unit::Share,
                 "share of its full capacity that a node has just after its start");
  visitor.amount("warm_ms", node_kind.warm_up_ms, Unit::Time,
                 "time from a node's start until it has its full capacity; 0: at once");
  enum_choice(visitor, "warm_by", node_kind.warm_up_mode, kWarmBy,
              "what increases the capacity of a started node: time, or completed work (but no later than "
              "after `warm`)");
  visitor.amount("tip_multiple", node_kind.overload_multiple, Unit::Number,
                 "a cold node fails if it receives more than this times its present capacity during `tip`");
  visitor.amount("tip_ms", node_kind.overload_failure_ms, Unit::Time,
                 "time over which the load of a cold node is measured for `tip_multiple`; a failed node does "
                 "not recover by itself; 0: no node fails");
  visitor.amount("error_rate", node_kind.error_rate, Unit::Share,
                 "share of the requests that end in an error");
  visitor.amount("pause_every_ms", node_kind.pause_interval_ms, Unit::Time,
                 "mean time between pauses; 0: no pauses");
  visitor.amount("pause_ms", node_kind.pause_duration_ms, Unit::Time,
                 "mean duration of a pause, during which no work is done");
  visitor.count("connections", node_kind.max_connections,
                "maximum number of open connections; further ones are refused");
  visitor.amount("full_table_loss", node_kind.full_table_capacity_loss, Unit::Share,
                 "share of its capacity that a node loses when its connection table is full; proportionally "
                 "less before");
  visitor.amount("handshake_ms", node_kind.handshake_work_ms, Unit::Time, "work for a new connection");
  visitor.amount("handshake_trips", node_kind.handshake_round_trips, Unit::Number,
                 "round trips of the handshake of a new connection, in addition to that of TCP");
  visitor.amount("idle_ms", node_kind.idle_timeout_ms, Unit::Time,
                 "an idle connection is closed after this time");
  visitor.flag("drops_expired", node_kind.drops_expired, "work is not started after its deadline");
  enum_choice(visitor, "on_cancel", node_kind.cancel_policy, kOnCancel,
              "what happens to a request whose router no longer waits: nothing, removed if it is queued, or "
              "also stopped if it is active");
  visitor.amount("repeat_window_ms", node_kind.idempotency_window_ms, Unit::Time,
                 "duplicates of a write with an idempotency key are discarded for this long; `as-class`: for "
                 "the class's `window`",
                 {"as-class", -1});
  describe_report(visitor, node_kind.report);
}

void describe_origin(Visitor& visitor, OriginSpec& origin_spec) {
  visitor.enter("origin", "the slow store behind the caches");
  visitor.flag("on", origin_spec.enabled,
               "false: there is no origin; the nodes cache nothing and serve every request");
  visitor.ref("zone", origin_spec.zone, tables::kZones, false, "zone of the origin");
  visitor.amount("capacity_per_s", origin_spec.capacity_per_s, Unit::Rate,
                 "capacity in fetches of mean service time");
  visitor.amount("time_ms", origin_spec.service_time_ms, Unit::Time, "mean service time of a fetch");
  visitor.amount("time_cv", origin_spec.service_time_cv, Unit::Number,
                 "coefficient of variation of the service time (log-normal); 0: always the mean");
  visitor.amount("write_multiple", origin_spec.write_multiple, Unit::Number,
                 "service time of a write, as a multiple of that of a fetch");
  visitor.amount("queue_ms", origin_spec.queue_limit_ms, Unit::Time,
                 "limit of the queue, as time at full capacity; further requests are rejected");
  visitor.amount("crowded_at", origin_spec.congested_at, Unit::Share,
                 "share of the queue's limit above which the origin is congested");
  visitor.amount("crowded_loss", origin_spec.congestion_slowdown, Unit::Number,
                 "with a full queue, work takes 1 + this times as long");
  visitor.amount(
      "fall_multiple", origin_spec.overload_multiple, Unit::Number,
      "the origin fails if it receives more than this times its capacity during `fall`; 0: it does not fail");
  visitor.amount("fall_ms", origin_spec.overload_failure_ms, Unit::Time,
                 "time over which the load is measured for `fall_multiple`");
  visitor.amount("down_ms", origin_spec.down_ms, Unit::Time, "time from a failure until the origin recovers");
  visitor.flag("drops_expired", origin_spec.drops_expired, "work is not started after its deadline");
  visitor.count("connections", origin_spec.max_connections, "maximum number of open connections");
  visitor.amount("handshake_trips", origin_spec.handshake_round_trips, Unit::Number,
                 "round trips of the handshake of a new connection, in addition to that of TCP");
  visitor.amount("idle_ms", origin_spec.idle_timeout_ms, Unit::Time,
                 "an idle connection is closed after this time");
  visitor.amount("error_rate", origin_spec.error_rate, Unit::Share,
                 "share of the requests that end in an error");
  visitor.amount("warm_hits", origin_spec.initial_hit_ratio, Unit::Share,
                 "share of the reads that the initial contents of the caches can answer");
  describe_report(visitor, origin_spec.report);
  visitor.leave();
}

void describe_routers(Visitor& visitor, RouterSpec& router_spec) {
  visitor.enter("routers", "the routers and their settings");
  each_item(visitor, "groups", router_spec.groups,
            "routers of one zone; they are named r0, r1, ... in this order", [&](RouterGroup& group) {
              visitor.ref("zone", group.zone, tables::kZones, true, "zone of the routers");
              visitor.count("count", group.count, "number of routers");
            });
  visitor.count("sockets", router_spec.max_sockets, "maximum number of file descriptors of a router");
  visitor.count("memory_mb", router_spec.memory_mb, "memory limit of a router; on sockets only",
                Unit::Mebibytes);
  visitor.amount("cores", router_spec.cores, Unit::Number,
                 "number of cores that a router may use; on sockets only");
  visitor.flag("may_cancel", router_spec.may_cancel, "whether routers may cancel attempts");
  visitor.flag("may_duplicate", router_spec.may_hedge,
               "whether routers may send hedged requests, where the class allows it");
  visitor.flag("retry_advice", router_spec.send_retry_after, "whether rejections carry Retry-After");
  visitor.amount("max_retry_after_ms", router_spec.max_retry_after_ms, Unit::Time,
                 "maximum Retry-After, which routers send and clients observe");
  visitor.count("max_attempts", router_spec.max_attempts,
                "maximum number of attempts of a router for each request that it receives");
  visitor.amount("tick_ms", router_spec.event_interval_ms, Unit::Time,
                 "minimum interval between events of the decision module");
  visitor.amount("connect_timeout_ms", router_spec.connect_timeout_ms, Unit::Time,
                 "time limit for establishing a connection");
  visitor.amount(
      "conn_idle_ms", router_spec.connection_idle_ms, Unit::Time,
      "idle timeout of connections to nodes that the routers assume; should not exceed `idle` of the kinds");
  visitor.count("open_cap", router_spec.max_open_requests, "maximum number of open requests in a router");
  visitor.amount("grace_to_answer_ms", router_spec.response_grace_ms, Unit::Time,
                 "a response may be this much later than the deadline of the client's attempt");
  visitor.amount("drain_grace_ms", router_spec.drain_grace_ms, Unit::Time,
                 "routers may send new attempts to a node for this long after they were notified that it "
                 "drains or is gone");
  visitor.amount(
      "over_share_worth", router_spec.over_quota_weight, Unit::Share,
      "over-quota weight: the part of its priority weight that a request beyond its tenant's quota has");
  enum_choice(visitor, "weight_kind", router_spec.weight_kind, kWeightKinds,
              "meaning of the weights that discovery publishes");
  visitor.enter("sharing", "what routers report to each other");
  visitor.flag("on", router_spec.sharing.enabled, "false: routers exchange no datagrams");
  visitor.amount("period_ms", router_spec.sharing.ping_period_ms, Unit::Time,
                 "ping period: a router pings one other router in each");
  visitor.count("asked", router_spec.sharing.indirect_probes,
                "number of other routers asked to probe one that does not respond, at most 8");
  visitor.flag("ledger", router_spec.sharing.share_origin_limit,
               "the limit at the origin is divided among the routers by their demand");
  visitor.flag("count", router_spec.sharing.count_living_routers,
               "the number of living routers is used in place of the configured one, where that is safe");
  visitor.flag("findings", router_spec.sharing.share_findings,
               "outlier reports on which several routers agree are used");
  visitor.leave();
  visitor.enter("resize", "what routers do when the endpoint list changes");
  visitor.amount("settle_ms", router_spec.resize.transition_ms, Unit::Time,
                 "a newly added cache shares its keys with their former owners for this long; 0: off");
  visitor.amount("ledger_multiple", router_spec.resize.origin_load_multiple, Unit::Number,
                 "during `settle`, the rate of fetches is limited to this multiple of its steady rate, at "
                 "least 1; 0: unlimited");
  visitor.amount("second_holder", router_spec.resize.second_replica_share, Unit::Share,
                 "the most popular keys, which make up this share of the reads, are stored at two caches");
  visitor.leave();
  visitor.leave();
}

void describe_front(Visitor& visitor, FrontBalancerSpec& front_spec) {
  visitor.enter("front",
                "simple load balancer in front of the routers: round robin over those of the client's zone, "
                "or over all if none there is usable");
  visitor.amount("notice_ms", front_spec.failure_detection_ms, Unit::Time,
                 "time during which it still sends requests to a dead router");
  visitor.amount("ready_every_ms", front_spec.ready_check_interval_ms, Unit::Time,
                 "interval of its readiness checks of a starting router");
  visitor.leave();
}

void describe_congestion(Visitor& visitor, CongestionSpec& congestion_spec) {
  visitor.enter("congestion", "limits of the one discovery server that all routers use; on sockets only");
  visitor.amount(
      "answers_per_second", congestion_spec.answers_per_second, Unit::Rate,
      "maximum rate of responses, which are produced one by one in the order of the requests; 0: no limit");
  visitor.amount("bytes_per_second", congestion_spec.bytes_per_second, Unit::Bytes,
                 "bytes per second of all responses together, whose pieces are sent in turn; 0: no limit");
  visitor.amount("piece_size_bytes", congestion_spec.piece_size_bytes, Unit::Bytes,
                 "size of the pieces in which a response is sent; 0: in one piece");
  visitor.amount("piece_interval_ms", congestion_spec.piece_interval_ms, Unit::Time,
                 "minimum time between two pieces of one response");
  visitor.amount(
      "refused_share", congestion_spec.refused_share, Unit::Share,
      "share of the requests to discovery that fail: half get a 503, half have their connection closed");
  visitor.amount("silent_share", congestion_spec.silent_share, Unit::Share,
                 "share of the long polls without a change yet that are never answered");
  visitor.leave();
}

void describe_discovery(Visitor& visitor, DiscoverySpec& discovery_spec) {
  visitor.enter("discovery", "delays of the endpoint list");
  visitor.amount("add_min_ms", discovery_spec.add_delay_min_ms, Unit::Time,
                 "minimum time from a node's start until the list contains it");
  visitor.amount("add_max_ms", discovery_spec.add_delay_max_ms, Unit::Time,
                 "maximum time from a node's start until the list contains it");
  visitor.amount("notice_min_ms", discovery_spec.leave_delay_min_ms, Unit::Time,
                 "minimum time from a node's drain or end until the list shows it");
  visitor.amount("notice_max_ms", discovery_spec.leave_delay_max_ms, Unit::Time,
                 "maximum time from a node's drain or end until the list shows it");
  visitor.amount("silent_min_ms", discovery_spec.silence_delay_min_ms, Unit::Time,
                 "minimum time from when a machine becomes silent until the list shows it");
  visitor.amount("silent_max_ms", discovery_spec.silence_delay_max_ms, Unit::Time,
                 "maximum time from when a machine becomes silent until the list shows it");
  visitor.amount("period_ms", discovery_spec.update_period_ms, Unit::Time,
                 "interval between updates of the list");
  visitor.amount("spread_ms", discovery_spec.delivery_spread_ms, Unit::Time,
                 "each router receives an update up to this much later");
  visitor.amount("at_latest_ms", discovery_spec.notified_at_latest_ms, Unit::Time,
                 "a router counts as notified of a change this long after discovery could have sent it, "
                 "received or not; on sockets only");
  visitor.amount("reload_at_latest_ms", discovery_spec.reload_notified_at_latest_ms, Unit::Time,
                 "the same, measured from the SIGHUP after discovery has moved; on sockets only");
  describe_congestion(visitor, discovery_spec.congestion);
  visitor.leave();
}

void describe_class(Visitor& visitor, ClassSpec& class_spec) {
  visitor.text("name", class_spec.name, true, "name of the class, as sent with requests");
  visitor.amount("share", class_spec.share, Unit::Share,
                 "share of the requests, relative to the other classes");
  describe_distribution(visitor, "work", class_spec.work, Unit::Time,
                        "work of a request, as time on a core of speed 1");
  visitor.amount(
      "attempt_noise", class_spec.attempt_work_cv, Unit::Number,
      "variation of an attempt's work around the request's work (coefficient of variation, log-normal)");
  visitor.amount(
      "hint_error", class_spec.hint_error, Unit::Number,
      "error of the cost hint relative to the request's work (coefficient of variation, log-normal)",
      {"no-hint", -1});
  visitor.amount("aim_ms", class_spec.latency_objective_ms, Unit::Time,
                 "latency objective: a response within this time has its full value; 0: `give_up`");
  visitor.amount("give_up_ms", class_spec.client_timeout_ms, Unit::Time,
                 "client timeout over all attempts of the client");
  visitor.amount("aim_stretch", class_spec.objective_per_work, Unit::Number,
                 "the latency objective is extended by this times the request's work");
  visitor.amount("late_share", class_spec.late_value_share, Unit::Share,
                 "share of its priority weight that a response after the latency objective earns");
  visitor.amount("worth", class_spec.priority_weight, Unit::Number,
                 "priority weight of a request, or of each unit of its work (see `counted_by`)");
  enum_choice(visitor, "repeat", class_spec.idempotency, kIdempotencies,
              "whether a request may be executed more than once: yes, with an idempotency key, or no");
  enum_choice(visitor, "scope", class_spec.idempotency_scope, kIdempotencyScopes,
              "for `keyed`: the nodes that discard duplicates together");
  visitor.amount("window_ms", class_spec.idempotency_window_ms, Unit::Time,
                 "for `keyed`: time during which duplicates are discarded");
  visitor.flag("write", class_spec.write, "whether the request writes its key");
}

void describe_tenant(Visitor& visitor, TenantSpec& tenant_spec) {
  visitor.text("name", tenant_spec.name, true, "name of the tenant, as sent with requests");
  visitor.amount("share", tenant_spec.share, Unit::Share,
                 "share of the service that the tenant is entitled to");
  visitor.amount("usage", tenant_spec.usage_factor, Unit::Number, "the tenant sends this times its share");
  visitor.amount("quota_per_s", tenant_spec.quota_per_s, Unit::Rate,
                 "rate above which requests have only the weight `routers.over_share_worth`; 0: no quota");
}

void describe_keys(Visitor& visitor, KeySpec& key_spec) {
  visitor.enter("keys", "the keys that clients request");
  visitor.count("count", key_spec.count, "number of keys in use at any one time");
  visitor.amount("zipf", key_spec.zipf, Unit::Number,
                 "the key of rank r (from 1) is drawn in proportion to (r + offset)^-zipf");
  visitor.amount("offset", key_spec.offset, Unit::Number,
                 "reduces the difference between the most popular keys, see `zipf`");
  visitor.amount("drift_per_s", key_spec.drift_per_s, Unit::ShareRate,
                 "share of the ranks that are reassigned to a new key");
  visitor.amount("changes_per_s", key_spec.changes_per_s, Unit::ShareRate,
                 "share of the keys that change at the origin, which invalidates cached copies");
  describe_distribution(visitor, "size", key_spec.size, Unit::Bytes, "size of an object");
  visitor.leave();
}

void describe_load(Visitor& visitor, LoadSpec& load_spec) {
  visitor.enter("load", "arrivals of requests (open loop: they do not wait for responses)");
  visitor.amount("rate_per_s", load_spec.rate_per_s, Unit::Rate, "rate of requests, not counting retries");
  enum_choice(visitor, "shape", load_spec.shape, kLoadShapes, "course of the rate over time");
  visitor.amount("ramp_to", load_spec.ramp_to, Unit::Number,
                 "for `ramp`: rate at the end, as a multiple of `rate`");
  visitor.amount("swing", load_spec.swing, Unit::Share,
                 "for `day`: amplitude of the rate, as a share of its mean");
  visitor.amount("period_ms", load_spec.period_ms, Unit::Time, "for `day`: length of a day");
  visitor.amount("peak_at_ms", load_spec.peak_at_ms, Unit::Time, "for `day`: time of the highest rate");
  visitor.leave();
}

void describe_clients(Visitor& visitor, ClientSpec& client_spec) {
  visitor.enter("clients", "behaviour of the clients");
  visitor.amount(
      "retries", client_spec.mean_max_retries, Unit::Number,
      "mean of the maximum number of retries per request; 0.4: four requests in ten may be retried once");
  enum_choice(visitor, "backoff", client_spec.backoff, kBackoffs,
              "how the wait before a retry develops: always the same, or doubled with each retry");
  visitor.amount("backoff_ms", client_spec.backoff_ms, Unit::Time,
                 "wait before a retry; the actual wait is 0.5 to 1.5 times this");
  visitor.amount("heed", client_spec.heed_retry_after_share, Unit::Share,
                 "share of the rejections with Retry-After after which the client waits for it");
  visitor.amount("try_share_min", client_spec.try_timeout_share_min, Unit::Share,
                 "minimum timeout of one attempt of a client, as a share of `give_up`");
  visitor.amount("try_share_max", client_spec.try_timeout_share_max, Unit::Share,
                 "maximum timeout of one attempt of a client, as a share of `give_up`");
  visitor.amount("leave_share", client_spec.abandon_share, Unit::Share,
                 "share of the attempts that the client abandons before their timeout");
  visitor.flag("keep_connections", client_spec.keep_connections,
               "false: a new connection for each attempt of a client");
  visitor.count("resting", client_spec.idle_connections,
                "idle connections that clients keep open to each router, in addition; on sockets only");
  visitor.flag("marks_retry", client_spec.marks_retry, "whether retries carry X-Retried; on sockets only");
  visitor.leave();
}

// ---- events ----

void describe_selection(Visitor& visitor, const char* member, NodeSelector& selection, const char* doc) {
  visitor.enter(member, doc);
  visitor.refs("nodes", selection.nodes, tables::kNodes,
               "only these, as GROUP-0, GROUP-1, ...; if empty, all");
  optional_member(visitor, "group", selection.group, [&](auto& g) {
    visitor.ref("group", g, tables::kGroups, false, "only nodes of this group");
  });
  optional_member(visitor, "zone", selection.zone,
                  [&](auto& z) { visitor.ref("zone", z, tables::kZones, false, "only those of this zone"); });
  optional_member(visitor, "kind", selection.kind,
                  [&](auto& k) { visitor.ref("kind", k, tables::kKinds, false, "only nodes of this kind"); });
  optional_member(visitor, "count", selection.count, [&](auto& c) {
    visitor.count("count", c, "number to select of those that match; takes precedence over `share`");
  });
  visitor.amount("share", selection.share, Unit::Share,
                 "share to select of those that match, but at least one");
  visitor.flag("random", selection.random,
               "true: selected at random with the seed; false: the first in order");
  visitor.leave();
}

void describe_selection(Visitor& visitor, const char* member, RouterSelector& selection, const char* doc) {
  visitor.enter(member, doc);
  visitor.refs("routers", selection.routers, tables::kRouters, "only these, as r0, r1, ...; if empty, all");
  optional_member(visitor, "zone", selection.zone,
                  [&](auto& z) { visitor.ref("zone", z, tables::kZones, false, "only those of this zone"); });
  optional_member(visitor, "count", selection.count, [&](auto& c) {
    visitor.count("count", c, "number to select of those that match; takes precedence over `share`");
  });
  visitor.amount("share", selection.share, Unit::Share,
                 "share to select of those that match, but at least one");
  visitor.flag("random", selection.random,
               "true: selected at random with the seed; false: the first in order");
  visitor.leave();
}

constexpr const char* kWhichNodes = "affected nodes, of those in service; if omitted, all";
constexpr const char* kWhichRouters = "affected routers; if omitted, all";

void describe_until(Visitor& visitor, double& until_ms) {
  visitor.amount("until_ms", until_ms, Unit::Time, "time at which it ends; 0: at the end of the run");
}

void describe_fields(Visitor& visitor, NoisyNeighbour& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  visitor.amount("share", event_spec.share, Unit::Share, "share of the machine that another program uses");
  describe_until(visitor, event_spec.until_ms);
  visitor.amount("on_ms", event_spec.on_ms, Unit::Time,
                 "mean duration of an active period; always active if this or `off` is 0");
  visitor.amount("off_ms", event_spec.off_ms, Unit::Time,
                 "mean time between two active periods; always active if this or `on` is 0");
}
void describe_fields(Visitor& visitor, StartNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who,
                     "nodes to start, of those on standby or terminated; if omitted, all of them");
}
void describe_fields(Visitor& visitor, DrainNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  visitor.amount("drain_ms", event_spec.drain_ms, Unit::Time,
                 "time in which a node finishes its requests before it terminates");
  visitor.amount("over_ms", event_spec.over_ms, Unit::Time,
                 "the starts of the drains are spread evenly over this time; 0: all at once");
}
void describe_fields(Visitor& visitor, KillNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
}
void describe_fields(Visitor& visitor, ReplaceNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  visitor.amount("after_ms", event_spec.after_ms, Unit::Time, "time until another machine uses the address");
}
void describe_fields(Visitor& visitor, RestartNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  visitor.amount("after_ms", event_spec.after_ms, Unit::Time,
                 "time until the node is started again, cold and empty");
}
void describe_fields(Visitor& visitor, SilentNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, PartitionZones& event_spec) {
  visitor.refs("a", event_spec.a, tables::kZones,
               "first set of zones; all messages between the two sets are lost, in both directions");
  visitor.refs("b", event_spec.b, tables::kZones, "second set of zones");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, PartitionNodes& event_spec) {
  describe_selection(visitor, "nodes", event_spec.nodes,
                     "nodes that are partitioned; all messages are lost, in both directions");
  describe_selection(visitor, "routers", event_spec.routers, "routers from which the nodes are partitioned");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, RestartRouters& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichRouters);
  enum_choice(visitor, "how", event_spec.how, kRouterEnds, "signal that ends the router: SIGKILL or SIGTERM");
  visitor.amount("down_ms", event_spec.down_ms, Unit::Time,
                 "time from the router's end until it is started again; 0: it is not restarted");
  visitor.count("batch", event_spec.batch, "number of routers in a batch; 0: all at once");
  visitor.amount("over_ms", event_spec.over_ms, Unit::Time, "the batches are spread evenly over this time");
}
void describe_fields(Visitor& visitor, ReloadRouters& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichRouters);
}
void describe_fields(Visitor& visitor, PartitionRouters& event_spec) {
  describe_selection(visitor, "a", event_spec.a, "routers that are partitioned from those of `b`");
  describe_selection(visitor, "b", event_spec.b,
                     "the other side, without those in `a`; if omitted, all others");
  visitor.flag("one_way", event_spec.one_way,
               "true: only datagrams from `a` to `b` are lost, not those from `b` to `a`");
  enum_choice(visitor, "carries", event_spec.carries, kCutTraffic,
              "messages that are lost: datagrams only, or also those between one side's routers and the "
              "machines of zones in which only the other side has routers");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, LoseDatagrams& event_spec) {
  describe_selection(visitor, "who", event_spec.who,
                     "routers whose datagrams are affected, both sent and received; if omitted, all");
  visitor.amount("share", event_spec.share, Unit::Share,
                 "share of the datagrams that are lost, in addition to the network's losses");
  visitor.amount("twice", event_spec.twice, Unit::Share,
                 "share of the datagrams that are duplicated, in addition to the network's duplicates");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, PauseRouters& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichRouters);
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, InconsistentRouter& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichRouters);
  enum_choice(visitor, "demand", event_spec.demand, kClaims,
              "demand at the origin that it reports: the minimum or maximum of the allowed range");
  enum_choice(visitor, "limit", event_spec.limit, kClaims,
              "limit at the origin that it reports: the minimum or maximum of the allowed range");
  visitor.flag("of_others", event_spec.of_others,
               "whether it also reports these values for other routers, as later updates of theirs");
  visitor.flag("accuses", event_spec.accuses, "whether it reports living routers as dead");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, DiscoveryOutage& event_spec) {
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, DiscoveryMove& event_spec) {
  visitor.amount("old_stays_ms", event_spec.old_stays_ms, Unit::Time,
                 "time during which the old address still answers");
  visitor.amount("reload_after_ms", event_spec.reload_after_ms, Unit::Time,
                 "the routers get SIGHUP one after another, at this interval");
}
void describe_fields(Visitor& visitor, OriginStall& event_spec) {
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, OriginSlow& event_spec) {
  visitor.amount("factor", event_spec.factor, Unit::Number,
                 "factor by which the origin's capacity is multiplied");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, OriginFall& event_spec) {
  visitor.amount("down_ms", event_spec.down_ms, Unit::Time, "time until the origin is started again");
}
void describe_fields(Visitor& visitor, HotKey& event_spec) {
  visitor.amount("share", event_spec.share, Unit::Share,
                 "share of all reads that are for one key which was not requested before");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, LoadSpike& event_spec) {
  visitor.amount("factor", event_spec.factor, Unit::Number, "factor by which the rate is multiplied");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, BadResponses& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  visitor.amount("share", event_spec.share, Unit::Share, "share of the responses that are bad");
  describe_until(visitor, event_spec.until_ms);
  enum_choice(visitor, "kind", event_spec.kind, kBadAnswers, "defect of the bad responses");
}
void describe_fields(Visitor& visitor, ZoneOutage& event_spec) {
  visitor.ref("zone", event_spec.zone, tables::kZones, true,
              "zone in which all machines and routers become silent");
  describe_until(visitor, event_spec.until_ms);
  visitor.flag("clients_move", event_spec.clients_move,
               "true: the zone's clients use the other zones; false: they are lost too");
}
void describe_fields(Visitor& visitor, SlowLink& event_spec) {
  visitor.ref("from", event_spec.from, tables::kZones, true, "one zone of the link");
  visitor.ref("to", event_spec.to, tables::kZones, true, "the other zone of the link");
  visitor.amount("factor", event_spec.factor, Unit::Number, "factor by which the delay is multiplied");
  describe_until(visitor, event_spec.until_ms);
}

template <std::size_t... I>
EventAction make_alternative(std::size_t name_index, std::index_sequence<I...>) {
  EventAction event;
  ((I == name_index ? void(event.emplace<I>()) : void()), ...);
  return event;
}

void describe_timed_event(Visitor& visitor, TimedEvent& timed_event) {
  visitor.amount("at_ms", timed_event.at_ms, Unit::Time, "time at which the event begins");
  visitor.text("label", timed_event.label, false, "text for reports; if omitted, the kind of event");
  std::size_t name_index = timed_event.what.index();
  visitor.choice("what", name_index, kEvents, true, "kind of event, see below");
  if (name_index != timed_event.what.index()) timed_event.what = make_event(name_index);
  describe_event(visitor, timed_event.what);
  if (timed_event.label.empty()) timed_event.label = kEvents[timed_event.what.index()];
}

// ---- rules and bounds ----

void describe_bound(Visitor& visitor, Bound& bound_spec) {
  enum_choice(visitor, "metric", bound_spec.metric, kMetrics, "metric that is bounded", true);
  const Unit unit = unit_of(bound_spec.metric);
  optional_member(visitor, "at_least", bound_spec.at_least, [&](double& x) {
    visitor.amount("at_least", x, unit, "lowest value that meets the bound, in the unit of the metric");
  });
  optional_member(visitor, "at_most", bound_spec.at_most, [&](double& x) {
    visitor.amount("at_most", x, unit, "highest value that meets the bound, in the unit of the metric");
  });
  optional_member(visitor, "cls", bound_spec.cls, [&](auto& c) {
    visitor.ref("cls", c, tables::kClasses, false, "only requests of this class count");
  });
  optional_member(visitor, "tenant", bound_spec.tenant, [&](auto& t) {
    visitor.ref("tenant", t, tables::kTenants, false, "only requests of this tenant count");
  });
  visitor.amount("from_ms", bound_spec.from_ms, Unit::Time,
                 "start of the period: only requests drawn from then on count; at the origin and the caches, "
                 "attempts that arrive from then on");
  visitor.amount("to_ms", bound_spec.to_ms, Unit::Time, "end of the period; 0: `duration`");
  visitor.amount("window_ms", bound_spec.window_ms, Unit::Time,
                 "for `worst-window` and `recovery`: length of a window");
  visitor.amount("quantile", bound_spec.quantile, Unit::Share,
                 "for `latency`: quantile over the served requests");
  visitor.amount("level", bound_spec.level, Unit::Share,
                 "for `recovery`: service that must be reached and kept");
}

void describe_expectations(Visitor& visitor, Expectations& expectations) {
  visitor.enter("holds", "expected results");
  visitor.enter("rules", "rules for every run, unless disabled here");
  visitor.flag("one_answer", expectations.rules.one_response,
               "each request that a router accepted gets exactly one final response");
  visitor.flag("no_lost", expectations.rules.no_lost_requests,
               "no accepted request is without a response in time");
  visitor.flag("repeats", expectations.rules.safe_repeats,
               "no request is repeated unless its class allows it");
  visitor.flag("drains", expectations.rules.drains_respected,
               "a draining or gone node gets no new attempts after the grace period");
  visitor.flag("cold_nodes", expectations.rules.cold_nodes_protected, "no cold node fails from overload");
  visitor.flag("genuine", expectations.rules.genuine_bodies,
               "each served response was produced by a node for this request");
  visitor.leave();
  each_item(visitor, "bounds", expectations.bounds, "bounds on measured values",
            [&](Bound& bound_spec) { describe_bound(visitor, bound_spec); });
  visitor.amount("whole_weight", expectations.overall_weight, Unit::Number,
                 "weight of the service of the whole run in the score");
  visitor.amount("worst_window_weight", expectations.worst_window_weight, Unit::Number,
                 "weight of the service of the worst 10 s in the score");
  visitor.amount("worst_class_weight", expectations.worst_class_weight, Unit::Number,
                 "weight of the service of the worst-served class in the score");
  visitor.amount("worst_tenant_weight", expectations.worst_tenant_weight, Unit::Number,
                 "weight of the service of the worst-served tenant in the score");
  visitor.leave();
}

} // namespace

ChoiceNames event_names() { return kEvents; }

EventAction make_event(std::size_t name_index) {
  return make_alternative(name_index, std::make_index_sequence<std::variant_size_v<EventAction>>());
}

void describe_event(Visitor& visitor, EventAction& event) {
  std::visit([&](auto& action) { describe_fields(visitor, action); }, event);
}

void describe(Visitor& visitor, Spec& spec) {
  visitor.text("name", spec.name, false, "short name; if omitted, the name of the file");
  visitor.text("title", spec.title, false, "title for reports, in one line");
  visitor.amount("duration_ms", spec.duration_ms, Unit::Time,
                 "time at which arrivals end; the run continues until all requests have ended");
  visitor.seed("seed", spec.seed, "seed of all random numbers of the run");
  enum_choice(visitor, "counted_by", spec.weight_basis, kCountedBy,
              "whether the priority weight applies per request or per unit of its work");
  each_item(visitor, "zones", spec.zones, "data centres", [&](Zone& zone) {
    visitor.text("name", zone.name, true, "name of the zone");
    visitor.amount("client_share", zone.client_share, Unit::Share,
                   "share of the clients; if no zone has one, the shares are equal");
  });
  describe_network(visitor, spec.network);
  each_item(visitor, "kinds", spec.kinds, "kinds of cache node",
            [&](NodeKind& node_kind) { describe_kind(visitor, node_kind); });
  each_item(visitor, "nodes", spec.nodes, "groups of cache nodes", [&](NodeGroup& group) {
    visitor.text("name", group.name, true, "name of the group; its machines are named NAME-0, NAME-1, ...");
    visitor.ref("kind", group.kind, tables::kKinds, true, "kind of the nodes");
    visitor.ref("zone", group.zone, tables::kZones, true, "zone of the nodes");
    visitor.count("count", group.count,
                  "number of nodes in service from the start: warm, with recently requested objects");
    visitor.count("standby", group.standby, "number of further nodes that an event may start");
    visitor.count("cell_size", group.cell_size, "number of nodes in a cell");
    visitor.amount("weight_error", group.weight_error, Unit::Share,
                   "the weight that discovery publishes is wrong by up to this share");
  });
  describe_origin(visitor, spec.origin);
  describe_routers(visitor, spec.routers);
  describe_front(visitor, spec.front);
  describe_discovery(visitor, spec.discovery);
  each_item(visitor, "classes", spec.classes, "classes of requests",
            [&](ClassSpec& class_spec) { describe_class(visitor, class_spec); });
  each_item(visitor, "tenants", spec.tenants, "tenants; if there are none, one without a name",
            [&](TenantSpec& tenant_spec) { describe_tenant(visitor, tenant_spec); });
  describe_keys(visitor, spec.keys);
  describe_load(visitor, spec.load);
  describe_clients(visitor, spec.clients);
  each_item(visitor, "events", spec.events, "events and their times",
            [&](TimedEvent& timed_event) { describe_timed_event(visitor, timed_event); });
  describe_expectations(visitor, spec.expectations);
}

} // namespace fernward::lab
