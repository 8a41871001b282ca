#include "router/config_reload.h"

#include <stdexcept>
#include <utility>

#include "log/log.h"
#include "router/router_options.h"

namespace fernward::router {

void ConfigReload::reload(const config::Config& next) {
  if (parts_.config.movable) {
    replace_config(config::moved(parts_.config, next));
  } else {
    reload_discovery(next);
  }
}

void ConfigReload::reload_discovery(const config::Config& next) {
  config::Config& config = parts_.config;
  for (const auto& key : config::refused_changes(config, next)) {
    log::line("reload-needs-restart", {{"key", key}});
  }
  if (next.discovery == config.discovery) {
    log::line("reload-discovery-stays", {{"address", config.discovery}});
  } else {
    log::line("reload-discovery-moves", {{"from", config.discovery}, {"to", next.discovery}});
    config.discovery = next.discovery;
  }
  parts_.endpoints.watch_sources();
}

// Steps that can fail come first.
void ConfigReload::replace_config(config::Config next) {
  try {
    parts_.dispatcher.update_settings(next.settings);
  } catch (const std::invalid_argument& fault) {
    throw config::Error(fault.what());
  }
  parts_.listener.change(downstream_rules(next));
  parts_.figures.name(next.names.classes);
  apply_log_rules(next.log);
  const bool new_list = next.nodes_fixed && next.known != parts_.config.known;
  parts_.config = std::move(next);
  if (new_list) parts_.endpoints.load_configured_list();
  parts_.endpoints.watch_sources();
  log::line("config-reloaded", {{"name", parts_.config.name}});
}

} // namespace fernward::router
