#include "lab/virtual/planted_defect.h"

namespace fernward::lab {
namespace {
constexpr std::uint32_t kMaxFailures = 3; // of a node, until NeverReadmits ejects it
}

void DefectInjector::apply_to_settings(Settings& settings) {
  start_shift_ms_ = settings.slow_start_ms * (1 - 1.0 / settings.router_count);
  if (!injects(PlantedDefect::RepeatsAllClasses)) return;
  for (ClassSettings& cls : settings.classes) cls.idempotency = Idempotency::Idempotent;
}

void DefectInjector::on_restart() { failures_.clear(); }

bool DefectInjector::filter_event(Event& event, std::int32_t origin_kind) {
  if (auto* list = std::get_if<EndpointList>(&event)) {
    for (Server& server : list->servers) {
      if (static_cast<std::int32_t>(server.kind) == origin_kind) origin_servers_.insert(server.id);
      if (injects(PlantedDefect::IgnoresIncarnations)) server.started_at = 0;
      if (injects(PlantedDefect::WarmUpPerRouter) && server.started_at > 0)
        server.started_at -= start_shift_ms_;
      if (injects(PlantedDefect::NeverReadmits) && failures_[server.id] >= kMaxFailures)
        server.state = ServerState::Gone;
    }
  } else if (auto* outcome = std::get_if<AttemptOutcome>(&event)) {
    const AttemptResult result = outcome->result;
    const bool failed = result == AttemptResult::ConnectFailed || result == AttemptResult::Reset ||
                        result == AttemptResult::TimedOut;
    const bool at_origin = origin_servers_.contains(outcome->server);
    if (injects(PlantedDefect::LeaksOriginSlots) && result == AttemptResult::TimedOut && at_origin)
      return false;
    if (injects(PlantedDefect::NeverReadmits) && failed && !at_origin &&
        ++failures_[outcome->server] == kMaxFailures) {
      Server gone;
      gone.id = outcome->server;
      gone.state = ServerState::Gone;
      event = EndpointList{EndpointListKind::Delta, {gone}};
    }
  }
  return true;
}

bool DefectInjector::rejects_request(const Request& request, std::size_t open_requests,
                                     std::size_t class_count) const {
  return injects(PlantedDefect::StarvesLastClass) && class_count > 1 &&
         request.class_index + 1 == class_count && open_requests > 2;
}

} // namespace fernward::lab
