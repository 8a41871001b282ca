// Request coalescing: one fetch at the origin for each key at a time. Interface: include/fernward/balancer.h
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fernward/balancer.h"

namespace fernward {

/// Which requests wait for a fetch of the same key. The first request of a key leads: it is sent to the
/// origin. Later ones follow until the leader's fetch ends.
class FetchCoalescer {
 public:
  /// True: the caller leads from now on. False: a fetch of the key has its leader already.
  bool lead(std::uint64_t key) { return followers_.try_emplace(key).second; }
  /// True: the request waits for the key's fetch. False: there is none.
  bool follow(std::uint64_t key, RequestId id) {
    const auto fetch = followers_.find(key);
    if (fetch == followers_.end()) return false;
    fetch->second.push_back(id);
    return true;
  }
  /// Ends the fetch and hands back its followers, the earliest first; nothing where there was no fetch.
  std::optional<std::vector<RequestId>> end(std::uint64_t key) {
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
