// The operators' file on what routers of a tier share, read whole: each fault stands with file, line, column and a code.
#pragma once

#include <string>
#include <string_view>

#include "config/fleet.h"
#include "notation/document.h"

namespace fernward::setup {

struct FleetFile {
  config::Fleet fleet; // counts where no fault is left; without what the platform's file says
  notation::Faults faults;
};

FleetFile read_fleet(std::string_view text, const std::string& file);
FleetFile read_fleet_file(const std::string& path);

} // namespace fernward::setup
