// A whole scenario as plain data: a fleet, its network, its load, what happens to it and what must hold.
//
// Who reads a file into it and who plays it is not known here. Both drivers (lab/driver.h) take one Spec.
//
//  - Units: times are milliseconds from the start of the run, sizes are bytes, work is milliseconds on a
//    standard core (speed 1), rates are per second, shares are 0 to 1 unless said otherwise.
//  - Tables refer to one another by position (zone, kind, class, tenant); names are for people and for the
//    wire.
//  - A file's keys bear the names of the members, so that a Fault's path leads to the line at fault.
//  - 0 stands for "none" or "never" where a member says so. The defaults make a small sound fleet, except
//    that the tables are empty.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::model {

// Numbers of machines and routers, as plan.h and record.h use them. See plan.h for how machines are numbered.
using MachineId = std::uint32_t;
using RouterId = std::uint32_t;

// ---- the network ----

struct Zone {
  std::string name;
  double client_share = 0; // of the clients; all 0: equal shares
};

struct ZoneLink { // one way; goes before NetworkSpec::cross_ms, in both directions
  std::uint32_t from = 0, to = 0;
  double delay_ms = 0;
};

struct NetworkSpec {
  double same_ms = 0.2;   // one way within a zone
  double cross_ms = 7;    // one way between zones
  double client_ms = 0.5; // one way between a client and the routers of its zone
  double jitter = 0.1;    // each delay is stretched by up to this share, evenly drawn
  std::vector<ZoneLink> links;
  double datagram_min_ms = 2, datagram_max_ms = 30; // between routers, on top of the delay
  double datagram_loss = 0;                         // share of the datagrams
  double datagram_twice = 0;                        // share that comes twice, each copy with its own delay
};

// ---- cache nodes ----

enum class WarmBy { Time, Requests };            // what lets a cold node's capacity rise
enum class Evict { Lru, Fifo };                  // longest unused, or longest kept
enum class OnCancel { Keep, DropWaiting, Stop }; // what becomes of work that nobody waits for any more

struct ReportSpec {
  bool on = true;
  double period_ms = 100; // the figures are taken this often
  double delay_ms = 50;   // and can be read this much later
  double noise = 0.05;    // each figure is off by a normal draw of this share
  std::vector<LoadReportField> fields = {LoadReportField::Eps, LoadReportField::LatencyMs,
                                         LoadReportField::Queue};
};

struct NodeKind {
  std::string name;
  double cores = 4;
  double speed = 1;           // of a core
  double speed_cv = 0;        // spread of the speed from node to node (log-normal)
  std::uint32_t places = 16;  // requests in work at once; they share the cores evenly
  std::uint32_t waiting = 12; // requests that may wait; further ones are turned away
  double crowded_at = 5;      // requests held for each core from which work gets slower
  double crowded_loss = 0;    // work takes 1 + this x (held per core - crowded_at) times as long
  double memory_bytes = 64e6; // objects are dropped beyond it
  Evict evict = Evict::Lru;
  double expire_ms = 0; // an object is void this long after it was stored; 0: never
  double object_overhead_bytes = 64;
  double lease_ms = 300;        // how long a first miss of a key makes the following ones `pending`
  double hit_share_of_work = 1; // a miss costs this share of the request's work; a hit costs all of it
  double miss_share_of_work = 0.1;
  double start_capacity = 0.4;      // of a node that has just started
  double warm_ms = 6000;            // and reaches the whole after this; 0: at once
  WarmBy warm_by = WarmBy::Time;    // Requests: by work done, and by time at the latest
  double tip_multiple = 4;          // a cold node sent more than this times its present capacity
  double tip_ms = 2000;             // for this long falls over and stays down; 0: never
  double error_rate = 0;            // share of the requests that end in an error
  double pause_every_ms = 0;        // mean time between pauses; 0: none
  double pause_ms = 0;              // mean length of one: nothing is worked on meanwhile
  std::uint32_t connections = 3000; // open at most; further ones are refused
  double full_table_loss = 0;       // share of the capacity that a full table of connections takes
  double handshake_ms = 0.8;        // work of a new connection
  double handshake_trips = 1;       // round trips that it takes, beside the first one for TCP
  double idle_ms = 15000;           // a connection at rest is closed after this
  bool drops_expired = false;       // work is not begun once its time is up
  OnCancel on_cancel = OnCancel::Keep;
  double repeat_window_ms = -1; // how long a keyed write's repeats are dropped; below 0: as the class says
  ReportSpec report;
};

