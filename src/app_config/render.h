// Renders an AppConfig as the platform JSON with which the router starts (parsed by config/config.h).
#pragma once

#include <nlohmann/json.hpp>

#include "app_config/app.h"

namespace fernward::app_config {

// Keys unknown to the platform (map, nodes_file, ...) are included only if they are not at their defaults.
nlohmann::json to_platform_json(const AppConfig& app);

} // namespace fernward::app_config
