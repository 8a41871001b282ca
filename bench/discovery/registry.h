// The endpoints of the emulated discovery service, with an index that grows by one with each change.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fernward::bench::discovery {

using Index = std::uint64_t;

/// The endpoints and the history of their changes, rendered as the bodies of discovery responses.
class Registry {
 public:
  /// All servers are in service at first.
  explicit Registry(std::size_t servers);

  Index index() const { return index_; }
  std::size_t servers() const { return servers_.size(); }

  /// Sets a server's status, which counts as one change. Returns the index of the change.
  Index set_terminating(std::size_t server, bool terminating);

  /// The body with all endpoints. Valid until the next change.
  const std::string& snapshot();
  /// The body with the endpoints that changed after `since`; no endpoints if `since` is the current index.
  std::string changes_after(Index since) const;

 private:
  struct Server {
    std::string before_status, after_status; // the entry's JSON around its status
    bool terminating = false;
  };
  struct Change {
    Index index;
    std::size_t server;
  };

  void append_entry(std::string& body, std::size_t server) const;

  Index index_;
  std::vector<Server> servers_;
  std::vector<Change> history_;
  std::string snapshot_;
  Index snapshot_index_ = 0;
};

} // namespace fernward::bench::discovery
