#include "simulator_adapter/simulator_adapter.h"

#include "simulator_adapter/settings.h"

namespace fernward::simulator_adapter {

const std::string& SimulatorAdapter::answer(std::string_view frame) {
  const BatchHeader header = read_header(frame);
  if (header.length != frame.size()) throw BadInput("wrong frame length " + std::to_string(header.length));
  Reader in(frame.substr(kBatchHeader));
  reply_.begin(header.number);
  for (std::uint32_t i = 0; i < header.records; ++i) take(read_record(in), header.now);
  if (in.left() != 0) throw BadInput(std::to_string(in.left()) + " unexpected bytes after the last record");
  return reply_.finish();
}

Balancer& SimulatorAdapter::balancer(std::uint16_t instance) {
  const auto found = balancers_.find(instance);
  if (found == balancers_.end())
    throw BadInput("event received for instance " + std::to_string(instance) + " before its Boot record");
  return found->second;
}

void SimulatorAdapter::take(const Record& record, double now) {
  if (const auto* roster = std::get_if<Roster>(&record.body)) {
    lists_[roster->slot] = roster->servers;
  } else if (const auto* boot = std::get_if<Boot>(&record.body)) {
    balancers_.insert_or_assign(record.instance, Balancer(parse_settings(boot->settings), boot->seed));
  } else if (std::holds_alternative<Teardown>(record.body)) {
    balancers_.erase(record.instance);
  } else if (!std::holds_alternative<Ignored>(record.body)) {
    Balancer& target = balancer(record.instance);
    actions_.clear();
    if (const auto* announce = std::get_if<Announce>(&record.body)) {
      EndpointList list{announce->kind, {}};
      if (announce->kind != EndpointListKind::Failed) {
        if (announce->slot >= lists_.size() || !lists_[announce->slot]) {
          throw BadInput("list number " + std::to_string(announce->slot) +
                         " was announced but not sent before");
        }
        list.servers = *lists_[announce->slot];
      }
      target.on_event(now, list, actions_);
    } else {
      target.on_event(now, std::get<Event>(record.body), actions_);
    }
    for (const Action& action : actions_) reply_.add(record.instance, action);
  }
}

} // namespace fernward::simulator_adapter
