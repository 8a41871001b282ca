// fernward: the decisions of a router for fleets of cache servers.
//
// The caller feeds one Event at a time to a Balancer and carries out the Actions it appends, in order.
//
//  - Units: times are milliseconds on the caller's clock, which may start anywhere and only advances.
//  - Ownership: a Balancer copies what it needs from an Event; actions own their content.
//  - Threads: a Balancer holds no shared state. Use each one from one thread at a time.
//  - Randomness comes from the seed alone: the same seed and events give the same actions.
//  - Misuse: events for unknown requests, attempts, servers, classes or timers are passed over. Values that
//    are not finite or are negative count as absent. Impossible settings throw std::invalid_argument.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fernward {

using RequestId = std::uint64_t;
using ServerId = std::uint32_t;

enum class Idempotency {
  Idempotent,
  WithKey,
  NonIdempotent
};                                               // may the effect of a request be carried out again?
enum class IdempotencyScope { All, Zone, Cell }; // keyed: the servers that discard a repeat
enum class LoadReportSource { Responses, HealthChecks, Never }; // how load reports arrive
enum class LoadReportField { Inflight, Queue, Util, LatencyMs, Qps, Eps, Other };
enum class DiscoveryMode { Push, Poll }; // ask: changes come only after Watch or FetchList
enum class WeightKind { Off, Nominal, Rough, Live };

struct ClassSettings {
  double latency_objective_ms =
      0;                         // an answer within this time earns the full worth; 0: the whole give_up time
  double client_timeout_ms = 0;  // the client's patience over all its tries; 0: unknown
  double objective_per_work = 0; // the aim grows by this many times the request's own work
  double late_value_share = 0;   // share of the worth for an answer after the aim
  double priority_weight = 1;
  Idempotency idempotency = Idempotency::NonIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::Zone;
  double idempotency_window_ms = 0; // keyed: how long repeats are discarded
  bool streaming = false;
  std::uint32_t max_attempts =
      0;                 // of one request; 0: as Settings::max_attempts says, which bounds it in any case
  bool may_hedge = true; // where Settings::may_duplicate allows it
};

struct TenantSettings {
  double service_share = 0; // of the service
  double quota_per_s = 0;   // requests a second over all nodes; 0: no quota
};

// What is done when the fleet changes its size. Where caches are beside an origin, and `settle_ms` is above 0.
struct ResizeSettings {
  double transition_ms = 0; // a node that came lately shares its keys with their former owners for this long
  double origin_load_multiple = 2; // meanwhile fetches stay below this times their steady rate; 0: no bound
  double second_replica_share =
      0; // share of the reads, those of the most popular keys, that are kept at two caches; 0: none
};

struct Settings {
  std::uint32_t router_count = 1;    // balancers in this tier, 65536 at most
  std::optional<std::uint32_t> zone; // the node's own; caches in it are preferred
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_quota_weight = 1; // worth of a request beyond its tenant's quota, as a share
  // Caches answer Miss and the node asks the origin, which is listed under this machine kind; -1: no origin.
  std::int32_t origin_kind = -1;
  LoadReportSource load_report_source = LoadReportSource::Never;
  std::vector<LoadReportField> load_report_fields;
  DiscoveryMode discovery = DiscoveryMode::Push;
  WeightKind weight_kind = WeightKind::Off;
  bool may_health_check = false;
  bool may_cancel = false;
  bool may_hedge = false;        // two attempts of a request may be out at once
  bool send_retry_after = false; // clients are given Refuse::retry_after_ms
  double max_retry_after_ms = 0;
  std::uint32_t max_attempts = 1;
  double event_interval_ms = 1;       // events come at most this often
  double poll_interval_ms = 0;        // ask: unasked this long counts as told; 0: never
  double slow_start_ms = 0;           // a started server is warm after this
  double slow_start_min_capacity = 1; // and starts at this share of its capacity or more
  double overload_failure_ms = 0;     // overloaded this long, a cold server falls over
  double overload_multiple = 1;       // overloaded: sent more than this times its present capacity
  ResizeSettings resize;

  std::uint32_t max_attempts_of(std::uint32_t cls) const {
    const std::uint32_t own = cls < classes.size() ? classes[cls].max_attempts : 0;
    return own > 0 && own < max_attempts ? own : max_attempts;
  }
  bool may_hedge_class(std::uint32_t cls) const {
    return may_hedge && (cls >= classes.size() || classes[cls].may_hedge);
  }
};

// Throws std::invalid_argument, naming the field, for settings that can't hold.
void validate(const Settings& settings);

enum class ServerState { Ready, Draining, Gone };

struct Server {
  ServerId id = 0;
  std::uint32_t kind = 0;
  std::uint32_t cell = 0;
  std::uint32_t zone = 0;
  double weight = 1;
  double started_at = 0; // clock time of its last start; 0: long ago
  ServerState state = ServerState::Ready;
};

// ---- events ----

enum class EndpointListKind { Delta, Full, Cached, Failed };

struct EndpointList {
  EndpointListKind kind = EndpointListKind::Full;
  std::vector<Server> servers;
};

struct Request {
  RequestId id = 0;
  std::uint32_t class_index = 0;
  std::uint32_t tenant = 0;
  std::uint64_t key = 0;       // 0: none
  double deadline = 0;         // clock time at which the client gives up on this try
  double expected_work_ms = 0; // expected work; 0: unknown
  bool write = false;
  double body_complete_at = 0; // its body is still coming, to be whole by this clock time; 0: it is here
};

