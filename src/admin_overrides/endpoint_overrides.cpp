#include "admin_overrides/endpoint_overrides.h"

#include <algorithm>

namespace fernward::admin_overrides {

EndpointOverrides::Entry& EndpointOverrides::find_or_add(const std::string& name) {
  return entries_.try_emplace(name).first->second;
}

void EndpointOverrides::track_if_unlisted(const std::string& name, Entry& entry) {
  if (entry.listed || entry.disabled || entry.in_unlisted) return;
  entry.unlisted_position = unlisted_names_.insert(unlisted_names_.end(), name);
  entry.in_unlisted = true;
}

void EndpointOverrides::untrack_unlisted(Entry& entry) {
  if (entry.in_unlisted) unlisted_names_.erase(entry.unlisted_position);
  entry.in_unlisted = false;
}

// Bounds memory when the list keeps introducing new names.
void EndpointOverrides::evict_oldest_unlisted() {
  while (unlisted_names_.size() > options_.max_unlisted) {
    entries_.erase(unlisted_names_.front());
    unlisted_names_.pop_front();
  }
}

void EndpointOverrides::set_endpoints(const std::vector<std::string>& names) {
  for (auto& [name, entry] : entries_) entry.listed = false;
  for (const std::string& name : names) endpoint_added(name);
  for (auto& [name, entry] : entries_) track_if_unlisted(name, entry);
  evict_oldest_unlisted();
}

void EndpointOverrides::endpoint_added(const std::string& name) {
  Entry& entry = find_or_add(name);
  entry.listed = true;
  untrack_unlisted(entry);
}

void EndpointOverrides::endpoint_removed(const std::string& name) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return;
  found->second.listed = false;
  track_if_unlisted(name, found->second);
  evict_oldest_unlisted();
}

EndpointOverrides::Result EndpointOverrides::disable(const std::string& name) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return Result::UnknownEndpoint;
  if (found->second.disabled) return Result::Done;
  if (disabled_count_ >= options_.max_disabled) return Result::TooManyDisabled;
  found->second.disabled = true;
  ++disabled_count_;
  untrack_unlisted(found->second);
  return Result::Done;
}

EndpointOverrides::Result EndpointOverrides::enable(double now_ms, const std::string& name) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return Result::UnknownEndpoint;
  Entry& entry = found->second;
  if (!entry.disabled) return Result::Done; // a repeated call must not restart slow start
  entry.disabled = false;
  --disabled_count_;
  entry.enabled_at_ms = now_ms;
  track_if_unlisted(name, entry);
  evict_oldest_unlisted();
  return Result::Done;
}

bool EndpointOverrides::is_disabled(const std::string& name) const {
  const auto found = entries_.find(name);
  return found != entries_.end() && found->second.disabled;
}

Server EndpointOverrides::apply(const std::string& name, Server listed_server) const {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return listed_server;
  if (found->second.disabled && listed_server.state == ServerState::Ready)
    listed_server.state = ServerState::Draining;
  listed_server.started_at = std::max(listed_server.started_at, found->second.enabled_at_ms);
  return listed_server;
}

std::vector<EndpointOverrides::Override> EndpointOverrides::snapshot() const {
  std::vector<Override> overrides;
  for (const std::string& name : unlisted_names_) {
    overrides.push_back({name, false, entries_.at(name).enabled_at_ms});
  }
  for (const auto& [name, entry] : entries_) {
    if (!entry.in_unlisted) overrides.push_back({name, entry.disabled, entry.enabled_at_ms});
  }
  return overrides;
}

EndpointOverrides::Override EndpointOverrides::find(const std::string& name) const {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return {name, false, 0};
  return {name, found->second.disabled, found->second.enabled_at_ms};
}

void EndpointOverrides::merge(const Override& remote) {
  Entry& entry = find_or_add(remote.name);
  if (remote.disabled && !entry.disabled && disabled_count_ >= options_.max_disabled) {
    return track_if_unlisted(remote.name, entry);
  }
  disabled_count_ += remote.disabled;
  disabled_count_ -= entry.disabled;
  entry.disabled = remote.disabled;
  entry.enabled_at_ms = std::max(entry.enabled_at_ms, remote.enabled_at_ms);
  if (entry.disabled) {
    untrack_unlisted(entry);
  } else {
    track_if_unlisted(remote.name, entry);
  }
  evict_oldest_unlisted();
}

void EndpointOverrides::merge(const std::vector<Override>& overrides) {
  for (const Override& endpoint_override : overrides) merge(endpoint_override);
}

} // namespace fernward::admin_overrides
