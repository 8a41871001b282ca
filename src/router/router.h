// One router of the fleet: creates its components and connects them.
#pragma once

#include <event2/event.h>

#include <memory>
#include <optional>

#include "body_buffers/buffer_budget.h"
#include "config/config.h"
#include "config/fleet.h"
#include "control/port.h"
#include "descriptors/descriptor_budget.h"
#include "downstream/listener.h"
#include "figures/figures.h"
#include "gossip_transport/link.h"
#include "hot_restart/link.h"
#include "proxy/request_dispatcher.h"
#include "router/config_reload.h"
#include "router/control_calls.h"
#include "router/endpoint_updater.h"
#include "router/graceful_shutdown.h"
#include "router/hot_restart_coordinator.h"
#include "router/stats_reporter.h"
#include "upstream/connection_pool.h"

namespace fernward::router {

struct BaseFree {
  void operator()(event_base* base) const { event_base_free(base); }
};
using BasePtr = std::unique_ptr<event_base, BaseFree>;
// Creates an event base on which events of discovery and of the control port run before those of traffic.
// Throws std::runtime_error.
BasePtr make_base();

class Router {
 public:
  // Starts listening and watching discovery; throws std::runtime_error if it can't listen. Runs on the event
  // loop, and stops the loop at the end of a graceful shutdown.
  // `inherited`: received from the process that this one replaces; its descriptors are moved out. Null: this
  // process replaces none.
  // `fleet`: settings of the gossip between the routers; null: gossip is disabled.
  Router(const config::Config& config, event_base* base, hot_restart::Inherited* inherited = nullptr,
         const config::Fleet* fleet = nullptr);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  ~Router();

  void begin_shutdown() { shutdown_.begin(config_); } // on SIGTERM, see GracefulShutdown
  // On SIGHUP, see ConfigReload. Throws config::Error; nothing is changed then.
  void reload(const config::Config& next) { reload_.reload(next); }

  int port() const { return listener_.port(); }
  int control_port() const { return control_ == nullptr ? 0 : control_->port(); }
  const admin_overrides::EndpointOverrides& overrides() const { return endpoints_.overrides(); }
  const descriptors::DescriptorBudget& account() const { return descriptors_; }
  const proxy::RequestDispatcher& driver() const { return dispatcher_; }
  const upstream::ConnectionPool& pool() const { return pool_; }
  const downstream::Listener& listener() const { return listener_; }
  const endpoints::EndpointTable& table() const { return endpoints_.table(); }
  const figures::Figures& figures() const { return figures_; }
  const body_buffers::BufferBudget& bytes() const { return buffer_budget_; }
  const body_buffers::RetainedBodies& kept() const { return bodies_.retained; }

 private:
  downstream::ListenerCalls listener_calls();
  void load_first_list(hot_restart::Inherited* inherited);
  void start_hot_restart(hot_restart::Inherited* inherited);
  void start_control();
  void start_gossip(const config::Fleet& fleet);
  void log_listening() const;
  bool ready() const { return !shutdown_.has_begun() && endpoints_.ready(); }

  config::Config config_;
  event_base* base_;
  loop::TimerQueue timers_;
  figures::Figures figures_;
  descriptors::DescriptorBudget descriptors_;
  descriptors::RequestBufferBudget request_buffers_;
  body_buffers::BufferBudget buffer_budget_;
  proxy::BodyStores bodies_;
  proxy::RequestDispatcher dispatcher_;
  upstream::ConnectionPool pool_;
  downstream::Listener listener_;
  EndpointUpdater endpoints_;
  GracefulShutdown shutdown_;
  ConfigReload reload_;
  StatsReporter stats_;
  ControlCalls control_calls_;
  std::unique_ptr<control::Port> control_;             // null: the control port is disabled
  std::unique_ptr<HotRestartCoordinator> hot_restart_; // null: hot restart is disabled
  std::unique_ptr<gossip_transport::Link> gossip_;     // null: gossip is disabled
};

// Requests a takeover from the running process that a new one with this configuration replaces. None: there
// is no such process, or the request failed, which is logged.
std::optional<hot_restart::Inherited> inherit(const config::Config& config);

} // namespace fernward::router
