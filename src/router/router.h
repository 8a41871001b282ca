// The router's parts, wired together: what leads from one to the other, its start and its end.
#pragma once

#include <event2/event.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bodies/account.h"
#include "budget/account.h"
#include "config/config.h"
#include "config/fleet.h"
#include "control/port.h"
#include "egress/pool.h"
#include "exchange/driver.h"
#include "figures/figures.h"
#include "handover/link.h"
#include "ingress/listener.h"
#include "maintenance/bans.h"
#include "peering/link.h"
#include "router/succession.h"
#include "routes/file.h"
#include "routes/table.h"
#include "routes/watch.h"

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
  Router(const config::Config& config, event_base* base, handover::Inherited* from = nullptr,
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
  const maintenance::Bans& bans() const { return bans_; }
  const budget::Account& account() const { return account_; }
  const exchange::Driver& driver() const { return driver_; }
  const egress::Pool& pool() const { return pool_; }
  const ingress::Listener& listener() const { return listener_; }
  const routes::Table& table() const { return table_; }
  const figures::Figures& figures() const { return figures_; }
  const bodies::Account& bytes() const { return bytes_; }
  const bodies::Keeper& kept() const { return bodies_.keeper; }

 private:
  ingress::ListenerCalls listener_calls();
  void take_first_list(const handover::Inherited* from);
  bool read_known(); // into the table alone; false: there is none, or it is damaged
  void take_known();
  fernward::ServerList all_targets(fernward::ListKind kind) const;
  std::optional<std::uint64_t> known_version() const;
  void emptied();
  void follow(const config::Config& next);
  void move(config::Config next);
  std::unique_ptr<routes::Watch> watch(const std::string& address);
  std::unique_ptr<routes::FileWatch> watch_file(const std::string& path);
  void again(double every_ms, std::function<void()> what);
  void tell_figures();
  void tell_slow_start();
  discovery::Answer take(const std::string& text, const std::string& from, std::uint64_t at_least);
  void spread(fernward::ServerList list);
  void spread_whole(fernward::ServerList& list);
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
  loop::Deadlines deadlines_;
  figures::Figures figures_;
  budget::Account account_;
  budget::Buffers buffers_;
  bodies::Account bytes_;
  exchange::BodyStores bodies_;
  routes::Table table_;
  exchange::Driver driver_;
  egress::Pool pool_;
  ingress::Listener listener_;
  std::unique_ptr<routes::Watch> watch_;      // on the discovery that has told the list
  std::unique_ptr<routes::Watch> next_watch_; // after a reload: on the one that has not told it yet
  maintenance::Bans bans_;
  std::unique_ptr<control::Port> control_;  // null: there is none
  std::unique_ptr<Succession> succession_;  // null: without it
  std::unique_ptr<peering::Link> peers_;    // null: the routers share nothing
  std::unique_ptr<routes::FileWatch> file_; // where a file tells the nodes
  loop::Deadlines::Ticket known_waits_ = 0; // the configuration's list, while discovery's own is awaited
  exchange::Driver::Figures told_{};        // given up when last told
  fernward::Balancer::SlowStart slow_start_told_; // when last told
  std::uint64_t ended_told_ = 0;                  // requests ended when figures were last told
  bool winding_down_ = false;
};

// What a process under this configuration asks of the one that it replaces, if there is one.
std::optional<handover::Inherited> inherit(const config::Config& config);

} // namespace fernward::router
