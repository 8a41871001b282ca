#include "simulator_adapter/simulator_adapter.h"

#include "simulator_adapter/settings.h"

namespace fernward::simulator_adapter {

const std::string& SimulatorAdapter::process_batch(std::string_view frame) {
  const BatchHeader header = read_header(frame);
  if (header.frame_bytes != frame.size())
    throw BadInput("wrong frame length " + std::to_string(header.frame_bytes));
  Reader reader(frame.substr(kBatchHeaderBytes));
  reply_.begin(header.batch_number);
  for (std::uint32_t i = 0; i < header.record_count; ++i) handle_record(read_record(reader), header.now_ms);
  if (reader.remaining() != 0)
    throw BadInput(std::to_string(reader.remaining()) + " unexpected bytes after the last record");
  return reply_.finish();
}

Balancer& SimulatorAdapter::balancer(std::uint16_t instance) {
  const auto found = balancers_.find(instance);
  if (found == balancers_.end())
    throw BadInput("event received for instance " + std::to_string(instance) + " before its Boot record");
  return found->second;
}

void SimulatorAdapter::handle_record(const Record& record, double now_ms) {
  if (const auto* server_list = std::get_if<ServerList>(&record.body)) {
    lists_[server_list->list_number] = server_list->servers;
  } else if (const auto* boot = std::get_if<Boot>(&record.body)) {
    balancers_.insert_or_assign(record.instance, Balancer(parse_settings(boot->settings), boot->seed));
  } else if (std::holds_alternative<Teardown>(record.body)) {
    balancers_.erase(record.instance);
  } else if (!std::holds_alternative<IgnoredRecord>(record.body)) {
    Balancer& target = balancer(record.instance);
    actions_.clear();
    if (const auto* announcement = std::get_if<ListAnnouncement>(&record.body)) {
      EndpointList list{announcement->kind, {}};
      if (announcement->kind != EndpointListKind::Failed) {
        if (announcement->list_number >= lists_.size() || !lists_[announcement->list_number]) {
          throw BadInput("list number " + std::to_string(announcement->list_number) +
                         " was announced but not sent before");
        }
        list.servers = *lists_[announcement->list_number];
      }
      target.on_event(now_ms, list, actions_);
    } else {
      target.on_event(now_ms, std::get<Event>(record.body), actions_);
    }
    for (const Action& action : actions_) reply_.add(record.instance, action);
  }
}

} // namespace fernward::simulator_adapter
