// Graceful shutdown on SIGTERM: every accepted request gets a response, then the event loop is stopped.
//
// States, by the time since begin(). `end` is the longest client timeout plus kResponseGraceMs; the platform
// sends SIGKILL after that.
//
//   Running    until begin()
//   Accepting  /ready fails, connections are still accepted; until kAcceptingMs
//   Serving    new connections are not accepted, existing ones are served; until end / 2, but not before
//              kAcceptingMs nor after kMaxServingMs
//   Draining   each connection is closed after its response; until end
//   Finishing  responses that are being transmitted continue; until none is left, at most kMaxFinishingMs
//   Stopped    the event loop is stopped: after Finishing, or once the last connection is closed
//
// Requests without a response kFailBeforeEndMs before `end` fail with 502, so that their clients are
// notified; requests that become complete during the shutdown get the remaining time. If a new process
// replaces this one, Accepting, Serving and Draining do not apply: each connection is passed to the new
// process when it becomes idle, and this process stops once the last one has been passed.
#pragma once

#include <event2/event.h>

#include "config/config.h"
#include "downstream/listener.h"
#include "gossip_transport/transport.h"
#include "loop/timer_queue.h"
#include "proxy/request_dispatcher.h"
#include "router/hot_restart_coordinator.h"

namespace fernward::router {

struct GracefulShutdownParts { // owned by the router; must outlive GracefulShutdown
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

  void set_gossip(gossip_transport::Transport* gossip) { gossip_ = gossip; }
  void set_hot_restart(HotRestartCoordinator* hot_restart) { hot_restart_ = hot_restart; }

  void begin(const config::Config& config); // repeated calls have no effect
  bool has_begun() const { return has_begun_; }
  // Called when the listener has no connection left.
  void on_connections_closed();

 private:
  void schedule_drain(double now_ms, double total_ms);
  // Ends once no response is being transmitted, or at `finish_by_ms`.
  void finish_responses(double finish_by_ms);
  void stop_loop();

  GracefulShutdownParts parts_;
  gossip_transport::Transport* gossip_ = nullptr; // null: gossip is disabled
  HotRestartCoordinator* hot_restart_ = nullptr;  // null: hot restart is disabled
  bool has_begun_ = false;
};

} // namespace fernward::router
