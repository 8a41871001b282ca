#include "router/config_reload.h"

#include <stdexcept>
#include <utility>

#include "log/log.h"
#include "router/router_options.h"

namespace fernward::router {

void ConfigReload::reload(const config::Config& new_config) {
  if (parts_.config.reloadable) {
    replace_config(config::merge_reloaded(parts_.config, new_config));
  } else {
    reload_discovery(new_config);
  }
}

void ConfigReload::reload_discovery(const config::Config& new_config) {
  config::Config& config = parts_.config;
  for (const auto& key : config::non_reloadable_changes(config, new_config)) {
    log::line("reload-needs-restart", {{"key", key}});
  }
  if (new_config.discovery_address == config.discovery_address) {
    log::line("reload-discovery-stays", {{"address", config.discovery_address}});
  } else {
    log::line("reload-discovery-moves",
              {{"from", config.discovery_address}, {"to", new_config.discovery_address}});
    config.discovery_address = new_config.discovery_address;
  }
  parts_.endpoints.watch_sources();
}

// Steps that can fail come first.
void ConfigReload::replace_config(config::Config new_config) {
  try {
    parts_.dispatcher.update_settings(new_config.settings);
  } catch (const std::invalid_argument& error) {
    throw config::Error(error.what());
  }
  parts_.listener.update_rules(downstream_rules(new_config));
  parts_.stats.set_class_names(new_config.names.classes);
  apply_log_settings(new_config.log);
  const bool list_changed =
      new_config.static_nodes && new_config.known_endpoints != parts_.config.known_endpoints;
  parts_.config = std::move(new_config);
  if (list_changed) parts_.endpoints.load_configured_list();
  parts_.endpoints.watch_sources();
  log::line("config-reloaded", {{"name", parts_.config.name}});
}

} // namespace fernward::router
