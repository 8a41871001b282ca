// A complete scenario as plain data: a fleet, its network, its load, timed events and the expected results.
//
// This file depends neither on the reader of scenario files nor on the drivers. Both drivers (lab/driver.h)
// run the same Spec.
//
//  - Units: times are milliseconds from the start of the run, sizes are bytes, work is milliseconds on a
//    standard core (speed 1), rates are per second, shares are 0 to 1 unless said otherwise.
//  - Tables refer to one another by index (zone, kind, class, tenant). Names are for reports and the wire.
//  - A SpecError's path is made of the keys of the scenario file, so that it leads to the faulty line. Some
//    members are named differently from their key (latency_objective_ms has the key `aim_ms`).
//  - 0 means "none" or "never" only where a member's comment says so. The defaults describe a small valid
//    fleet, except that the tables are empty.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::model {

// Numbers of machines and routers in the plan and in the records. plan.h describes how machines are numbered.
using MachineId = std::uint32_t;
using RouterId = std::uint32_t;

// ---- the network ----

struct Zone {
  std::string name;
  double client_share = 0; // share of the clients; if all are 0, the shares are equal
};

struct ZoneLink { // one-way delay that overrides NetworkSpec::cross_zone_delay_ms, in both directions
  std::uint32_t from = 0, to = 0;
  double delay_ms = 0;
};

struct NetworkSpec {
  double same_zone_delay_ms = 0.2; // one-way delay within a zone
  double cross_zone_delay_ms = 7;  // one-way delay between zones
  double client_delay_ms = 0.5;    // one-way delay between a client and the routers of its zone
  double jitter = 0.1;             // each of these delays is increased by up to this share, drawn uniformly
  std::vector<ZoneLink> links;
  double datagram_min_ms = 2, datagram_max_ms = 30; // range added to the delay of datagrams between routers
  double datagram_loss_share = 0;                   // share of the datagrams that are lost
  double datagram_duplicate_share = 0;              // share that is duplicated; each copy has its own delay
};

// ---- cache nodes ----

enum class WarmUpMode { Time, Requests }; // what increases the capacity of a cold node
enum class EvictionPolicy { Lru, Fifo };  // evicts the least recently used or the oldest object
enum class CancelPolicy {                 // what happens to a request whose router no longer waits for it
  Keep,                                   // nothing: it is completed
  DropWaiting,                            // it is removed from the queue, but completed if it has started
  Stop                                    // it is removed from the queue or stopped
};

struct ReportSpec { // load reports of a machine
  bool enabled = true;
  double period_ms = 100; // interval between readings
  double delay_ms = 50;   // time from a reading until it is available
  double noise = 0.05;    // standard deviation of each value's normally distributed relative error
  std::vector<LoadReportField> fields = {LoadReportField::ErrorRate, LoadReportField::LatencyMs,
                                         LoadReportField::Queue};
};

