#include "lab/scenario/schema.h"

#include <array>
#include <type_traits>
#include <utility>

namespace fernward::lab {
namespace {

using namespace fernward::model;
using toml_document::each;
using toml_document::maybe;
using toml_document::pick;

constexpr std::array kWarmBy{"time", "requests"};
constexpr std::array kEvict{"lru", "fifo"};
constexpr std::array kOnCancel{"keep", "drop-waiting", "stop"};
constexpr std::array kFields{"inflight", "queue", "util", "latency_ms", "qps", "eps", "other"};
constexpr std::array kWeights{"off", "nominal", "rough", "live"};
constexpr std::array kShapes{"fixed", "exponential", "log-normal"};
constexpr std::array kRepeats{"safe", "keyed", "unsafe"};
constexpr std::array kScopes{"all", "zone", "cell"};
constexpr std::array kLoads{"steady", "ramp", "day"};
constexpr std::array kBackoffs{"fixed", "exponential"};
constexpr std::array kEnds{"kill", "term"};
constexpr std::array kBad{"error",      "garbage",     "too-large",  "cut-off",
                          "never-ends", "early-close", "wrong-body", "slow-bytes"};
constexpr std::array kCutWhat{"datagrams", "all"};
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
static_assert(kEvents.size() == std::variant_size_v<Happening>);

// Returns the unit of at_least and at_most of a bound.
Unit unit_of(Metric metric) {
  switch (metric) {
    case Metric::LatencyMs:
    case Metric::RecoveryMs: return Unit::Time;
    case Metric::OriginPerS:
    case Metric::OriginPeakPerS: return Unit::Rate;
    case Metric::FetchSurge:
    case Metric::HandshakesPerRequest: return Unit::Number;
    default: return Unit::Share;
  }
}

void spread(Visitor& v, const char* member, Spread& s, Unit unit, const char* doc) {
  v.enter(member, doc);
  pick(v, "shape", s.shape, kShapes, "how it is spread");
  v.amount("mean", s.mean, unit, "its mean");
  v.amount("cv", s.cv, Unit::Number, "log-normal: standard deviation / mean");
  v.leave();
}

void report(Visitor& v, ReportSpec& r) {
  v.enter("report", "the load report that answers carry");
  v.flag("on", r.on, "whether there is one");
  v.amount("period_ms", r.period_ms, Unit::Time, "the figures are taken this often");
  v.amount("delay_ms", r.delay_ms, Unit::Time, "and can be read this much later");
  v.amount("noise", r.noise, Unit::Share, "each figure is off by a normal draw of this share");
  std::vector<std::size_t> fields;
  for (const LoadReportField f : r.fields) fields.push_back(static_cast<std::size_t>(f));
  v.choices("fields", fields, kFields, "what it holds, in this order; the same for all kinds");
  r.fields.clear();
  for (const std::size_t f : fields) r.fields.push_back(static_cast<LoadReportField>(f));
  v.leave();
}

void network(Visitor& v, NetworkSpec& n) {
  v.enter("network", "delays, one way");
  v.amount("same_ms", n.same_ms, Unit::Time, "within a zone");
  v.amount("cross_ms", n.cross_ms, Unit::Time, "between zones");
  v.amount("client_ms", n.client_ms, Unit::Time, "between a client and the routers of its zone");
  v.amount("jitter", n.jitter, Unit::Share, "each delay is stretched by up to this share");
  v.amount("datagram_min_ms", n.datagram_min_ms, Unit::Time,
           "between routers, on top of the delay: the least");
  v.amount("datagram_max_ms", n.datagram_max_ms, Unit::Time, "and the most");
  v.amount("datagram_loss", n.datagram_loss, Unit::Share, "of the datagrams that are lost");
  v.amount("datagram_twice", n.datagram_twice, Unit::Share, "that come twice");
  each(v, "links", n.links, "pairs of zones with a delay of their own, both ways", [&](ZoneLink& l) {
    v.ref("from", l.from, tables::kZones, true, "one zone");
    v.ref("to", l.to, tables::kZones, true, "the other");
    v.amount("delay_ms", l.delay_ms, Unit::Time, "one way, instead of `cross`");
  });
  v.leave();
}

void kind(Visitor& v, NodeKind& k) {
  v.text("name", k.name, true, "what it is called");
  v.amount("cores", k.cores, Unit::Number, "of a machine");
  v.amount("speed", k.speed, Unit::Number, "of a core; work is counted on a core of speed 1");
  v.amount("speed_cv", k.speed_cv, Unit::Number, "how much speeds differ between nodes (log-normal)");
  v.count("places", k.places, "requests in work at once; they share the cores evenly");
  v.count("waiting", k.waiting, "requests that may wait; further ones are turned away");
  v.amount("crowded_at", k.crowded_at, Unit::Number,
           "requests held for each core from which work gets slower");
  v.amount("crowded_loss", k.crowded_loss, Unit::Number,
           "work takes 1 + this x (held per core - crowded_at) times as long");
  v.amount("memory_bytes", k.memory_bytes, Unit::Bytes, "for objects; beyond it some are dropped");
  pick(v, "evict", k.evict, kEvict, "dropped first: the longest unused, or the longest kept");
  v.amount("expire_ms", k.expire_ms, Unit::Time, "an object is void this long after it was stored; 0: never");
  v.amount("object_overhead_bytes", k.object_overhead_bytes, Unit::Bytes,
           "that an object takes besides its own");
  v.amount("lease_ms", k.lease_ms, Unit::Time,
           "a first miss of a key makes the next ones `pending` for this long");
  v.amount("hit_share_of_work", k.hit_share_of_work, Unit::Number, "of a request's work that a hit costs");
  v.amount("miss_share_of_work", k.miss_share_of_work, Unit::Number, "and a miss");
  v.amount("start_capacity", k.start_capacity, Unit::Share, "that a node has just after its start");
  v.amount("warm_ms", k.warm_ms, Unit::Time, "until it has the whole; 0: at once");
  pick(v, "warm_by", k.warm_by, kWarmBy, "what lets it rise: time, or work done (by time at the latest)");
  v.amount("tip_multiple", k.tip_multiple, Unit::Number,
           "a cold node sent more than this times its present capacity");
  v.amount("tip_ms", k.tip_ms, Unit::Time, "for this long falls over and stays down; 0: never");
  v.amount("error_rate", k.error_rate, Unit::Share, "of its requests end in an error");
  v.amount("pause_every_ms", k.pause_every_ms, Unit::Time, "mean time between pauses; 0: none");
  v.amount("pause_ms", k.pause_ms, Unit::Time, "mean length of a pause, in which nothing is worked on");
  v.count("connections", k.connections, "open at most; further ones are refused");
  v.amount("full_table_loss", k.full_table_loss, Unit::Share,
           "of its capacity that a full table of them takes");
  v.amount("handshake_ms", k.handshake_ms, Unit::Time, "work of a new connection");
  v.amount("handshake_trips", k.handshake_trips, Unit::Number, "round trips it takes, beside TCP's own");
  v.amount("idle_ms", k.idle_ms, Unit::Time, "a connection at rest is closed after this");
  v.flag("drops_expired", k.drops_expired, "work is not begun once its time is up");
  pick(v, "on_cancel", k.on_cancel, kOnCancel, "what becomes of work that nobody waits for any more");
  v.amount("repeat_window_ms", k.repeat_window_ms, Unit::Time,
           "a keyed write's repeats are dropped for this long", {"as-class", -1});
  report(v, k.report);
}

void origin(Visitor& v, OriginSpec& o) {
  v.enter("origin", "the slow store behind the caches");
  v.flag("on", o.on, "without it the nodes keep nothing and serve whatever comes");
  v.ref("zone", o.zone, tables::kZones, false, "where it stands");
  v.amount("capacity_per_s", o.capacity_per_s, Unit::Rate, "fetches of mean cost");
  v.amount("time_ms", o.time_ms, Unit::Time, "mean time of a fetch");
  v.amount("time_cv", o.time_cv, Unit::Number, "spread of it (log-normal); 0: always the mean");
  v.amount("write_multiple", o.write_multiple, Unit::Number, "what a write takes, times a fetch");
  v.amount("queue_ms", o.queue_ms, Unit::Time, "waiting room, as time of the whole capacity");
  v.amount("crowded_at", o.crowded_at, Unit::Share, "of the waiting room from which it gets slower");
  v.amount("crowded_loss", o.crowded_loss, Unit::Number,
           "with a full waiting room work takes 1 + this times as long");
  v.amount("fall_multiple", o.fall_multiple, Unit::Number,
           "sent more than this times its capacity; 0: never falls");
  v.amount("fall_ms", o.fall_ms, Unit::Time, "for this long, it stops");
  v.amount("down_ms", o.down_ms, Unit::Time, "for this long");
  v.flag("drops_expired", o.drops_expired, "work is not begun once its time is up");
  v.count("connections", o.connections, "open at most");
  v.amount("handshake_trips", o.handshake_trips, Unit::Number,
           "round trips of a new connection, beside TCP's own");
  v.amount("idle_ms", o.idle_ms, Unit::Time, "a connection at rest is closed after this");
  v.amount("error_rate", o.error_rate, Unit::Share, "of its requests end in an error");
  v.amount("warm_hits", o.warm_hits, Unit::Share, "of the reads that the caches answer as the run begins");
  report(v, o.report);
  v.leave();
}

void routers(Visitor& v, RouterSpec& r) {
  v.enter("routers", "the routers, and the settings they are given");
  each(v, "groups", r.groups, "routers of one zone; they are called r0, r1, ... in order",
       [&](RouterGroup& g) {
         v.ref("zone", g.zone, tables::kZones, true, "where they stand");
         v.count("count", g.count, "how many");
       });
  v.count("sockets", r.sockets, "descriptors that a router may hold");
  v.count("memory_mb", r.memory_mb, "that a router may use", Unit::Mebibytes);
  v.amount("cores", r.cores, Unit::Number, "that a router may use");
  v.flag("may_cancel", r.may_cancel, "routers may give up attempts");
  v.flag("may_duplicate", r.may_duplicate, "a second copy may be out at once, where the class allows it");
  v.flag("retry_advice", r.retry_advice, "refusals carry Retry-After");
  v.amount("max_retry_after_ms", r.max_retry_after_ms, Unit::Time, "that clients heed");
  v.count("max_attempts", r.max_attempts, "for each try of a client");
  v.amount("tick_ms", r.tick_ms, Unit::Time, "the decision module is asked at most this often");
  v.amount("connect_timeout_ms", r.connect_timeout_ms, Unit::Time, "for a connection to come up");
  v.amount("conn_idle_ms", r.conn_idle_ms, Unit::Time,
           "told to the routers: nodes close connections at rest after this");
  v.count("open_cap", r.open_cap, "requests open at once in a router");
  v.amount("grace_to_answer_ms", r.grace_to_answer_ms, Unit::Time, "beyond a try's deadline");
  v.amount("drain_grace_ms", r.drain_grace_ms, Unit::Time,
           "in which sends to a draining or gone node must end");
  v.amount("over_share_worth", r.over_share_worth, Unit::Share,
           "of what a request beyond its quota is worth");
  pick(v, "weight_kind", r.weight_kind, kWeights, "what discovery's weights are");
  v.enter("sharing", "what routers of the tier tell one another");
  v.flag("on", r.sharing.on, "false: no datagram passes between them");
  v.amount("period_ms", r.sharing.period_ms, Unit::Time, "one other router is pinged in each");
  v.count("asked", r.sharing.asked, "others that are asked about one that does not answer, 8 at most");
  v.flag("ledger", r.sharing.ledger, "the limit at the origin is dealt out by demand");
  v.flag("count", r.sharing.count, "living routers count, in place of the configured number");
  v.flag("findings", r.sharing.findings, "what several routers say together of a cache node");
  v.leave();
  v.enter("resize", "what routers do when the list changes");
  v.amount("settle_ms", r.resize.transition_ms, Unit::Time, "former owners are read for this long; 0: off");
  v.amount("ledger_multiple", r.resize.origin_load_multiple, Unit::Number,
           "meanwhile fetches stay below this times their steady rate; 0: no bound");
  v.amount("second_holder", r.resize.second_replica_share, Unit::Share,
           "of the reads, those of the most popular keys, that are kept at two caches");
  v.leave();
  v.leave();
}

void front(Visitor& v, FrontSpec& f) {
  v.enter("front", "the plain front that deals clients out over their zone's routers");
  v.amount("notice_ms", f.notice_ms, Unit::Time, "it goes on sending to a dead router for this long");
  v.amount("ready_every_ms", f.ready_every_ms, Unit::Time, "it asks a starting router this often");
  v.leave();
}

void congestion(Visitor& v, CongestionSpec& c) {
  v.enter("congestion", "one discovery server that all routers share; on sockets only");
  v.amount("answers_per_second", c.answers_per_second, Unit::Rate,
           "made one after another, in the order of the calls; 0: no limit");
  v.amount("bytes_per_second", c.bytes_per_second, Unit::Bytes,
           "sent in a second, of all answers together, piece by piece in turn; 0: no limit");
  v.amount("piece_size_bytes", c.piece_size_bytes, Unit::Bytes, "answers go out in such pieces; 0: in one");
  v.amount("piece_interval_ms", c.piece_interval_ms, Unit::Time,
           "the least time between two pieces of one answer");
  v.amount("refused_share", c.refused_share, Unit::Share,
           "of the calls: half get a 503, half have their connection closed");
  v.amount("silent_share", c.silent_share, Unit::Share,
           "of the long polls that find no news yet: never answered");
  v.leave();
}

void discovery(Visitor& v, DiscoverySpec& d) {
  v.enter("discovery", "how late the node list is");
  v.amount("add_min_ms", d.add_min_ms, Unit::Time, "from a node's start until the list has it: the least");
  v.amount("add_max_ms", d.add_max_ms, Unit::Time, "and the most");
  v.amount("notice_min_ms", d.notice_min_ms, Unit::Time, "from a drain or an end: the least");
  v.amount("notice_max_ms", d.notice_max_ms, Unit::Time, "and the most");
  v.amount("silent_min_ms", d.silent_min_ms, Unit::Time, "from a machine's silence: the least");
  v.amount("silent_max_ms", d.silent_max_ms, Unit::Time, "and the most");
  v.amount("period_ms", d.period_ms, Unit::Time, "the list is renewed this often");
  v.amount("spread_ms", d.spread_ms, Unit::Time, "and comes to each router up to this much later");
  v.amount("at_latest_ms", d.at_latest_ms, Unit::Time,
           "what it could have told a router counts as told after this, arrived or not");
  v.amount("reload_at_latest_ms", d.reload_at_latest_ms, Unit::Time,
           "the same from the SIGHUP after discovery has moved");
  congestion(v, d.congestion);
  v.leave();
}

void cls(Visitor& v, ClassSpec& c) {
  v.text("name", c.name, true, "as the wire has it");
  v.amount("share", c.share, Unit::Share, "of the requests, relative to the other classes");
  spread(v, "work", c.work, Unit::Time, "of a request, on a core of speed 1");
  v.amount("attempt_noise", c.attempt_noise, Unit::Number, "an attempt's work is off from it by this (cv)");
  v.amount("hint_error", c.hint_error, Unit::Number, "the cost hint is off by this (cv)", {"no-hint", -1});
  v.amount("aim_ms", c.aim_ms, Unit::Time, "an answer within this earns the worth; 0: within give_up");
  v.amount("give_up_ms", c.give_up_ms, Unit::Time, "the client's patience over all its tries");
  v.amount("aim_stretch", c.aim_stretch, Unit::Number, "the aim grows by this many times the request's work");
  v.amount("late_share", c.late_share, Unit::Share, "of the worth for an answer after the aim");
  v.amount("worth", c.worth, Unit::Number, "of a request, or of each unit of its work (see counted_by)");
  pick(v, "repeat", c.repeat, kRepeats, "may its effect be carried out again?");
  pick(v, "scope", c.scope, kScopes, "keyed: the nodes that drop a repeat together");
  v.amount("window_ms", c.window_ms, Unit::Time, "keyed: for this long");
  v.flag("write", c.write, "it writes its key");
}

void tenant(Visitor& v, TenantSpec& t) {
  v.text("name", t.name, true, "as the wire has it");
  v.amount("share", t.share, Unit::Share, "of the service that it may have");
  v.amount("usage", t.usage, Unit::Number, "it sends this times its share");
  v.amount("quota_per_s", t.quota_per_s, Unit::Rate, "beyond it requests are worth little; 0: no quota");
}

void keys(Visitor& v, KeySpec& k) {
  v.enter("keys", "what is asked for");
  v.count("count", k.count, "keys asked for at any one time");
  v.amount("zipf", k.zipf, Unit::Number, "rank r (from 1) is drawn in proportion to (r + offset)^-zipf");
  v.amount("offset", k.offset, Unit::Number, "flattens the top of it");
  v.amount("drift_per_s", k.drift_per_s, Unit::ShareRate, "of the ranks that pass to a new key");
  v.amount("changes_per_s", k.changes_per_s, Unit::ShareRate, "of the keys that change at the origin");
  spread(v, "size", k.size, Unit::Bytes, "of an object");
  v.leave();
}

void load(Visitor& v, LoadSpec& l) {
  v.enter("load", "how many requests come; they never wait for answers");
  v.amount("rate_per_s", l.rate_per_s, Unit::Rate, "first tries");
  pick(v, "shape", l.shape, kLoads, "how the rate goes");
  v.amount("ramp_to", l.ramp_to, Unit::Number, "ramp: the rate at the end, times `rate`");
  v.amount("swing", l.swing, Unit::Share, "day: the rate swings by this share of its mean");
  v.amount("period_ms", l.period_ms, Unit::Time, "day: its length");
  v.amount("peak_at_ms", l.peak_at_ms, Unit::Time, "day: its busiest time");
  v.leave();
}

void clients(Visitor& v, ClientSpec& c) {
  v.enter("clients", "their habits");
  v.amount("retries", c.retries, Unit::Number, "further tries a client makes; 0.4: four in ten make one");
  pick(v, "backoff", c.backoff, kBackoffs, "how the wait before a further try goes on");
  v.amount("backoff_ms", c.backoff_ms, Unit::Time, "half to one and a half times this");
  v.amount("heed", c.heed, Unit::Share, "that wait for Retry-After");
  v.amount("try_share_min", c.try_share_min, Unit::Share,
           "of give_up after which a try is given up: the least");
  v.amount("try_share_max", c.try_share_max, Unit::Share, "and the most");
  v.amount("leave_share", c.leave_share, Unit::Share, "of the tries whose client leaves before that");
  v.flag("keep_connections", c.keep_connections, "false: a new connection for each try");
  v.count("resting", c.resting, "further connections held open to each router without a request");
  v.flag("marks_retry", c.marks_retry, "retries carry X-Retried");
  v.leave();
}

// ---- events ----

void who(Visitor& v, const char* member, NodePick& p, const char* doc) {
  v.enter(member, doc);
  v.refs("nodes", p.nodes, tables::kNodes, "these alone, as GROUP-0, GROUP-1, ...; none: all");
  maybe(v, "group", p.group, [&](auto& g) { v.ref("group", g, tables::kGroups, false, "of this group"); });
  maybe(v, "zone", p.zone, [&](auto& z) { v.ref("zone", z, tables::kZones, false, "of this zone"); });
  maybe(v, "kind", p.kind, [&](auto& k) { v.ref("kind", k, tables::kKinds, false, "of this kind"); });
  maybe(v, "count", p.count, [&](auto& c) { v.count("count", c, "so many of those; goes before share"); });
  v.amount("share", p.share, Unit::Share, "of those, one at least");
  v.flag("random", p.random, "drawn from the seed; false: the first in order");
  v.leave();
}

void who(Visitor& v, const char* member, RouterPick& p, const char* doc) {
  v.enter(member, doc);
  v.refs("routers", p.routers, tables::kRouters, "these alone, as r0, r1, ...; none: all");
  maybe(v, "zone", p.zone, [&](auto& z) { v.ref("zone", z, tables::kZones, false, "of this zone"); });
  maybe(v, "count", p.count, [&](auto& c) { v.count("count", c, "so many of those; goes before share"); });
  v.amount("share", p.share, Unit::Share, "of those, one at least");
  v.flag("random", p.random, "drawn from the seed; false: the first in order");
  v.leave();
}

constexpr const char* kWhich = "which nodes; without it all";
constexpr const char* kWhichRouters = "which routers; without it all";

void until(Visitor& v, double& ms) { v.amount("until_ms", ms, Unit::Time, "when it ends; 0: with the run"); }

void fields(Visitor& v, Neighbour& e) {
  who(v, "who", e.who, kWhich);
  v.amount("share", e.share, Unit::Share, "of the machine that another program takes");
  until(v, e.until_ms);
  v.amount("on_ms", e.on_ms, Unit::Time, "mean time on; 0: on all the time");
  v.amount("off_ms", e.off_ms, Unit::Time, "mean time off");
}
void fields(Visitor& v, StartNodes& e) { who(v, "who", e.who, "which of those on standby or ended"); }
void fields(Visitor& v, DrainNodes& e) {
  who(v, "who", e.who, kWhich);
  v.amount("drain_ms", e.drain_ms, Unit::Time, "they finish what they have for this long, then end");
  v.amount("over_ms", e.over_ms, Unit::Time, "not all at once: spread evenly over this time");
}
void fields(Visitor& v, KillNodes& e) { who(v, "who", e.who, kWhich); }
void fields(Visitor& v, ReplaceNodes& e) {
  who(v, "who", e.who, kWhich);
  v.amount("after_ms", e.after_ms, Unit::Time, "until another machine has the address");
}
void fields(Visitor& v, RestartNodes& e) {
  who(v, "who", e.who, kWhich);
  v.amount("after_ms", e.after_ms, Unit::Time, "until it is back, cold and empty");
}
void fields(Visitor& v, SilentNodes& e) {
  who(v, "who", e.who, kWhich);
  until(v, e.until_ms);
}
void fields(Visitor& v, CutZones& e) {
  v.refs("a", e.a, tables::kZones, "nothing passes between these zones");
  v.refs("b", e.b, tables::kZones, "and these");
  until(v, e.until_ms);
}
void fields(Visitor& v, CutNodes& e) {
  who(v, "nodes", e.nodes, "nothing passes between these nodes");
  who(v, "routers", e.routers, "and these routers");
  until(v, e.until_ms);
}
void fields(Visitor& v, RestartRouters& e) {
  who(v, "who", e.who, kWhichRouters);
  pick(v, "how", e.how, kEnds, "killed outright, or told to end");
  v.amount("down_ms", e.down_ms, Unit::Time, "until it is started again; 0: stays away");
  v.count("batch", e.batch, "so many at a time; 0: all at once");
  v.amount("over_ms", e.over_ms, Unit::Time, "the batches are spread evenly over this time");
}
void fields(Visitor& v, ReloadRouters& e) { who(v, "who", e.who, kWhichRouters); }
void fields(Visitor& v, CutRouters& e) {
  who(v, "a", e.a, "nothing passes from these routers");
  who(v, "b", e.b, "to these, of the others; without it all of them");
  v.flag("one_way", e.one_way, "datagrams from b to a pass all the same");
  pick(v, "carries", e.carries, kCutWhat,
       "what does not pass: datagrams alone, or also what one side's routers and the machines of the other's "
       "zones say");
  until(v, e.until_ms);
}
void fields(Visitor& v, LoseDatagrams& e) {
  who(v, "who", e.who, "routers whose datagrams are meant, sent or received; without it all");
  v.amount("share", e.share, Unit::Share, "that is lost, on top of what the network loses");
  v.amount("twice", e.twice, Unit::Share, "that comes twice");
  until(v, e.until_ms);
}
void fields(Visitor& v, PauseRouters& e) {
  who(v, "who", e.who, kWhichRouters);
  until(v, e.until_ms);
}
void fields(Visitor& v, LyingRouter& e) {
  who(v, "who", e.who, kWhichRouters);
  pick(v, "demand", e.demand, kClaims,
       "what it says that it wants of the origin: the least or the most there is");
  pick(v, "limit", e.limit, kClaims, "and what its limit there is");
  v.flag("of_others", e.of_others, "the same of others, as if they had said so later");
  v.flag("accuses", e.accuses, "it says of living routers that they are dead");
  until(v, e.until_ms);
}
void fields(Visitor& v, DiscoveryOutage& e) { until(v, e.until_ms); }
void fields(Visitor& v, DiscoveryMove& e) {
  v.amount("old_stays_ms", e.old_stays_ms, Unit::Time, "how long the old address still answers");
  v.amount("reload_after_ms", e.reload_after_ms, Unit::Time,
           "routers are reloaded one after another, this far apart");
}
void fields(Visitor& v, OriginStall& e) { until(v, e.until_ms); }
void fields(Visitor& v, OriginSlow& e) {
  v.amount("factor", e.factor, Unit::Number, "its capacity times this");
  until(v, e.until_ms);
}
void fields(Visitor& v, OriginFall& e) { v.amount("down_ms", e.down_ms, Unit::Time, "until it is back"); }
void fields(Visitor& v, HotKey& e) {
  v.amount("share", e.share, Unit::Share, "of all reads that go to one key nobody asked for before");
  until(v, e.until_ms);
}
void fields(Visitor& v, LoadSpike& e) {
  v.amount("factor", e.factor, Unit::Number, "the rate times this");
  until(v, e.until_ms);
}
void fields(Visitor& v, BadAnswers& e) {
  who(v, "who", e.who, kWhich);
  v.amount("share", e.share, Unit::Share, "of their answers");
  until(v, e.until_ms);
  pick(v, "kind", e.kind, kBad, "what is wrong with them");
}
void fields(Visitor& v, LostZone& e) {
  v.ref("zone", e.zone, tables::kZones, true, "all its machines and routers fall silent");
  until(v, e.until_ms);
  v.flag("clients_move", e.clients_move, "its clients go to the other zones; false: they are lost with it");
}
void fields(Visitor& v, SlowLink& e) {
  v.ref("from", e.from, tables::kZones, true, "between this zone");
  v.ref("to", e.to, tables::kZones, true, "and this one");
  v.amount("factor", e.factor, Unit::Number, "the delay times this");
  until(v, e.until_ms);
}

template <std::size_t... I>
Happening make(std::size_t word, std::index_sequence<I...>) {
  Happening made;
  ((I == word ? void(made.emplace<I>()) : void()), ...);
  return made;
}

void event(Visitor& v, TimedEvent& e) {
  v.amount("at_ms", e.at_ms, Unit::Time, "when it happens");
  v.text("label", e.label, false, "for reports; without it, what happens");
  std::size_t word = e.what.index();
  v.choice("what", word, kEvents, true, "what happens, see below");
  if (word != e.what.index()) e.what = event_of(word);
  describe_event(v, e.what);
  if (e.label.empty()) e.label = kEvents[e.what.index()];
}

// ---- rules and bounds ----

void bound(Visitor& v, Bound& b) {
  pick(v, "metric", b.metric, kMetrics, "what is bounded", true);
  const Unit unit = unit_of(b.metric);
  maybe(v, "at_least", b.at_least,
        [&](double& x) { v.amount("at_least", x, unit, "the least that holds, in the metric's unit"); });
  maybe(v, "at_most", b.at_most,
        [&](double& x) { v.amount("at_most", x, unit, "the most that holds, in the metric's unit"); });
  maybe(v, "cls", b.cls, [&](auto& c) { v.ref("cls", c, tables::kClasses, false, "of this class alone"); });
  maybe(v, "tenant", b.tenant,
        [&](auto& t) { v.ref("tenant", t, tables::kTenants, false, "of this tenant alone"); });
  v.amount("from_ms", b.from_ms, Unit::Time, "of what was drawn from this time on");
  v.amount("to_ms", b.to_ms, Unit::Time, "until this; 0: to the end");
  v.amount("window_ms", b.window_ms, Unit::Time, "worst-window, recovery: how long a window is");
  v.amount("quantile", b.quantile, Unit::Share, "latency: of what was served");
  v.amount("level", b.level, Unit::Share, "recovery: the service that it must reach and keep");
}

void holds(Visitor& v, Holds& h) {
  v.enter("holds", "what must hold");
  v.enter("rules", "kept by every run unless switched off here");
  v.flag("one_answer", h.rules.one_answer, "exactly one final answer for each request that a router took");
  v.flag("no_lost", h.rules.no_lost, "none without an answer in time");
  v.flag("repeats", h.rules.repeats, "none beyond what its class allows");
  v.flag("drains", h.rules.drains, "nothing new to a draining or gone node after the grace");
  v.flag("cold_nodes", h.rules.cold_nodes, "no cold node pushed over");
  v.flag("genuine", h.rules.genuine, "served with what a node made for the request");
  v.leave();
  each(v, "bounds", h.bounds, "bounds on what was measured", [&](Bound& b) { bound(v, b); });
  v.amount("whole_weight", h.whole_weight, Unit::Number, "of the service of the whole run, in the score");
  v.amount("worst_window_weight", h.worst_window_weight, Unit::Number, "of the worst 10 s");
  v.amount("worst_class_weight", h.worst_class_weight, Unit::Number, "of the worst-served class");
  v.amount("worst_tenant_weight", h.worst_tenant_weight, Unit::Number, "of the worst-served tenant");
  v.leave();
}

} // namespace

Words event_words() { return kEvents; }

Happening event_of(std::size_t word) {
  return make(word, std::make_index_sequence<std::variant_size_v<Happening>>());
}

void describe_event(Visitor& visitor, Happening& what) {
  std::visit([&](auto& e) { fields(visitor, e); }, what);
}

void describe(Visitor& v, Spec& s) {
  v.text("name", s.name, false, "short; the file's name where it is missing");
  v.text("title", s.title, false, "one line for reports");
  v.amount("duration_ms", s.duration_ms, Unit::Time,
           "arrivals end here; the run goes on until all are answered");
  v.seed("seed", s.seed, "of everything that is drawn");
  pick(v, "counted_by", s.counted_by, kCountedBy,
       "worth is counted for each request, or for each unit of its work");
  each(v, "zones", s.zones, "data centres", [&](Zone& z) {
    v.text("name", z.name, true, "what it is called");
    v.amount("client_share", z.client_share, Unit::Share, "of the clients; none given: equal shares");
  });
  network(v, s.network);
  each(v, "kinds", s.kinds, "kinds of cache node", [&](NodeKind& k) { kind(v, k); });
  each(v, "nodes", s.nodes, "groups of cache nodes", [&](NodeGroup& g) {
    v.text("name", g.name, true, "its machines are called NAME-0, NAME-1, ...");
    v.ref("kind", g.kind, tables::kKinds, true, "what they are");
    v.ref("zone", g.zone, tables::kZones, true, "where they stand");
    v.count("count", g.count, "in service from the start, warm, with what they were asked for lately");
    v.count("standby", g.standby, "further ones that an event may start");
    v.count("cell_size", g.cell_size, "nodes that share a cell");
    v.amount("weight_error", g.weight_error, Unit::Share,
             "the weight that discovery tells is off by up to this");
  });
  origin(v, s.origin);
  routers(v, s.routers);
  front(v, s.front);
  discovery(v, s.discovery);
  each(v, "classes", s.classes, "classes of requests", [&](ClassSpec& c) { cls(v, c); });
  each(v, "tenants", s.tenants, "who asks; without any there is one, without a name",
       [&](TenantSpec& t) { tenant(v, t); });
  keys(v, s.keys);
  load(v, s.load);
  clients(v, s.clients);
  each(v, "events", s.events, "what happens, and when", [&](TimedEvent& e) { event(v, e); });
  holds(v, s.holds);
}

} // namespace fernward::lab
