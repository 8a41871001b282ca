// fernward: the decisions of a router for fleets of cache servers.
//
// The caller feeds one Event at a time to a Balancer and carries out the Actions it appends, in order.
//
//  - Units: times are milliseconds on the caller's clock, which may start anywhere and only advances.
//  - Ownership: a Balancer copies what it needs from an Event; actions own their content.
//  - Threads: a Balancer holds no shared state. Use each one from one thread at a time.
//  - Randomness comes from the seed alone: the same seed and events give the same actions.
//  - Misuse: events for unknown requests, attempts, servers, classes or timers are ignored. Values that are
//    not finite or are negative count as absent. Impossible settings throw std::invalid_argument.
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

// ---- settings ----

/// May the effect of a request be carried out more than once?
enum class Idempotency {
  Idempotent,   // yes, without harm
  WithKey,      // servers discard a repeat, see IdempotencyScope and ClassSettings::idempotency_window_ms
  NonIdempotent // no
};
/// Which servers discard a repeat of a request with an idempotency key: all, or those of the first one's
/// group.
enum class IdempotencyScope { All, Zone, Cell };
/// How load reports arrive.
enum class LoadReportSource { Responses, HealthChecks, Never };
/// What a value of a load report is. Inflight and Queue: requests; LatencyMs: milliseconds; the others are
/// not used.
enum class LoadReportField { Inflight, Queue, Util, LatencyMs, Qps, Eps, Other };
/// How endpoint lists arrive. Poll: only after a WatchEndpoints.
enum class DiscoveryMode { Push, Poll };
/// What the weights of servers are. Live ones change all the time and do not shape the ring.
enum class WeightKind { Off, Nominal, Rough, Live };

/// One class of requests.
struct ClassSettings {
  /// An answer within this time earns its full value; 0: client_timeout_ms counts.
  double latency_objective_ms = 0;
  /// The client's patience over all its attempts; 0: unknown.
  double client_timeout_ms = 0;
  /// The objective grows by this many times Request::expected_work_ms.
  double objective_per_work = 0;
  /// Share of the value, 0 to 1, that an answer after the objective earns.
  double late_value_share = 0;
  /// What an answer is worth beside those of other classes.
  double priority_weight = 1;
  Idempotency idempotency = Idempotency::NonIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::Zone;
  /// WithKey: for how long repeats are discarded.
  double idempotency_window_ms = 0;
  bool streaming = false;
  /// Of one request; 0: Settings::max_attempts, which bounds it in any case.
  std::uint32_t max_attempts = 0;
  /// Where Settings::may_hedge allows it.
  bool may_hedge = true;
};

struct TenantSettings {
  /// Of the service, 0 to 1.
  double service_share = 0;
  /// Requests a second over all routers; 0: no quota.
  double quota_per_s = 0;
};

/// What is done when the fleet changes its size. Used where there is an origin and `transition_ms` is above
/// 0.
struct ResizeSettings {
  /// A cache that came lately shares its keys with their former owners for this long.
  double transition_ms = 0;
  /// Meanwhile fetches at the origin stay below this many times their steady rate; 0: no bound, else 1 or
  /// more.
  double origin_load_multiple = 2;
  /// Share of the reads, 0 to 1, whose keys, the most popular ones, are kept at two caches.
  double second_replica_share = 0;
};

struct Settings {
  /// Routers of the fleet, 1 to 65536.
  std::uint32_t router_count = 1;
  /// The router's own; caches in it are preferred.
  std::optional<std::uint32_t> zone;
  /// One at least.
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  /// Value of a request over its tenant's quota, as a share, 0 to 1.
  double over_quota_weight = 1;
  /// Caches answer CacheMiss and the router asks the origin, which is listed with this Server::kind; -1: no
  /// origin.
  std::int32_t origin_kind = -1;
  LoadReportSource load_report_source = LoadReportSource::Never;
  /// What the values of a load report are, in order.
  std::vector<LoadReportField> load_report_fields;
  DiscoveryMode discovery = DiscoveryMode::Push;
  WeightKind weight_kind = WeightKind::Off;
  bool may_health_check = false;
  bool may_cancel = false;
  /// Two attempts of a request may be in flight at once.
  bool may_hedge = false;
  /// Clients are given Reject::retry_after_ms.
  bool send_retry_after = false;
  double max_retry_after_ms = 0;
  /// Of one request, 1 or more.
  std::uint32_t max_attempts = 1;
  /// Events come at most this often.
  double event_interval_ms = 1;
  /// Poll: a WatchEndpoints without an answer is repeated after this; 0: after 8 s.
  double poll_interval_ms = 0;
  /// For how long a started server is in slow start.
  double slow_start_ms = 0;
  /// The share of its capacity, 0 to 1, that a server surely has at the start of it.
  double slow_start_min_capacity = 1;
  /// A server in slow start that is overloaded for this long fails.
  double overload_failure_ms = 0;
  /// Overloaded: sent more than this many times its present capacity.
  double overload_multiple = 1;
  ResizeSettings resize;

