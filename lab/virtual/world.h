// The simulation in virtual time: clients, machines, network and discovery around the routers. Events are
// processed in order of time. All behaviour comes from the model.
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <vector>

#include "lab/driver.h"
#include "lab/lies/liar.h"
#include "lab/virtual/agenda.h"
#include "lab/virtual/router.h"
#include "model/arrivals.h"
#include "model/aside.h"
#include "model/clients.h"
#include "model/discovery.h"
#include "model/network.h"
#include "model/node.h"
#include "model/origin.h"

namespace fernward::lab {

inline constexpr double kForever = std::numeric_limits<double>::infinity();
double longest_give_up(const model::Spec& spec); // the longest of its classes

class World : public Surroundings {
 public:
  // `spec` and `sink` must outlive it; faults(spec) must be empty.
  World(const model::Spec& spec, model::Sink& sink, Planted planted = Planted::None)
      : World(spec, sink, planted, spec) {}
  // Takes the plan and requests from `plan_spec`, and draws everything else from `spec`. The two differ only
  // in the seed.
  World(const model::Spec& spec, model::Sink& sink, Planted planted, const model::Spec& asked);

  // Runs until all requests are answered, or until `control` requests a stop.
  void run(const RunControl& control, RunInfo& info);

  // ---- RouterEnvironment ----
  double now() const override { return now_; }
  void at(double time, Due what, std::uint32_t number, std::uint64_t handle, std::uint32_t life) override {
    agenda_.add(time < now_ ? now_ : time, what, number, handle, life);
  }
  void connect(Handle link) override;
  void write(Handle attempt) override;
  void close(Handle link) override;
  void answer(Handle client, model::Heard heard, double retry_after_ms) override;
  bool waits(Handle client) override;
  void taken(Handle client, Handle exchange) override;
  void log(model::RouterId router, const char* text) override;
  void datagram(model::RouterId from, model::RouterId to, std::string bytes) override;
  Table<Link>& links() override { return links_; }
  Table<Exchange>& exchanges() override { return exchanges_; }
  Table<RouterAttempt>& attempts() override { return attempts_; }

 private:
  struct Try {
    model::TryStart start;
    model::RouterId router = 0;
    std::uint32_t life = 0; // of the router that accepted it
    bool new_connection = false, over = false, taken = false;
    bool came = false;     // at its router, or never will
    bool answered = false; // the response is under way
    Handle exchange = 0;
    model::Heard heard = model::Heard::Served;
    double retry_after_ms = 0;
  };
  struct Arrival { // an attempt at a machine
    model::AttemptId number = 0;
    model::MachineId machine = 0;
    model::RouterId router = 0;
    Handle link = 0, attempt = 0;
    model::TryId try_id = 0;
    std::uint64_t key = 0;
    bool write = false;
    fernward::AttemptResult result = fernward::AttemptResult::Ok;
    Router::Ends ends = Router::Ends::KeepsLink;
    std::vector<float> report;
  };
  struct Datagram {
    model::RouterId from = 0, to = 0;
    std::string bytes;
  };
  struct Pause { // of a router's process
    bool on = false;
    std::vector<Agenda::Entry> due;         // events held for it, in order
    std::vector<model::RouterStep> signals; // signals held for it, in order
  };
  struct Place { // a machine's state in addition to its server model
    std::uint32_t life = 0;
    double started_at = -1;
    double wakes_at = 0; // the time of its EventKind::MachineTimer in the queue
    double bad_share = 0;
    model::BadAnswer bad = model::BadAnswer::Error;
  };

  bool means_something(const Agenda::Entry& due);
  void work_off(const Agenda::Entry& due);
  void step(const model::Step& step);
  void sample();

  // ---- clients ----
  void draw_next();
  void client_acts();
  void start_try(const model::TryStart& start);
  void over(const model::TryOver& over);
  void request_at_router(Handle client);
  void send_anew(Handle client, Try& t);
  void end_try(Handle client, model::Heard heard, double retry_after_ms);
  void wake_clients();

  // ---- routers ----
  void router_step(const model::RouterStep& step);
  void router_starts(model::RouterId router);
  void router_dies(model::RouterId router, model::RouterEvent::What how);
  void check_end(model::RouterId router);
  bool waits_for_router(const Agenda::Entry& due);
  void pause(model::RouterId router);
  void wake(model::RouterId router);
  void datagram_at_router(Handle datagram);
  void tell(model::RouterId router);
  bool hears_discovery(model::RouterId router) const;
  void discovery();
  void event(model::RouterId router, model::RouterEvent::What what);

  // ---- machines ----
  void node_step(const model::NodeStep& step);
  void station_acts(model::MachineId machine);
  void attempt_ended(model::MachineId machine, const model::Act& act);
  void connect_at_machine(Handle link);
  void attempt_at_machine(Handle attempt);
  void close_at_machine(Handle link);
  void machine_closes(Handle link);
  void answer_at_router(Handle arrival);
  void reset_links(model::MachineId machine, bool only_stuck);
  void reset_at_router(Handle link);
  void free_ways();
  void event(model::MachineId machine, model::NodeEvent::What what, bool cold, double told_share);
  model::Node* node(model::MachineId machine);
  void spoil(Arrival& arrival, double& delay);
  std::uint32_t zone_of(model::MachineId machine) const { return plan_.machines[machine].zone; }
  double idle_ms(model::MachineId machine) const;
  double to_machine(Link& link);
  double to_router(Link& link);

  const model::Spec& spec_;
  model::Sink& sink_;
  model::Plan plan_;
  model::Keys keys_;
  model::Repeats repeats_;
  model::Node::Beginning beginning_;
  model::Aside aside_;
  model::Arrivals arrivals_;
  model::Clients clients_;
  model::Front front_;
  model::Network network_;
  model::Discovery discovery_;
  model::Engine noise_, bad_;
  Machines machines_;

  double now_ = 0;
  Agenda agenda_;
  Table<Link> links_;
  Table<Exchange> exchanges_;
  Table<RouterAttempt> attempts_;
  Table<Try> tries_;
  Table<Arrival> arrived_;
  std::vector<std::unique_ptr<model::Station>> stations_;
  std::vector<Place> places_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<std::uint32_t> kept_; // idle connections of clients, by router
  std::vector<char> stuck_;         // by router: it has client connections that pass no messages
  std::vector<double> down_ms_;     // by terminating router: delay until it is restarted; below 0: never
  std::vector<Pause> pauses_;       // by router
  Table<Datagram> datagrams_;
  std::map<model::RouterId, lies::Liar> liars_;     // of routers with false facts, past or present
  std::vector<RouterCost> spoken_;                  // by router: its datagrams
  std::vector<char> moved_;                         // by router: it uses discovery's new address
  std::unordered_map<model::TryId, Handle> by_try_; // tries whose client still waits
  std::optional<model::Drawn> next_;
  model::Acts acts_;
  model::ClientActs client_acts_;
  bool discovery_down_ = false, old_ended_ = false, done_drawing_ = false;
  double clients_wake_ = 0, discovery_wake_ = 0;
  model::AttemptId attempts_seen_ = 0;
};

} // namespace fernward::lab
