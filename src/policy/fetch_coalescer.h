// Request coalescing: one fetch at the origin for each key at a time. Interface: include/fernward/balancer.h
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fernward/balancer.h"

namespace fernward {

/// Tracks the requests that wait for a fetch of the same key. The first request of a key is the leader, which
/// is sent to the origin. Later ones are followers until the leader's fetch ends. Owned by Balancer::Impl.
class FetchCoalescer {
 public:
  /// Returns true if the caller is now the leader, false if a fetch of the key already has one.
  bool try_start_fetch(std::uint64_t key) { return followers_.try_emplace(key).second; }
  /// Returns true if the request now waits for the key's fetch, false if there is no fetch.
  bool try_join_fetch(std::uint64_t key, RequestId id) {
    const auto fetch = followers_.find(key);
    if (fetch == followers_.end()) return false;
    fetch->second.push_back(id);
    return true;
  }
  /// Ends the fetch and returns its followers in order of arrival; nullopt if there was no fetch.
  std::optional<std::vector<RequestId>> end_fetch(std::uint64_t key) {
    const auto fetch = followers_.find(key);
    if (fetch == followers_.end()) return std::nullopt;
    std::optional<std::vector<RequestId>> followers = std::move(fetch->second);
    followers_.erase(fetch);
    return followers;
  }

 private:
  std::unordered_map<std::uint64_t, std::vector<RequestId>> followers_; // by key
};

} // namespace fernward
