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
  enum_choice(visitor, "shape", distribution.shape, kShapes, "how it is spread");
  visitor.amount("mean", distribution.mean, unit, "its mean");
  visitor.amount("cv", distribution.cv, Unit::Number, "log-normal: standard deviation / mean");
  visitor.leave();
}

void describe_report(Visitor& visitor, ReportSpec& report_spec) {
  visitor.enter("report", "the load report that answers carry");
  visitor.flag("on", report_spec.enabled, "whether there is one");
  visitor.amount("period_ms", report_spec.period_ms, Unit::Time, "the figures are taken this often");
  visitor.amount("delay_ms", report_spec.delay_ms, Unit::Time, "and can be read this much later");
  visitor.amount("noise", report_spec.noise, Unit::Share,
                 "each figure is off by a normal draw of this share");
  std::vector<std::size_t> fields;
  for (const LoadReportField field : report_spec.fields) fields.push_back(static_cast<std::size_t>(field));
  visitor.choices("fields", fields, kReportFields, "what it holds, in this order; the same for all kinds");
  report_spec.fields.clear();
  for (const std::size_t field : fields) report_spec.fields.push_back(static_cast<LoadReportField>(field));
  visitor.leave();
}

void describe_network(Visitor& visitor, NetworkSpec& network_spec) {
  visitor.enter("network", "delays, one way");
  visitor.amount("same_ms", network_spec.same_zone_delay_ms, Unit::Time, "within a zone");
  visitor.amount("cross_ms", network_spec.cross_zone_delay_ms, Unit::Time, "between zones");
  visitor.amount("client_ms", network_spec.client_delay_ms, Unit::Time,
                 "between a client and the routers of its zone");
  visitor.amount("jitter", network_spec.jitter, Unit::Share, "each delay is stretched by up to this share");
  visitor.amount("datagram_min_ms", network_spec.datagram_min_ms, Unit::Time,
                 "between routers, on top of the delay: the least");
  visitor.amount("datagram_max_ms", network_spec.datagram_max_ms, Unit::Time, "and the most");
  visitor.amount("datagram_loss", network_spec.datagram_loss_share, Unit::Share,
                 "of the datagrams that are lost");
  visitor.amount("datagram_twice", network_spec.datagram_duplicate_share, Unit::Share, "that come twice");
  each_item(visitor, "links", network_spec.links, "pairs of zones with a delay of their own, both ways",
            [&](ZoneLink& link) {
              visitor.ref("from", link.from, tables::kZones, true, "one zone");
              visitor.ref("to", link.to, tables::kZones, true, "the other");
              visitor.amount("delay_ms", link.delay_ms, Unit::Time, "one way, instead of `cross`");
            });
  visitor.leave();
}

