#include "simulator_adapter/settings.h"

#include <nlohmann/json.hpp>

#include "config/settings.h"
#include "simulator_adapter/wire.h"

namespace fernward::simulator_adapter {

Settings parse_settings(std::string_view text) {
  try {
    return fernward::config::parse_settings(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& error) {
    throw BadInput("settings: " + std::string(error.what()));
  } catch (const fernward::config::Error& error) {
    throw BadInput("settings: " + std::string(error.what()));
  }
}

} // namespace fernward::simulator_adapter
