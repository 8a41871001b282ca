// An App as the platform's JSON, which the router starts from (config/config.h reads it).
#pragma once

#include <nlohmann/json.hpp>

#include "app_config/app.h"

namespace fernward::app_config {

// Keys that the platform does not know (map, nodes_file, ...) are there only where they say something.
nlohmann::json render(const App& app);

} // namespace fernward::app_config