struct NodeKind {
  std::string name;
  double cores = 4;
  double speed = 1;               // of a core
  double speed_cv = 0;            // coefficient of variation of the speed across nodes (log-normal)
  std::uint32_t max_active = 16;  // requests processed at once; they share the cores evenly
  std::uint32_t max_queued = 12;  // limit of queued requests; further ones are rejected
  double congested_at = 5;        // active and queued requests per core above which work slows down
  double congestion_slowdown = 0; // work takes 1 + this x (requests per core - congested_at) times as long
  double memory_bytes = 64e6;     // objects are evicted above this size
  EvictionPolicy eviction_policy = EvictionPolicy::Lru;
  double object_lifetime_ms = 0; // an object expires this long after it was stored; 0: never
  double object_overhead_bytes = 64;
  double lease_ms = 300; // further misses of a key are `pending` this long after the first; 0: none are
  double hit_share_of_work = 1; // work of a hit and of a miss, as shares of the request's work
  double miss_share_of_work = 0.1;
  double start_capacity = 0.4; // share of the full capacity that a node has just after its start
  double warm_up_ms = 6000;    // time from the start to full capacity; 0: at once
  WarmUpMode warm_up_mode = WarmUpMode::Time; // Requests: depends on the work done, limited by warm_up_ms
  // A cold node fails, and does not recover by itself, if it receives more than overload_multiple times its
  // capacity during overload_failure_ms; 0: never. A neighbour does not lower the capacity that counts here.
  double overload_multiple = 4;
  double overload_failure_ms = 2000;
  double error_rate = 0;                // share of the requests that end in an error
  double pause_interval_ms = 0;         // mean time between pauses; 0: none
  double pause_duration_ms = 0;         // mean duration of a pause, during which no work is done
  std::uint32_t max_connections = 3000; // limit of open connections; further ones are refused
  double full_table_capacity_loss = 0;  // share of the capacity lost when the connection table is full
  double handshake_work_ms = 0.8;       // work for a new connection
  double handshake_round_trips = 1;     // round trips of the handshake after the first one for TCP
  double idle_timeout_ms = 15000;       // an idle connection is closed after this
  bool drops_expired = false;           // work is not started after its deadline
  CancelPolicy cancel_policy = CancelPolicy::Keep;
  // Repeats of a keyed write are dropped for this long; below 0: for the class's window.
  double idempotency_window_ms = -1;
  ReportSpec report;
};

struct NodeGroup {
  std::string name; // the machines are named NAME-0, NAME-1, ...
  std::uint32_t kind = 0, zone = 0;
  std::uint32_t count = 1;     // machines in service from the start: warm, with recently requested objects
  std::uint32_t standby = 0;   // further machines that an event may start
  std::uint32_t cell_size = 4; // machines per cell, within which IdempotencyScope::Cell drops repeats
  double weight_error = 0;     // the weight published by discovery is wrong by up to this share
};

// The slow store behind the caches. Without an origin the nodes cache nothing and serve every request.
struct OriginSpec {
  bool enabled = true;
  std::uint32_t zone = 0;
  double capacity_per_s = 80;     // fetches of mean service time
  double service_time_ms = 100;   // mean service time of a fetch
  double service_time_cv = 0.5;   // coefficient of variation (log-normal); 0: always the mean
  double write_multiple = 1.5;    // service time of a write relative to a fetch
  double queue_limit_ms = 1500;   // queue limit, as time at full capacity; further requests are rejected
  double congested_at = 0;        // share of the queue limit above which work slows down
  double congestion_slowdown = 0; // with a full queue, work takes 1 + this times as long
  // The origin fails if it receives more than overload_multiple times its capacity during
  // overload_failure_ms; overload_multiple 0: it does not fail.
  double overload_multiple = 0;
  double overload_failure_ms = 3000;
  double down_ms = 5000;      // time from a failure until it recovers
  bool drops_expired = false; // work is not started after its deadline
  std::uint32_t max_connections = 2000;
  double handshake_round_trips = 1, idle_timeout_ms = 15000;
  double error_rate = 0;
  // Share of the reads that the caches could answer before the run; determines what the initial nodes hold.
  double initial_hit_ratio = 0.9;
  ReportSpec report{false, 100, 50, 0.05, {}};
};

// ---- routers and their settings ----

struct RouterGroup {
  std::uint32_t zone = 0;
  std::uint32_t count = 1;
};

// What routers report to each other (docs/operators/fleet.md). If disabled, they exchange no datagrams.
struct SharingSpec {
  bool enabled = false;
  double ping_period_ms = 250;       // a router sends one ping in each period
  std::uint32_t indirect_probes = 3; // routers asked to probe one that does not answer
  bool share_origin_limit = true;    // divides the limit at the origin among the routers by their demand
  // Uses the number of living routers in place of the configured one, where that is safe.
  bool count_living_routers = true;
  bool share_findings = false; // uses findings about cache nodes on which several routers agree
};

