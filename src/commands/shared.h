// Helpers of the commands that read an application's file.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <string>

#include "app_config/read.h"
#include "arguments/arguments.h"

namespace fernward::commands {

inline const char* environment(const char* name) { return std::getenv(name); }

// Prints each error on a line of standard error. Returns whether the configuration is valid.
inline bool tell(const app_config::Setup& setup) {
  for (const auto& fault : setup.faults) std::fprintf(stderr, "%s\n", fault.coded().c_str());
  return setup.sound();
}

// The value of --log-format; empty: use the format of the file. Throws UsageError.
inline std::string log_format(const cxxopts::ParseResult& parsed) {
  if (parsed.count("log-format") == 0) return "";
  std::string format = parsed["log-format"].as<std::string>();
  if (format != "text" && format != "json") throw arguments::UsageError("--log-format must be text or json");
  return format;
}

} // namespace fernward::commands
