// Propagates each change of the endpoint list in this order: source (discovery, the endpoint file or the
// configuration) -> EndpointTable -> EndpointOverrides -> ConnectionPool, then RequestDispatcher. No other
// component changes their endpoints.
//
// The cost of a delta (EndpointListKind::Delta) is proportional to its entries, not to the length of the
// list: in a process with a small share of a core, changes of other endpoints must not delay a drain beyond
// its grace period.
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

struct EndpointUpdaterParts { // owned by the router; must outlive the updater
  event_base* base;
  loop::TimerQueue& timers;
  proxy::RequestDispatcher& dispatcher;
  upstream::ConnectionPool& pool;
};

class EndpointUpdater {
 public:
  // Keeps a reference to `config`, which the router owns and a reload changes.
  EndpointUpdater(const config::Config& config, EndpointUpdaterParts parts);
  EndpointUpdater(const EndpointUpdater&) = delete;
  EndpointUpdater& operator=(const EndpointUpdater&) = delete;

  // Called after each update.
  void set_on_updated(std::function<void()> callback) { on_updated_ = std::move(callback); }

  // Loads the initial list from the configuration. `inherited`: it was just received from the process that
  // this one replaces, and is used immediately. Otherwise, if discovery is configured, requests are shed
  // until discovery has provided a list, or until this list is used without it: after
  // kInitialListTimeoutMs or, while discovery has accepted a call and does not answer it, after
  // kSilentDiscoveryTimeoutMs.
  void load_initial_list(bool inherited);
  // Applies the list of the configuration. An invalid list is logged and changes nothing.
  void load_configured_list();
  // Watches the sources that the configuration names: discovery, a file, or neither. The current list is used
  // until a source provides a new one.
  void watch_sources();
  // Reads responses of discovery that have already been received, without waiting for the event loop.
  void poll_discovery();
  // Updates this endpoint in the pool and the dispatcher after a change of its override.
  void refresh_endpoint(const std::string& name);

  bool is_awaiting_initial_list() const { return initial_list_timer_ != 0; }
  // Whether requests may be sent.
  bool is_ready() const { return !is_awaiting_initial_list() && table_.has_endpoint_in_service(); }
  bool is_cache(const fernward::Server& server) const;

  endpoints::EndpointTable& table() { return table_; }
  const endpoints::EndpointTable& table() const { return table_; }
  admin_overrides::EndpointOverrides& overrides() { return overrides_; }
  const admin_overrides::EndpointOverrides& overrides() const { return overrides_; }

 private:
  bool read_configured_list();
  void check_initial_list(double started_at_ms);
  bool is_discovery_silent() const;
  fernward::EndpointList full_list(fernward::EndpointListKind kind) const;
  std::optional<std::uint64_t> known_index() const;
  std::unique_ptr<endpoints::EndpointWatch> watch_discovery(const std::string& address);
  std::unique_ptr<endpoints::EndpointFileWatch> watch_file(const std::string& path);
  discovery::Answer on_discovery_response(const std::string& text, const std::string& source_address,
                                          std::uint64_t min_index);
  void apply(fernward::EndpointList list);
  void apply_full(fernward::EndpointList& list);
  void apply_change(fernward::Server& server);

  const config::Config& config_;
  EndpointUpdaterParts parts_;
  std::function<void()> on_updated_;
  endpoints::EndpointTable table_;
  std::unique_ptr<endpoints::EndpointWatch> discovery_watch_;
  // After a reload: the watch at the new address. Replaces discovery_watch_ with its first full list.
  std::unique_ptr<endpoints::EndpointWatch> new_discovery_watch_;
  admin_overrides::EndpointOverrides overrides_;
  std::unique_ptr<endpoints::EndpointFileWatch> file_watch_;
  loop::TimerQueue::TimerId initial_list_timer_ = 0;
};

} // namespace fernward::router
