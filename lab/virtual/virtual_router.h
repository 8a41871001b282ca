// A router process in virtual time: fernward::Balancer, and as much of the network code around it as its
// decisions depend on: when outcomes are reported, idle connections and their timeouts, full tables, and the
// final deadline guard.
//
// It mirrors src/proxy/request_dispatcher.cpp and src/upstream/connection_pool.cpp, and must change with
// them.
#pragma once

#include <boost/container/small_vector.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "descriptors/descriptor_budget.h"
#include "fernward/balancer.h"
#include "gossip/balancer_exchange.h"
#include "gossip/gossip_node.h"
#include "idle_connections/idle_lifetime_estimator.h"
#include "lab/virtual/event_queue.h"
#include "lab/virtual/planted_defect.h"
#include "model/clients.h"
#include "model/discovery.h"
#include "model/plan.h"
#include "model/records.h"

namespace fernward::lab {

// A connection from a router to a machine. It stays in the table until both ends know that it has ended.
struct Link {
  model::RouterId router = 0;
  model::MachineId machine = 0;
  std::uint32_t machine_incarnation = 0; // of the process that accepted the connection
  bool established = false;              // as seen by the router
  bool accepted = false;                 // counted by the machine as a connection
  bool message_lost =
      false; // a message was lost: the connection resets once the network passes messages again
  bool closed_by_router = false;
  Handle attempt = 0;         // the router's attempt that uses it; 0: none
  Handle machine_attempt = 0; // the machine's attempt that uses it; 0: none
  bool closed_by_machine = false;
  std::uint32_t idle_period = 0;      // number of its present or last idle period
  double idle_before_request_ms = -1; // idle time before its present request; below 0: first request
  bool idle_trial = false;            // it was idle for longer than is estimated to be safe
  double opened_at = 0, idle_since = 0, machine_idle_since = 0;
  double last_arrival_at_machine = 0,
         last_arrival_at_router = 0; // arrival of the latest message: messages are not reordered
};

// A client's request in a router, from its acceptance until it is answered and its attempts have ended.
struct Exchange {
  model::RouterId router = 0;
  Handle client_try = 0;
  model::TryStart start;
  double deadline = 0;
  boost::container::small_vector<Handle, 6> attempts; // by attempt number; 0: ended
  std::uint32_t active_attempts = 0;
  bool answered = false;
};

// An attempt as its router sees it. The machine has its own view (VirtualWorld::MachineAttempt).
struct RouterAttempt {
  model::RouterId router = 0;
  Handle exchange = 0;
  std::uint32_t number = 0;
  model::MachineId machine = 0;
  Handle link = 0;
  double sent_at = 0, deadline = 0;
  bool written = false;
  std::uint32_t planted_resends = 0; // by PlantedDefect::UncountedRetry
};

struct MachineTable {                    // the server identities by which routers know machines
  std::vector<fernward::Server> entries; // by machine; state and start time come from the endpoint list
  std::unordered_map<fernward::ServerId, model::MachineId> by_id;
};

// The operations that a router needs from its environment. Implemented by VirtualWorld, which owns the
// routers. `client`: the handle of a client's try.
class RouterEnvironment {
 public:
  virtual ~RouterEnvironment() = default;
  virtual double now() const = 0;
  virtual void schedule(double time, EventKind kind, std::uint32_t number, std::uint64_t handle,
                        std::uint32_t incarnation) = 0;
  // Calls VirtualRouter::on_connected() or on_connection_lost() later, if messages pass.
  virtual void connect(Handle link) = 0;
  virtual void write(Handle attempt) = 0; // sends the attempt on its link
  virtual void close(Handle link) = 0;    // by the router
  virtual void respond(Handle client, model::TryOutcome outcome, double retry_after_ms) = 0;
  virtual bool client_waits(Handle client) = 0;                 // the client has not given up
  virtual void on_accepted(Handle client, Handle exchange) = 0; // the router has accepted the try
  virtual void log(model::RouterId router, const char* text) = 0;
  virtual void send_datagram(model::RouterId from, model::RouterId to, std::string bytes) = 0;
  virtual SlotTable<Link>& links() = 0;
  virtual SlotTable<Exchange>& exchanges() = 0;
  virtual SlotTable<RouterAttempt>& attempts() = 0;
};

// One router of a run, through all its incarnations: start() begins a process, terminate() ends it. Its
// exchanges, attempts and links are in the environment's tables.
class VirtualRouter {
 public:
  VirtualRouter(const model::Spec& spec, const model::PlannedRouter& router_plan,
                const MachineTable& machines, std::size_t router_count, RouterEnvironment& environment,
                PlantedDefect planted_defect);

  bool is_running() const { return balancer_ != nullptr; }
  bool is_accepting() const { return is_running() && !not_accepting_; } // accepts new connections
  bool is_stopping() const { return shutting_down_; }
  std::uint32_t incarnation() const { return incarnation_; }
  bool is_ready() const; // its endpoint list has a node in service

  // ---- life cycle ----
  void start();
  void terminate();      // the caller removes its exchanges, attempts and links, and notifies their peers
  void stop_accepting(); // some time after SIGTERM
  void drain();          // later: kept connections are no longer served
  bool keeps_client_connections() const {
    return is_running() && !drained_;
  }                      // keeps connections to clients after a response
  void begin_shutdown(); // SIGTERM
  bool has_finished() const {
    return not_accepting_ && unanswered_requests_ == 0 && waiting_requests_.empty();
  }

