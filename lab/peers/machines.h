// Stand-in cache nodes and the origin: the model's stations behind real sockets.
//
// Each router reaches each machine at an address of its own, so that a way can be cut between the two alone. A
// message is held for its delay on the way, both ways; a connection's first request waits for the handshake. A machine
// that is off refuses connections; one that no message reaches takes none at all (its listening socket's queue is
// full), and what is written to its open connections stays unread.
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
  // Whether discovery has something new to tell of a machine.
  std::function<void(model::MachineId, ServerState, double started_at, model::Discovery::Why)> changed;
  // The start of a machine that a router counts as told of; below 0: one before the run.
  std::function<double(model::RouterId, model::MachineId)> told_start;
};

class Machines {
 public:
  Machines(const Stage& stage, Loop& loop, model::Network& network, MachineCalls calls);
  ~Machines();

  void open();  // listens; throws std::runtime_error
  void begin(); // the run has begun
  // A step that the network has taken note of already.
  void apply(const model::Step& step);

  std::size_t attempts() const { return arrivals_.size(); } // held at present
  std::uint64_t arrived() const { return arrived_; }
  const Lateness& lateness() const { return lateness_; } // of answers, against their due time

 private:
  using Handle = loop::Handle;
  struct Request { // that has come whole
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
    std::uint32_t life = 0;         // of the process that took it
    std::unique_ptr<Stream> stream; // null: the router has closed it, the machine has not heard of that yet
    http::Parser parser{http::Kind::Request};
    std::string behind;    // bytes of the next request
    bool accepted = false; // counts in the machine's table
    bool up = false;       // the handshake is done
    bool turned_away = false;
    bool stuck = false;  // a message on it was lost: it resets when the way is free again
    bool frozen = false; // no message passes: it is not read
    double up_at = 0;    // for the router
    double first_byte_at = -1, rested_at = 0;
    double to_machine_at = 0, to_router_at = 0; // the latest message's arrival: none overtakes another
    std::optional<Request> request;             // on its way
    bool on_its_way = false;                    // its arrival is scheduled
    Handle arrival = 0;                         // the attempt that the machine has
    bool answering = false;                     // some of its answer is still to be written
  };
  struct Arrival {
    model::AttemptId number = 0;
    model::MachineId machine = 0;
    Handle connection = 0;
    model::TryId try_id = 0;
    std::uint64_t key = 0;
    bool write = false;
    double size_bytes = 0;
  };
  struct Place {
    std::uint32_t life = 0;
    double started_at = -1;
    double wakes_at = 0;
    loop::TimerQueue::TimerId wake = 0;
    double bad_share = 0;
    model::BadAnswer bad = model::BadAnswer::Error;
  };
  struct Door { // the listening socket of an address, as one router sees it
    enum class State { Closed, Open, Plugged };
    Machines* all = nullptr;
    model::RouterId router = 0;
    model::MachineId place = 0;
    State state = State::Closed;
    int fd = -1;
    loop::EventPtr accepts;
    std::vector<int> plugs;
  };

  // ---- doors ----
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

  // ---- answers ----
  void say(Connection& c, double due, Script script);
  void write(Handle connection, const std::shared_ptr<const Script>& script, std::size_t piece, double due);
  void refuse(Connection& c, int status);

  // ---- stations ----
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
  std::vector<model::MachineId> owner_; // of an address, by the number of its first machine
  std::vector<Door> doors_;
  loop::SlotMap<Connection> connections_;
  loop::SlotMap<Arrival> arrivals_;
  model::Acts acts_;
  bool acting_ = false;
  model::AttemptId arrived_ = 0;
  Lateness lateness_;
};

} // namespace fernward::rig
