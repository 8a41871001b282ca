// The one place that reads the environment and NODE_CONFIG, checks what is there and fills in defaults.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/settings.h"

namespace fernward::config {

// How the log is written.
struct LogRules {
  bool json = false, connections = true;
  double per_second = 100, burst = 300;
};

// Where nodes are told: by discovery, by a file that is watched, or once for all in `known`.
struct Config {
  std::string name, listen, discovery, nodes_file;
  std::string control;  // the operators' address; empty: there is none
  std::string handover; // the path where a process that replaces this one finds it; empty: it can't
  bool nodes_fixed = false;
  std::vector<Mapping> map;
  bool make_ids = false; // for requests without X-Request-ID
  LogRules log;
  bool movable = false; // a reload may change more than `discovery`: see moved()
  std::uint64_t seed = 1;
  std::uint32_t sockets = 1024, memory_mb = 192;
  std::uint32_t answer_bytes = 32 << 20;  // the longest answer that is passed on
  std::uint32_t request_bytes = 32 << 20; // the longest body of a request
  std::string body_folder;                // for bodies beyond what memory keeps; empty: none
  std::uint32_t body_folder_mb = 64;      // for all of them
  nlohmann::json known;                   // the node list as this router had it last; null: none
  nlohmann::json fixed; // the file's keys that hold until the program ends, as they were written
  fernward::Settings settings;
  Names names;
  Limits limits;
};

using Lookup = const char* (*)(const char* name); // std::getenv, or a test's

constexpr std::uint32_t kReserved = 24; // descriptors for all but the connections of clients and targets

// Of a memory limit: what requests that have not come whole may hold, and what bodies and answers on their
// way may.
inline std::size_t buffer_bytes(std::uint64_t memory_mb) { return (memory_mb << 20) / 8; }
inline std::size_t body_bytes(std::uint64_t memory_mb) { return (memory_mb << 20) / 4; }

// What the program starts with: the environment goes before the file.
Config load(Lookup environment);                           // throws Error
Config parse(const std::string& text, Lookup environment); // the file's text; throws Error

// The file read again: its `discovery` goes before the environment, which can't change while the program
// runs.
Config reload(Lookup environment); // throws Error

// Of a configuration that is `movable`: `next` as it can be taken by a router that runs under `now`. Classes
// and tenants keep their numbers; one that `next` has no more stays, and no request can name it. Throws Error
// for the first key that can't change while the router runs; nothing of `next` may count then.
Config moved(const Config& now, Config next);

// The keys, by path, in which a file read again differs from the one before and that a reload can't change.
std::vector<std::string> refused_changes(const Config& before, const Config& after);

} // namespace fernward::config