struct RouterSpec {
  std::vector<RouterGroup> groups;
  SharingSpec sharing;
  // Resources of a router process; max_sockets limits its file descriptors.
  std::uint32_t max_sockets = 1024, memory_mb = 192;
  double cores = 1;
  // Copied to the routers' settings. Classes, tenants, zones, kinds and reports come from the other tables.
  bool may_cancel = true, may_hedge = true, send_retry_after = true;
  double max_retry_after_ms = 1500;
  std::uint32_t max_attempts = 5;
  double event_interval_ms = 5;
  double connect_timeout_ms = 250;
  double connection_idle_ms = 15000; // setting of the routers; should not exceed the kinds' idle_timeout_ms
  std::uint32_t max_open_requests = 20000;
  double response_grace_ms = 20; // a response may be this much later than its deadline
  double drain_grace_ms = 250;   // a router may use a node for this long after it was notified of its drain
  double over_quota_weight = 0.05;
  WeightKind weight_kind = WeightKind::Approximate;
  ResizeSettings resize;
};

// The simple load balancer in front of the routers: round robin over the routers of the client's zone, or
// over all routers if it can use none there.
struct FrontBalancerSpec {
  double failure_detection_ms = 2000;   // time during which it still sends to a dead router
  double ready_check_interval_ms = 200; // interval of its readiness checks of a starting router
};

// Limits of the one discovery server that all routers call (on sockets only). If all are 0, every call is
// answered at once.
struct CongestionSpec {
  double answers_per_second = 0; // answers are produced one by one in the order of the calls; 0: no limit
  double bytes_per_second = 0;   // of all answers together, whose pieces are sent in turn; 0: no limit
  double piece_size_bytes = 0;   // an answer is sent in pieces of this size; 0: in one piece
  double piece_interval_ms = 0;  // minimum time between two pieces of one answer
  double refused_share = 0;      // share of the calls: half get a 503, half have their connection closed
  double silent_share = 0;       // share of the long polls without an update yet that are never answered

  bool enabled() const {
    return answers_per_second > 0 || bytes_per_second > 0 || piece_size_bytes > 0 || refused_share > 0 ||
           silent_share > 0;
  }
};

struct DiscoverySpec {
  double add_delay_min_ms = 800, add_delay_max_ms = 2200; // from a node's start until the list contains it
  // From a drain or termination until the list shows it.
  double leave_delay_min_ms = 1000, leave_delay_max_ms = 4500;
  // From a machine's silence until the list shows it.
  double silence_delay_min_ms = 7000, silence_delay_max_ms = 13000;
  double update_period_ms = 400;   // interval of the updates of the list
  double delivery_spread_ms = 400; // each router receives an update up to this much later
  // An update counts as notified this long after the router could have reached discovery, received or not.
  double notified_at_latest_ms = 6000;
  // The same, measured from the SIGHUP after which a router uses the new address of discovery.
  double reload_notified_at_latest_ms = 4000;
  CongestionSpec congestion;
};

// ---- load ----

enum class DistributionShape { Fixed, Exponential, LogNormal };
struct Distribution { // distribution of a positive quantity
  DistributionShape shape = DistributionShape::Exponential;
  double mean = 1;
  double cv = 1; // LogNormal: standard deviation / mean
};

struct ClassSpec {
  std::string name;
  double share = 1; // of the requests, relative to the other classes
  Distribution work{DistributionShape::Exponential, 100, 1};
  double attempt_work_cv = 0; // variation of an attempt's work around the request's work (log-normal cv)
  // Error of the cost hint relative to the request's work (log-normal cv); below 0: no hint.
  double hint_error = 0.1;
  // latency_objective_ms 0: client_timeout_ms, which covers all tries of a request.
  double latency_objective_ms = 750, client_timeout_ms = 1500;
  // objective_per_work extends the objective by this times the request's work. late_value_share is the part
  // of its weight that a response after the objective earns. The weight applies per Spec::weight_basis.
  double objective_per_work = 0, late_value_share = 0, priority_weight = 1;
  Idempotency idempotency = Idempotency::Idempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::All;
  double idempotency_window_ms = 1000;
  bool write = false;
};

