// Explains a configuration: each effective value and its source, the router's behavior for the requests of
// each class, and the differences from another configuration.
#pragma once

#include <string>
#include <vector>

#include "app_config/read.h"

namespace fernward::app_config {

struct Value {
  std::string key, value, from; // "app.toml:12:8", "NODE_LISTEN", "default"
};
std::vector<Value> values(const Setup& setup);

// Text with one paragraph per class.
std::string behaviour(const App& app);

struct Change {
  std::string key, before, after; // empty: the key is absent
  bool by_reload = false;         // false: the change needs a restart
};
std::vector<Change> changes(const App& before, const App& after);

} // namespace fernward::app_config
