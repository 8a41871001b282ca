// What SIGTERM asks for: every request that was taken gets its response, then the event loop is broken.
//
// States, by the time since begin(). `end` is the longest client timeout and kResponseGraceMs; the platform
// sends SIGKILL after that.
//
//   Running    until begin()
//   Accepting  /ready fails, connections are still accepted; until kAcceptMs
//   Serving    no connection is accepted, kept ones are; until end / 2, from kAcceptMs to kServeMs
//   Draining   each connection ends with its response; until end
//   Stopped    the event loop is broken: at `end`, or once the last connection has ended
//
// What has no response kFailLeadMs before `end` fails (502), so that its client hears of it. Where a new
// process replaces this one there is no Accepting, Serving or Draining: each connection is passed on as it
// becomes idle, and Stopped waits for the last one to have left.
#pragma once

#include <event2/event.h>

#include "config/config.h"
#include "downstream/listener.h"
#include "gossip_transport/link.h"
#include "loop/timer_queue.h"
#include "proxy/request_dispatcher.h"
#include "router/hot_restart_coordinator.h"

namespace fernward::router {

struct GracefulShutdownParts { // of the router; they outlive the shutdown
  event_base* base;
  loop::TimerQueue& timers;
  proxy::RequestDispatcher& dispatcher;
  downstream::Listener& listener;
};

class GracefulShutdown {
 public:
  explicit GracefulShutdown(GracefulShutdownParts parts) : parts_(parts) {}
  GracefulShutdown(const GracefulShutdown&) = delete;
  GracefulShutdown& operator=(const GracefulShutdown&) = delete;

  void set_gossip(gossip_transport::Link* gossip) { gossip_ = gossip; }
  void set_hot_restart(HotRestartCoordinator* hot_restart) { hot_restart_ = hot_restart; }

  void begin(const config::Config& config); // a second call changes nothing
  bool has_begun() const { return has_begun_; }
  // The listener has no connection left.
  void on_connections_closed();

 private:
  void schedule_drain(double now_ms, double total_ms);
  void stop_loop();

  GracefulShutdownParts parts_;
  gossip_transport::Link* gossip_ = nullptr;     // null: the routers share nothing
  HotRestartCoordinator* hot_restart_ = nullptr; // null: no process can replace this one
  bool has_begun_ = false;
};

} // namespace fernward::router
