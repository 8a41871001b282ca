// A new file for one application: what it needs is given, everything else stands there as a comment with its
// meaning and its default.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace fernward::app_config {

struct Wishes {
  std::string name = "app", listen = "127.0.0.1:7070";
  std::string discovery, file;    // or the nodes themselves:
  std::vector<std::string> nodes; // "127.0.0.1:9001"
  std::string ledger;             // its address, beside `nodes`
  bool has_ledger = true;         // of discovery or a file: one kind of node is "ledger"
};

std::string fresh(const Wishes& wishes);

// Writes it beside `path` first and renames it: a fault leaves what was there. Throws std::runtime_error.
void save(const std::string& path, const std::string& text);

} // namespace fernward::app_config
