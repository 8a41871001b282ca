#include "lab/virtual/planted.h"

namespace fernward::lab {
namespace {
constexpr std::uint32_t kForgiven = 3; // of a node, before NeverReadmits ejects it
}

void Defect::settings(Settings& settings) {
  warmer_ms_ = settings.slow_start_ms * (1 - 1.0 / settings.router_count);
  if (!is(Planted::SafeWrites)) return;
  for (ClassSettings& cls : settings.classes) cls.idempotency = Idempotency::Idempotent;
}

void Defect::restart() { failed_.clear(); }

bool Defect::tell(Event& event, std::int32_t origin) {
  if (auto* list = std::get_if<EndpointList>(&event)) {
    for (Server& s : list->servers) {
      if (static_cast<std::int32_t>(s.kind) == origin) origins_.insert(s.id);
      if (is(Planted::ForgetsStarts)) s.started_at = 0;
      if (is(Planted::ColdByRouter) && s.started_at > 0) s.started_at -= warmer_ms_;
      if (is(Planted::NeverForgives) && failed_[s.id] >= kForgiven) s.state = ServerState::Gone;
    }
  } else if (auto* outcome = std::get_if<AttemptOutcome>(&event)) {
    const AttemptResult r = outcome->result;
    const bool failed =
        r == AttemptResult::ConnectFailed || r == AttemptResult::Reset || r == AttemptResult::TimedOut;
    const bool at_origin = origins_.contains(outcome->server);
    if (is(Planted::LostPlace) && r == AttemptResult::TimedOut && at_origin) return false;
    if (is(Planted::NeverForgives) && failed && !at_origin && ++failed_[outcome->server] == kForgiven) {
      Server gone;
      gone.id = outcome->server;
      gone.state = ServerState::Gone;
      event = EndpointList{EndpointListKind::Delta, {gone}};
    }
  }
  return true;
}

bool Defect::refuses(const Request& request, std::size_t open, std::size_t classes) const {
  return is(Planted::StarvesLast) && classes > 1 && request.class_index + 1 == classes && open > 2;
}

} // namespace fernward::lab
