// The configuration of one application's router as it is written in the TOML file. Plain data; a key that the
// file omits keeps the default given here. Times are in ms, sizes in bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::app_config {

struct NodeKindConfig { // a kind of node; its capacity is used only to estimate the load on the origin
  std::string name;
  double cores = 0, core_speed = 1; // cores 0: unknown; the speed is relative to a core of speed 1
  double memory_bytes = 0;          // available for cached values; 0: unknown
};

struct NodeConfig {
  std::string name, address;
  std::optional<std::uint32_t> zone, kind; // none: the default, see node_kind() for the kind
  double weight = 1;
};

struct UpstreamFleetConfig {
  std::vector<std::string> zones{"here"};
  std::optional<std::uint32_t> own_zone; // the zone of the router itself
  std::vector<NodeKindConfig> kinds;
  std::optional<std::uint32_t> origin_kind;  // the node kind of the origin; none: no origin
  std::string discovery_address, nodes_file; // sources of the endpoint list; both empty: `nodes`
  std::vector<NodeConfig> nodes;
  double max_one_way_delay_ms = 0; // one-way network delay to the farthest node
  double slow_start_ms = 0, slow_start_min_capacity = 1, overload_failure_ms = 0;
  std::size_t weight_kind = 0; // how reliable the weights of the endpoint list are: a WeightKind
};

struct ClassConfig {
  std::string name;
  double latency_objective_ms = 0, client_timeout_ms = 0; // latency objective 0: the client timeout
  double objective_work_factor = 0, late_response_value_share = 0, priority_weight = 1;
  Idempotency idempotency = Idempotency::Idempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::All;
  double idempotency_window_ms = 0;
  std::optional<std::uint32_t> max_retries; // none: as many as attempts.max_attempts allows
  std::optional<double> retry_window_ms;    // none: the idempotency window, if there is one
  bool may_hedge = true, is_write = false;
  double traffic_share = 1; // share of the requests, relative to the other classes
};

struct TenantConfig {
  std::string name;
  double service_share = 0, quota_per_s = 0;
};

enum class Method { Any, Get, Put };

struct RequestMapping { // class and tenant of a request without these headers; the first match applies
  std::string path_prefix;
  Method method = Method::Any;
  std::uint32_t class_index = 0;
  std::optional<std::uint32_t> tenant_index;
  std::optional<double> client_timeout_ms;
};

struct AttemptsConfig {
  std::uint32_t max_attempts = 4;
  bool may_cancel = true, may_hedge = true;
  double max_retry_after_ms = 1500; // the longest Retry-After; 0: none is sent
  double connect_timeout_ms = 250, idle_timeout_ms = 10000;
};

struct LimitsConfig {
  std::uint32_t max_descriptors = 1024, memory_mb = 192;
  std::optional<std::uint32_t> max_active_requests; // none: see active_request_limit()
  double response_grace_ms = 20; // a response may arrive this long after the client timeout
  double max_response_bytes = 16 << 20, max_request_bytes = 64 << 10;
  std::string spill_folder;
  std::uint32_t spill_limit_mb = 64;
};

struct LoadReportsConfig {         // load reports carried by responses
  std::vector<std::size_t> fields; // in order; each a LoadReportField
};

struct TierConfig {
  std::uint32_t router_count = 1; // routers that send to the same nodes
  double over_quota_weight = 1;   // weight factor of a request over its tenant's quota
  double event_interval_ms = 1;
};

struct ResizeConfig { // see ResizeSettings
  double transition_ms = 0, origin_load_multiple = 2, second_replica_share = 0;
};

struct LogConfig {
  std::size_t format = 0; // index of "text", "json"
  double lines_per_s = 100;
  std::uint32_t burst_lines = 300;
  bool log_connections = true; // log a line for each connection that ends
};

struct ApplicationConfig {              // the application process that the sidecar starts
  std::vector<std::string> environment; // NAME=VALUE
  std::string address_variable = "FERNWARD_ADDRESS";
  std::string runtime_folder;             // for address claims; empty: the system's default
  double router_ready_timeout_ms = 10000; // until the router is ready
  double stop_timeout_ms = 10000;         // until the application has ended
  double restart_backoff_min_ms = 100, restart_backoff_max_ms = 10000;
};

struct ExpectedLoad { // the expected load, used only by checks
  double rate_per_s = 0, mean_work_ms = 0;
  std::uint32_t key_count = 0;
  double zipf_exponent = 1, mean_value_bytes = 0;
  double origin_capacity_per_s = 0;
};

struct AppConfig {
  std::string name, listen_address;
  std::uint64_t seed = 0; // 0: drawn at startup
  bool generate_request_ids = false;
  UpstreamFleetConfig fleet;
  std::vector<ClassConfig> classes;
  std::vector<TenantConfig> tenants;
  std::vector<RequestMapping> mappings;
  AttemptsConfig attempts;
  LimitsConfig limits;
  LoadReportsConfig load_reports;
  TierConfig tier;
  ResizeConfig resize;
  LogConfig log;
  ApplicationConfig application;
  ExpectedLoad expected_load;
};

// The index of the node's kind. Default: the first kind that is not the origin's.
inline std::uint32_t node_kind(const UpstreamFleetConfig& fleet, const NodeConfig& node) {
  const std::uint32_t default_kind =
      fleet.origin_kind && *fleet.origin_kind == 0 && fleet.kinds.size() > 1 ? 1 : 0;
  return node.kind.value_or(default_kind);
}

// Memory of the process: with empty tables, per connection, and per active request without its body.
inline constexpr double kBaseMemoryMb = 8, kConnectionMemoryKb = 6, kRequestMemoryKb = 2;

// The limit of active requests: the configured value; else 20,000, or fewer if the memory limit allows fewer.
inline std::uint32_t active_request_limit(const LimitsConfig& limits) {
  if (limits.max_active_requests) return *limits.max_active_requests;
  const double available_kb =
      (limits.memory_mb - kBaseMemoryMb) * 1024 - limits.max_descriptors * kConnectionMemoryKb;
  return static_cast<std::uint32_t>(available_kb < kRequestMemoryKb ? 1
                                    : available_kb > 20000 * kRequestMemoryKb
                                        ? 20000
                                        : available_kb / kRequestMemoryKb);
}

} // namespace fernward::app_config
