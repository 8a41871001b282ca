// fernward: load balancing decisions of one router in front of a fleet of cache servers.
//
// The caller passes one Event at a time to a Balancer and executes the Actions that it appends, in order.
//
//  - Units: times are milliseconds on the caller's monotonic clock, whose origin is arbitrary.
//  - Ownership: a Balancer copies the data that it needs from an Event; actions own their data.
//  - Threads: Balancers share no state. Use each instance from one thread at a time.
//  - Randomness depends only on the seed: the same seed and events produce the same actions.
//  - Invalid input: events for unknown requests, attempts, servers, classes or timers are ignored. Values
//    that are negative or not finite are treated as absent. Invalid settings throw std::invalid_argument.
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

/// Whether a request may be executed more than once.
enum class Idempotency {
  Idempotent,   // may be repeated safely
  WithKey,      // servers discard duplicates, see IdempotencyScope and ClassSettings::idempotency_window_ms
  NonIdempotent // must not be repeated
};
/// Which servers discard a duplicate of a request with an idempotency key: all servers, or only those in the
/// same zone or cell as the server that received the first attempt.
enum class IdempotencyScope { All, Zone, Cell };
/// How servers deliver load reports.
enum class LoadReportSource { Responses, HealthChecks, Never };
/// Meaning of a load report value. Inflight and Queue are counts of requests, LatencyMs is in milliseconds;
/// the others are ignored.
enum class LoadReportField { Inflight, Queue, Utilization, LatencyMs, RequestRate, ErrorRate, Other };
/// How endpoint lists arrive. Push: unsolicited. Poll: only after a WatchEndpoints action.
enum class DiscoveryMode { Push, Poll };
/// Meaning of server weights. Live weights change continuously, so they do not affect the hash ring.
enum class WeightKind { Off, Nominal, Approximate, Live };

/// Settings of one request class.
struct ClassSettings {
  /// A response within this time has its full value; 0: client_timeout_ms is used instead.
  double latency_objective_ms = 0;
  /// How long the client waits in total, over all its own attempts; 0: unknown.
  double client_timeout_ms = 0;
  /// The latency objective is extended by this factor times Request::expected_work_ms.
  double objective_work_factor = 0;
  /// Share of the full value, 0 to 1, that a response after the latency objective still has.
  double late_response_value_share = 0;
  /// Value of a response relative to those of other classes.
  double priority_weight = 1;
  Idempotency idempotency = Idempotency::NonIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::Zone;
  /// WithKey: for how long servers discard duplicates.
  double idempotency_window_ms = 0;
  bool streaming = false;
  /// Attempts per request; 0: Settings::max_attempts, which is the upper bound in any case.
  std::uint32_t max_attempts = 0;
  /// Effective only if Settings::may_hedge is set.
  bool may_hedge = true;
};

struct TenantSettings {
  /// The tenant's share of the whole service, 0 to 1.
  double service_share = 0;
  /// Requests per second over all routers; 0: no quota.
  double quota_per_s = 0;
};

/// Handling of fleet size changes. Enabled if there is an origin and `transition_ms` is above 0.
struct ResizeSettings {
  /// For this long, a newly added cache shares its keys with their former owners.
  double transition_ms = 0;
  /// During the transition, the fetch rate at the origin is limited to this multiple of its steady rate;
  /// 0: unlimited, otherwise at least 1.
  double origin_load_multiple = 2;
  /// The most popular keys, which make up this share of the reads (0 to 1), are stored at two caches.
  double second_replica_share = 0;
};

struct Settings {
  /// Number of routers in the fleet, 1 to 65536.
  std::uint32_t router_count = 1;
  /// Zone of this router; caches in the same zone are preferred.
  std::optional<std::uint32_t> zone;
  /// At least one.
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  /// Factor, 0 to 1, on the value of a request that exceeds its tenant's quota.
  double over_quota_weight = 1;
  /// Server::kind of the origin in endpoint lists. Caches answer CacheMiss and the router then fetches from
  /// the origin. -1: no origin.
  std::int32_t origin_kind = -1;
  LoadReportSource load_report_source = LoadReportSource::Never;
  /// Meaning of each value of a load report, in order.
  std::vector<LoadReportField> load_report_fields;
  DiscoveryMode discovery = DiscoveryMode::Push;
  WeightKind weight_kind = WeightKind::Off;
  bool may_health_check = false;
  bool may_cancel = false;
  /// Two attempts of one request may be in flight at the same time.
  bool may_hedge = false;
  /// Whether Reject::retry_after_ms is set for clients.
  bool send_retry_after = false;
  double max_retry_after_ms = 0;
  /// Attempts per request, at least 1.
  std::uint32_t max_attempts = 1;
  /// Granularity of event times: the minimum interval between events.
  double event_interval_ms = 1;
  /// Poll: a WatchEndpoints that is not answered is repeated after this time; 0: after 8 s.
  double poll_interval_ms = 0;
  /// Duration of slow start after a server has started.
  double slow_start_ms = 0;
  /// Share of its capacity, 0 to 1, that a server is guaranteed to have when slow start begins.
  double slow_start_min_capacity = 1;
  /// A server in slow start fails if it is overloaded for this long.
  double overload_failure_ms = 0;
  /// A server in slow start is overloaded if it is sent more than this multiple of its current capacity.
  double overload_multiple = 1;
  ResizeSettings resize;

