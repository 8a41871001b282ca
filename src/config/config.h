// Reads the environment and the platform file (NODE_CONFIG), validates them and fills in defaults. No other
// code reads them.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/settings.h"

namespace fernward::config {

// Format and rate limit of the log.
struct LogSettings {
  bool json = false, log_connections = true;
  double lines_per_s = 100, burst_lines = 300;
};

// The configuration of a router. The endpoint list comes from discovery, from a watched file, or from
// `known_endpoints` alone.
struct Config {
  std::string name, listen_address, discovery_address, nodes_file;
  std::string control_address;  // listen address of the admin port; empty: none
  std::string hot_restart_path; // socket path for a hot restart; empty: not possible
  bool static_nodes = false;
  std::vector<Mapping> mappings;
  bool generate_request_ids = false; // for requests without X-Request-ID
  LogSettings log;
  bool reloadable = false; // a reload may change more than `discovery`: see merge_reloaded()
  std::uint64_t seed = 1;
  std::uint32_t max_descriptors = 1024, memory_mb = 192;
  std::uint32_t max_response_bytes = 32 << 20; // the longest response that is forwarded
  std::uint32_t max_request_bytes = 32 << 20;  // the longest request body
  std::uint32_t reuse_delay_ms = 25; // of a server connection, see ConnectionPoolOptions::reuse_delay_ms
  std::string spill_folder;          // for bodies that exceed the buffer budget; empty: no spill
  std::uint32_t spill_limit_mb = 64; // total size of spilled bodies
  nlohmann::json known_endpoints;    // the last endpoint list of this router; null: none
  nlohmann::json static_keys;        // the keys of the file that are fixed until the process ends, as written
  fernward::Settings settings;
  Names names;
  Limits limits;
};

using EnvironmentLookup = const char* (*)(const char* name); // std::getenv, or a replacement in tests

// Descriptors that are not used for connections of clients and servers.
constexpr std::uint32_t kReservedDescriptors = 24;

// Parts of the memory limit: for requests that are incomplete, and for bodies and responses that are being
// forwarded.
inline std::size_t request_buffer_limit_bytes(std::uint64_t memory_mb) { return (memory_mb << 20) / 8; }
inline std::size_t body_buffer_limit_bytes(std::uint64_t memory_mb) { return (memory_mb << 20) / 4; }

// The configuration at startup. The environment has precedence over the file.
Config load(EnvironmentLookup environment);                           // throws Error
Config parse(const std::string& text, EnvironmentLookup environment); // the file's text; throws Error

// Reads the file again. Its `discovery` has precedence over the environment, which can't change while the
// process runs.
Config reload(EnvironmentLookup environment); // throws Error

// For a `reloadable` configuration: `next` in the form that a router running with `current` can apply.
// Classes and tenants keep their indexes; those absent from `next` are kept under names that no request can
// carry. Throws Error for the first key that can't change while the router runs; then nothing of `next` may
// be applied.
Config merge_reloaded(const Config& current, Config next);

// The paths of the keys that differ between two versions of the file and that a reload can't change.
std::vector<std::string> non_reloadable_changes(const Config& before, const Config& after);

} // namespace fernward::config
