// An App as the platform's JSON, which the router starts from (config/config.h reads it).
#pragma once

#include <nlohmann/json.hpp>

#include "setup/app.h"

namespace fernward::setup {

// Keys that the platform does not know (map, nodes_file, ...) are there only where they say something.
nlohmann::json render(const App& app);

} // namespace fernward::setup
