// Answers the operators' calls on the second address.
#pragma once

#include <functional>
#include <string>

#include "admin_overrides/endpoint_overrides.h"
#include "control/call.h"
#include "figures/figures.h"
#include "router/endpoint_updater.h"
#include "router/graceful_shutdown.h"

namespace fernward::router {

struct ControlCallsParts { // of the router; they outlive the calls
  const figures::Figures& figures;
  const GracefulShutdown& shutdown;
  EndpointUpdater& endpoints;
  // An operator has changed an override.
  std::function<void(const admin_overrides::EndpointOverrides::Override&)> on_override;
};

class ControlCalls {
 public:
  explicit ControlCalls(ControlCallsParts parts) : parts_(std::move(parts)) {}

  std::string answer(const control::Call& call); // all lines of the answer, with their ends

 private:
  std::string ready() const;
  std::string override_endpoint(const std::string& name, bool disable);

  ControlCallsParts parts_;
};

} // namespace fernward::router