void describe_kind(Visitor& visitor, NodeKind& node_kind) {
  visitor.text("name", node_kind.name, true, "what it is called");
  visitor.amount("cores", node_kind.cores, Unit::Number, "of a machine");
  visitor.amount("speed", node_kind.speed, Unit::Number, "of a core; work is counted on a core of speed 1");
  visitor.amount("speed_cv", node_kind.speed_cv, Unit::Number,
                 "how much speeds differ between nodes (log-normal)");
  visitor.count("places", node_kind.max_active, "requests in work at once; they share the cores evenly");
  visitor.count("waiting", node_kind.max_queued, "requests that may wait; further ones are turned away");
  visitor.amount("crowded_at", node_kind.congested_at, Unit::Number,
                 "requests held for each core from which work gets slower");
  visitor.amount("crowded_loss", node_kind.congestion_slowdown, Unit::Number,
                 "work takes 1 + this x (held per core - crowded_at) times as long");
  visitor.amount("memory_bytes", node_kind.memory_bytes, Unit::Bytes,
                 "for objects; beyond it some are dropped");
  enum_choice(visitor, "evict", node_kind.eviction_policy, kEvict,
              "dropped first: the longest unused, or the longest kept");
  visitor.amount("expire_ms", node_kind.object_lifetime_ms, Unit::Time,
                 "an object is void this long after it was stored; 0: never");
  visitor.amount("object_overhead_bytes", node_kind.object_overhead_bytes, Unit::Bytes,
                 "that an object takes besides its own");
  visitor.amount("lease_ms", node_kind.lease_ms, Unit::Time,
                 "a first miss of a key makes the next ones `pending` for this long");
  visitor.amount("hit_share_of_work", node_kind.hit_share_of_work, Unit::Number,
                 "of a request's work that a hit costs");
  visitor.amount("miss_share_of_work", node_kind.miss_share_of_work, Unit::Number, "and a miss");
  visitor.amount("start_capacity", node_kind.start_capacity, Unit::Share,
                 "that a node has just after its start");
  visitor.amount("warm_ms", node_kind.warm_up_ms, Unit::Time, "until it has the whole; 0: at once");
  enum_choice(visitor, "warm_by", node_kind.warm_up_mode, kWarmBy,
              "what lets it rise: time, or work done (by time at the latest)");
  visitor.amount("tip_multiple", node_kind.overload_multiple, Unit::Number,
                 "a cold node sent more than this times its present capacity");
  visitor.amount("tip_ms", node_kind.overload_failure_ms, Unit::Time,
                 "for this long falls over and stays down; 0: never");
  visitor.amount("error_rate", node_kind.error_rate, Unit::Share, "of its requests end in an error");
  visitor.amount("pause_every_ms", node_kind.pause_interval_ms, Unit::Time,
                 "mean time between pauses; 0: none");
  visitor.amount("pause_ms", node_kind.pause_duration_ms, Unit::Time,
                 "mean length of a pause, in which nothing is worked on");
  visitor.count("connections", node_kind.max_connections, "open at most; further ones are refused");
  visitor.amount("full_table_loss", node_kind.full_table_capacity_loss, Unit::Share,
                 "of its capacity that a full table of them takes");
  visitor.amount("handshake_ms", node_kind.handshake_work_ms, Unit::Time, "work of a new connection");
  visitor.amount("handshake_trips", node_kind.handshake_round_trips, Unit::Number,
                 "round trips it takes, beside TCP's own");
  visitor.amount("idle_ms", node_kind.idle_timeout_ms, Unit::Time,
                 "a connection at rest is closed after this");
  visitor.flag("drops_expired", node_kind.drops_expired, "work is not begun once its time is up");
  enum_choice(visitor, "on_cancel", node_kind.cancel_policy, kOnCancel,
              "what becomes of work that nobody waits for any more");
  visitor.amount("repeat_window_ms", node_kind.idempotency_window_ms, Unit::Time,
                 "a keyed write's repeats are dropped for this long", {"as-class", -1});
  describe_report(visitor, node_kind.report);
}

void describe_origin(Visitor& visitor, OriginSpec& origin_spec) {
  visitor.enter("origin", "the slow store behind the caches");
  visitor.flag("on", origin_spec.enabled, "without it the nodes keep nothing and serve whatever comes");
  visitor.ref("zone", origin_spec.zone, tables::kZones, false, "where it stands");
  visitor.amount("capacity_per_s", origin_spec.capacity_per_s, Unit::Rate, "fetches of mean cost");
  visitor.amount("time_ms", origin_spec.service_time_ms, Unit::Time, "mean time of a fetch");
  visitor.amount("time_cv", origin_spec.service_time_cv, Unit::Number,
                 "spread of it (log-normal); 0: always the mean");
  visitor.amount("write_multiple", origin_spec.write_multiple, Unit::Number,
                 "what a write takes, times a fetch");
  visitor.amount("queue_ms", origin_spec.queue_limit_ms, Unit::Time,
                 "waiting room, as time of the whole capacity");
  visitor.amount("crowded_at", origin_spec.congested_at, Unit::Share,
                 "of the waiting room from which it gets slower");
  visitor.amount("crowded_loss", origin_spec.congestion_slowdown, Unit::Number,
                 "with a full waiting room work takes 1 + this times as long");
  visitor.amount("fall_multiple", origin_spec.overload_multiple, Unit::Number,
                 "sent more than this times its capacity; 0: never falls");
  visitor.amount("fall_ms", origin_spec.overload_failure_ms, Unit::Time, "for this long, it stops");
  visitor.amount("down_ms", origin_spec.down_ms, Unit::Time, "for this long");
  visitor.flag("drops_expired", origin_spec.drops_expired, "work is not begun once its time is up");
  visitor.count("connections", origin_spec.max_connections, "open at most");
  visitor.amount("handshake_trips", origin_spec.handshake_round_trips, Unit::Number,
                 "round trips of a new connection, beside TCP's own");
  visitor.amount("idle_ms", origin_spec.idle_timeout_ms, Unit::Time,
                 "a connection at rest is closed after this");
  visitor.amount("error_rate", origin_spec.error_rate, Unit::Share, "of its requests end in an error");
  visitor.amount("warm_hits", origin_spec.initial_hit_ratio, Unit::Share,
                 "of the reads that the caches answer as the run begins");
  describe_report(visitor, origin_spec.report);
  visitor.leave();
}

