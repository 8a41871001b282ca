// The open-loop clients of a run, in one loop of a thread of their own.
//
// A request is sent when it was meant to be sent, whatever became of those before; times count from then. How much
// later the rig itself was is measured for each try. Clients are dealt over the routers by the model's plain front,
// which asks a starting router whether it is ready and notices a dead one late.
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
  lab::Quantiles lateness_ms; // of sends against their due time
  double cpu_s = 0;
  std::uint64_t tries = 0, connections = 0; // made
};

class Load {
 public:
  struct Calls {                                // from the load's thread
    std::function<void(model::RouterId)> ready; // the router has answered /ready with 200
    std::function<void()> done;                 // all requests are drawn and have ended
  };
  // `ready_by_connect`: routers that know no /ready count as ready once they take a connection.
  Load(const Stage& stage, Calls calls, std::vector<char> ready_by_connect);
  ~Load(); // as stop()
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // From the thread that made it.
  void open();                                         // the loop runs
  void begin();                                        // the clock has begun: clients come
  void router_started(model::RouterId router);         // it is asked whether it is ready
  void router_stopping(model::RouterId router);        // it was sent SIGTERM
  void router_down(model::RouterId router);            // its process has ended
  void router_pauses(model::RouterId router, bool on); // it stands still, or goes on
  void finish(); // no further requests are drawn; those that are open end as they do
  LoadInfo stop();

 private:
  using Handle = loop::Handle;
  struct Try {
    model::TryStart start;
    model::RouterId router = 0;
    bool routed = false;
    bool told = false;     // its Tried record is out
    bool over = false;     // the client has heard an end, or waits no longer
    bool resent = false;   // its first connection was closed between requests
    bool answered = false; // on its way to the client
    double planned = 0;    // run time at which its first byte is due at the router
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
    bool frozen = false;  // the router's machine is silent: nothing is read
    bool resting = false; // held open without a request
    bool asks_ready = false;
    bool due = false; // the time of its request has come
    bool written = false;
    bool some_came = false; // of the present answer
    Handle request = 0;     // the try that has it
    bool abandoned = false; // its client has gone while the router's machine was silent
    std::uint32_t requests = 0;
    model::TryId last = 0, before = 0; // the latest two
    double up_at = 0;
  };
  struct Side { // a router's
    bool runs = false, ready = false;
    std::vector<Handle> kept; // connections at rest, the newest last
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
  // Some time after now on a clock that may not have begun.
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
  std::unordered_map<model::TryId, Handle> by_try_; // those whose client still waits
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
