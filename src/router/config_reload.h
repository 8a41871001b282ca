// What SIGHUP asks for: the configuration as it reads now. Connections, requests and the endpoint list stay.
//
// Of the platform's configuration only `discovery` changes; each other key that differs is logged and holds
// until the next start. Of an application's (`movable`) all changes that config::moved() lets pass, or
// nothing.
#pragma once

#include "config/config.h"
#include "downstream/listener.h"
#include "figures/figures.h"
#include "proxy/request_dispatcher.h"
#include "router/endpoint_updater.h"

namespace fernward::router {

struct ConfigReloadParts { // of the router; they outlive the reload
  config::Config& config;  // the one in use
  proxy::RequestDispatcher& dispatcher;
  downstream::Listener& listener;
  figures::Figures& figures;
  EndpointUpdater& endpoints;
};

class ConfigReload {
 public:
  explicit ConfigReload(ConfigReloadParts parts) : parts_(parts) {}

  // Throws config::Error where `next` changes what may not change or has a fault; nothing has changed then.
  void reload(const config::Config& next);

 private:
  void reload_discovery(const config::Config& next);
  void replace_config(config::Config next);

  ConfigReloadParts parts_;
};

} // namespace fernward::router