void describe_routers(Visitor& visitor, RouterSpec& router_spec) {
  visitor.enter("routers", "the routers, and the settings they are given");
  each_item(visitor, "groups", router_spec.groups,
            "routers of one zone; they are called r0, r1, ... in order", [&](RouterGroup& group) {
              visitor.ref("zone", group.zone, tables::kZones, true, "where they stand");
              visitor.count("count", group.count, "how many");
            });
  visitor.count("sockets", router_spec.max_sockets, "descriptors that a router may hold");
  visitor.count("memory_mb", router_spec.memory_mb, "that a router may use", Unit::Mebibytes);
  visitor.amount("cores", router_spec.cores, Unit::Number, "that a router may use");
  visitor.flag("may_cancel", router_spec.may_cancel, "routers may give up attempts");
  visitor.flag("may_duplicate", router_spec.may_hedge,
               "a second copy may be out at once, where the class allows it");
  visitor.flag("retry_advice", router_spec.send_retry_after, "refusals carry Retry-After");
  visitor.amount("max_retry_after_ms", router_spec.max_retry_after_ms, Unit::Time, "that clients heed");
  visitor.count("max_attempts", router_spec.max_attempts, "for each try of a client");
  visitor.amount("tick_ms", router_spec.event_interval_ms, Unit::Time,
                 "the decision module is asked at most this often");
  visitor.amount("connect_timeout_ms", router_spec.connect_timeout_ms, Unit::Time,
                 "for a connection to come up");
  visitor.amount("conn_idle_ms", router_spec.connection_idle_ms, Unit::Time,
                 "told to the routers: nodes close connections at rest after this");
  visitor.count("open_cap", router_spec.max_open_requests, "requests open at once in a router");
  visitor.amount("grace_to_answer_ms", router_spec.response_grace_ms, Unit::Time, "beyond a try's deadline");
  visitor.amount("drain_grace_ms", router_spec.drain_grace_ms, Unit::Time,
                 "in which sends to a draining or gone node must end");
  visitor.amount("over_share_worth", router_spec.over_quota_weight, Unit::Share,
                 "of what a request beyond its quota is worth");
  enum_choice(visitor, "weight_kind", router_spec.weight_kind, kWeightKinds, "what discovery's weights are");
  visitor.enter("sharing", "what routers of the tier tell one another");
  visitor.flag("on", router_spec.sharing.enabled, "false: no datagram passes between them");
  visitor.amount("period_ms", router_spec.sharing.ping_period_ms, Unit::Time,
                 "one other router is pinged in each");
  visitor.count("asked", router_spec.sharing.indirect_probes,
                "others that are asked about one that does not answer, 8 at most");
  visitor.flag("ledger", router_spec.sharing.share_origin_limit,
               "the limit at the origin is dealt out by demand");
  visitor.flag("count", router_spec.sharing.count_living_routers,
               "living routers count, in place of the configured number");
  visitor.flag("findings", router_spec.sharing.share_findings,
               "what several routers say together of a cache node");
  visitor.leave();
  visitor.enter("resize", "what routers do when the list changes");
  visitor.amount("settle_ms", router_spec.resize.transition_ms, Unit::Time,
                 "former owners are read for this long; 0: off");
  visitor.amount("ledger_multiple", router_spec.resize.origin_load_multiple, Unit::Number,
                 "meanwhile fetches stay below this times their steady rate; 0: no bound");
  visitor.amount("second_holder", router_spec.resize.second_replica_share, Unit::Share,
                 "of the reads, those of the most popular keys, that are kept at two caches");
  visitor.leave();
  visitor.leave();
}

void describe_front(Visitor& visitor, FrontBalancerSpec& front_spec) {
  visitor.enter("front", "the plain front that deals clients out over their zone's routers");
  visitor.amount("notice_ms", front_spec.failure_detection_ms, Unit::Time,
                 "it goes on sending to a dead router for this long");
  visitor.amount("ready_every_ms", front_spec.ready_check_interval_ms, Unit::Time,
                 "it asks a starting router this often");
  visitor.leave();
}

