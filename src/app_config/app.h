// What one application wants of its router, as people write it: names, times, allowances, where its nodes
// come from. Plain data; defaults are those of a file that leaves the key out. Times in ms, sizes in bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::app_config {

struct KindSetup { // of nodes; what they can do serves the estimate of what reaches the ledger
  std::string name;
  double cores = 0, speed = 1; // 0 cores: unknown
  double memory_bytes = 0;     // for values; 0: unknown
};

struct NodeSetup {
  std::string name, address;
  std::optional<std::uint32_t> zone, kind; // none: the first
  double weight = 1;
};

struct FleetSetup {
  std::vector<std::string> zones{"here"};
  std::optional<std::uint32_t> zone; // the router's own
  std::vector<KindSetup> kinds;
  std::optional<std::uint32_t> ledger; // the kind that is asked where the others miss
  std::string discovery, file;         // where the nodes are told; or they are listed
  std::vector<NodeSetup> nodes;
  double delay_ms = 0; // to the farthest node, one way
  double warm_after_ms = 0, start_capacity = 1, tip_after_ms = 0;
  std::size_t weights = 0; // what the weights of the list are worth: WeightKind
};

struct ClassSetup {
  std::string name;
  double aim_ms = 0, give_up_ms = 0; // aim 0: give_up
  double aim_stretch = 0, late_share = 0, worth = 1;
  Idempotency repeat = Idempotency::Idempotent;
  IdempotencyScope scope = IdempotencyScope::All;
  double window_ms = 0;
  std::optional<std::uint32_t> retries; // none: as many as attempts.most allows
  std::optional<double> retry_for_ms;   // none: the window, where there is one
  bool copies = true, write = false;
  double traffic = 1; // of the requests, relative to the other classes
};

struct TenantSetup {
  std::string name;
  double share = 0, quota_per_s = 0;
};

enum class Method { Any, Get, Put };

struct MapSetup { // what a request is, that does not say so itself; the first that fits counts
  std::string path;
  Method method = Method::Any;
  std::uint32_t cls = 0;
  std::optional<std::uint32_t> tenant;
  std::optional<double> timeout_ms;
};

struct AttemptSetup {
  std::uint32_t most = 4;
  bool cancel = true, copies = true;
  double retry_after_ms = 1500; // the longest advice; 0: none
  double connect_ms = 250, idle_ms = 10000;
};

struct LimitSetup {
  std::uint32_t sockets = 1024, memory_mb = 192;
  std::optional<std::uint32_t> open; // requests at once; none: see open_of()
  double grace_ms = 20;              // for an answer beyond its time
  double answer_bytes = 16 << 20, request_bytes = 64 << 10;
  std::string body_folder;
  std::uint32_t body_folder_mb = 64;
};

struct ReportSetup { // of load, that answers carry
  std::vector<std::size_t> fields;
};

struct TierSetup {
  std::uint32_t routers = 1;   // that ask the same nodes
  double over_share_worth = 1; // of a request beyond its tenant's quota
  double tick_ms = 1;
};

struct ResizeSetup { // see ResizeSettings
  double settle_ms = 0, ledger_multiple = 2, second_holder = 0;
};

struct LogSetup {
  std::size_t format = 0; // text, json
  double per_s = 100;
  std::uint32_t burst = 300;
  bool connections = true; // a line for each that ends
};

struct ApplicationSetup {               // beside a sidecar
  std::vector<std::string> environment; // NAME=VALUE
  std::string address_variable = "FERNWARD_ADDRESS";
  std::string runtime_folder; // for claims; empty: the system's
  double ready_ms = 10000;    // for the router to be ready
  double stop_ms = 10000;     // for the application to end
  double restart_first_ms = 100, restart_most_ms = 10000;
};

struct ExpectSetup { // of the load, for the estimate
  double rate_per_s = 0, work_ms = 0;
  std::uint32_t keys = 0;
  double zipf = 1, size_bytes = 0;
  double ledger_per_s = 0;
};

struct App {
  std::string name, listen;
  std::uint64_t seed = 0; // 0: drawn at the start
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

// A node's kind: its own, or the first that is not the ledger's.
inline std::uint32_t kind_of(const FleetSetup& fleet, const NodeSetup& node) {
  const std::uint32_t first = fleet.ledger && *fleet.ledger == 0 && fleet.kinds.size() > 1 ? 1 : 0;
  return node.kind.value_or(first);
}

// What the process takes: with empty tables, for a connection, for an open request without its body.
inline constexpr double kBaseMb = 8, kConnectionKb = 6, kRequestKb = 2;

// Requests that may be open at once: as given, or 20,000 as far as memory holds them.
inline std::uint32_t open_of(const LimitSetup& l) {
  if (l.open) return *l.open;
  const double room_kb = (l.memory_mb - kBaseMb) * 1024 - l.sockets * kConnectionKb;
  return static_cast<std::uint32_t>(room_kb < kRequestKb           ? 1
                                    : room_kb > 20000 * kRequestKb ? 20000
                                                                   : room_kb / kRequestKb);
}

} // namespace fernward::app_config
