// Reads the operators' TOML file on what the routers of a tier share. All errors are collected, each with
// file, line, column and code.
#pragma once

#include <string>
#include <string_view>

#include "config/router_fleet.h"
#include "toml_document/document.h"

namespace fernward::app_config {

struct RouterFleetFile {
  config::RouterFleetConfig fleet; // valid only without errors; lacks the values of the platform file
  toml_document::Diagnostics errors;
};

RouterFleetFile parse_router_fleet(std::string_view text, const std::string& file);
RouterFleetFile load_router_fleet(const std::string& path);

} // namespace fernward::app_config
