// The configuration of one application's router as it is written in the TOML file. Plain data; a key that the
// file omits keeps the default given here. Times are in ms, sizes in bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::app_config {

struct KindSetup { // a kind of node; its capacity is used to estimate the load on the origin
  std::string name;
  double cores = 0, speed = 1; // cores 0: unknown; speed is that of one core
  double memory_bytes = 0;     // available for cached values; 0: unknown
};

struct NodeSetup {
  std::string name, address;
  std::optional<std::uint32_t> zone, kind; // none: the default, see node_kind() for the kind
  double weight = 1;
};

struct FleetSetup {
  std::vector<std::string> zones{"here"};
  std::optional<std::uint32_t> zone; // the zone of the router itself
  std::vector<KindSetup> kinds;
  std::optional<std::uint32_t> ledger; // the node kind of the origin; none: no origin
  std::string discovery, file;         // sources of the endpoint list; both empty: `nodes`
  std::vector<NodeSetup> nodes;
  double delay_ms = 0; // one-way network delay to the farthest node
  double warm_after_ms = 0, start_capacity = 1, tip_after_ms = 0;
  std::size_t weights = 0; // how reliable the weights of the endpoint list are: a WeightKind
};

struct ClassSetup {
  std::string name;
  double aim_ms = 0, give_up_ms = 0; // latency objective 0: the client timeout
  double aim_stretch = 0, late_share = 0, worth = 1;
  Idempotency repeat = Idempotency::Idempotent;
  IdempotencyScope scope = IdempotencyScope::All;
  double window_ms = 0;
  std::optional<std::uint32_t> retries; // none: as many as attempts.max_attempts allows
  std::optional<double> retry_for_ms;   // none: the idempotency window, if there is one
  bool copies = true, write = false;
  double traffic = 1; // share of the requests, relative to the other classes
};

struct TenantSetup {
  std::string name;
  double share = 0, quota_per_s = 0;
};

enum class Method { Any, Get, Put };

struct MapSetup { // class and tenant of a request without these headers; the first match applies
  std::string path;
  Method method = Method::Any;
  std::uint32_t cls = 0;
  std::optional<std::uint32_t> tenant;
  std::optional<double> timeout_ms;
};

struct AttemptSetup {
  std::uint32_t most = 4;
  bool cancel = true, copies = true;
  double retry_after_ms = 1500; // the longest Retry-After; 0: none is sent
  double connect_ms = 250, idle_ms = 10000;
};

struct LimitSetup {
  std::uint32_t sockets = 1024, memory_mb = 192;
  std::optional<std::uint32_t> open; // none: see active_request_limit()
  double grace_ms = 20;              // a response may arrive this long after the client timeout
  double answer_bytes = 16 << 20, request_bytes = 64 << 10;
  std::string body_folder;
  std::uint32_t body_folder_mb = 64;
};

struct ReportSetup { // load reports carried by responses
  std::vector<std::size_t> fields;
};

struct TierSetup {
  std::uint32_t routers = 1;   // routers that send to the same nodes
  double over_share_worth = 1; // weight factor of a request over its tenant's quota
  double tick_ms = 1;
};

struct ResizeSetup { // see ResizeSettings
  double settle_ms = 0, ledger_multiple = 2, second_holder = 0;
};

struct LogSetup {
  std::size_t format = 0; // index of "text", "json"
  double per_s = 100;
  std::uint32_t burst = 300;
  bool connections = true; // log a line for each connection that ends
};

struct ApplicationSetup {               // the application process that the sidecar starts
  std::vector<std::string> environment; // NAME=VALUE
  std::string address_variable = "FERNWARD_ADDRESS";
  std::string runtime_folder; // for address claims; empty: the system's default
  double ready_ms = 10000;    // until the router is ready
  double stop_ms = 10000;     // until the application has ended
  double restart_first_ms = 100, restart_most_ms = 10000;
};

struct ExpectSetup { // the expected load, used only by checks
  double rate_per_s = 0, work_ms = 0;
  std::uint32_t keys = 0;
  double zipf = 1, size_bytes = 0;
  double ledger_per_s = 0;
};

struct App {
  std::string name, listen;
  std::uint64_t seed = 0; // 0: drawn at startup
  bool make_ids = false;
  FleetSetup fleet;
  std::vector<ClassSetup> classes;
  std::vector<TenantSetup> tenants;
  std::vector<MapSetup> map;
  AttemptSetup attempts;
  LimitSetup limits;
  ReportSetup reports;
  TierSetup tier;
  ResizeSetup resize;
  LogSetup log;
  ApplicationSetup application;
  ExpectSetup expect;
};

// The index of the node's kind. Default: the first kind that is not the origin's.
inline std::uint32_t kind_of(const FleetSetup& fleet, const NodeSetup& node) {
  const std::uint32_t first = fleet.ledger && *fleet.ledger == 0 && fleet.kinds.size() > 1 ? 1 : 0;
  return node.kind.value_or(first);
}

// Memory of the process: with empty tables, per connection, and per active request without its body.
inline constexpr double kBaseMb = 8, kConnectionKb = 6, kRequestKb = 2;

// The limit of concurrent requests: the configured value, or 20,000, or fewer if the memory limit is lower.
inline std::uint32_t open_of(const LimitSetup& l) {
  if (l.open) return *l.open;
  const double room_kb = (l.memory_mb - kBaseMb) * 1024 - l.sockets * kConnectionKb;
  return static_cast<std::uint32_t>(room_kb < kRequestKb           ? 1
                                    : room_kb > 20000 * kRequestKb ? 20000
                                                                   : room_kb / kRequestKb);
}

} // namespace fernward::app_config
