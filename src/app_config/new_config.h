// Generates a new application file: required keys have values, all others are comments with their meaning and
// default.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace fernward::app_config {

struct NewConfigOptions {
  std::string name = "app", listen_address = "127.0.0.1:7070";
  std::string discovery_address, nodes_file; // both empty: `node_addresses`
  std::vector<std::string> node_addresses;   // "127.0.0.1:9001"
  std::string origin_address;                // the origin's address, used with `node_addresses`
  bool has_origin = true;                    // with discovery or a file: the node kind "ledger" exists
};

std::string new_config_text(const NewConfigOptions& options);

// Writes a temporary file next to `path` and renames it, so that a failure leaves the old file unchanged.
// Throws std::runtime_error.
void write_atomically(const std::string& path, const std::string& text);

} // namespace fernward::app_config
