// JSON from outside, as far as it may be nested.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace fernward::config {

constexpr int kMostNested = 64; // no list and no file has a tenth of it

// Discarded where it is no JSON, or nested deeper than that: copies, prints and ends of a value call themselves for each
// level, and a few megabytes of brackets would take the whole stack.
inline nlohmann::json parse_json(const std::string& text) {
  bool deep = false;
  auto parsed = nlohmann::json::parse(
      text,
      [&deep](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        deep |= depth > kMostNested;
        return !deep;
      },
      false);
  return deep ? nlohmann::json(nlohmann::json::value_t::discarded) : parsed;
}

} // namespace fernward::config
