// A router process in virtual time: fernward::Balancer, and the part of the network half that is visible to
// its decisions: when outcomes are reported, idle connections and their timeouts, full tables, and the final
// deadline guard.
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
#include "gossip/advice.h"
#include "gossip/fleet.h"
#include "idle_connections/idle_lifetime_estimator.h"
#include "lab/virtual/agenda.h"
#include "lab/virtual/planted.h"
#include "model/clients.h"
#include "model/discovery.h"
#include "model/plan.h"
#include "model/record.h"

namespace fernward::lab {

// A connection from a router to a machine. It stays in the table until both ends know that it has ended.
struct Link {
  model::RouterId router = 0;
  model::MachineId machine = 0;
  std::uint32_t machine_life = 0; // of the process that accepted the connection
  bool up = false;                // as seen by the router
  bool accepted = false;          // counted by the machine as a connection
  bool stuck = false;     // a message was lost: the connection resets once the network passes messages again
  bool closed = false;    // by the router
  Handle attempt = 0;     // the router's attempt that uses it; 0: none
  Handle arrival = 0;     // the machine's attempt that uses it; 0: none
  bool gone = false;      // closed by the machine
  std::uint32_t rest = 0; // number of its present or last idle period
  double rested_ms = -1;  // idle time before its present request; below 0: first request
  bool trial = false;     // it was idle for longer than is estimated to be safe
  double opened_at = 0, rests_since = 0, machine_rests_since = 0;
  double to_machine_at = 0, to_router_at = 0; // the latest message's arrival: messages stay in order
};

struct Exchange {
  model::RouterId router = 0;
  Handle client = 0; // its try
  model::TryStart start;
  double deadline = 0;
  boost::container::small_vector<Handle, 6> attempts; // by attempt number; 0: ended
  std::uint32_t out = 0;
  bool over = false;
};

struct RouterAttempt {
  model::RouterId router = 0;
  Handle exchange = 0;
  std::uint32_t number = 0;
  model::MachineId machine = 0;
  Handle link = 0;
  double sent_at = 0, deadline = 0;
  bool written = false;
  std::uint32_t again = 0; // by PlantedDefect::UncountedRetry
};

struct Machines {                        // the server identities by which routers know machines
  std::vector<fernward::Server> entries; // by machine; state and start time come from the endpoint list
  std::unordered_map<fernward::ServerId, model::MachineId> by_id;
};

// The operations that a router needs from its environment. Implemented by VirtualWorld, which owns the
// routers.
class Surroundings {
 public:
  virtual ~Surroundings() = default;
  virtual double now() const = 0;
  virtual void at(double time, Due what, std::uint32_t number, std::uint64_t handle, std::uint32_t life) = 0;
  virtual void connect(Handle link) = 0;  // completes with on_connected() or on_connection_lost()
  virtual void write(Handle attempt) = 0; // sends the attempt on its link
  virtual void close(Handle link) = 0;    // by the router
  virtual void answer(Handle client, model::Heard heard, double retry_after_ms) = 0;
  virtual bool waits(Handle client) = 0; // the client has not given up
  virtual void taken(Handle client, Handle exchange) = 0;
  virtual void log(model::RouterId router, const char* text) = 0;
  virtual void datagram(model::RouterId from, model::RouterId to, std::string bytes) = 0;
  virtual Table<Link>& links() = 0;
  virtual Table<Exchange>& exchanges() = 0;
  virtual Table<RouterAttempt>& attempts() = 0;
};

class Router {
 public:
  Router(const model::Spec& spec, const model::RouterPlace& place, const Machines& machines,
         std::size_t routers, Surroundings& world, Planted planted);

  bool runs() const { return balancer_ != nullptr; }
  bool accepts() const { return runs() && !stopped_; } // accepts new connections
  bool stopping() const { return stopping_; }
  std::uint32_t life() const { return life_; }
  bool ready() const; // its endpoint list has a node in service

  // ---- life cycle ----
  void start();
  void die();            // the caller removes its exchanges, attempts and links, and notifies their peers
  void stop_accepting(); // some time after SIGTERM
  void drain();          // later: kept connections are no longer served
  bool keeps() const { return runs() && !drained_; } // keeps connections to clients after a response
  void wind_down();                                  // SIGTERM
  bool finished() const { return stopped_ && unanswered_ == 0 && door_.empty(); }

