#include "router/control_command_handler.h"

#include "log/log.h"
#include "loop/timer_queue.h"

namespace fernward::router {

std::string ControlCommandHandler::handle(const control::ControlCommand& command) {
  switch (command.type) {
    case control::CommandType::Ready: return ready_response();
    case control::CommandType::ShowStat: return parts_.stats.to_text() + "eof\n";
    case control::CommandType::DisableServer: return override_endpoint(command.endpoint_name, true);
    case control::CommandType::EnableServer: return override_endpoint(command.endpoint_name, false);
  }
  return "fail unknown call\n";
}

std::string ControlCommandHandler::ready_response() const {
  if (parts_.shutdown.has_begun()) return "fail winding down\n";
  return parts_.endpoints.is_ready() ? "ok\n" : "fail no node in service is known\n";
}

std::string ControlCommandHandler::override_endpoint(const std::string& name, bool disable) {
  using Result = admin_overrides::EndpointOverrides::Result;
  admin_overrides::EndpointOverrides& overrides = parts_.endpoints.overrides();
  const bool was_disabled = overrides.is_disabled(name);
  const Result result = disable ? overrides.disable(name) : overrides.enable(loop::now_ms(), name);
  if (result == Result::UnknownEndpoint) return "fail " + name + " was never listed as a cache node\n";
  if (result == Result::TooManyDisabled) return "fail too many cache nodes are out\n";
  if (was_disabled != disable) {
    log::line(disable ? "endpoint-disabled" : "endpoint-enabled", {{"node", name}});
    parts_.endpoints.refresh_endpoint(name);
    parts_.on_override_changed(overrides.find(name));
  }
  return "ok\n";
}

} // namespace fernward::router
