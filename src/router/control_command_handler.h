// Executes the operators' commands from the control port.
#pragma once

#include <functional>
#include <string>

#include "admin_overrides/endpoint_overrides.h"
#include "control/control_command.h"
#include "figures/router_stats.h"
#include "router/endpoint_updater.h"
#include "router/graceful_shutdown.h"

namespace fernward::router {

struct ControlCommandHandlerParts { // owned by the router; must outlive the handler
  const figures::RouterStats& stats;
  const GracefulShutdown& shutdown;
  EndpointUpdater& endpoints;
  // Called after an operator has changed an override.
  std::function<void(const admin_overrides::EndpointOverrides::Override&)> on_override_changed;
};

class ControlCommandHandler {
 public:
  explicit ControlCommandHandler(ControlCommandHandlerParts parts) : parts_(std::move(parts)) {}

  std::string handle(const control::ControlCommand& command); // returns the response, each line terminated

 private:
  std::string ready_response() const;
  std::string override_endpoint(const std::string& name, bool disable);

  ControlCommandHandlerParts parts_;
};

} // namespace fernward::router
