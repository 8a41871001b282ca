// One router of the fleet: creates its components and connects them.
#pragma once

#include <event2/event.h>

#include <memory>
#include <optional>

#include "body_buffers/buffer_budget.h"
#include "config/config.h"
#include "config/router_fleet.h"
#include "control/control_server.h"
#include "descriptors/descriptor_budget.h"
#include "downstream/listener.h"
#include "figures/router_stats.h"
#include "gossip_transport/transport.h"
#include "hot_restart/restart_transport.h"
#include "proxy/request_dispatcher.h"
#include "router/config_reload.h"
#include "router/control_command_handler.h"
#include "router/endpoint_updater.h"
#include "router/graceful_shutdown.h"
#include "router/hot_restart_coordinator.h"
#include "router/memory_monitor.h"
#include "router/stats_reporter.h"
#include "upstream/connection_pool.h"

namespace fernward::router {

struct EventBaseFree {
  void operator()(event_base* base) const { event_base_free(base); }
};
using EventBasePtr = std::unique_ptr<event_base, EventBaseFree>;
// Creates an event base on which events of discovery and of the control port run before those of traffic.
// Throws std::runtime_error.
EventBasePtr make_event_base();

class Router {
 public:
  // Starts listening and watching discovery; throws std::runtime_error if it can't listen. Runs on the event
  // loop, and stops the loop at the end of a graceful shutdown.
  // `inherited`: received from the process that this one replaces; its descriptors are moved out. Null: this
  // process replaces none.
  // `fleet`: settings of the gossip between the routers; null: gossip is disabled.
  Router(const config::Config& config, event_base* base, hot_restart::InheritedState* inherited = nullptr,
         const config::RouterFleetConfig* fleet = nullptr);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  ~Router();

  void begin_shutdown() { shutdown_.begin(config_); } // on SIGTERM, see GracefulShutdown
  // On SIGHUP, see ConfigReload. Throws config::Error; nothing is changed then.
  void reload(const config::Config& new_config) { reload_.reload(new_config); }

  int port() const { return listener_.port(); }
  int control_port() const { return control_server_ == nullptr ? 0 : control_server_->port(); }
  const admin_overrides::EndpointOverrides& overrides() const { return endpoint_updater_.overrides(); }
  const descriptors::DescriptorBudget& descriptor_budget() const { return descriptors_; }
  const proxy::RequestDispatcher& dispatcher() const { return dispatcher_; }
  const upstream::ConnectionPool& pool() const { return pool_; }
  const downstream::Listener& listener() const { return listener_; }
  const endpoints::EndpointTable& endpoint_table() const { return endpoint_updater_.table(); }
  const figures::RouterStats& router_stats() const { return router_stats_; }
  const body_buffers::BufferBudget& buffer_budget() const { return buffer_budget_; }
  const body_buffers::RetainedBodies& retained_bodies() const { return body_stores_.retained; }

 private:
  downstream::ListenerCallbacks listener_callbacks();
  void load_initial_list(hot_restart::InheritedState* inherited);
  void start_hot_restart(hot_restart::InheritedState* inherited);
  void start_control();
  void start_gossip(const config::RouterFleetConfig& fleet);
  void log_listening() const;
  bool is_ready() const { return !shutdown_.has_begun() && endpoint_updater_.is_ready(); }

  config::Config config_;
  event_base* base_;
  loop::TimerQueue timers_;
  figures::RouterStats router_stats_;
  descriptors::DescriptorBudget descriptors_;
  memory_budget::MemoryBudget memory_budget_;
  descriptors::RequestBufferBudget request_buffers_;
  body_buffers::BufferBudget buffer_budget_;
  proxy::BodyStores body_stores_;
  proxy::RequestDispatcher dispatcher_;
  upstream::ConnectionPool pool_;
  downstream::Listener listener_;
  EndpointUpdater endpoint_updater_;
  GracefulShutdown shutdown_;
  ConfigReload reload_;
  MemoryMonitor memory_monitor_;
  StatsReporter stats_reporter_;
  ControlCommandHandler control_commands_;
  std::unique_ptr<control::ControlServer> control_server_; // null: the control port is disabled
  std::unique_ptr<HotRestartCoordinator> hot_restart_;     // null: hot restart is disabled
  std::unique_ptr<gossip_transport::Transport> gossip_;    // null: gossip is disabled
};

// Requests a takeover from the running process that a new one with this configuration replaces. None: there
// is no such process, or the request failed, which is logged.
std::optional<hot_restart::InheritedState> request_inherited_state(const config::Config& config);

} // namespace fernward::router