void describe_congestion(Visitor& visitor, CongestionSpec& congestion_spec) {
  visitor.enter("congestion", "one discovery server that all routers share; on sockets only");
  visitor.amount("answers_per_second", congestion_spec.answers_per_second, Unit::Rate,
                 "made one after another, in the order of the calls; 0: no limit");
  visitor.amount("bytes_per_second", congestion_spec.bytes_per_second, Unit::Bytes,
                 "sent in a second, of all answers together, piece by piece in turn; 0: no limit");
  visitor.amount("piece_size_bytes", congestion_spec.piece_size_bytes, Unit::Bytes,
                 "answers go out in such pieces; 0: in one");
  visitor.amount("piece_interval_ms", congestion_spec.piece_interval_ms, Unit::Time,
                 "the least time between two pieces of one answer");
  visitor.amount("refused_share", congestion_spec.refused_share, Unit::Share,
                 "of the calls: half get a 503, half have their connection closed");
  visitor.amount("silent_share", congestion_spec.silent_share, Unit::Share,
                 "of the long polls that find no news yet: never answered");
  visitor.leave();
}

void describe_discovery(Visitor& visitor, DiscoverySpec& discovery_spec) {
  visitor.enter("discovery", "how late the node list is");
  visitor.amount("add_min_ms", discovery_spec.add_delay_min_ms, Unit::Time,
                 "from a node's start until the list has it: the least");
  visitor.amount("add_max_ms", discovery_spec.add_delay_max_ms, Unit::Time, "and the most");
  visitor.amount("notice_min_ms", discovery_spec.leave_delay_min_ms, Unit::Time,
                 "from a drain or an end: the least");
  visitor.amount("notice_max_ms", discovery_spec.leave_delay_max_ms, Unit::Time, "and the most");
  visitor.amount("silent_min_ms", discovery_spec.silence_delay_min_ms, Unit::Time,
                 "from a machine's silence: the least");
  visitor.amount("silent_max_ms", discovery_spec.silence_delay_max_ms, Unit::Time, "and the most");
  visitor.amount("period_ms", discovery_spec.update_period_ms, Unit::Time, "the list is renewed this often");
  visitor.amount("spread_ms", discovery_spec.delivery_spread_ms, Unit::Time,
                 "and comes to each router up to this much later");
  visitor.amount("at_latest_ms", discovery_spec.notified_at_latest_ms, Unit::Time,
                 "what it could have told a router counts as told after this, arrived or not");
  visitor.amount("reload_at_latest_ms", discovery_spec.reload_notified_at_latest_ms, Unit::Time,
                 "the same from the SIGHUP after discovery has moved");
  describe_congestion(visitor, discovery_spec.congestion);
  visitor.leave();
}

void describe_class(Visitor& visitor, ClassSpec& class_spec) {
  visitor.text("name", class_spec.name, true, "as the wire has it");
  visitor.amount("share", class_spec.share, Unit::Share, "of the requests, relative to the other classes");
  describe_distribution(visitor, "work", class_spec.work, Unit::Time, "of a request, on a core of speed 1");
  visitor.amount("attempt_noise", class_spec.attempt_work_cv, Unit::Number,
                 "an attempt's work is off from it by this (cv)");
  visitor.amount("hint_error", class_spec.hint_error, Unit::Number, "the cost hint is off by this (cv)",
                 {"no-hint", -1});
  visitor.amount("aim_ms", class_spec.latency_objective_ms, Unit::Time,
                 "an answer within this earns the worth; 0: within give_up");
  visitor.amount("give_up_ms", class_spec.client_timeout_ms, Unit::Time,
                 "the client's patience over all its tries");
  visitor.amount("aim_stretch", class_spec.objective_per_work, Unit::Number,
                 "the aim grows by this many times the request's work");
  visitor.amount("late_share", class_spec.late_value_share, Unit::Share,
                 "of the worth for an answer after the aim");
  visitor.amount("worth", class_spec.priority_weight, Unit::Number,
                 "of a request, or of each unit of its work (see counted_by)");
  enum_choice(visitor, "repeat", class_spec.idempotency, kIdempotencies,
              "may its effect be carried out again?");
  enum_choice(visitor, "scope", class_spec.idempotency_scope, kIdempotencyScopes,
              "keyed: the nodes that drop a repeat together");
  visitor.amount("window_ms", class_spec.idempotency_window_ms, Unit::Time, "keyed: for this long");
  visitor.flag("write", class_spec.write, "it writes its key");
}