  // ---- events ----
  void on_request(Handle client, const model::TryStart& start);
  void on_client_disconnected(Handle exchange);
  void on_endpoint_list(const model::Discovery::List& update, bool cached);
  void on_connected(Handle link);
  void on_connection_lost(Handle link, bool refused); // refused, timed out while connecting, or reset
  void on_closed_by_machine(Handle link);
  // What happens to the link with the response. ClosedUnanswered: closed before any part of it arrived.
  enum class ConnectionEnd { Kept, Closed, ClosedUnanswered };
  void on_response(Handle attempt, fernward::AttemptResult result, std::vector<float> report,
                   ConnectionEnd connection_end);
  void on_attempt_timeout(Handle attempt);
  void on_connect_timeout(Handle link);
  void on_request_guard(Handle exchange);
  void on_timer(std::uint64_t token);
  void on_idle_timeout(Handle link, std::uint32_t idle_period);
  void run_gossip_round(); // of the gossip between routers
  void on_datagram(model::RouterId from, const std::string& bytes);

  // ---- state for records ----
  std::uint64_t list_index() const { return list_index_; } // of its endpoint list; 0: none since its start
  struct KnownState {
    ServerState state = ServerState::Gone;
    double started_at = -1;
  };
  const KnownState& known_state(model::MachineId machine) const { return known_states_[machine]; }
  double cpu_s() const { return cpu_s_; } // in the balancer, estimated from a sample of its decisions
  std::size_t peak_links() const { return peak_links_; }
  std::uint64_t decisions() const { return decisions_; }
  std::optional<model::SharingSample> shared_state(); // nullopt: it shares nothing

 private:
  void enqueue(fernward::Event event) { events_.push_back(std::move(event)); }
  void process_events();
  void decide(const fernward::Event& event);
  bool resend_planted(const RouterAttempt& attempt, fernward::AttemptResult result);
  gossip::FleetView gossip_view();
  void execute(const fernward::Action& action);
  void send(const fernward::Send& send);
  enum class StartResult { Started, NotInService, NoDescriptor };
  StartResult start_attempt(Handle attempt, model::MachineId machine);
  void cancel_attempt(Handle attempt, fernward::AttemptResult result);
  void end_attempt(Handle attempt, fernward::AttemptResult result, std::vector<float> report,
                   bool reused_connection = false);
  void report_outcome(Handle exchange, std::uint32_t number, model::MachineId machine, double elapsed_ms,
                      fernward::AttemptResult result, std::vector<float> report = {},
                      bool reused_connection = false, bool first_on_connection = false);
  void answer_client(Handle exchange, std::optional<model::TryOutcome> outcome, double retry_after_ms);
  void remove_if_complete(Handle exchange);
  bool in_service(model::MachineId machine) const {
    return known_states_[machine].state == ServerState::Ready;
  }
  Handle take_idle_link(model::MachineId machine);
  descriptors::DescriptorBudget::Lease acquire_descriptor(descriptors::Side side);
  bool close_oldest_idle_link(); // false: there is no idle link
  void record_idle_outcome(const Link& link, bool reset);
  void make_idle(Handle link, Link& link_state);
  void close_link(Handle link, Link& link_state);
  void close_idle_links(model::MachineId machine);
  double now() const { return environment_.now(); }
  double router_clock() const; // the time that the balancer and the gossip see
  void send_pending_datagrams();
  void apply_gossip_view(); // passes its consequences to the balancer

  const model::Spec& spec_;
  const model::PlannedRouter router_plan_;
  const MachineTable& machines_;
  RouterEnvironment& environment_;
  fernward::Settings settings_;
  DefectInjector defect_injector_;

  std::uint32_t incarnation_ = 0;
  std::unique_ptr<fernward::Balancer> balancer_;
  std::deque<fernward::Event> events_;
  std::vector<fernward::Action> actions_;
  bool processing_ = false;
  bool shutting_down_ = false, not_accepting_ = false, drained_ = false;
  const std::size_t router_count_; // routers of the run
  gossip::GossipFeatures gossip_features_;
  std::unique_ptr<gossip::GossipNode> gossip_node_;
  std::vector<gossip::GossipNode::OutgoingDatagram> pending_datagrams_;
  bool heard_from_peer_ = false; // from any peer, since its start
  std::size_t unanswered_requests_ = 0,
              open_requests_ = 0; // exchanges without a response, and all in the table
  struct WaitingRequest {
    Handle client_try;
    model::TryStart start;
  };
  void open_request(const WaitingRequest& waiting, descriptors::DescriptorBudget::Lease descriptor);
  std::deque<WaitingRequest>
      waiting_requests_; // connections left in the kernel's queue while the descriptor table is full

  std::vector<KnownState> known_states_; // by machine; survives a restart as the cached list
  std::uint64_t list_index_ = 0;
  std::vector<std::vector<Handle>> idle_links_; // idle links by machine, the most recent last
  struct IdlePeriod {
    double since;
    Handle link;
  };
  std::deque<IdlePeriod> idle_periods_; // by time; entries of links that are in use again are obsolete
  bool is_idle(const IdlePeriod& period);
  idle_connections::IdleLifetimeEstimator idle_lifetimes_;
  descriptors::DescriptorBudget descriptor_budget_;
  std::unordered_map<Handle, descriptors::DescriptorBudget::Lease>
      descriptor_leases_; // of links and open exchanges
  std::size_t peak_links_ = 0;
  double cpu_s_ = 0;
  std::uint64_t decisions_ = 0;
};

// The longest time for which a router keeps a link idle.
double max_link_idle_ms(const model::Spec& spec);
// Offset of the clock that routers see. It is large enough for every start before the run to lie in the past.
inline constexpr double kRouterClockOffsetMs = 1e9;

} // namespace fernward::lab
