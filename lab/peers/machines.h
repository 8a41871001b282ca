// Simulated cache nodes and the origin: the server models behind real sockets.
//
// Each router reaches each machine at a separate address, so that the path between the two alone can be cut.
// Each message is delayed by the one-way delay of its direction; the first request of a connection waits for
// the handshake. A machine that is off refuses connections. A machine that is unreachable accepts none (the
// backlog of its listening socket is full), and data written to its open connections stays unread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "http/parser.h"
#include "lab/peers/response_script.h"
#include "lab/shared/lateness.h"
#include "lab/shared/loop.h"
#include "lab/shared/run_context.h"
#include "lab/shared/stream.h"
#include "loop/slot_map.h"
#include "model/cache_node.h"
#include "model/discovery.h"
#include "model/network.h"
#include "model/origin.h"
#include "model/pending_fills.h"

namespace fernward::rig {

struct MachineCallbacks {
  // The state of a machine has changed, which discovery reports to the routers.
  std::function<void(model::MachineId, ServerState, double started_at, model::Discovery::Cause)> changed;
  // The start time of a machine as a router was last notified of it; below 0: before the run.
  std::function<double(model::RouterId, model::MachineId)> notified_start;
};

// All machines of a run. Owned by the simulated fleet, and used on its loop's thread.
class SimulatedMachines {
 public:
  SimulatedMachines(const RunContext& context, RunLoop& loop, model::Network& network,
                    MachineCallbacks callbacks);
  ~SimulatedMachines();

  void open();      // listens; throws std::runtime_error
  void start_run(); // the run has started
  // A step that is already applied to the network.
  void apply(const model::Step& step);

  std::size_t attempts() const { return active_attempts_.size(); } // active now
  std::uint64_t arrived_count() const { return arrived_count_; }
  const LatenessHistogram& lateness() const { return lateness_; } // of responses, relative to their due times

 private:
  using Handle = loop::Handle;
  struct Request { // a complete request on its way to the machine
    model::TryId try_id = 0;
    TryMetadata metadata;
    double sent_at = 0, read_at = 0, wait_ms = 0; // run times of its first byte and its end; X-Timeout-Ms
  };
  struct Connection final : Stream::Handler {
    void on_data(std::string_view data) override { machines->on_data(*this, data); }
    void on_closed(int) override { machines->on_closed(*this); }

    SimulatedMachines* machines = nullptr;
    Handle self = 0;
    model::RouterId router = 0;
    model::MachineId machine = 0;
    std::uint32_t incarnation = 0;  // of the machine when it accepted the connection
    std::unique_ptr<Stream> stream; // null: closed by the router; the close is on its way to the machine
    http::Parser parser{http::MessageKind::Request};
    std::string buffered;     // received bytes of the next request
    bool accepted = false;    // occupies a slot of the machine's connection table
    bool established = false; // the handshake is complete
    bool rejected = false;
    bool message_lost = false;   // a message was lost: reset when the path is restored
    bool reading_paused = false; // no message passes: nothing is read from it
    double established_at = 0;   // as seen by the router
    double first_byte_at = -1, idle_since = 0;
    double last_arrival_at_machine = 0,
           last_arrival_at_router = 0; // arrival of the latest message: messages are not reordered
    std::optional<Request> request;    // on its way to the machine
    bool request_in_transit = false;   // the arrival of the request is scheduled
    Handle attempt = 0;                // the attempt that the machine processes
    bool response_pending = false;     // part of the response is still to be written
  };
  struct ActiveAttempt { // an attempt that a machine processes
    model::AttemptId number = 0;
    model::MachineId machine = 0;
    Handle connection = 0;
    model::TryId try_id = 0;
    std::uint64_t key = 0;
    bool write = false;
    double size_bytes = 0;
  };
  struct MachineState { // a machine's state in addition to its server model
    std::uint32_t incarnation = 0;
    double started_at = -1;
    double timer_at = 0; // run time at which `timer` is due
    loop::TimerQueue::TimerId timer = 0;
    double bad_response_share = 0;
    model::BadResponse bad_response = model::BadResponse::Error;
  };
  struct Listener { // the listening socket for one router at one machine's address
    enum class State { Closed, Open, Blocked }; // Blocked: its backlog is kept full
    SimulatedMachines* machines = nullptr;
    model::RouterId router = 0;
    model::MachineId address_owner = 0;
    State state = State::Closed;
    int fd = -1;
    loop::EventPtr accept_event;
    std::vector<int> blocking_sockets;
  };

  // ---- listeners ----
  static void on_acceptable(int, short, void* listener_argument);
  void accept(Listener& target);
  Listener& listener(model::RouterId router, model::MachineId address_owner);
  void set_listener_state(Listener& target, Listener::State state);
  void update_listeners(model::MachineId machine);
  void block(Listener& target);

  // ---- connections ----
  void on_data(Connection& connection, std::string_view data);
  void read_request(Connection& connection);
  std::optional<Request> parse_request(const Connection& connection, const http::Message& message,
                                       int& status);
  void connect_at_machine(Handle connection);
  void forward_request(Connection& connection);
  void request_arrived(Handle connection);
  void on_closed(Connection& connection);
  void closed_at_machine(Handle connection);
  void reset_connections(model::MachineId machine, bool only_message_lost);
  void reset(Handle connection);
  void reachability_changed();
  void close_idle_connections();
  bool passes(const Connection& connection) const {
    return network_.is_connected(connection.router, connection.machine);
  }
  bool of_current_incarnation(const Connection& connection) const {
    return connection.incarnation == states_[connection.machine].incarnation;
  }
  double arrival_at_machine(Connection& connection, double sent_at);
  double arrival_at_router(Connection& connection, double sent_at);

  // ---- responses ----
  void send_response(Connection& connection, double due, ResponseScript script);
  void write(Handle connection, const std::shared_ptr<const ResponseScript>& script, std::size_t piece,
             double due);
  void send_error(Connection& connection, int status);

  // ---- server models ----
  void node_step(const model::NodeStep& step);
  void process_actions(model::MachineId machine);
  void attempt_ended(model::MachineId machine, const model::ServerAction& action);
  void schedule_timer(model::MachineId machine);
  void sample();
  void record_event(model::MachineId machine, model::NodeEvent::What what, bool cold = false,
                    double notified_share = 0);
  model::CacheNode* node(model::MachineId machine);
  bool is_origin(model::MachineId machine) const {
    return context_.spec.origin.enabled && machine == context_.plan.origin;
  }
  std::uint32_t zone_of(model::MachineId machine) const { return context_.plan.machines[machine].zone; }
  double now() const { return loop_.now(); }

  const RunContext& context_;
  RunLoop& loop_;
  model::Network& network_;
  MachineCallbacks callbacks_;
  model::KeySpace keys_;
  model::IdempotencyCache idempotency_cache_;
  model::CacheNode::InitialNodes initial_nodes_;
  model::PendingFills pending_fills_;
  model::Engine work_noise_engine_, bad_response_engine_;
  std::vector<std::unique_ptr<model::ServerModel>> server_models_;
  std::vector<MachineState> states_;
  std::vector<model::MachineId>
      address_owner_; // current owner of each address, by the number of its first machine
  std::vector<Listener> listeners_;
  loop::SlotMap<Connection> connections_;
  loop::SlotMap<ActiveAttempt> active_attempts_;
  model::ServerActions actions_;
  bool processing_actions_ = false;
  model::AttemptId arrived_count_ = 0;
  LatenessHistogram lateness_;
};

} // namespace fernward::rig
