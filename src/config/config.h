// The one place that reads the environment and NODE_CONFIG, checks what is there and fills in defaults.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "config/settings.h"

namespace fernward::config {

struct Config {
  std::string name, listen, discovery;
  std::uint64_t seed = 1;
  std::uint32_t sockets = 1024;
  nlohmann::json known; // the node list as this router had it last; null: none
  fernward::Settings settings;
  Names names;
  Limits limits;
};

using Lookup = const char* (*)(const char* name); // std::getenv, or a test's

Config load(Lookup environment);                           // throws Error
Config parse(const std::string& text, Lookup environment); // the file's text; throws Error

} // namespace fernward::config
