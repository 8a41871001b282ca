// Applies a new configuration on SIGHUP. Connections, requests and the endpoint list are kept.
//
// Of a platform configuration only `discovery` is changed; every other key that differs is logged and keeps
// its value until the next start. Of an application's configuration (Config::reloadable) either all changes
// are applied, if config::merge_reloaded() accepts them, or none.
#pragma once

#include "config/config.h"
#include "downstream/listener.h"
#include "figures/router_stats.h"
#include "proxy/request_dispatcher.h"
#include "router/endpoint_updater.h"

namespace fernward::router {

struct ConfigReloadParts { // owned by the router; must outlive ConfigReload
  config::Config& config;  // the current configuration; updated by a reload
  proxy::RequestDispatcher& dispatcher;
  downstream::Listener& listener;
  figures::RouterStats& stats;
  EndpointUpdater& endpoints;
};

class ConfigReload {
 public:
  explicit ConfigReload(ConfigReloadParts parts) : parts_(parts) {}

  // Throws config::Error if `new_config` is invalid or changes a key that can't be changed; nothing is
  // changed then.
  void reload(const config::Config& new_config);

 private:
  void reload_discovery(const config::Config& new_config);
  void replace_config(config::Config new_config);

  ConfigReloadParts parts_;
};

} // namespace fernward::router
