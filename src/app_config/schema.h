// The keys as a JSON schema (draft 2020-12) for editors, and as a Markdown reference. Both are generated from
// the description that the parser uses.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace fernward::app_config {

nlohmann::ordered_json json_schema();
std::string markdown_reference();

// Markdown table of all diagnostic codes and their meanings.
std::string markdown_code_reference();
struct DiagnosticCode {
  const char* code;
  const char* meaning;
};
const std::vector<DiagnosticCode>& diagnostic_codes();

} // namespace fernward::app_config