struct TenantSpec {
  std::string name;
  double share = 1;        // share of the service that the tenant is entitled to
  double usage_factor = 1; // the tenant sends this times its share
  double quota_per_s = 0;  // requests above it have the weight over_quota_weight; 0: no quota
};

struct KeySpec {
  std::uint32_t count = 20000; // at most 4,194,304
  double zipf = 1;             // the key of rank r (from 1) is drawn in proportion to (r + offset)^-zipf
  double offset = 0;
  double drift_per_s = 0;   // share of the ranks that are reassigned to a new key in a second
  double changes_per_s = 0; // share of the keys that change at the origin in a second: copies become invalid
  Distribution size{DistributionShape::LogNormal, 4000, 0.8};
};

enum class LoadShape { Steady, Ramp, Day };
struct LoadSpec {
  double rate_per_s = 400; // requests per second, not counting retries
  LoadShape shape = LoadShape::Steady;
  double ramp_to = 1;          // Ramp: rate at the end, as a multiple of rate_per_s
  double swing = 0.3;          // Day: amplitude of the rate as a share of its mean
  double period_ms = 86400e3;  // Day: length of a day
  double peak_at_ms = 50400e3; // Day: time of the highest rate
};

enum class Backoff { Fixed, Exponential };
struct ClientSpec {
  // Mean limit of retries per request; 0.4: four requests in ten may be retried once.
  double mean_max_retries = 1;
  Backoff backoff = Backoff::Fixed;
  double backoff_ms = 100; // the wait is 0.5 to 1.5 times this; Exponential: doubled with each try
  // Share of the rejected tries after which the client waits for Retry-After, up to max_retry_after_ms.
  double heed_retry_after_share = 1;
  // A try times out after a share of the class's client_timeout_ms, drawn between these.
  double try_timeout_share_min = 0.8, try_timeout_share_max = 1;
  double abandon_share = 0;           // share of the tries that the client abandons before their timeout
  bool keep_connections = true;       // false: a new connection for each try
  std::uint32_t idle_connections = 0; // idle connections that clients keep open to each router
  bool marks_retry = false;           // retries carry X-Retried
};

// ---- events ----

// Selects the machines that an event affects: those that match all given members, then `count` or `share` of
// them.
struct NodeSelector {
  std::vector<MachineId> nodes; // by number; empty: all
  std::optional<std::uint32_t> group, zone, kind;
  std::optional<std::uint32_t> count; // takes precedence over share
  double share = 1;                   // rounded, but at least one machine
  bool random = true;                 // drawn with the seed; false: the first by number
};
struct RouterSelector {
  std::vector<RouterId> routers;
  std::optional<std::uint32_t> zone, count;
  double share = 1;
  bool random = true;
};

// In all events, `until_ms` is an absolute time; 0: until the end of the scenario.

