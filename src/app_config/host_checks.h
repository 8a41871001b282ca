// Checks an application's configuration against this host: the listen address belongs to the host and is
// free, folders exist, the descriptor limit is sufficient, and files with secrets are not readable by other
// users.
#pragma once

#include "app_config/read.h"

namespace fernward::app_config {

void check_host(LoadedConfig& config, const std::string& file); // adds to config.errors and config.warnings

} // namespace fernward::app_config
