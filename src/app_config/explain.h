// Explains a configuration: each effective value and its source, the router's behavior for the requests of
// each class, and the differences from another configuration.
#pragma once

#include <string>
#include <vector>

#include "app_config/read.h"

namespace fernward::app_config {

struct ExplainedValue {
  std::string key, value, source; // "app.toml:12:8", "NODE_LISTEN", "default"
};
std::vector<ExplainedValue> explain_values(const LoadedConfig& config);

// Text with one paragraph per class.
std::string describe_behavior(const AppConfig& app);

struct Change {
  std::string key, before, after; // empty: the key is absent
  bool reloadable = false;        // false: the change needs a restart
};
std::vector<Change> compare(const AppConfig& before, const AppConfig& after);

} // namespace fernward::app_config
