// Carries each change of the endpoint list, in this order: discovery, the endpoint file or the configuration
// -> EndpointTable -> EndpointOverrides -> ConnectionPool, then RequestDispatcher. Nobody else changes any of
// them.
//
// A change (EndpointListKind::Delta) costs as much as it changes, however long the list is: a process with a
// small share of a core must not be held up past the grace of a drain by changes of other endpoints.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "admin_overrides/endpoint_overrides.h"
#include "config/config.h"
#include "endpoints/endpoint_file_watch.h"
#include "endpoints/endpoint_table.h"
#include "endpoints/endpoint_watch.h"
#include "loop/timer_queue.h"
#include "proxy/request_dispatcher.h"
#include "upstream/connection_pool.h"

namespace fernward::router {

struct EndpointUpdaterParts { // of the router; they outlive the updater
  event_base* base;
  loop::TimerQueue& timers;
  proxy::RequestDispatcher& dispatcher;
  upstream::ConnectionPool& pool;
};

class EndpointUpdater {
 public:
  // Reads `config` at each call: it is the router's own and changes at a reload.
  EndpointUpdater(const config::Config& config, EndpointUpdaterParts parts);
  EndpointUpdater(const EndpointUpdater&) = delete;
  EndpointUpdater& operator=(const EndpointUpdater&) = delete;

  // Called after each update.
  void on_updated(std::function<void()> updated) { updated_ = std::move(updated); }

  // The list to begin with, from the configuration. `inherited`: the process that this one replaces has just
  // told it. Else, where discovery is to tell a list, nothing is sent by the one of the configuration for
  // kFirstListWaitMs.
  void load_first_list(bool inherited);
  // Applies the list of the configuration; a damaged one is logged and changes nothing.
  void load_configured_list();
  // Watches what the configuration names: discovery, a file, or neither. The list stays until the next one is
  // told.
  void watch_sources();
  // Takes what discovery has written already, without waiting for the event loop.
  void poll_discovery();
  // Tells pool and dispatcher of this endpoint again, as its override or the table reads now.
  void refresh(const std::string& name);

  bool awaits_first_list() const { return first_list_timer_ != 0; }
  bool ready() const { return !awaits_first_list() && table_.usable(); } // requests may be sent
  bool is_cache(const fernward::Server& server) const;

  endpoints::EndpointTable& table() { return table_; }
  const endpoints::EndpointTable& table() const { return table_; }
  admin_overrides::EndpointOverrides& overrides() { return overrides_; }
  const admin_overrides::EndpointOverrides& overrides() const { return overrides_; }

 private:
  bool read_configured_list();
  fernward::EndpointList full_list(fernward::EndpointListKind kind) const;
  std::optional<std::uint64_t> known_version() const;
  std::unique_ptr<endpoints::EndpointWatch> watch_discovery(const std::string& address);
  std::unique_ptr<endpoints::EndpointFileWatch> watch_file(const std::string& path);
  discovery::Answer on_discovery_answer(const std::string& text, const std::string& from,
                                        std::uint64_t at_least);
  void apply(fernward::EndpointList list);
  void apply_full(fernward::EndpointList& list);
  void apply_change(fernward::Server& server);

  const config::Config& config_;
  EndpointUpdaterParts parts_;
  std::function<void()> updated_;
  endpoints::EndpointTable table_;
  std::unique_ptr<endpoints::EndpointWatch> watch_; // of the discovery that has told the list
  std::unique_ptr<endpoints::EndpointWatch>
      next_watch_; // after a reload: of one that has not told its list yet
  admin_overrides::EndpointOverrides overrides_;
  std::unique_ptr<endpoints::EndpointFileWatch> file_watch_;
  loop::TimerQueue::TimerId first_list_timer_ = 0;
};

} // namespace fernward::router
