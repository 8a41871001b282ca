// Reads the operators' TOML file on what the routers of a tier share. All errors are collected, each with
// file, line, column and code.
#pragma once

#include <string>
#include <string_view>

#include "config/fleet.h"
#include "toml_document/document.h"

namespace fernward::app_config {

struct FleetFile {
  config::Fleet fleet; // valid only without errors; lacks the values of the platform file
  toml_document::Faults faults;
};

FleetFile read_fleet(std::string_view text, const std::string& file);
FleetFile read_fleet_file(const std::string& path);

} // namespace fernward::app_config