  // ---- events ----
  void request(Handle client, const model::TryStart& start);
  void client_gone(Handle exchange);
  void list(const model::Discovery::List& list, bool cached);
  void linked(Handle link);
  void lost(Handle link, bool refused); // refused, timed out while connecting, or reset
  void closed_by_machine(Handle link);
  // What happens to the link with the response. ClosedUnanswered: closed before any part of it arrived.
  enum class Ends { KeepsLink, ClosesLink, Unbegun };
  void answered(Handle attempt, fernward::AttemptResult result, std::vector<float> report, Ends how);
  void attempt_timeout(Handle attempt);
  void connect_timeout(Handle link);
  void guard(Handle exchange);
  void timer(std::uint64_t token);
  void rested(Handle link, std::uint32_t rest);
  void round(); // of the gossip between routers
  void datagram(model::RouterId from, const std::string& bytes);

  // ---- state for records ----
  std::uint64_t list_index() const { return list_index_; } // 0: none since its start
  struct Known {
    ServerState state = ServerState::Gone;
    double started_at = -1;
  };
  const Known& known(model::MachineId machine) const { return known_[machine]; }
  double cpu_s() const { return cpu_s_; }
  std::size_t peak_links() const { return peak_links_; }
  std::uint64_t decisions() const { return decisions_; }
  std::optional<model::Shared> shared(); // nullopt: it shares nothing

 private:
  void enqueue(fernward::Event event) { events_.push_back(std::move(event)); }
  void pump();
  void decide(const fernward::Event& event);
  bool send_again(const RouterAttempt& a, fernward::AttemptResult result);
  gossip::View view();
  void carry_out(const fernward::Action& action);
  void send(const fernward::Send& send);
  enum class Start { Begun, NoTarget, Full };
  Start start_attempt(Handle attempt, model::MachineId machine);
  void stop(Handle attempt, fernward::AttemptResult result);
  void end_attempt(Handle attempt, fernward::AttemptResult result, std::vector<float> report,
                   bool rested = false);
  void outcome(Handle exchange, std::uint32_t number, model::MachineId machine, double elapsed,
               fernward::AttemptResult result, std::vector<float> report = {}, bool rested = false,
               bool first = false);
  void finish(Handle exchange, std::optional<model::Heard> heard, double retry_after_ms);
  void drop_if_done(Handle exchange);
  bool in_service(model::MachineId machine) const { return known_[machine].state == ServerState::Ready; }
  Handle reusable(model::MachineId machine);
  descriptors::DescriptorBudget::Lease room(descriptors::Side side);
  bool let_go(); // false: there is no idle link
  void learn(const Link& l, bool reset);
  void rest(Handle link, Link& l);
  void close_link(Handle link, Link& l);
  void close_free(model::MachineId machine);
  double now() const { return world_.now(); }
  double clock() const; // as seen by the policy and the gossip
  void speak();
  void word(); // passes its consequences to the balancer

  const model::Spec& spec_;
  const model::RouterPlace place_;
  const Machines& machines_;
  Surroundings& world_;
  fernward::Settings settings_;
  Defect defect_;

  std::uint32_t life_ = 0;
  std::unique_ptr<fernward::Balancer> balancer_;
  std::deque<fernward::Event> events_;
  std::vector<fernward::Action> actions_;
  bool pumping_ = false;
  bool stopping_ = false, stopped_ = false, drained_ = false;
  const std::size_t routers_; // in the tier
  gossip::Uses uses_;
  std::unique_ptr<gossip::Fleet> fleet_;
  std::vector<gossip::Fleet::Out> out_;
  bool heard_ = false;                    // from any peer, since its start
  std::size_t unanswered_ = 0, open_ = 0; // exchanges without a response, and all in the table
  struct Waiting {
    Handle client;
    model::TryStart start;
  };
  void open(const Waiting& waiting, descriptors::DescriptorBudget::Lease place);
  std::deque<Waiting> door_; // connections left in the kernel's queue while the descriptor table is full

  std::vector<Known> known_; // by machine; survives a restart as the cached list
  std::uint64_t list_index_ = 0;
  std::vector<std::vector<Handle>> free_; // idle links by machine, the most recent last
  struct Rest {
    double since;
    Handle link;
  };
  std::deque<Rest> resting_; // by time; entries of links that are in use again are obsolete
  bool at_rest(const Rest& rest);
  idle_connections::IdleLifetimeEstimator rests_;
  descriptors::DescriptorBudget account_;
  std::unordered_map<Handle, descriptors::DescriptorBudget::Lease> places_; // of links and open exchanges
  std::size_t peak_links_ = 0;
  double cpu_s_ = 0;
  std::uint64_t decisions_ = 0;
};

// The longest time for which a router keeps a link idle.
double router_idle_ms(const model::Spec& spec);
// Offset of the clock that routers see. It is large enough for every start before the run to lie in the past.
inline constexpr double kRouterEpoch = 1e9;

} // namespace fernward::lab
