// Helpers of the commands that read an application's file.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <string>

#include "app_config/read.h"
#include "arguments/arguments.h"

namespace fernward::commands {

inline const char* environment_variable(const char* name) { return std::getenv(name); }

// Prints each error on a line of standard error. Returns whether the configuration is valid.
inline bool print_errors(const app_config::LoadedConfig& config) {
  for (const auto& error : config.errors) std::fprintf(stderr, "%s\n", error.to_string_with_code().c_str());
  return config.valid();
}

// The value of --log-format; empty: use the format of the file. Throws UsageError.
inline std::string log_format(const cxxopts::ParseResult& parsed) {
  if (parsed.count("log-format") == 0) return "";
  std::string format = parsed["log-format"].as<std::string>();
  if (format != "text" && format != "json") throw arguments::UsageError("--log-format must be text or json");
  return format;
}

} // namespace fernward::commands
