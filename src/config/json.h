// JSON from outside, as far as it may be nested.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace fernward::config {

constexpr int kMostNested = 64; // no list and no file has a tenth of it

// Do so many brackets stand in one another? Those within strings do not count. One pass over the text: asking
// the parser at every value made a long list twice as dear.
inline bool too_deep(const std::string& text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i; // the next one is escaped
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMostNested) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

// Discarded where it is no JSON, or nested deeper than that: copies, prints and ends of a value call
// themselves for each level, and a few megabytes of brackets would take the whole stack.
inline nlohmann::json parse_json(const std::string& text) {
  if (too_deep(text)) return {nlohmann::json::value_t::discarded};
  return nlohmann::json::parse(text, nullptr, false);
}

} // namespace fernward::config
