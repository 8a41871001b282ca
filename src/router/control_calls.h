// Executes the operators' commands from the control port.
#pragma once

#include <functional>
#include <string>

#include "admin_overrides/endpoint_overrides.h"
#include "control/call.h"
#include "figures/figures.h"
#include "router/endpoint_updater.h"
#include "router/graceful_shutdown.h"

namespace fernward::router {

struct ControlCallsParts { // owned by the router; must outlive the handler
  const figures::Figures& figures;
  const GracefulShutdown& shutdown;
  EndpointUpdater& endpoints;
  // Called after an operator has changed an override.
  std::function<void(const admin_overrides::EndpointOverrides::Override&)> on_override;
};

class ControlCalls {
 public:
  explicit ControlCalls(ControlCallsParts parts) : parts_(std::move(parts)) {}

  std::string answer(const control::Call& call); // returns the response, each line terminated

 private:
  std::string ready() const;
  std::string override_endpoint(const std::string& name, bool disable);

  ControlCallsParts parts_;
};

} // namespace fernward::router
