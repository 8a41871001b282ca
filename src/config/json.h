// Parses untrusted JSON with a limit on nesting.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace fernward::config {

constexpr int kMaxNesting = 64; // valid lists and files need less than a tenth of it

// Whether brackets are nested deeper than kMaxNesting; those within strings are ignored. This is a separate
// pass over the text, as a parser callback for every value doubled the cost of a long list.
inline bool exceeds_max_nesting(const std::string& text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i; // the next character is escaped
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxNesting) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

// Returns a discarded value if the text is not JSON or is nested deeper than kMaxNesting. Copying, printing
// and destroying a value recurse for each level, so a few megabytes of brackets would exhaust the stack.
inline nlohmann::json parse_json(const std::string& text) {
  if (exceeds_max_nesting(text)) return {nlohmann::json::value_t::discarded};
  return nlohmann::json::parse(text, nullptr, false);
}

} // namespace fernward::config
