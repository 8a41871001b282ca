// The endpoints of the emulated discovery service, with an index that grows by one with each change.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fernward::bench::discovery {

using RegistryIndex = std::uint64_t;

/// The endpoints and the history of their changes, rendered as the bodies of discovery responses.
class EndpointRegistry {
 public:
  /// All servers are in service at first.
  explicit EndpointRegistry(std::size_t server_count);

  RegistryIndex index() const { return index_; }
  std::size_t server_count() const { return servers_.size(); }

  /// Sets a server's status, which counts as one change. Returns the index of the change.
  RegistryIndex set_terminating(std::size_t server, bool terminating);

  /// The body with all endpoints. Valid until the next change.
  const std::string& snapshot();
  /// The body with the endpoints that changed after `since`; no endpoints if `since` is the current index.
  std::string changes_after(RegistryIndex since) const;

 private:
  struct ServerEntry {
    std::string json_before_status, json_after_status; // the entry's JSON around its status
    bool terminating = false;
  };
  struct ServerChange {
    RegistryIndex index;
    std::size_t server;
  };

  void append_entry(std::string& body, std::size_t server) const;

  RegistryIndex index_;
  std::vector<ServerEntry> servers_;
  std::vector<ServerChange> change_history_;
  std::string snapshot_;
  RegistryIndex snapshot_index_ = 0;
};

} // namespace fernward::bench::discovery
