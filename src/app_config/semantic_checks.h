// Semantic checks of a configuration. Checks against this host are made by check_host().
#pragma once

#include <set>
#include <string>

#include "app_config/read.h"

namespace fernward::app_config {

// Adds to config.errors and config.warnings. `invalid_members`: members whose values could not be read;
// checks that depend on them are skipped.
void check_semantics(LoadedConfig& config, const std::string& file,
                     const std::set<std::string>& invalid_members);

} // namespace fernward::app_config