void describe_tenant(Visitor& visitor, TenantSpec& tenant_spec) {
  visitor.text("name", tenant_spec.name, true, "as the wire has it");
  visitor.amount("share", tenant_spec.share, Unit::Share, "of the service that it may have");
  visitor.amount("usage", tenant_spec.usage_factor, Unit::Number, "it sends this times its share");
  visitor.amount("quota_per_s", tenant_spec.quota_per_s, Unit::Rate,
                 "beyond it requests are worth little; 0: no quota");
}

void describe_keys(Visitor& visitor, KeySpec& key_spec) {
  visitor.enter("keys", "what is asked for");
  visitor.count("count", key_spec.count, "keys asked for at any one time");
  visitor.amount("zipf", key_spec.zipf, Unit::Number,
                 "rank r (from 1) is drawn in proportion to (r + offset)^-zipf");
  visitor.amount("offset", key_spec.offset, Unit::Number, "flattens the top of it");
  visitor.amount("drift_per_s", key_spec.drift_per_s, Unit::ShareRate, "of the ranks that pass to a new key");
  visitor.amount("changes_per_s", key_spec.changes_per_s, Unit::ShareRate,
                 "of the keys that change at the origin");
  describe_distribution(visitor, "size", key_spec.size, Unit::Bytes, "of an object");
  visitor.leave();
}

void describe_load(Visitor& visitor, LoadSpec& load_spec) {
  visitor.enter("load", "how many requests come; they never wait for answers");
  visitor.amount("rate_per_s", load_spec.rate_per_s, Unit::Rate, "first tries");
  enum_choice(visitor, "shape", load_spec.shape, kLoadShapes, "how the rate goes");
  visitor.amount("ramp_to", load_spec.ramp_to, Unit::Number, "ramp: the rate at the end, times `rate`");
  visitor.amount("swing", load_spec.swing, Unit::Share, "day: the rate swings by this share of its mean");
  visitor.amount("period_ms", load_spec.period_ms, Unit::Time, "day: its length");
  visitor.amount("peak_at_ms", load_spec.peak_at_ms, Unit::Time, "day: its busiest time");
  visitor.leave();
}

void describe_clients(Visitor& visitor, ClientSpec& client_spec) {
  visitor.enter("clients", "their habits");
  visitor.amount("retries", client_spec.mean_max_retries, Unit::Number,
                 "further tries a client makes; 0.4: four in ten make one");
  enum_choice(visitor, "backoff", client_spec.backoff, kBackoffs,
              "how the wait before a further try goes on");
  visitor.amount("backoff_ms", client_spec.backoff_ms, Unit::Time, "half to one and a half times this");
  visitor.amount("heed", client_spec.heed_retry_after_share, Unit::Share, "that wait for Retry-After");
  visitor.amount("try_share_min", client_spec.try_timeout_share_min, Unit::Share,
                 "of give_up after which a try is given up: the least");
  visitor.amount("try_share_max", client_spec.try_timeout_share_max, Unit::Share, "and the most");
  visitor.amount("leave_share", client_spec.abandon_share, Unit::Share,
                 "of the tries whose client leaves before that");
  visitor.flag("keep_connections", client_spec.keep_connections, "false: a new connection for each try");
  visitor.count("resting", client_spec.idle_connections,
                "further connections held open to each router without a request");
  visitor.flag("marks_retry", client_spec.marks_retry, "retries carry X-Retried");
  visitor.leave();
}

// ---- events ----

void describe_selection(Visitor& visitor, const char* member, NodeSelector& selection, const char* doc) {
  visitor.enter(member, doc);
  visitor.refs("nodes", selection.nodes, tables::kNodes, "these alone, as GROUP-0, GROUP-1, ...; none: all");
  optional_member(visitor, "group", selection.group,
                  [&](auto& g) { visitor.ref("group", g, tables::kGroups, false, "of this group"); });
  optional_member(visitor, "zone", selection.zone,
                  [&](auto& z) { visitor.ref("zone", z, tables::kZones, false, "of this zone"); });
  optional_member(visitor, "kind", selection.kind,
                  [&](auto& k) { visitor.ref("kind", k, tables::kKinds, false, "of this kind"); });
  optional_member(visitor, "count", selection.count,
                  [&](auto& c) { visitor.count("count", c, "so many of those; goes before share"); });
  visitor.amount("share", selection.share, Unit::Share, "of those, one at least");
  visitor.flag("random", selection.random, "drawn from the seed; false: the first in order");
  visitor.leave();
}

