// The router's parts, wired together: what leads from one to the other, its start and its end.
#pragma once

#include <event2/event.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin_overrides/endpoint_overrides.h"
#include "body_buffers/buffer_budget.h"
#include "config/config.h"
#include "config/fleet.h"
#include "control/port.h"
#include "descriptors/descriptor_budget.h"
#include "downstream/listener.h"
#include "endpoints/endpoint_file_watch.h"
#include "endpoints/endpoint_table.h"
#include "endpoints/endpoint_watch.h"
#include "figures/figures.h"
#include "gossip_transport/link.h"
#include "hot_restart/link.h"
#include "proxy/request_dispatcher.h"
#include "router/hot_restart_coordinator.h"
#include "upstream/connection_pool.h"

namespace fernward::router {

struct BaseFree {
  void operator()(event_base* base) const { event_base_free(base); }
};
using BasePtr = std::unique_ptr<event_base, BaseFree>;
// Discovery's lists and the operators' calls go before traffic. Throws std::runtime_error.
BasePtr make_base();

class Router {
 public:
  // Listens and asks discovery; throws std::runtime_error when it can't listen. It serves as the loop runs,
  // and breaks the loop once it has wound down.
  // `from`: what the process that this one replaces has given; it is used up.
  // `fleet`: what the routers of the tier share; null: nothing.
  Router(const config::Config& config, event_base* base, hot_restart::Inherited* from = nullptr,
         const config::Fleet* fleet = nullptr);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  ~Router();

  void wind_down(); // what SIGTERM asks for: answer all that was taken, then end
  // What SIGHUP asks for: the configuration as it reads now. Only `discovery` may change, or what config::moved() lets
  // pass; connections, exchanges and the route table stay. Throws config::Error, and nothing has changed.
  void reload(const config::Config& next);

  int port() const { return listener_.port(); }
  int control_port() const { return control_ == nullptr ? 0 : control_->port(); }
  const admin_overrides::EndpointOverrides& bans() const { return bans_; }
  const descriptors::DescriptorBudget& account() const { return account_; }
  const proxy::RequestDispatcher& driver() const { return driver_; }
  const upstream::ConnectionPool& pool() const { return pool_; }
  const downstream::Listener& listener() const { return listener_; }
  const endpoints::EndpointTable& table() const { return table_; }
  const figures::Figures& figures() const { return figures_; }
  const body_buffers::BufferBudget& bytes() const { return bytes_; }
  const body_buffers::RetainedBodies& kept() const { return bodies_.retained; }

 private:
  downstream::ListenerCalls listener_calls();
  void take_first_list(const hot_restart::Inherited* from);
  bool read_known(); // into the table alone; false: there is none, or it is damaged
  void take_known();
  fernward::EndpointList all_targets(fernward::EndpointListKind kind) const;
  std::optional<std::uint64_t> known_version() const;
  void emptied();
  void follow(const config::Config& next);
  void move(config::Config next);
  std::unique_ptr<endpoints::EndpointWatch> watch(const std::string& address);
  std::unique_ptr<endpoints::EndpointFileWatch> watch_file(const std::string& path);
  void again(double every_ms, std::function<void()> what);
  void tell_figures();
  void tell_slow_start();
  discovery::Answer take(const std::string& text, const std::string& from, std::uint64_t at_least);
  void spread(fernward::EndpointList list);
  void spread_whole(fernward::EndpointList& list);
  void spread_change(fernward::Server& server);
  std::string answer(const control::Call& call);
  std::string maintain(const control::Call& call);
  bool serves() const;
  void join(const config::Fleet& fleet);
  void add_gauges();
  std::size_t caches(bool avoided) const;
  bool is_origin(const fernward::Server& entry) const;
  void relist(const std::string& name);

  config::Config config_;
  event_base* base_;
  loop::TimerQueue deadlines_;
  figures::Figures figures_;
  descriptors::DescriptorBudget account_;
  descriptors::RequestBufferBudget buffers_;
  body_buffers::BufferBudget bytes_;
  proxy::BodyStores bodies_;
  endpoints::EndpointTable table_;
  proxy::RequestDispatcher driver_;
  upstream::ConnectionPool pool_;
  downstream::Listener listener_;
  std::unique_ptr<endpoints::EndpointWatch> watch_; // on the discovery that has told the list
  std::unique_ptr<endpoints::EndpointWatch>
      next_watch_; // after a reload: on the one that has not told it yet
  admin_overrides::EndpointOverrides bans_;
  std::unique_ptr<control::Port> control_;             // null: there is none
  std::unique_ptr<HotRestartCoordinator> succession_;  // null: without it
  std::unique_ptr<gossip_transport::Link> peers_;      // null: the routers share nothing
  std::unique_ptr<endpoints::EndpointFileWatch> file_; // where a file tells the nodes
  loop::TimerQueue::TimerId known_waits_ = 0; // the configuration's list, while discovery's own is awaited
  proxy::RequestDispatcher::GiveUpCounts told_{};       // given up when last told
  fernward::Balancer::SlowStartCounts slow_start_told_; // when last told
  std::uint64_t ended_told_ = 0;                        // requests ended when figures were last told
  bool winding_down_ = false;
};

// What a process under this configuration asks of the one that it replaces, if there is one.
std::optional<hot_restart::Inherited> inherit(const config::Config& config);

} // namespace fernward::router