struct NodeGroup {
  std::string name; // machines are called NAME-0, NAME-1, ...
  std::uint32_t kind = 0, zone = 0;
  std::uint32_t count = 1;   // in service from the start, warm, with what they were asked for lately
  std::uint32_t standby = 0; // further ones that an event may start
  std::uint32_t cell_size = 4;
  double weight_error = 0; // the weight that discovery tells is off by up to this share
};

// The slow store behind the caches. Without it the nodes keep nothing and serve whatever comes.
struct OriginSpec {
  bool on = true;
  std::uint32_t zone = 0;
  double capacity_per_s = 80;  // fetches of mean cost
  double time_ms = 100;        // mean service time of a fetch
  double time_cv = 0.5;        // log-normal; 0: always the mean
  double write_multiple = 1.5; // what a write takes, times a fetch
  double queue_ms = 1500;      // waiting room, as time of the whole capacity; beyond it: turned away
  double crowded_at = 0;       // share of the waiting room from which it gets slower
  double crowded_loss = 0;     // with a full waiting room work takes 1 + this times as long
  double fall_multiple = 0;    // sent more than this times its capacity; 0: it does not fall
  double fall_ms = 3000;       // for this long, it stops
  double down_ms = 5000;       // for this long
  bool drops_expired = false;
  std::uint32_t connections = 2000;
  double handshake_trips = 1, idle_ms = 15000;
  double error_rate = 0;
  double warm_hits = 0.9; // share of the reads that the caches answer, where nodes begin with full memories
  ReportSpec report{false, 100, 50, 0.05, {}};
};

// ---- routers and what they are told ----

struct RouterGroup {
  std::uint32_t zone = 0;
  std::uint32_t count = 1;
};

// What routers tell one another (docs/operators/fleet.md). Off: no datagram passes between them.
struct SharingSpec {
  bool on = false;
  double period_ms = 250;  // one ping in each
  std::uint32_t asked = 3; // others that are asked about one that does not answer
  bool ledger = true;      // the limit at the origin, dealt out by demand
  bool count = true;       // living routers in place of the configured number, where that is safe
  bool findings = false;   // what several say together of cache nodes
};

struct RouterSpec {
  std::vector<RouterGroup> groups;
  SharingSpec sharing;
  std::uint32_t sockets = 1024, memory_mb = 192;
  double cores = 1;
  // What becomes the routers' settings. Classes, tenants, zones, kinds and reports come from the rest.
  bool may_cancel = true, may_duplicate = true, retry_advice = true;
  double max_retry_after_ms = 1500;
  std::uint32_t max_attempts = 5;
  double tick_ms = 5;
  double connect_timeout_ms = 250;
  double conn_idle_ms = 15000; // told to the routers; should not be above the kinds' idle_ms
  std::uint32_t open_cap = 20000;
  double grace_to_answer_ms = 20;
  double drain_grace_ms = 250;
  double over_share_worth = 0.05;
  WeightKind weight_kind = WeightKind::Rough;
  ResizeSettings resize;
};

// The plain front before the routers: clients of a zone are dealt over the zone's routers in turn.
struct FrontSpec {
  double notice_ms = 2000;     // it goes on sending to a dead router for this long
  double ready_every_ms = 200; // how often it asks a starting router whether it is ready
};

// One discovery server that the calls of all routers share (sockets only). All 0: every call is answered at
// once.
struct CongestionSpec {
  double answers_per_second = 0; // made one after another, in the order of the calls; 0: no limit
  double bytes_per_second = 0;   // of all answers together, whose pieces are sent in turn; 0: no limit
  double piece_size_bytes = 0;   // an answer goes out in pieces of this size; 0: in one
  double piece_interval_ms = 0;  // the least time between two pieces of one answer
  double refused_share = 0;      // of the calls: half get a 503, half have their connection closed
  double silent_share = 0;       // of the long polls that find no news yet: never answered

