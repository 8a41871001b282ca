#include "admin_overrides/endpoint_overrides.h"

#include <algorithm>

namespace fernward::admin_overrides {

EndpointOverrides::Entry& EndpointOverrides::find_or_add(const std::string& name) {
  return entries_.try_emplace(name).first->second;
}

void EndpointOverrides::release(const std::string& name, Entry& entry) {
  if (entry.listed || entry.disabled || entry.in_unlisted) return;
  entry.unlisted = unlisted_.insert(unlisted_.end(), name);
  entry.in_unlisted = true;
}

void EndpointOverrides::retain(Entry& entry) {
  if (entry.in_unlisted) unlisted_.erase(entry.unlisted);
  entry.in_unlisted = false;
}

// Bounds memory when the list keeps introducing new names.
void EndpointOverrides::forget_oldest() {
  while (unlisted_.size() > options_.max_unlisted) {
    entries_.erase(unlisted_.front());
    unlisted_.pop_front();
  }
}

void EndpointOverrides::set_endpoints(const std::vector<std::string>& names) {
  for (auto& [name, entry] : entries_) entry.listed = false;
  for (const std::string& name : names) endpoint_added(name);
  for (auto& [name, entry] : entries_) release(name, entry);
  forget_oldest();
}

void EndpointOverrides::endpoint_added(const std::string& name) {
  Entry& entry = find_or_add(name);
  entry.listed = true;
  retain(entry);
}

void EndpointOverrides::endpoint_removed(const std::string& name) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return;
  found->second.listed = false;
  release(name, found->second);
  forget_oldest();
}

EndpointOverrides::Result EndpointOverrides::disable(const std::string& name) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return Result::UnknownEndpoint;
  if (found->second.disabled) return Result::Done;
  if (disabled_ >= options_.max_disabled) return Result::TooManyDisabled;
  found->second.disabled = true;
  ++disabled_;
  retain(found->second);
  return Result::Done;
}

EndpointOverrides::Result EndpointOverrides::enable(double now_ms, const std::string& name) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return Result::UnknownEndpoint;
  Entry& entry = found->second;
  if (!entry.disabled) return Result::Done; // a repeated call must not restart slow start
  entry.disabled = false;
  --disabled_;
  entry.enabled_at_ms = now_ms;
  release(name, entry);
  forget_oldest();
  return Result::Done;
}

bool EndpointOverrides::is_disabled(const std::string& name) const {
  const auto found = entries_.find(name);
  return found != entries_.end() && found->second.disabled;
}

Server EndpointOverrides::apply(const std::string& name, Server listed) const {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return listed;
  if (found->second.disabled && listed.state == ServerState::Ready) listed.state = ServerState::Draining;
  listed.started_at = std::max(listed.started_at, found->second.enabled_at_ms);
  return listed;
}

std::vector<EndpointOverrides::Override> EndpointOverrides::snapshot() const {
  std::vector<Override> overrides;
  for (const std::string& name : unlisted_) {
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

void EndpointOverrides::adopt(const Override& other) {
  Entry& entry = find_or_add(other.name);
  if (other.disabled && !entry.disabled && disabled_ >= options_.max_disabled) {
    return release(other.name, entry);
  }
  disabled_ += other.disabled;
  disabled_ -= entry.disabled;
  entry.disabled = other.disabled;
  entry.enabled_at_ms = std::max(entry.enabled_at_ms, other.enabled_at_ms);
  if (entry.disabled) {
    retain(entry);
  } else {
    release(other.name, entry);
  }
  forget_oldest();
}

void EndpointOverrides::adopt(const std::vector<Override>& overrides) {
  for (const Override& one : overrides) adopt(one);
}

} // namespace fernward::admin_overrides
