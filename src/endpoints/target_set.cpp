#include "endpoints/target_set.h"

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
bool goes_before(const Endpoint& a, const Endpoint& b) {
  const bool a_in_service = a.entry.state == ServerState::Ready;
  const bool b_in_service = b.entry.state == ServerState::Ready;
  return a_in_service != b_in_service ? a_in_service : a.name < b.name;
}

} // namespace

const Endpoint* TargetSet::holder(fernward::ServerId id) const {
  const auto found = holders_.find(id);
  return found == holders_.end() ? nullptr : &found->second;
}

const Endpoint* TargetSet::find(const std::string& name) const {
  const fernward::ServerId id = id_of(name);
  const Endpoint* held = holder(id);
  if (held != nullptr && held->name == name) return held;
  const auto [first, last] = waiting_.equal_range(id);
  const auto found =
      std::find_if(first, last, [&name](const auto& item) { return item.second.name == name; });
  return found == last ? nullptr : &found->second;
}

bool TargetSet::is_in_service(fernward::ServerId id) const {
  const Endpoint* held = holder(id);
  return held != nullptr && held->entry.state == ServerState::Ready;
}

void TargetSet::put(const Endpoint& target) {
  in_service_ -= is_in_service(target.entry.id);
  replace(target);
  in_service_ += is_in_service(target.entry.id);
}

void TargetSet::replace(const Endpoint& target) {
  const fernward::ServerId id = target.entry.id;
  const auto [it, added] = holders_.try_emplace(id, target);
  if (it->second.name != target.name || waiting_.contains(id)) return contend(target);
  if (target.entry.state == ServerState::Gone) {
    holders_.erase(it);
  } else if (!added) {
    it->second = target;
  }
}

// Removes all endpoints with this id, and adds them again together with the new one in order of precedence.
void TargetSet::contend(const Endpoint& target) {
  const fernward::ServerId id = target.entry.id;
  std::vector<Endpoint> contenders;
  contenders.push_back(std::move(holders_.extract(id).mapped()));
  while (auto waiting = waiting_.extract(id)) contenders.push_back(std::move(waiting.mapped()));
  std::erase_if(contenders, [&target](const Endpoint& other) { return other.name == target.name; });
  if (target.entry.state != ServerState::Gone) contenders.push_back(target);
  if (contenders.empty()) return;
  std::sort(contenders.begin(), contenders.end(), goes_before);
  if (contenders.size() > 1) {
    log::line("endpoint-id-collision",
              {{"a", contenders[0].name}, {"b", contenders[1].name}, {"number", id}});
  }
  for (std::size_t i = 1; i < contenders.size(); ++i) waiting_.emplace(id, std::move(contenders[i]));
  holders_.emplace(id, std::move(contenders[0]));
}

} // namespace fernward::endpoints