  bool on() const {
    return answers_per_second > 0 || bytes_per_second > 0 || piece_size_bytes > 0 || refused_share > 0 ||
           silent_share > 0;
  }
};

struct DiscoverySpec {
  double add_min_ms = 800, add_max_ms = 2200;         // from a node's start until the list has it
  double notice_min_ms = 1000, notice_max_ms = 4500;  // from a drain or end until the list has it
  double silent_min_ms = 7000, silent_max_ms = 13000; // from a machine's silence until the list has it
  double period_ms = 400;                             // the list is renewed this often
  double spread_ms = 400;                             // and comes to each router up to this much later
  // What it has to tell counts as told after this, arrived or not, from when a router could reach it.
  double at_latest_ms = 6000;
  // The same from the SIGHUP that tells a router that discovery has moved.
  double reload_at_latest_ms = 4000;
  CongestionSpec congestion;
};

// ---- load ----

enum class Shape { Fixed, Exponential, LogNormal };
struct Spread { // of a positive quantity
  Shape shape = Shape::Exponential;
  double mean = 1;
  double cv = 1; // LogNormal: standard deviation / mean
};

struct ClassSpec {
  std::string name;
  double share = 1; // of the requests, relative to the other classes
  Spread work{Shape::Exponential, 100, 1};
  double attempt_noise = 0; // the work of an attempt is off from the request's by this (log-normal cv)
  // The hint is off from the request's work by this (log-normal cv); below 0: no hint.
  double hint_error = 0.1;
  double aim_ms = 750, give_up_ms = 1500;
  double aim_stretch = 0, late_share = 0, worth = 1;
  Idempotency repeat = Idempotency::Idempotent;
  IdempotencyScope scope = IdempotencyScope::All;
  double window_ms = 1000;
  bool write = false;
};

struct TenantSpec {
  std::string name;
  double share = 1;       // of the service that it may have
  double usage = 1;       // it sends this times its share
  double quota_per_s = 0; // beyond it requests are worth over_share_worth; 0: no quota
};

struct KeySpec {
  std::uint32_t count = 20000; // 4,194,304 at most
  double zipf = 1;             // the key of rank r (from 1) is drawn in proportion to (r + offset)^-zipf
  double offset = 0;
  double drift_per_s = 0;   // share of the ranks that pass to a new key in a second
  double changes_per_s = 0; // share of the keys that change at the origin in a second: copies go void
  Spread size{Shape::LogNormal, 4000, 0.8};
};

enum class LoadShape { Steady, Ramp, Day };
struct LoadSpec {
  double rate_per_s = 400; // first tries
  LoadShape shape = LoadShape::Steady;
  double ramp_to = 1;          // Ramp: the rate at the end, times rate_per_s
  double swing = 0.3;          // Day: the rate swings by this share of its mean
  double period_ms = 86400e3;  // Day: one day
  double peak_at_ms = 50400e3; // Day: its busiest time
};

enum class Backoff { Fixed, Exponential };
struct ClientSpec {
  double retries = 1; // further tries a client makes; 0.4: four in ten make one
  Backoff backoff = Backoff::Fixed;
  double backoff_ms = 100; // half to one and a half times this; Exponential: doubled with each try
  double heed = 1;         // share that waits for Retry-After (up to routers.max_retry_after_ms)
  double try_share_min = 0.8,
         try_share_max = 1;     // a try is given up after this share of the class's give_up_ms
  double leave_share = 0;       // share of the tries whose client leaves before the try's time is up
  bool keep_connections = true; // false: a new connection for each try
  std::uint32_t resting = 0;    // further connections held open to each router without a request
  bool marks_retry = false;
};

// ---- what happens ----

// Which machines an event meets: those that all given members allow, then `count` or `share` of them.
struct NodePick {
  std::vector<MachineId> nodes; // by number; empty: all
  std::optional<std::uint32_t> group, zone, kind;
  std::optional<std::uint32_t> count; // goes before share
  double share = 1;                   // at least one
  bool random = true;                 // drawn from the seed; false: the first by number
};
struct RouterPick {
  std::vector<RouterId> routers;
  std::optional<std::uint32_t> zone, count;
  double share = 1;
  bool random = true;
};

