// Reads the environment and the platform file (NODE_CONFIG), validates them and fills in defaults. No other
// code reads them.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/settings.h"

namespace fernward::config {

// Format and rate limit of the log.
struct LogRules {
  bool json = false, connections = true;
  double per_second = 100, burst = 300;
};

// The configuration of a router. The endpoint list comes from discovery, from a watched file, or from
// `known_endpoints` alone.
struct Config {
  std::string name, listen, discovery, nodes_file;
  std::string control;  // listen address of the admin port; empty: none
  std::string handover; // socket path for a hot restart; empty: not possible
  bool nodes_fixed = false;
  std::vector<Mapping> map;
  bool make_ids = false; // for requests without X-Request-ID
  LogRules log;
  bool movable = false; // a reload may change more than `discovery`: see merge_reloaded()
  std::uint64_t seed = 1;
  std::uint32_t sockets = 1024, memory_mb = 192;
  std::uint32_t answer_bytes = 32 << 20;  // the longest response that is forwarded
  std::uint32_t request_bytes = 32 << 20; // the longest request body
  std::string body_folder;                // for bodies that exceed the buffer budget; empty: no spill
  std::uint32_t body_folder_mb = 64;      // total size of spilled bodies
  nlohmann::json known;                   // the last endpoint list of this router; null: none
  nlohmann::json fixed; // the keys of the file that are fixed until the process ends, as written
  fernward::Settings settings;
  Names names;
  Limits limits;
};

using Lookup = const char* (*)(const char* name); // std::getenv, or a replacement in tests

constexpr std::uint32_t kReserved = 24; // descriptors not used for connections of clients and servers

// Parts of the memory limit: for requests that are incomplete, and for bodies and responses that are being
// forwarded.
inline std::size_t buffer_bytes(std::uint64_t memory_mb) { return (memory_mb << 20) / 8; }
inline std::size_t body_bytes(std::uint64_t memory_mb) { return (memory_mb << 20) / 4; }

// The configuration at startup. The environment has precedence over the file.
Config load(Lookup environment);                           // throws Error
Config parse(const std::string& text, Lookup environment); // the file's text; throws Error

// Reads the file again. Its `discovery` has precedence over the environment, which can't change while the
// process runs.
Config reload(Lookup environment); // throws Error

// For a `reloadable` configuration: `next` in the form that a router running with `current` can apply.
// Classes and tenants keep their indexes; those absent from `next` are kept under names that no request can
// carry. Throws Error for the first key that can't change while the router runs; then nothing of `next` may
// be applied.
Config moved(const Config& now, Config next);

// The paths of the keys that differ between two versions of the file and that a reload can't change.
std::vector<std::string> refused_changes(const Config& before, const Config& after);

} // namespace fernward::config
