// The keys as a JSON schema (draft 2020-12), for editors, and as Markdown, for people: walks through the same
// description as the reader's.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace fernward::app_config {

nlohmann::ordered_json schema();
std::string reference();

// Every code that a finding may have, with its meaning: Markdown.
std::string code_reference();
struct Code {
  const char* code;
  const char* means;
};
const std::vector<Code>& codes();

} // namespace fernward::app_config