void describe_selection(Visitor& visitor, const char* member, RouterSelector& selection, const char* doc) {
  visitor.enter(member, doc);
  visitor.refs("routers", selection.routers, tables::kRouters, "these alone, as r0, r1, ...; none: all");
  optional_member(visitor, "zone", selection.zone,
                  [&](auto& z) { visitor.ref("zone", z, tables::kZones, false, "of this zone"); });
  optional_member(visitor, "count", selection.count,
                  [&](auto& c) { visitor.count("count", c, "so many of those; goes before share"); });
  visitor.amount("share", selection.share, Unit::Share, "of those, one at least");
  visitor.flag("random", selection.random, "drawn from the seed; false: the first in order");
  visitor.leave();
}

constexpr const char* kWhichNodes = "which nodes; without it all";
constexpr const char* kWhichRouters = "which routers; without it all";

void describe_until(Visitor& visitor, double& until_ms) {
  visitor.amount("until_ms", until_ms, Unit::Time, "when it ends; 0: with the run");
}

void describe_fields(Visitor& visitor, NoisyNeighbour& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  visitor.amount("share", event_spec.share, Unit::Share, "of the machine that another program takes");
  describe_until(visitor, event_spec.until_ms);
  visitor.amount("on_ms", event_spec.on_ms, Unit::Time, "mean time on; 0: on all the time");
  visitor.amount("off_ms", event_spec.off_ms, Unit::Time, "mean time off");
}
void describe_fields(Visitor& visitor, StartNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, "which of those on standby or ended");
}
void describe_fields(Visitor& visitor, DrainNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  visitor.amount("drain_ms", event_spec.drain_ms, Unit::Time,
                 "they finish what they have for this long, then end");
  visitor.amount("over_ms", event_spec.over_ms, Unit::Time, "not all at once: spread evenly over this time");
}
void describe_fields(Visitor& visitor, KillNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
}
void describe_fields(Visitor& visitor, ReplaceNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  visitor.amount("after_ms", event_spec.after_ms, Unit::Time, "until another machine has the address");
}
void describe_fields(Visitor& visitor, RestartNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  visitor.amount("after_ms", event_spec.after_ms, Unit::Time, "until it is back, cold and empty");
}
void describe_fields(Visitor& visitor, SilentNodes& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, PartitionZones& event_spec) {
  visitor.refs("a", event_spec.a, tables::kZones, "nothing passes between these zones");
  visitor.refs("b", event_spec.b, tables::kZones, "and these");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, PartitionNodes& event_spec) {
  describe_selection(visitor, "nodes", event_spec.nodes, "nothing passes between these nodes");
  describe_selection(visitor, "routers", event_spec.routers, "and these routers");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, RestartRouters& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichRouters);
  enum_choice(visitor, "how", event_spec.how, kRouterEnds, "killed outright, or told to end");
  visitor.amount("down_ms", event_spec.down_ms, Unit::Time, "until it is started again; 0: stays away");
  visitor.count("batch", event_spec.batch, "so many at a time; 0: all at once");
  visitor.amount("over_ms", event_spec.over_ms, Unit::Time, "the batches are spread evenly over this time");
}
void describe_fields(Visitor& visitor, ReloadRouters& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichRouters);
}
void describe_fields(Visitor& visitor, PartitionRouters& event_spec) {
  describe_selection(visitor, "a", event_spec.a, "nothing passes from these routers");
  describe_selection(visitor, "b", event_spec.b, "to these, of the others; without it all of them");
  visitor.flag("one_way", event_spec.one_way, "datagrams from b to a pass all the same");
  enum_choice(
      visitor, "carries", event_spec.carries, kCutTraffic,
      "what does not pass: datagrams alone, or also what one side's routers and the machines of the other's "
      "zones say");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, LoseDatagrams& event_spec) {
  describe_selection(visitor, "who", event_spec.who,
                     "routers whose datagrams are meant, sent or received; without it all");
  visitor.amount("share", event_spec.share, Unit::Share, "that is lost, on top of what the network loses");
  visitor.amount("twice", event_spec.twice, Unit::Share, "that comes twice");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, PauseRouters& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichRouters);
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, InconsistentRouter& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichRouters);
  enum_choice(visitor, "demand", event_spec.demand, kClaims,
              "what it says that it wants of the origin: the least or the most there is");
  enum_choice(visitor, "limit", event_spec.limit, kClaims, "and what its limit there is");
  visitor.flag("of_others", event_spec.of_others, "the same of others, as if they had said so later");
  visitor.flag("accuses", event_spec.accuses, "it says of living routers that they are dead");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, DiscoveryOutage& event_spec) {
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, DiscoveryMove& event_spec) {
  visitor.amount("old_stays_ms", event_spec.old_stays_ms, Unit::Time,
                 "how long the old address still answers");
  visitor.amount("reload_after_ms", event_spec.reload_after_ms, Unit::Time,
                 "routers are reloaded one after another, this far apart");
}
void describe_fields(Visitor& visitor, OriginStall& event_spec) {
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, OriginSlow& event_spec) {
  visitor.amount("factor", event_spec.factor, Unit::Number, "its capacity times this");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, OriginFall& event_spec) {
  visitor.amount("down_ms", event_spec.down_ms, Unit::Time, "until it is back");
}
void describe_fields(Visitor& visitor, HotKey& event_spec) {
  visitor.amount("share", event_spec.share, Unit::Share,
                 "of all reads that go to one key nobody asked for before");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, LoadSpike& event_spec) {
  visitor.amount("factor", event_spec.factor, Unit::Number, "the rate times this");
  describe_until(visitor, event_spec.until_ms);
}
void describe_fields(Visitor& visitor, BadResponses& event_spec) {
  describe_selection(visitor, "who", event_spec.who, kWhichNodes);
  visitor.amount("share", event_spec.share, Unit::Share, "of their answers");
  describe_until(visitor, event_spec.until_ms);
  enum_choice(visitor, "kind", event_spec.kind, kBadAnswers, "what is wrong with them");
}
void describe_fields(Visitor& visitor, ZoneOutage& event_spec) {
  visitor.ref("zone", event_spec.zone, tables::kZones, true, "all its machines and routers fall silent");
  describe_until(visitor, event_spec.until_ms);
  visitor.flag("clients_move", event_spec.clients_move,
               "its clients go to the other zones; false: they are lost with it");
}
void describe_fields(Visitor& visitor, SlowLink& event_spec) {
  visitor.ref("from", event_spec.from, tables::kZones, true, "between this zone");
  visitor.ref("to", event_spec.to, tables::kZones, true, "and this one");
  visitor.amount("factor", event_spec.factor, Unit::Number, "the delay times this");
  describe_until(visitor, event_spec.until_ms);
}

