// The open-loop clients of a run, in an event loop on a thread of their own.
//
// A request is sent at its intended time, whatever the outcome of earlier requests; latencies count from the
// intended time. For each try the delay that the rig itself added is measured. The front balancer of the
// model distributes clients over the routers: it probes a starting router for readiness and detects a dead
// one with a delay.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

#include "http/parser.h"
#include "lab/load/wire.h"
#include "lab/shared/lateness.h"
#include "lab/shared/loop.h"
#include "lab/shared/stage.h"
#include "lab/shared/stream.h"
#include "loop/slot_map.h"
#include "model/arrivals.h"
#include "model/clients.h"
#include "model/network.h"

namespace fernward::rig {

struct LoadInfo {
  lab::Quantiles lateness_ms; // of sends, relative to their due times
  double cpu_s = 0;
  std::uint64_t tries = 0, connections = 0; // totals started
};

// Created, started and stopped by one thread; its clients run in its own thread.
class Load {
 public:
  struct Calls {                                // called on the load's thread
    std::function<void(model::RouterId)> ready; // the router has answered /ready with 200
    std::function<void()> done;                 // all requests have arrived and ended
  };
  // `ready_by_connect`, by router: 1 for a router without /ready, which counts as ready once it accepts a
  // connection.
  Load(const Stage& stage, Calls calls, std::vector<char> ready_by_connect);
  ~Load(); // calls stop()
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // To be called from the thread that created it.
  void open();                                         // starts the loop
  void begin();                                        // the clock has started: requests arrive from now on
  void router_started(model::RouterId router);         // starts probing it for readiness
  void router_stopping(model::RouterId router);        // it was sent SIGTERM
  void router_down(model::RouterId router);            // its process has ended, or was killed
  void router_pauses(model::RouterId router, bool on); // it was stopped with SIGSTOP, or continued
  void finish(); // starts no further requests; active ones continue to their ends
  LoadInfo stop();

 private:
  using Handle = loop::Handle;
  struct Try {
    model::TryStart start;
    model::RouterId router = 0;
    bool routed = false;
    bool told = false;     // its model::Tried record is written
    bool over = false;     // the client has a response, or no longer waits
    bool resent = false;   // its first connection was closed between requests
    bool answered = false; // the response is on its way to the client
    double planned = 0;    // run time (ms) at which its first byte is due at the router
    Handle connection = 0;
  };
  struct Connection final : Stream::User {
    void up() override { load->came_up(*this); }
    void bytes(std::string_view got) override { load->read(*this, got); }
    void end(int error) override { load->ended(*this, error); }

    Load* load = nullptr;
    Handle self = 0;
    model::RouterId router = 0;
    std::unique_ptr<Stream> stream;
    http::Parser parser{http::Kind::Response};
    bool frozen = false;  // the router's machine is silent: nothing is read from the connection
    bool resting = false; // held open idle, never used for a request
    bool asks_ready = false;
    bool due = false; // the send time of its request has passed
    bool written = false;
    bool some_came = false; // bytes of the current response were received
    Handle request = 0;     // the try that uses the connection
    bool abandoned = false; // its client cancelled while the router's machine was silent
    std::uint32_t requests = 0;
    model::TryId last = 0, before = 0; // the latest two tries sent on it
    double up_at = 0;
  };
  struct Side { // state of one router
    bool runs = false, ready = false;
    std::vector<Handle> kept; // idle connections, the newest last
    std::uint32_t life = 0;
    std::uint32_t resting = 0;
  };

  // ---- requests ----
  void draw();
  void acts();
  void wake_clients();
  void start_try(const model::TryStart& start);
  void send(Handle handle);
  void write(Connection& c, Try& t);
  void over(const model::TryOver& over);
  void answered(Handle handle, const Heard& heard);
  void end_try(Handle handle, const Heard& heard);
  void told(Try& t, bool taken, bool new_connection, double late);
  void check_done();

  // ---- connections ----
  Connection* kept(model::RouterId router);
  Connection* connect(model::RouterId router);
  void came_up(Connection& c);
  void read(Connection& c, std::string_view got);
  void ended(Connection& c, int error);
  void surplus(const Connection& c, const Heard& heard);
  void drop(Connection& c);
  void rest(Connection& c);

  // ---- routers ----
  void apply(const model::Step& step);
  void ask_ready(model::RouterId router);
  void is_ready(model::RouterId router);
  void keep_resting(model::RouterId router);
  void silence(model::RouterId router, bool on);

  double way(const Try& t);
  double now() const { return loop_.now(); }
  // Runs `task` after `ms`, also before the run's clock has started.
  void later(double ms, std::function<void()> what) { loop_.after(ms, std::move(what)); }

  const Stage& stage_;
  Calls calls_;
  std::vector<char> ready_by_connect_;
  Loop loop_;
  model::Network network_;
  model::Keys keys_;
  model::Arrivals arrivals_;
  model::Clients clients_;
  model::Front front_;
  std::vector<Side> sides_;
  loop::SlotMap<Try> tries_;
  loop::SlotMap<Connection> connections_;
  std::unordered_map<model::TryId, Handle> by_try_; // tries whose clients still wait
  std::optional<model::Drawn> next_;
  model::ClientActs acts_;
  bool acting_ = false, finishing_ = false, done_ = false;
  double wakes_at_;
  loop::TimerQueue::TimerId wake_ = 0;
  Lateness lateness_;
  LoadInfo info_;
  std::thread thread_;
};

} // namespace fernward::rig
