// The keys as a JSON schema (draft 2020-12) for editors, and as a Markdown reference. Both are generated from
// the description that the parser uses.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace fernward::app_config {

nlohmann::ordered_json schema();
std::string reference();

// Markdown table of all diagnostic codes and their meanings.
std::string code_reference();
struct Code {
  const char* code;
  const char* means;
};
const std::vector<Code>& codes();

} // namespace fernward::app_config
