// Start-up settings from the wire's JSON.
#pragma once

#include <string_view>

#include "fernward/balancer.h"

namespace fernward::simulator_adapter {

// Unknown keys are passed over. Throws BadInput when the text is not JSON or a needed key is missing or of
// the wrong type.
Settings parse_settings(std::string_view text);

} // namespace fernward::simulator_adapter
