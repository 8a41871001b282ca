// What the commands that take an application's file share.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <string>

#include "app_config/read.h"
#include "arguments/arguments.h"

namespace fernward::commands {

inline const char* environment(const char* name) { return std::getenv(name); }

// Prints what is wrong, a line each; false: there is a fault.
inline bool tell(const app_config::Setup& setup) {
  for (const auto& fault : setup.faults) std::fprintf(stderr, "%s\n", fault.coded().c_str());
  return setup.sound();
}

// Of --log-format; empty: as the file says. Throws UsageError.
inline std::string log_format(const cxxopts::ParseResult& parsed) {
  if (parsed.count("log-format") == 0) return "";
  std::string format = parsed["log-format"].as<std::string>();
  if (format != "text" && format != "json") throw arguments::UsageError("--log-format is text or json");
  return format;
}

} // namespace fernward::commands
