#include "upstream/free_connections.h"

#include <algorithm>

namespace fernward::upstream {

using loop::Handle;

void FreeConnections::track(UpstreamConnection& connection) {
  connection.age_entry = connection.age_node.insert(connection.age_node.end(), connection.handle);
}

void FreeConnections::add(UpstreamConnection& connection) {
  by_endpoint_[connection.endpoint.id].push_back(connection.handle);
  by_age_.splice(by_age_.end(), connection.age_node);
}

void FreeConnections::add_by_idle_time(UpstreamConnection& connection) {
  add(connection);
  std::vector<Handle>& handles = by_endpoint_[connection.endpoint.id];
  const auto place = std::find_if(handles.begin(), handles.end(), [&](Handle handle) {
    const UpstreamConnection* const other = connections_.find(handle);
    return other != nullptr && other->idle.became_idle_at_ms > connection.idle.became_idle_at_ms;
  });
  if (place != handles.end()) std::rotate(place, handles.end() - 1, handles.end());
}

void FreeConnections::remove(UpstreamConnection& connection) {
  std::list<Handle>& node = connection.age_node;
  if (!node.empty()) return;
  node.splice(node.begin(), by_age_, connection.age_entry);
  std::erase(by_endpoint_.at(connection.endpoint.id), connection.handle);
}

void FreeConnections::forget(fernward::ServerId endpoint) {
  const auto found = by_endpoint_.find(endpoint);
  if (found != by_endpoint_.end() && found->second.empty()) by_endpoint_.erase(found);
}

const std::vector<Handle>& FreeConnections::of(fernward::ServerId endpoint) const {
  static const std::vector<Handle> none;
  const auto found = by_endpoint_.find(endpoint);
  return found == by_endpoint_.end() ? none : found->second;
}

UpstreamConnection* FreeConnections::oldest() {
  return by_age_.empty() ? nullptr : connections_.find(by_age_.front());
}

} // namespace fernward::upstream