  /// Attempts allowed per request of this class.
  std::uint32_t max_attempts_for_class(std::uint32_t class_index) const {
    const std::uint32_t class_max_attempts =
        class_index < classes.size() ? classes[class_index].max_attempts : 0;
    return class_max_attempts > 0 && class_max_attempts < max_attempts ? class_max_attempts : max_attempts;
  }
  bool may_hedge_class(std::uint32_t class_index) const {
    return may_hedge && (class_index >= classes.size() || classes[class_index].may_hedge);
  }
};

/// Throws std::invalid_argument, which names the field, if a setting is invalid.
void validate(const Settings& settings);

// ---- events ----

enum class ServerState { Ready, Draining, Gone };

/// A cache or the origin as listed by discovery.
struct Server {
  ServerId id = 0;
  std::uint32_t kind = 0;
  std::uint32_t cell = 0;
  std::uint32_t zone = 0;
  double weight = 1;
  /// Clock time of its last start; 0: unknown, long ago.
  double started_at = 0;
  ServerState state = ServerState::Ready;
};

/// Delta: only the changed servers. Full: all servers. Cached: all servers, from a locally stored list.
/// Failed: the discovery call failed.
enum class EndpointListKind { Delta, Full, Cached, Failed };

/// Discovery delivered an endpoint list, or its call failed.
struct EndpointList {
  EndpointListKind kind = EndpointListKind::Full;
  std::vector<Server> servers;
};

/// A client request arrived.
struct Request {
  RequestId id = 0;
  std::uint32_t class_index = 0;
  std::uint32_t tenant = 0;
  /// 0: none.
  std::uint64_t key = 0;
  /// Clock time at which the client stops waiting for this request; it may then send it again by itself.
  double deadline = 0;
  /// 0: unknown.
  double expected_work_ms = 0;
  bool write = false;
  /// Clock time at which its body is expected to be complete; 0: it is complete.
  double body_complete_at = 0;
};

/// The body of a request that is still arriving is complete, or is expected to be at another time than
/// before.
struct DeadlineChanged {
  RequestId id = 0;
  /// As Request::deadline.
  double deadline = 0;
  /// As Request::body_complete_at.
  double body_complete_at = 0;
};

enum class AttemptResult {
  Ok,
  Error,         // the server responded with an error
  Overloaded,    // the server rejected it without executing it
  TimedOut,      // no response in time
  ConnectFailed, // no connection was established, so it was not executed
  Reset,         // the connection broke
  Cancelled,     // ended early: by a Cancel, or because its request ended
  Abandoned,     // not sent, because it was no longer needed
  CacheMiss,     // the cache does not hold the key
  InvalidRequest // the request itself is invalid: a healthy server rejected it, as any other would
};

/// An attempt ended.
struct AttemptOutcome {
  RequestId id = 0;
  /// Index of the attempt: position among the request's Send actions, from 0.
  std::uint32_t attempt = 0;
  ServerId server = 0;
  AttemptResult result = AttemptResult::Ok;
  double elapsed_ms = 0;
  /// The client has received the final response of the request.
  bool request_ended = false;
  /// Values in the order of Settings::load_report_fields; empty: no load report.
  std::vector<float> load_report;
  /// Sent on a connection that was idle before: a reset may concern only the connection, not the server.
  bool on_reused_connection = false;
  /// The first attempt on its connection: Overloaded may mean that the server accepts no more connections.
  bool first_on_connection = false;
  /// Part of the request body is no longer available, so the request cannot be sent again.
  bool body_consumed = false;
};

/// The router started to forward the response of an attempt to the client.
struct ResponseStarted {
  RequestId id = 0;
  std::uint32_t attempt = 0;
  ServerId server = 0;
  double elapsed_ms = 0;
};

/// The head of an attempt's successful response was received, and its body was not complete with it. From
/// then on the server is known to respond: the request is not given up at its latency objective, only at its
/// deadline. Optional before a ResponseStarted or an AttemptOutcome.
struct ResponseHeadReceived {
  RequestId id = 0;
  std::uint32_t attempt = 0;
};

struct ClientDisconnected {
  RequestId id = 0;
};

/// The timer of a SetTimer expired.
struct TimerFired {
  std::uint64_t token = 0;
};

/// A health check started by SendHealthCheck ended.
struct HealthCheckResult {
  ServerId server = 0;
  double elapsed_ms = 0;
  bool ok = false;
  std::vector<float> load_report;
};

