// Simulated cache nodes and the origin: the server models behind real sockets.
//
// Each router reaches each machine at a separate address, so that the path between just these two can be cut.
// Each message is delayed by the one-way delay of its direction; the first request of a connection waits for
// the handshake. A machine that is off refuses connections. A machine that is unreachable accepts none (the
// backlog of its listening socket is full), and data written to its open connections stays unread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "http/parser.h"
#include "lab/peers/replies.h"
#include "lab/shared/lateness.h"
#include "lab/shared/loop.h"
#include "lab/shared/stage.h"
#include "lab/shared/stream.h"
#include "loop/slot_map.h"
#include "model/aside.h"
#include "model/discovery.h"
#include "model/network.h"
#include "model/node.h"
#include "model/origin.h"

namespace fernward::rig {

struct MachineCalls {
  // The state of a machine has changed, which discovery reports to the routers.
  std::function<void(model::MachineId, ServerState, double started_at, model::Discovery::Why)> changed;
  // The start time of a machine as a router was last notified of it; below 0: before the run.
  std::function<double(model::RouterId, model::MachineId)> told_start;
};

// All machines of a run. Owned by the simulated fleet, and used on its loop's thread.
class Machines {
 public:
  Machines(const Stage& stage, Loop& loop, model::Network& network, MachineCalls calls);
  ~Machines();

  void open();  // listens; throws std::runtime_error
  void begin(); // the run has started
  // A step that is already applied to the network.
  void apply(const model::Step& step);

  std::size_t attempts() const { return arrivals_.size(); } // active now
  std::uint64_t arrived() const { return arrived_; }
  const Lateness& lateness() const { return lateness_; } // of responses, relative to their due times

 private:
  using Handle = loop::Handle;
  struct Request { // a complete request
    model::TryId try_id = 0;
    TryFacts facts;
    double sent_at = 0, read_at = 0, wait_ms = 0;
  };
  struct Connection final : Stream::User {
    void bytes(std::string_view got) override { all->read(*this, got); }
    void end(int) override { all->closed(*this); }

    Machines* all = nullptr;
    Handle self = 0;
    model::RouterId router = 0;
    model::MachineId machine = 0;
    std::uint32_t life = 0;         // incarnation of the machine that accepted it
    std::unique_ptr<Stream> stream; // null: closed by the router; the close is on its way to the machine
    http::Parser parser{http::Kind::Request};
    std::string behind;    // received bytes of the next request
    bool accepted = false; // occupies a slot of the machine's connection table
    bool up = false;       // the handshake is complete
    bool turned_away = false;
    bool stuck = false;  // a message was lost: reset when the path is restored
    bool frozen = false; // no message passes: nothing is read from it
    double up_at = 0;    // as seen by the router
    double first_byte_at = -1, rested_at = 0;
    double to_machine_at = 0, to_router_at = 0; // arrival of the latest message: messages are not reordered
    std::optional<Request> request;             // on its way to the machine
    bool on_its_way = false;                    // the arrival of the request is scheduled
    Handle arrival = 0;                         // the attempt that the machine processes
    bool answering = false;                     // part of the response is still to be written
  };
  struct Arrival { // an attempt that a machine processes
    model::AttemptId number = 0;
    model::MachineId machine = 0;
    Handle connection = 0;
    model::TryId try_id = 0;
    std::uint64_t key = 0;
    bool write = false;
    double size_bytes = 0;
  };
  struct Place { // state of one machine
    std::uint32_t life = 0;
    double started_at = -1;
    double wakes_at = 0;
    loop::TimerQueue::TimerId wake = 0;
    double bad_share = 0;
    model::BadAnswer bad = model::BadAnswer::Error;
  };
  struct Door { // the listening socket for one router at one machine's address
    enum class State { Closed, Open, Plugged }; // Blocked: its backlog is kept full
    Machines* all = nullptr;
    model::RouterId router = 0;
    model::MachineId place = 0;
    State state = State::Closed;
    int fd = -1;
    loop::EventPtr accepts;
    std::vector<int> plugs;
  };

  // ---- listeners ----
  static void acceptable(int, short, void* door);
  void accept(Door& door);
  Door& door(model::RouterId router, model::MachineId place);
  void set_door(Door& door, Door::State state);
  void set_doors(model::MachineId machine);
  void plug(Door& door);

  // ---- connections ----
  void read(Connection& c, std::string_view got);
  void read_request(Connection& c);
  std::optional<Request> take(const Connection& c, const http::Message& message, int& status);
  void connect_at_machine(Handle connection);
  void send_on(Connection& c);
  void arrive(Handle connection);
  void closed(Connection& c);
  void gone_at_machine(Handle connection);
  void reset_links(model::MachineId machine, bool only_stuck);
  void reset(Handle connection);
  void ways_changed();
  void close_resting();
  bool passes(const Connection& c) const { return network_.passes(c.router, c.machine); }
  bool of_this_life(const Connection& c) const { return c.life == places_[c.machine].life; }
  double to_machine(Connection& c, double from);
  double to_router(Connection& c, double from);

  // ---- responses ----
  void say(Connection& c, double due, Script script);
  void write(Handle connection, const std::shared_ptr<const Script>& script, std::size_t piece, double due);
  void refuse(Connection& c, int status);

  // ---- server models ----
  void node_step(const model::NodeStep& step);
  void acts(model::MachineId machine);
  void attempt_ended(model::MachineId machine, const model::Act& act);
  void wake(model::MachineId machine);
  void sample();
  void event(model::MachineId machine, model::NodeEvent::What what, bool cold = false, double told_share = 0);
  model::Node* node(model::MachineId machine);
  bool is_origin(model::MachineId machine) const {
    return stage_.spec.origin.on && machine == stage_.plan.origin;
  }
  std::uint32_t zone_of(model::MachineId machine) const { return stage_.plan.machines[machine].zone; }
  double now() const { return loop_.now(); }

  const Stage& stage_;
  Loop& loop_;
  model::Network& network_;
  MachineCalls calls_;
  model::Keys keys_;
  model::Repeats repeats_;
  model::Node::Beginning beginning_;
  model::Aside aside_;
  model::Engine noise_, bad_;
  std::vector<std::unique_ptr<model::Station>> stations_;
  std::vector<Place> places_;
  std::vector<model::MachineId> owner_; // current owner of each address, by the number of its first machine
  std::vector<Door> doors_;
  loop::SlotMap<Connection> connections_;
  loop::SlotMap<Arrival> arrivals_;
  model::Acts acts_;
  bool acting_ = false;
  model::AttemptId arrived_ = 0;
  Lateness lateness_;
};

} // namespace fernward::rig
