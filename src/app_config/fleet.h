// The operators' file on what routers of a tier share, read whole: each fault stands with file, line, column
// and a code.
#pragma once

#include <string>
#include <string_view>

#include "config/fleet.h"
#include "toml_document/document.h"

namespace fernward::app_config {

struct FleetFile {
  config::Fleet fleet; // counts where no fault is left; without what the platform's file says
  toml_document::Faults faults;
};

FleetFile read_fleet(std::string_view text, const std::string& file);
FleetFile read_fleet_file(const std::string& path);

} // namespace fernward::app_config