enum class AttemptResult {
  Ok,
  Error,
  Overloaded,
  TimedOut,
  ConnectFailed,
  Reset,
  Cancelled,
  Abandoned,
  CacheMiss,
  InvalidRequest // the server is well, the request is not: no other would take it
};

struct AttemptOutcome {
  RequestId id = 0;
  std::uint32_t attempt = 0; // in the order of the request's Sends, from 0
  ServerId server = 0;
  AttemptResult result = AttemptResult::Ok;
  double elapsed_ms = 0;
  bool request_ended = false;     // the request has its final answer
  std::vector<float> load_report; // values in the order of Settings::report_fields; empty: none
  bool on_reused_connection =
      false; // on a connection kept at rest before: a reset may be of the connection alone
  bool first_on_connection = false; // on its connection: turned away, it may be for want of a place for that
  bool body_consumed = false;       // the request can't be sent again: of its body a part is gone
};

struct ResponseStarted {
  RequestId id = 0;
  std::uint32_t attempt = 0;
  ServerId server = 0;
  double elapsed_ms = 0;
};

struct ClientDisconnected {
  RequestId id = 0;
};

struct TimerFired {
  std::uint64_t token = 0;
};

struct HealthCheckResult {
  ServerId server = 0;
  double elapsed_ms = 0;
  bool ok = false;
  std::vector<float> load_report;
};

// What the routers of the tier know together, as far as this one was told: advice, and nothing for long when nobody is heard.
struct FleetState {
  double live_routers = 0;       // routers; 0: not known. Settings::nodes bounds it
  double origin_limit_share = 0; // of what all may have at the origin at once, this one's part; 0: not known
  double origin_response_ms = 0; // the origin's response time lately, as several saw it; 0: not known
  double origin_response_age_ms = 0; // how long ago they did, on average
};

// What several routers say together of a cache; a single one's word never comes here. An own answer that is younger
// outweighs it, and what is left out by it is tried by a request of this node's own before long.
struct OutlierReport {
  ServerId server = 0;
  bool is_outlier = false; // silent, or its attempts fail
  double observed_at = 0;  // clock time of the youngest evidence
};

using Event = std::variant<EndpointList, Request, AttemptOutcome, ResponseStarted, ClientDisconnected,
                           TimerFired, HealthCheckResult, FleetState, OutlierReport>;

// ---- actions ----

struct Send { // starts an attempt
  RequestId id = 0;
  ServerId server = 0;
  double timeout_ms = 0; // 0: until the client gives up
};
// Why a request was given up, for figures and logs; nothing else follows from it.
enum class GiveUpReason {
  Shed,             // turned away unseen, as being worth the least
  QueueTimeout,     // waited for its turn at the origin until it would have been late
  ResponseTimeout,  // its time ran out with an attempt out
  NotSent,          // its time ran out with no attempt out
  RetryBudgetEmpty, // an attempt ended badly and no further one was saved up
  AttemptLimit,     // all attempts that the settings allow were made
  NotIdempotent,    // its class allows no further attempt
  NoEndpoint,       // no server was left to ask
  InvalidRequest,   // a server says that the request itself is at fault
  Count             // of the reasons
};

struct Reject { // final answer; promises that a further try does no harm
  RequestId id = 0;
  double retry_after_ms = 0; // 0: no advice
  GiveUpReason reason = GiveUpReason::Shed;
};
struct Fail { // final answer; promises nothing
  RequestId id = 0;
  GiveUpReason reason = GiveUpReason::NotIdempotent;
};
struct Cancel { // stop waiting for an attempt
  RequestId id = 0;
  std::uint32_t attempt = 0;
};
struct SetTimer {
  double delay_ms = 0;
  std::uint64_t token = 0;
};
struct SendHealthCheck {
  ServerId server = 0;
};
struct WatchEndpoints {}; // subscribe to changes of the server list
struct Log {
  std::string text;
};

using Action = std::variant<Send, Reject, Fail, Cancel, SetTimer, SendHealthCheck, WatchEndpoints, Log>;

class Balancer {
 public:
  Balancer(const Settings& settings, std::uint64_t seed); // throws std::invalid_argument, see validate()
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Goes on under other settings; open requests keep their deadlines. Classes and tenants keep their numbers, and new
  // ones may follow them; nodes, zone, kinds, reports and how lists are told stay. Throws std::invalid_argument, and
  // nothing has changed.
  void update_settings(const Settings& settings);

  // It is left out for now, as it failed or fell silent. For figures: nothing follows from it.
  bool is_ejected(ServerId server) const;

  // What the others may be told of the origin: attempts at once that are wanted here (below 0: not known yet), and what
  // the limit lets this node have; its response time of late (0: no answer for 0.8 s).
  struct OriginBudget {
    double demand = -1, limit = 0, response_ms = 0;
  };
  OriginBudget origin_budget() const;

  // What slow start has decided since the beginning, over all caches. For figures.
  struct SlowStartCounts {
    std::uint64_t attempts = 0; // attempts at caches in slow start
    std::uint64_t denied = 0;   // times that such a cache was a candidate and was passed over for that
  };
  SlowStartCounts slow_start_counts() const;

  // What this node has seen itself of the caches in service, to be told to others: hearsay is not passed on.
  struct OutlierObservation {
    ServerId server = 0;
    std::uint32_t consecutive_failures = 0; // attempts in a row; 0: its latest word was a good one
    double observed_at = 0;                 // clock time; it may be long ago
  };
  void outlier_observations(std::vector<OutlierObservation>& to) const; // appends

  // Takes one event that occurs at `now`; appends what to do about it.
  void on_event(double now, const Event& event, std::vector<Action>& actions);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace fernward