  /// Of a request of this class.
  std::uint32_t max_attempts_of(std::uint32_t cls) const {
    const std::uint32_t own = cls < classes.size() ? classes[cls].max_attempts : 0;
    return own > 0 && own < max_attempts ? own : max_attempts;
  }
  bool may_hedge_class(std::uint32_t cls) const {
    return may_hedge && (cls >= classes.size() || classes[cls].may_hedge);
  }
};

/// Throws std::invalid_argument, naming the field, for impossible settings.
void validate(const Settings& settings);

// ---- events ----

enum class ServerState { Ready, Draining, Gone };

/// A cache or the origin, as discovery lists it.
struct Server {
  ServerId id = 0;
  std::uint32_t kind = 0;
  std::uint32_t cell = 0;
  std::uint32_t zone = 0;
  double weight = 1;
  /// Clock time of its last start; 0: long ago.
  double started_at = 0;
  ServerState state = ServerState::Ready;
};

/// Delta: changes alone. Full: all servers. Cached: all, from a stored list. Failed: the call
/// failed.
enum class EndpointListKind { Delta, Full, Cached, Failed };

/// Discovery tells which servers there are.
struct EndpointList {
  EndpointListKind kind = EndpointListKind::Full;
  std::vector<Server> servers;
};

/// A request arrives.
struct Request {
  RequestId id = 0;
  std::uint32_t class_index = 0;
  std::uint32_t tenant = 0;
  /// 0: none.
  std::uint64_t key = 0;
  /// Clock time at which the client gives up on this attempt of its own.
  double deadline = 0;
  /// 0: unknown.
  double expected_work_ms = 0;
  bool write = false;
  /// Clock time by which its body will be complete; 0: it is.
  double body_complete_at = 0;
};

enum class AttemptResult {
  Ok,
  Error,         // the server answered that it failed
  Overloaded,    // rejected unseen: the attempt never ran
  TimedOut,      // no answer in time
  ConnectFailed, // no connection came up: the attempt never ran
  Reset,         // the connection broke
  Cancelled,     // given up early: by a Cancel, or as its request ended
  Abandoned,     // not sent, as it was no longer wanted
  CacheMiss,     // the cache does not hold the key
  InvalidRequest // the server is well, the request is not: no other would take it
};

/// An attempt has ended.
struct AttemptOutcome {
  RequestId id = 0;
  /// In the order of the request's Sends, from 0.
  std::uint32_t attempt = 0;
  ServerId server = 0;
  AttemptResult result = AttemptResult::Ok;
  double elapsed_ms = 0;
  /// The request has its final answer.
  bool request_ended = false;
  /// In the order of Settings::load_report_fields; empty: none.
  std::vector<float> load_report;
  /// On a connection that was idle before: a reset may be of the connection alone.
  bool on_reused_connection = false;
  /// The first on its connection: overloaded may mean that there is no place for that.
  bool first_on_connection = false;
  /// Part of the request's body is gone, so that it can't be sent again.
  bool body_consumed = false;
};

/// An attempt's response begins to be passed on to the client.
struct ResponseStarted {
  RequestId id = 0;
  std::uint32_t attempt = 0;
  ServerId server = 0;
  double elapsed_ms = 0;
};

struct ClientDisconnected {
  RequestId id = 0;
};

/// The time of a SetTimer has come.
struct TimerFired {
  std::uint64_t token = 0;
};

/// A SendHealthCheck has ended.
struct HealthCheckResult {
  ServerId server = 0;
  double elapsed_ms = 0;
  bool ok = false;
  std::vector<float> load_report;
};

/// What the routers of the fleet know together, as far as this one was told. Advice, which fades when no
/// router is heard any more.
struct FleetState {
  /// 0: unknown. Settings::router_count bounds it.
  double live_routers = 0;
  /// This router's part of the attempts that all may have at the origin at once; 0: unknown.
  double origin_limit_share = 0;
  /// The origin's response time lately, as several routers saw it; 0: unknown.
  double origin_response_ms = 0;
  /// How long ago they saw it, on average.
  double origin_response_age_ms = 0;
};

