// What a file comes to: each value that counts with where it came from, what the router will do for a request
// of each class, and what another file would change.
#pragma once

#include <string>
#include <vector>

#include "app_config/read.h"

namespace fernward::app_config {

struct Value {
  std::string key, value, from; // "app.toml:12:8", "NODE_LISTEN", "default"
};
std::vector<Value> values(const Setup& setup);

// In plain sentences, a paragraph for each class.
std::string behaviour(const App& app);

struct Change {
  std::string key, before, after; // empty: it is not there
  bool by_reload = false;         // else it holds until the next start
};
std::vector<Change> changes(const App& before, const App& after);

} // namespace fernward::app_config