struct NoisyNeighbour { // another program uses a share of the machine
  NodeSelector who;
  double share = 0.5, until_ms = 0;
  double on_ms = 0, off_ms = 0; // mean active and inactive times (exponential); either 0: always active
};
struct StartNodes { // starts machines that are on standby or terminated, cold and empty
  NodeSelector who;
};
struct DrainNodes { // the machines finish their requests and then terminate
  NodeSelector who;
  double drain_ms = 4000;
  double over_ms = 0; // the drains are spread evenly over this time
};
struct KillNodes { // the process ends: its connections are reset and new ones are refused
  NodeSelector who;
};
struct ReplaceNodes { // the process ends and another machine with a new name uses its address
  NodeSelector who;
  double after_ms = 1000;
};
struct RestartNodes { // the process ends and is started again with the same name, cold and empty
  NodeSelector who;
  double after_ms = 1000;
};
struct SilentNodes { // the machine sends nothing; its connections stay open
  NodeSelector who;
  double until_ms = 0;
};
struct PartitionZones { // all messages between the two sets of zones are lost, in both directions
  std::vector<std::uint32_t> a, b;
  double until_ms = 0;
};
struct PartitionNodes { // all messages between the machines and the routers are lost, in both directions
  NodeSelector nodes;
  RouterSelector routers;
  double until_ms = 0;
};
enum class RouterEnd { Kill, Term };
struct RestartRouters {
  RouterSelector who;
  RouterEnd how = RouterEnd::Term;
  double down_ms = 1000;   // time from the kill (Kill) or the exit (Term) until the start; 0: not restarted
  std::uint32_t batch = 0; // routers in one batch; 0: all at once
  double over_ms = 0;      // the batches are spread evenly over this time
};
struct ReloadRouters { // the routers get SIGHUP
  RouterSelector who;
};
enum class PartitionedTraffic {
  Datagrams, // between routers
  All // also messages between one side's routers and the machines of zones where only the other has routers
};
struct PartitionRouters { // partitions the routers of `a` from those of `b` that are not in `a`
  RouterSelector a, b;
  bool one_way = false; // only messages from `a` to `b` are lost
  PartitionedTraffic carries = PartitionedTraffic::Datagrams;
  double until_ms = 0;
};
struct LoseDatagrams { // affects datagrams to and from these routers, in addition to the network's losses
  RouterSelector who;
  double share = 0.2, twice = 0; // shares of the datagrams that are lost and that are duplicated
  double until_ms = 0;
};
struct PauseRouters { // the process is stopped; messages that arrive meanwhile wait for it
  RouterSelector who;
  double until_ms = 0;
};
enum class ReportedExtreme { Minimum, Maximum }; // end of a value's allowed range that is reported
struct InconsistentRouter {                      // its datagrams are well-formed but hold false values
  RouterSelector who;
  ReportedExtreme demand = ReportedExtreme::Maximum,
                  limit = ReportedExtreme::Maximum; // the values that it reports for itself
  bool of_others = false; // it also reports them for other routers, as later updates of theirs
  bool accuses = true;    // it reports living routers as dead
  double until_ms = 0;
};
struct DiscoveryOutage {
  double until_ms = 0;
};
struct DiscoveryMove {          // discovery moves to another address, set in the routers' configuration files
  double old_stays_ms = 2000;   // time during which the old address still answers
  double reload_after_ms = 500; // the routers get SIGHUP one by one, at this interval after the move
};
struct OriginStall { // the origin accepts requests but does not work on them
  double until_ms = 0;
};
struct OriginSlow { // reduces the origin's capacity to this share
  double factor = 0.5, until_ms = 0;
};
struct OriginFall { // the origin's process ends and is started again
  double down_ms = 5000;
};
struct HotKey { // this share of all reads is for one key that was not requested before
  double share = 0.2, until_ms = 0;
};
struct LoadSpike { // multiplies the rate of the load
  double factor = 2, until_ms = 0;
};
enum class BadResponse {
  Error,          // 500
  NotHttp,        // not HTTP
  TooLarge,       // announces a body larger than allowed
  Truncated,      // ends within the body
  NeverCompletes, // the remaining part of the body is never sent
  EarlyClose,     // closes the connection without a response
  WrongBody,      // 200 with a different body; the router can't detect this and is not responsible
  SlowBytes,      // complete, but seconds late
};
struct BadResponses { // the machines answer this share of the requests badly
  NodeSelector who;
  double share = 0.1, until_ms = 0;
  BadResponse kind = BadResponse::Error;
};
struct ZoneOutage { // all machines and routers of the zone become silent
  std::uint32_t zone = 0;
  double until_ms = 0;
  bool clients_move = true; // its clients use the other zones; false: they are lost too
};
struct SlowLink { // multiplies the delay between two zones (a latency spike)
  std::uint32_t from = 0, to = 0;
  double factor = 5, until_ms = 0;
};