// `until_ms` is an absolute time; 0: until the end.
struct Neighbour { // another program takes a share of the machine
  NodePick who;
  double share = 0.5, until_ms = 0;
  double on_ms = 0, off_ms = 0; // mean times (exponential); 0: on all the time
};
struct StartNodes {
  NodePick who;
};                  // of those on standby or ended; they come back cold and empty
struct DrainNodes { // finish what they have, then end
  NodePick who;
  double drain_ms = 4000;
  double over_ms = 0; // not all at once: spread evenly over this time
};
struct KillNodes {
  NodePick who;
};                    // the process dies: connections reset, new ones are refused
struct ReplaceNodes { // the process dies and another machine, with a new name, takes its address
  NodePick who;
  double after_ms = 1000;
};
struct RestartNodes { // the process dies and comes back under the same name, cold and empty
  NodePick who;
  double after_ms = 1000;
};
struct SilentNodes { // says nothing; its connections stay open
  NodePick who;
  double until_ms = 0;
};
struct CutZones { // no message passes between the two sets of zones, in both directions
  std::vector<std::uint32_t> a, b;
  double until_ms = 0;
};
struct CutNodes { // the same between machines and routers
  NodePick nodes;
  RouterPick routers;
  double until_ms = 0;
};
enum class RouterEnd { Kill, Term };
struct RestartRouters {
  RouterPick who;
  RouterEnd how = RouterEnd::Term;
  double down_ms = 1000;   // Kill: from the kill, Term: from its end, until it is started; 0: stays away
  std::uint32_t batch = 0; // so many at a time; 0: all at once
  double over_ms = 0;      // the batches are spread evenly over this time
};
struct ReloadRouters {
  RouterPick who;
}; // SIGHUP
enum class CutWhat {
  Datagrams, // between routers
  All // these, and what passes between one side's routers and the machines of zones where only the other has routers
};
struct CutRouters { // between the routers of `a` and those of `b` that are not in `a`
  RouterPick a, b;
  bool one_way = false; // from `a` to `b` alone
  CutWhat carries = CutWhat::Datagrams;
  double until_ms = 0;
};
struct LoseDatagrams { // of those that the routers send or get, on top of what the network loses
  RouterPick who;
  double share = 0.2, twice = 0; // that are lost; that come twice
  double until_ms = 0;
};
struct PauseRouters { // the process stands still: what comes meanwhile waits for it
  RouterPick who;
  double until_ms = 0;
};
enum class Claim { Least, Most }; // of the range that a fact may have
struct LyingRouter {              // its datagrams are well formed and false
  RouterPick who;
  Claim demand = Claim::Most, limit = Claim::Most; // what it says of itself
  bool of_others = false;                          // and of others, as later words of theirs
  bool accuses = true;                             // it says of living routers that they are dead
  double until_ms = 0;
};
struct DiscoveryOutage {
  double until_ms = 0;
};
struct DiscoveryMove { // it ends at its address and goes on at another; the routers' files name the new one
  double old_stays_ms = 2000;   // how long the old address still answers
  double reload_after_ms = 500; // routers get SIGHUP this long after the move, one after another
};
struct OriginStall {
  double until_ms = 0;
}; // takes requests, works on none
struct OriginSlow {
  double factor = 0.5, until_ms = 0;
}; // its capacity is cut to this share
struct OriginFall {
  double down_ms = 5000;
}; // its process ends and comes back
struct HotKey {
  double share = 0.2, until_ms = 0;
}; // of all reads go to one key that was cold before
struct LoadSpike {
  double factor = 2, until_ms = 0;
};
enum class BadAnswer {
  Error,      // 500
  Garbage,    // no HTTP
  TooLarge,   // announces more than any body may hold
  CutOff,     // ends within the body
  NeverEnds,  // keeps the rest of the body to itself
  EarlyClose, // closes the connection in place of an answer
  WrongBody,  // 200 with other bytes than asked for; the router can't tell and is not to blame
  SlowBytes,  // whole, but seconds late
};
struct BadAnswers {
  NodePick who;
  double share = 0.1, until_ms = 0;
  BadAnswer kind = BadAnswer::Error;
};
struct LostZone { // all machines and routers of the zone fall silent
  std::uint32_t zone = 0;
  double until_ms = 0;
  bool clients_move = true; // its clients go to the other zones; false: they are lost with it
};
struct SlowLink { // the delay between two zones grows (a spike of delay)
  std::uint32_t from = 0, to = 0;
  double factor = 5, until_ms = 0;
};

