// A router process in virtual time: fernward::Balancer, and of the network half what the decisions can see:
// which outcome is told when, connections that are kept and close after a rest, tables that are full, the
// last guard.
//
// It follows src/proxy/request_dispatcher.cpp and src/upstream/connection_pool.cpp; where those change, this changes with them.
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

// A connection from a router to a machine. It is in the table until both ends know that it has ended.
struct Link {
  model::RouterId router = 0;
  model::MachineId machine = 0;
  std::uint32_t machine_life = 0; // of the process that accepted it
  bool up = false;                // for the router
  bool accepted = false;          // counts in the machine's table
  bool stuck = false;             // a message on it was lost: it resets when the way is free again
  bool closed = false;            // by the router
  Handle attempt = 0;             // of the router's, that has it now
  Handle arrival = 0;             // of the machine's, that has it now
  bool gone = false;              // closed by the machine
  std::uint32_t rest = 0;         // number of its present or last rest
  double rested_ms = -1;          // before its present request; below 0: that is its first
  bool trial = false;             // it had rested longer than is believed safe
  double opened_at = 0, rests_since = 0, machine_rests_since = 0;
  double to_machine_at = 0, to_router_at = 0; // the latest message's arrival: none overtakes another
};

struct Exchange {
  model::RouterId router = 0;
  Handle client = 0; // its try
  model::TryStart start;
  double deadline = 0;
  boost::container::small_vector<Handle, 6> attempts; // by number; 0: has ended
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
  std::uint32_t again = 0; // planted: so often it was sent again
};

struct Machines {                        // the numbers that routers know machines by
  std::vector<fernward::Server> entries; // by machine; state and start are those of the list
  std::unordered_map<fernward::ServerId, model::MachineId> by_id;
};

// What a router asks of the world around it.
class Surroundings {
 public:
  virtual ~Surroundings() = default;
  virtual double now() const = 0;
  virtual void at(double time, Due what, std::uint32_t number, std::uint64_t handle, std::uint32_t life) = 0;
  virtual void connect(Handle link) = 0;  // its end comes by linked(), refused() or lost()
  virtual void write(Handle attempt) = 0; // on its link
  virtual void close(Handle link) = 0;    // the router is done with it
  virtual void answer(Handle client, model::Heard heard, double retry_after_ms) = 0;
  virtual bool waits(Handle client) = 0; // it has not given up
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
  bool accepts() const { return runs() && !stopped_; } // new connections
  bool stopping() const { return stopping_; }
  std::uint32_t life() const { return life_; }
  bool ready() const; // it has a list with a node in service

  // ---- life ----
  void start();
  void die();            // its exchanges, attempts and links are gone; the caller tells the other ends
  void stop_accepting(); // some time after SIGTERM
  void drain();          // later: kept connections are not served any more
  bool keeps() const { return runs() && !drained_; } // its connections to clients, after an answer
  void wind_down();                                  // SIGTERM
  bool finished() const { return stopped_ && unanswered_ == 0 && door_.empty(); }

  // ---- what happens ----
  void request(Handle client, const model::TryStart& start);
  void client_gone(Handle exchange);
  void list(const model::Discovery::List& list, bool cached);
  void linked(Handle link);
  void lost(Handle link, bool refused); // refused, timed out in its making, or reset
  void closed_by_machine(Handle link);
  enum class Ends { KeepsLink, ClosesLink, Unbegun }; // Unbegun: closed before any of the answer came
  void answered(Handle attempt, fernward::AttemptResult result, std::vector<float> report, Ends how);
  void attempt_timeout(Handle attempt);
  void connect_timeout(Handle link);
  void guard(Handle exchange);
  void timer(std::uint64_t token);
  void rested(Handle link, std::uint32_t rest);
  void round(); // of what routers share
  void datagram(model::RouterId from, const std::string& bytes);

  // ---- for records and others ----
  std::uint64_t list_index() const { return list_index_; } // 0: none since its start
  struct Known {
    ServerState state = ServerState::Gone;
    double started_at = -1;
  };
  const Known& known(model::MachineId machine) const { return known_[machine]; }
  double cpu_s() const { return cpu_s_; }
  std::size_t peak_links() const { return peak_links_; }
  std::uint64_t decisions() const { return decisions_; }
  std::optional<model::Shared> shared(); // none: it shares nothing

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
  bool let_go(); // of a link at rest
  void learn(const Link& l, bool reset);
  void rest(Handle link, Link& l);
  void close_link(Handle link, Link& l);
  void close_free(model::MachineId machine);
  double now() const { return world_.now(); }
  double clock() const; // that the policy and the fleet see
  void speak();         // what fleet_ has to say
  void word();          // what follows from it for the balancer

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
  const std::size_t routers_; // of the tier
  gossip::Uses uses_;
  std::unique_ptr<gossip::Fleet> fleet_;
  std::vector<gossip::Fleet::Out> out_;
  bool heard_ = false;                    // anybody, since its start
  std::size_t unanswered_ = 0, open_ = 0; // exchanges: without an answer; in the table
  struct Waiting {
    Handle client;
    model::TryStart start;
  };
  void open(const Waiting& waiting, descriptors::DescriptorBudget::Lease place);
  std::deque<Waiting> door_; // connections that the full table leaves in the kernel's queue

  std::vector<Known> known_; // by machine; outlives the process as its last list
  std::uint64_t list_index_ = 0;
  std::vector<std::vector<Handle>> free_; // links by machine, the newest last
  struct Rest {
    double since;
    Handle link;
  };
  std::deque<Rest> resting_; // in order of time; entries of links that are in use again are void
  bool at_rest(const Rest& rest);
  idle_connections::IdleLifetimeEstimator rests_;
  descriptors::DescriptorBudget account_;
  std::unordered_map<Handle, descriptors::DescriptorBudget::Lease>
      places_; // of links and exchanges that wait
  std::size_t peak_links_ = 0;
  double cpu_s_ = 0;
  std::uint64_t decisions_ = 0;
};

// No rest of a link is longer.
double router_idle_ms(const model::Spec& spec);
// The clock that routers see begins here: far enough for every start before the run to lie in its past.
inline constexpr double kRouterEpoch = 1e9;

} // namespace fernward::lab