using EventAction =
    std::variant<NoisyNeighbour, StartNodes, DrainNodes, KillNodes, ReplaceNodes, RestartNodes, SilentNodes,
                 PartitionZones, PartitionNodes, RestartRouters, ReloadRouters, DiscoveryOutage,
                 DiscoveryMove, OriginStall, OriginSlow, OriginFall, HotKey, LoadSpike, BadResponses,
                 ZoneOutage, SlowLink, PartitionRouters, LoseDatagrams, PauseRouters, InconsistentRouter>;

struct TimedEvent {
  double at_ms = 0;
  std::string label; // text for reports
  EventAction what;
};

// ---- expected results ----

enum class Metric {
  Service,     // earned weight / total priority weight of the requests
  WorstWindow, // the lowest service of any `window_ms`
  WorstClass,  // the lowest service of any class
  WorstTenant, // the lowest service of any tenant
  // Share of the requests by their final outcome.
  Served,
  Rejected,
  Failed,
  LatencyMs,        // at `quantile`, of served requests, from the intended send
  OriginPerS,       // fetches and writes that reach the origin, mean per second
  OriginPeakPerS,   // the same in the worst second
  FetchSurgeFactor, // reads at the origin in the worst 1000 ms, relative to their mean before `from_ms`
  HitRatio,         // of the reads at the caches
  HandshakesPerRequest,
  RecoveryMs, // from `from_ms` until the service of each `window_ms` stays at `level` or more, up to `to_ms`
};

struct Bound {
  Metric metric = Metric::Service;
  std::optional<std::uint32_t> cls, tenant; // only requests of this class and tenant count
  double from_ms = 0, to_ms = 0;            // only requests drawn in this period count; to_ms 0: to the end
  double window_ms = 10000, quantile = 0.99, level = 0.9;
  std::optional<double> at_least, at_most;
};

// Rules that are checked unless disabled here. records.h describes the records from which each is judged.
struct Rules {
  bool one_response = true;         // each request that a router accepted gets exactly one final response
  bool no_lost_requests = true;     // no accepted request is without a response in time
  bool safe_repeats = true;         // no request is repeated unless its class allows it
  bool drains_respected = true;     // a draining node gets no new requests after the grace period
  bool cold_nodes_protected = true; // no cold node fails from overload
  bool genuine_bodies = true;       // the body of a served response was produced by a node for this request
};

struct Expectations {
  Rules rules;
  std::vector<Bound> bounds;
  // Weights of the parts of the score.
  double overall_weight = 1, worst_window_weight = 0, worst_class_weight = 0, worst_tenant_weight = 0;
};

enum class WeightBasis { Request, Work }; // the priority weight applies per request or per unit of work

struct Spec {
  std::string name, title;
  double duration_ms = 60000; // arrivals end here; the run continues until all requests have ended
  std::uint64_t seed = 1;
  WeightBasis weight_basis = WeightBasis::Work;
  std::vector<Zone> zones;
  NetworkSpec network;
  std::vector<NodeKind> kinds;
  std::vector<NodeGroup> nodes;
  OriginSpec origin;
  RouterSpec routers;
  FrontBalancerSpec front;
  DiscoverySpec discovery;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants; // empty: one tenant without a name
  KeySpec keys;
  LoadSpec load;
  ClientSpec clients;
  std::vector<TimedEvent> events;
  Expectations expectations;
};

// A reason why a scenario can't be run. `path` names the member by its key: "events[3].at_ms",
// "kinds[0].cores".
struct SpecError {
  std::string path, reason;
};
// All errors of the scenario; empty if it is valid.
std::vector<SpecError> find_spec_errors(const Spec& spec);

// The settings of a router in `zone`, as the decision module expects them.
fernward::Settings router_settings(const Spec& spec, std::uint32_t zone);
// The kind under which discovery lists the origin: the index after the last kind.
inline std::uint32_t origin_kind(const Spec& spec) { return static_cast<std::uint32_t>(spec.kinds.size()); }
inline constexpr const char* kOriginKindName = "origin";

} // namespace fernward::model