using Happening =
    std::variant<Neighbour, StartNodes, DrainNodes, KillNodes, ReplaceNodes, RestartNodes, SilentNodes,
                 CutZones, CutNodes, RestartRouters, ReloadRouters, DiscoveryOutage, DiscoveryMove,
                 OriginStall, OriginSlow, OriginFall, HotKey, LoadSpike, BadAnswers, LostZone, SlowLink,
                 CutRouters, LoseDatagrams, PauseRouters, LyingRouter>;

struct TimedEvent {
  double at_ms = 0;
  std::string label; // for reports
  Happening what;
};

// ---- what must hold ----

enum class Metric {
  Service,     // worth answered in time / worth asked
  WorstWindow, // the least service of any `window_ms`
  WorstClass,
  WorstTenant, // the least service of any of them
  Served,
  Refused,
  Failed,         // share of the first tries by their final end
  LatencyMs,      // at `quantile`, of what was served, from the intended send
  OriginPerS,     // fetches and writes that reach the origin, mean per second
  OriginPeakPerS, // in the worst second
  FetchSurge,     // reads at the origin in the worst second (any 1000 ms), beside their mean before `from_ms`
  HitRatio,       // of the reads at the caches
  HandshakesPerRequest,
  RecoveryMs, // from `from_ms` until the service of each `window_ms` stays at `level` or more, up to `to_ms`
};

struct Bound {
  Metric metric = Metric::Service;
  std::optional<std::uint32_t> cls, tenant; // of these alone
  double from_ms = 0, to_ms = 0;            // of what was drawn in this time; to_ms 0: to the end
  double window_ms = 10000, quantile = 0.99, level = 0.9;
  std::optional<double> at_least, at_most;
};

// Kept unless switched off here; see record.h for what each is judged by.
struct Rules {
  bool one_answer = true; // exactly one final answer for each request that a router took
  bool no_lost = true;    // none without an answer in time
  bool repeats = true;    // none beyond what its class allows
  bool drains = true;     // nothing new to a node after the grace
  bool cold_nodes = true; // none pushed over
  bool genuine = true;    // served with what a node made for this request
};

struct Holds {
  Rules rules;
  std::vector<Bound> bounds;
  double whole_weight = 1, worst_window_weight = 0, worst_class_weight = 0,
         worst_tenant_weight = 0; // the score's
};

enum class CountedBy { Request, Work }; // worth is counted for each, or for each unit of work

struct Spec {
  std::string name, title;
  double duration_ms = 60000; // arrivals end here; the run goes on until all are answered
  std::uint64_t seed = 1;
  CountedBy counted_by = CountedBy::Work;
  std::vector<Zone> zones;
  NetworkSpec network;
  std::vector<NodeKind> kinds;
  std::vector<NodeGroup> nodes;
  OriginSpec origin;
  RouterSpec routers;
  FrontSpec front;
  DiscoverySpec discovery;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants; // none: one tenant without a name
  KeySpec keys;
  LoadSpec load;
  ClientSpec clients;
  std::vector<TimedEvent> events;
  Holds holds;
};

// What can't be played, in the order of the members. `path` names the member: "events[3].at_ms",
// "kinds[0].cores". Empty: the scenario is sound.
struct Fault {
  std::string path, why;
};
std::vector<Fault> faults(const Spec& spec);

// The settings of a router in `zone`, as the decision module takes them.
fernward::Settings router_settings(const Spec& spec, std::uint32_t zone);
// The kind that discovery lists the origin under: one beyond the kinds.
inline std::uint32_t origin_kind(const Spec& spec) { return static_cast<std::uint32_t>(spec.kinds.size()); }
inline constexpr const char* kOriginKindName = "origin";

} // namespace fernward::model
