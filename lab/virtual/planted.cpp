#include "lab/virtual/planted.h"

namespace fernward::lab {
namespace {
constexpr std::uint32_t kForgiven = 3; // failures, before NeverForgives
}

void Defect::settings(Settings& settings) {
  warmer_ms_ = settings.warm_after_ms * (1 - 1.0 / settings.nodes);
  if (!is(Planted::SafeWrites)) return;
  for (ClassSettings& cls : settings.classes) cls.repeat = Repeat::Safe;
}

void Defect::restart() { failed_.clear(); }

bool Defect::tell(Event& event, std::int32_t origin) {
  if (auto* list = std::get_if<ServerList>(&event)) {
    for (Server& s : list->servers) {
      if (static_cast<std::int32_t>(s.kind) == origin) origins_.insert(s.id);
      if (is(Planted::ForgetsStarts)) s.booted_at = 0;
      if (is(Planted::ColdByRouter) && s.booted_at > 0) s.booted_at -= warmer_ms_;
      if (is(Planted::NeverForgives) && failed_[s.id] >= kForgiven) s.state = ServerState::Gone;
    }
  } else if (auto* outcome = std::get_if<Outcome>(&event)) {
    const Result r = outcome->result;
    const bool failed = r == Result::ConnectFailed || r == Result::Reset || r == Result::TimedOut;
    const bool at_origin = origins_.contains(outcome->server);
    if (is(Planted::LostPlace) && r == Result::TimedOut && at_origin) return false;
    if (is(Planted::NeverForgives) && failed && !at_origin && ++failed_[outcome->server] == kForgiven) {
      Server gone;
      gone.id = outcome->server;
      gone.state = ServerState::Gone;
      event = ServerList{ListKind::Delta, {gone}};
    }
  }
  return true;
}

bool Defect::refuses(const Request& request, std::size_t open, std::size_t classes) const {
  return is(Planted::StarvesLast) && classes > 1 && request.cls + 1 == classes && open > 2;
}

} // namespace fernward::lab
