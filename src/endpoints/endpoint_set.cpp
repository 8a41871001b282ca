#include "endpoints/endpoint_set.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "log/log.h"

namespace fernward::endpoints {
namespace {

using fernward::ServerState;

// Decides which of two endpoints with the same id uses it; the result is the same on every router. An
// endpoint in service comes first, so that the drain of one does not remove the other from service; then the
// lesser name.
bool has_precedence(const Endpoint& a, const Endpoint& b) {
  const bool a_in_service = a.server.state == ServerState::Ready;
  const bool b_in_service = b.server.state == ServerState::Ready;
  return a_in_service != b_in_service ? a_in_service : a.name < b.name;
}

} // namespace

const Endpoint* EndpointSet::find_by_id(fernward::ServerId id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &found->second;
}

const Endpoint* EndpointSet::find(const std::string& name) const {
  const fernward::ServerId id = id_of(name);
  const Endpoint* id_owner = find_by_id(id);
  if (id_owner != nullptr && id_owner->name == name) return id_owner;
  const auto [first, last] = waiting_.equal_range(id);
  const auto found =
      std::find_if(first, last, [&name](const auto& item) { return item.second.name == name; });
  return found == last ? nullptr : &found->second;
}

bool EndpointSet::is_in_service(fernward::ServerId id) const {
  const Endpoint* id_owner = find_by_id(id);
  return id_owner != nullptr && id_owner->server.state == ServerState::Ready;
}

void EndpointSet::update(const Endpoint& endpoint) {
  in_service_count_ -= is_in_service(endpoint.server.id);
  store(endpoint);
  in_service_count_ += is_in_service(endpoint.server.id);
}

void EndpointSet::store(const Endpoint& endpoint) {
  const fernward::ServerId id = endpoint.server.id;
  const auto [it, added] = by_id_.try_emplace(id, endpoint);
  if (it->second.name != endpoint.name || waiting_.contains(id)) return resolve_id_collision(endpoint);
  if (endpoint.server.state == ServerState::Gone) {
    by_id_.erase(it);
  } else if (!added) {
    it->second = endpoint;
  }
}

// Removes all endpoints with this id, and adds them again together with the new one in order of precedence.
void EndpointSet::resolve_id_collision(const Endpoint& endpoint) {
  const fernward::ServerId id = endpoint.server.id;
  std::vector<Endpoint> candidates;
  candidates.push_back(std::move(by_id_.extract(id).mapped()));
  while (auto waiting_node = waiting_.extract(id)) candidates.push_back(std::move(waiting_node.mapped()));
  std::erase_if(candidates, [&endpoint](const Endpoint& other) { return other.name == endpoint.name; });
  if (endpoint.server.state != ServerState::Gone) candidates.push_back(endpoint);
  if (candidates.empty()) return;
  std::sort(candidates.begin(), candidates.end(), has_precedence);
  if (candidates.size() > 1) {
    log::line("endpoint-id-collision",
              {{"a", candidates[0].name}, {"b", candidates[1].name}, {"number", id}});
  }
  for (std::size_t i = 1; i < candidates.size(); ++i) waiting_.emplace(id, std::move(candidates[i]));
  by_id_.emplace(id, std::move(candidates[0]));
}

} // namespace fernward::endpoints