/// Aggregated state of the fleet's routers, as far as this router has received it. Advisory; its influence
/// decreases while no updates from other routers are received.
struct FleetState {
  /// 0: unknown. Settings::router_count bounds it.
  double live_routers = 0;
  /// This router's share of the concurrent attempts that all routers may have at the origin; 0: unknown.
  double origin_limit_share = 0;
  /// Recent response time of the origin as observed by several routers; 0: unknown.
  double origin_response_ms = 0;
  /// Mean age of these observations.
  double origin_response_age_ms = 0;
};

/// Combined report of several routers about one cache; a report of a single router is never passed on here.
/// A more recent response of the cache to this router takes precedence. A cache that is ejected because of a
/// report soon gets a half-open trial.
struct OutlierReport {
  ServerId server = 0;
  /// It does not respond, or its attempts fail.
  bool is_outlier = false;
  /// Clock time of the most recent observation behind the report.
  double observed_at = 0;
};

using Event =
    std::variant<EndpointList, Request, DeadlineChanged, AttemptOutcome, ResponseStarted, ClientDisconnected,
                 TimerFired, HealthCheckResult, FleetState, OutlierReport, ResponseHeadReceived>;

// ---- actions ----

/// Start an attempt. The caller reports its end with an AttemptOutcome.
struct Send {
  RequestId id = 0;
  ServerId server = 0;
  /// 0: until the client's deadline.
  double timeout_ms = 0;
};

/// Why a request was given up. Used only for statistics and logs.
enum class GiveUpReason {
  Shed,             // rejected on arrival: of low priority under overload, or its deadline has passed
  QueueTimeout,     // queued for the origin for so long that the response would be late
  ResponseTimeout,  // deadline reached with an attempt in flight
  NotSent,          // deadline reached with no attempt in flight
  RetryBudgetEmpty, // an attempt failed and the retry budget was empty
  AttemptLimit,     // all attempts that the settings allow were made
  NotIdempotent,    // its idempotency setting allows no further attempt
  NoEndpoint,       // no usable server was left
  InvalidRequest,   // a server reported that the request itself is invalid
  Count             // number of reasons
};

/// Final answer to the client that guarantees that a retry is safe.
struct Reject {
  RequestId id = 0;
  /// Advised delay before the client retries; 0: none.
  double retry_after_ms = 0;
  GiveUpReason reason = GiveUpReason::Shed;
};
/// Final answer to the client without the guarantee that a retry is safe.
struct Fail {
  RequestId id = 0;
  GiveUpReason reason = GiveUpReason::NotIdempotent;
};
/// Cancel an attempt. The caller still reports its AttemptOutcome.
struct Cancel {
  RequestId id = 0;
  std::uint32_t attempt = 0;
};
/// The caller passes a TimerFired with this token after the delay.
struct SetTimer {
  double delay_ms = 0;
  std::uint64_t token = 0;
};
struct SendHealthCheck {
  ServerId server = 0;
};
/// Subscribe to changes of the endpoint list at discovery.
struct WatchEndpoints {};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Reject, Fail, Cancel, SetTimer, SendHealthCheck, WatchEndpoints, Log>;

/// Makes the load balancing decisions of one router. It has no clock and does no I/O; the caller owns it.
class Balancer {
 public:
  /// Throws std::invalid_argument under the conditions of validate().
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Replaces the settings; active requests keep their deadlines. Classes and tenants keep their indexes, and
  /// new ones may be appended. The router count, zone, origin kind, and the settings of load reports,
  /// discovery and weights must not change. Throws std::invalid_argument and changes nothing otherwise.
  void update_settings(const Settings& settings);

  /// Whether the server is ejected as an outlier, because its attempts failed. For statistics.
  bool is_ejected(ServerId server) const;

  /// State of the origin as seen by this router, to be shared with other routers.
  struct OriginBudget {
    /// Concurrent attempts that this router demands; below 0: unknown.
    double demand = -1;
    /// Concurrent attempts that this router's limit allows.
    double limit = 0;
    /// Recent response time; 0: no response for 0.8 s.
    double response_ms = 0;
  };
  OriginBudget origin_budget() const;

  /// Slow start decisions since the Balancer was created, over all caches. For statistics.
  struct SlowStartCounts {
    /// Attempts sent to caches in slow start.
    std::uint64_t attempts = 0;
    /// How often a candidate was skipped because of its slow start.
    std::uint64_t denied = 0;
  };
  SlowStartCounts slow_start_counts() const;

  /// This router's own observations of a cache in service, to be shared with other routers.
  struct OutlierObservation {
    ServerId server = 0;
    /// Failed or slow attempts since the last response; a refused or broken connection counts twice.
    /// 0: no failure since then.
    std::uint32_t consecutive_failures = 0;
    /// Clock time of the observation, which may be long ago.
    double observed_at = 0;
  };
  /// Appends one observation for each cache in service.
  void outlier_observations(std::vector<OutlierObservation>& observations) const;

  /// Handles one event that occurs at clock time `now` (ms) and appends the resulting actions.
  void on_event(double now, const Event& event, std::vector<Action>& actions);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace fernward