template <std::size_t... I>
EventAction make_alternative(std::size_t name_index, std::index_sequence<I...>) {
  EventAction event;
  ((I == name_index ? void(event.emplace<I>()) : void()), ...);
  return event;
}

void describe_timed_event(Visitor& visitor, TimedEvent& timed_event) {
  visitor.amount("at_ms", timed_event.at_ms, Unit::Time, "when it happens");
  visitor.text("label", timed_event.label, false, "for reports; without it, what happens");
  std::size_t name_index = timed_event.what.index();
  visitor.choice("what", name_index, kEvents, true, "what happens, see below");
  if (name_index != timed_event.what.index()) timed_event.what = make_event(name_index);
  describe_event(visitor, timed_event.what);
  if (timed_event.label.empty()) timed_event.label = kEvents[timed_event.what.index()];
}

// ---- rules and bounds ----

void describe_bound(Visitor& visitor, Bound& bound_spec) {
  enum_choice(visitor, "metric", bound_spec.metric, kMetrics, "what is bounded", true);
  const Unit unit = unit_of(bound_spec.metric);
  optional_member(visitor, "at_least", bound_spec.at_least, [&](double& x) {
    visitor.amount("at_least", x, unit, "the least that holds, in the metric's unit");
  });
  optional_member(visitor, "at_most", bound_spec.at_most, [&](double& x) {
    visitor.amount("at_most", x, unit, "the most that holds, in the metric's unit");
  });
  optional_member(visitor, "cls", bound_spec.cls,
                  [&](auto& c) { visitor.ref("cls", c, tables::kClasses, false, "of this class alone"); });
  optional_member(visitor, "tenant", bound_spec.tenant, [&](auto& t) {
    visitor.ref("tenant", t, tables::kTenants, false, "of this tenant alone");
  });
  visitor.amount("from_ms", bound_spec.from_ms, Unit::Time, "of what was drawn from this time on");
  visitor.amount("to_ms", bound_spec.to_ms, Unit::Time, "until this; 0: to the end");
  visitor.amount("window_ms", bound_spec.window_ms, Unit::Time,
                 "worst-window, recovery: how long a window is");
  visitor.amount("quantile", bound_spec.quantile, Unit::Share, "latency: of what was served");
  visitor.amount("level", bound_spec.level, Unit::Share, "recovery: the service that it must reach and keep");
}

