// Reads the balancer's settings from the JSON text of a Boot record.
#pragma once

#include <string_view>

#include "fernward/balancer.h"

namespace fernward::simulator_adapter {

// Unknown keys are ignored. Throws BadInput if the text is not valid JSON, or if a required key is missing or
// has the wrong type.
Settings parse_settings(std::string_view text);

} // namespace fernward::simulator_adapter
