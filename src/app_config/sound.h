// Checks of sense: what reads well and still would not do. No look at this machine, see app_config/host.h.
#pragma once

#include <set>
#include <string>

#include "app_config/read.h"

namespace fernward::app_config {

// Adds to setup.faults and setup.warnings. `broken`: members whose values could not be read; nothing is
// concluded from those.
void check_sound(Setup& setup, const std::string& file, const std::set<std::string>& broken);

} // namespace fernward::app_config
