#include "router/control_calls.h"

#include "log/log.h"
#include "loop/timer_queue.h"

namespace fernward::router {

std::string ControlCalls::answer(const control::Call& call) {
  switch (call.command) {
    case control::Command::Ready: return ready();
    case control::Command::ShowStat: return parts_.figures.lines() + "eof\n";
    case control::Command::DisableServer: return override_endpoint(call.endpoint, true);
    case control::Command::EnableServer: return override_endpoint(call.endpoint, false);
  }
  return "fail unknown call\n";
}

std::string ControlCalls::ready() const {
  if (parts_.shutdown.has_begun()) return "fail winding down\n";
  return parts_.endpoints.ready() ? "ok\n" : "fail no node in service is known\n";
}

std::string ControlCalls::override_endpoint(const std::string& name, bool disable) {
  using Result = admin_overrides::EndpointOverrides::Result;
  admin_overrides::EndpointOverrides& overrides = parts_.endpoints.overrides();
  const bool was_disabled = overrides.is_disabled(name);
  const Result result = disable ? overrides.disable(name) : overrides.enable(loop::now_ms(), name);
  if (result == Result::UnknownEndpoint) return "fail " + name + " was never listed as a cache node\n";
  if (result == Result::TooManyDisabled) return "fail too many cache nodes are out\n";
  if (was_disabled != disable) {
    log::line(disable ? "endpoint-disabled" : "endpoint-enabled", {{"node", name}});
    parts_.endpoints.refresh(name);
    parts_.on_override(overrides.find(name));
  }
  return "ok\n";
}

} // namespace fernward::router