void describe_expectations(Visitor& visitor, Expectations& expectations) {
  visitor.enter("holds", "what must hold");
  visitor.enter("rules", "kept by every run unless switched off here");
  visitor.flag("one_answer", expectations.rules.one_response,
               "exactly one final answer for each request that a router took");
  visitor.flag("no_lost", expectations.rules.no_lost_requests, "none without an answer in time");
  visitor.flag("repeats", expectations.rules.safe_repeats, "none beyond what its class allows");
  visitor.flag("drains", expectations.rules.drains_respected,
               "nothing new to a draining or gone node after the grace");
  visitor.flag("cold_nodes", expectations.rules.cold_nodes_protected, "no cold node pushed over");
  visitor.flag("genuine", expectations.rules.genuine_bodies, "served with what a node made for the request");
  visitor.leave();
  each_item(visitor, "bounds", expectations.bounds, "bounds on what was measured",
            [&](Bound& bound_spec) { describe_bound(visitor, bound_spec); });
  visitor.amount("whole_weight", expectations.overall_weight, Unit::Number,
                 "of the service of the whole run, in the score");
  visitor.amount("worst_window_weight", expectations.worst_window_weight, Unit::Number, "of the worst 10 s");
  visitor.amount("worst_class_weight", expectations.worst_class_weight, Unit::Number,
                 "of the worst-served class");
  visitor.amount("worst_tenant_weight", expectations.worst_tenant_weight, Unit::Number,
                 "of the worst-served tenant");
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
  visitor.text("name", spec.name, false, "short; the file's name where it is missing");
  visitor.text("title", spec.title, false, "one line for reports");
  visitor.amount("duration_ms", spec.duration_ms, Unit::Time,
                 "arrivals end here; the run goes on until all are answered");
  visitor.seed("seed", spec.seed, "of everything that is drawn");
  enum_choice(visitor, "counted_by", spec.weight_basis, kCountedBy,
              "worth is counted for each request, or for each unit of its work");
  each_item(visitor, "zones", spec.zones, "data centres", [&](Zone& zone) {
    visitor.text("name", zone.name, true, "what it is called");
    visitor.amount("client_share", zone.client_share, Unit::Share,
                   "of the clients; none given: equal shares");
  });
  describe_network(visitor, spec.network);
  each_item(visitor, "kinds", spec.kinds, "kinds of cache node",
            [&](NodeKind& node_kind) { describe_kind(visitor, node_kind); });
  each_item(visitor, "nodes", spec.nodes, "groups of cache nodes", [&](NodeGroup& group) {
    visitor.text("name", group.name, true, "its machines are called NAME-0, NAME-1, ...");
    visitor.ref("kind", group.kind, tables::kKinds, true, "what they are");
    visitor.ref("zone", group.zone, tables::kZones, true, "where they stand");
    visitor.count("count", group.count,
                  "in service from the start, warm, with what they were asked for lately");
    visitor.count("standby", group.standby, "further ones that an event may start");
    visitor.count("cell_size", group.cell_size, "nodes that share a cell");
    visitor.amount("weight_error", group.weight_error, Unit::Share,
                   "the weight that discovery tells is off by up to this");
  });
  describe_origin(visitor, spec.origin);
  describe_routers(visitor, spec.routers);
  describe_front(visitor, spec.front);
  describe_discovery(visitor, spec.discovery);
  each_item(visitor, "classes", spec.classes, "classes of requests",
            [&](ClassSpec& class_spec) { describe_class(visitor, class_spec); });
  each_item(visitor, "tenants", spec.tenants, "who asks; without any there is one, without a name",
            [&](TenantSpec& tenant_spec) { describe_tenant(visitor, tenant_spec); });
  describe_keys(visitor, spec.keys);
  describe_load(visitor, spec.load);
  describe_clients(visitor, spec.clients);
  each_item(visitor, "events", spec.events, "what happens, and when",
            [&](TimedEvent& timed_event) { describe_timed_event(visitor, timed_event); });
  describe_expectations(visitor, spec.expectations);
}

} // namespace fernward::lab