/// What several routers say together of a cache; the word of a single one never comes here. A younger
/// response of the cache's here outweighs it, and what is ejected by it gets a half-open trial before long.
struct OutlierReport {
  ServerId server = 0;
  /// Silent, or its attempts fail.
  bool is_outlier = false;
  /// Clock time of the youngest evidence.
  double observed_at = 0;
};

using Event = std::variant<EndpointList, Request, AttemptOutcome, ResponseStarted, ClientDisconnected,
                           TimerFired, HealthCheckResult, FleetState, OutlierReport>;

// ---- actions ----

/// Start an attempt. Its end is told by an AttemptOutcome.
struct Send {
  RequestId id = 0;
  ServerId server = 0;
  /// 0: until the client gives up.
  double timeout_ms = 0;
};

/// Why a request was given up, for figures and logs; nothing else follows from it.
enum class GiveUpReason {
  Shed,             // rejected unseen, as being worth the least
  QueueTimeout,     // waited for its turn at the origin until it would have been late
  ResponseTimeout,  // its time ran out with an attempt in flight
  NotSent,          // its time ran out with no attempt in flight
  RetryBudgetEmpty, // an attempt failed and the retry budget was empty
  AttemptLimit,     // all attempts that the settings allow were made
  NotIdempotent,    // its class allows no further attempt
  NoEndpoint,       // no server was left to ask
  InvalidRequest,   // a server says that the request itself is at fault
  Count             // of the reasons
};

/// A final answer that promises that a retry does no harm.
struct Reject {
  RequestId id = 0;
  /// When the client may come again; 0: no advice.
  double retry_after_ms = 0;
  GiveUpReason reason = GiveUpReason::Shed;
};
/// A final answer that promises nothing.
struct Fail {
  RequestId id = 0;
  GiveUpReason reason = GiveUpReason::NotIdempotent;
};
/// Stop waiting for an attempt. Its AttemptOutcome still comes.
struct Cancel {
  RequestId id = 0;
  std::uint32_t attempt = 0;
};
/// Feed a TimerFired with this token after this time.
struct SetTimer {
  double delay_ms = 0;
  std::uint64_t token = 0;
};
struct SendHealthCheck {
  ServerId server = 0;
};
/// Subscribe to changes of the endpoint list.
struct WatchEndpoints {};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Reject, Fail, Cancel, SetTimer, SendHealthCheck, WatchEndpoints, Log>;

/// The decisions of one router.
class Balancer {
 public:
  /// Throws std::invalid_argument as validate() does.
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Goes on with other settings; open requests keep their deadlines. Classes and tenants keep their numbers,
  /// and new ones may follow them. The number of routers, the zone, the origin's kind, load reports,
  /// discovery and weights must stay. Throws std::invalid_argument, and nothing has changed.
  void update_settings(const Settings& settings);

  /// The server gets no requests for now, as attempts there failed. For figures.
  bool is_ejected(ServerId server) const;

  /// What other routers may be told of the origin.
  struct OriginBudget {
    /// Attempts at once that are wanted here; below 0: unknown.
    double demand = -1;
    /// Attempts at once that this router's limit allows.
    double limit = 0;
    /// Response time lately; 0: no answer for 0.8 s.
    double response_ms = 0;
  };
  OriginBudget origin_budget() const;

  /// What slow start has decided since the beginning, over all caches. For figures.
  struct SlowStartCounts {
    /// Attempts at caches in slow start.
    std::uint64_t attempts = 0;
    /// Times that a cache was a candidate and was passed over for its slow start.
    std::uint64_t denied = 0;
  };
  SlowStartCounts slow_start_counts() const;

  /// What this router has seen itself of a cache in service, to be told to others.
  struct OutlierObservation {
    ServerId server = 0;
    /// Attempts; 0: the latest response was a good one.
    std::uint32_t consecutive_failures = 0;
    /// Clock time, which may be long ago.
    double observed_at = 0;
  };
  /// Appends one for each cache in service.
  void outlier_observations(std::vector<OutlierObservation>& to) const;

  /// Takes one event that occurs at clock time `now`; appends what to do about it.
  void on_event(double now, const Event& event, std::vector<Action>& actions);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace fernward
