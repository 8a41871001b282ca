// Generates a new application file: required keys have values, all others are comments with their meaning and
// default.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace fernward::app_config {

struct Wishes {
  std::string name = "app", listen = "127.0.0.1:7070";
  std::string discovery, file;    // both empty: `node_addresses`
  std::vector<std::string> nodes; // "127.0.0.1:9001"
  std::string ledger;             // the origin's address, used with `node_addresses`
  bool has_ledger = true;         // with discovery or a file: the node kind "ledger" exists
};

std::string fresh(const Wishes& wishes);

// Writes a temporary file next to `path` and renames it, so that a failure leaves the old file unchanged.
// Throws std::runtime_error.
void save(const std::string& path, const std::string& text);

} // namespace fernward::app_config
