// The simulation in virtual time: clients, machines, network and discovery around the routers. Events are
// processed in order of time. All behaviour comes from the model.
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <vector>

#include "lab/driver.h"
#include "lab/false_gossip/datagram_corruptor.h"
#include "lab/virtual/event_queue.h"
#include "lab/virtual/virtual_router.h"
#include "model/arrival_generator.h"
#include "model/cache_node.h"
#include "model/clients.h"
#include "model/discovery.h"
#include "model/network.h"
#include "model/origin.h"
#include "model/pending_fills.h"

namespace fernward::lab {

inline constexpr double kInfiniteMs = std::numeric_limits<double>::infinity();
double max_client_timeout_ms(const model::Spec& spec); // the longest of its classes

// One run. Used by one thread.
class VirtualWorld : public RouterEnvironment {
 public:
  // `spec` and `sink` must outlive it; model::find_spec_errors(spec) must be empty.
  VirtualWorld(const model::Spec& spec, model::Sink& sink, PlantedDefect planted_defect = PlantedDefect::None)
      : VirtualWorld(spec, sink, planted_defect, spec) {}
  // Takes the plan and requests from `plan_spec`, and draws everything else from `spec`. The two differ only
  // in the seed.
  VirtualWorld(const model::Spec& spec, model::Sink& sink, PlantedDefect planted_defect,
               const model::Spec& plan_spec);

  // Runs until all requests have ended, or until `control` requests a stop. Call it once.
  void run(const RunControl& control, RunInfo& info);

  // ---- RouterEnvironment ----
  double now() const override { return now_; }
  void schedule(double time, EventKind kind, std::uint32_t number, std::uint64_t handle,
                std::uint32_t incarnation) override {
    event_queue_.add(time < now_ ? now_ : time, kind, number, handle, incarnation);
  }
  void connect(Handle link) override;
  void write(Handle attempt) override;
  void close(Handle link) override;
  void respond(Handle client, model::TryOutcome outcome, double retry_after_ms) override;
  bool client_waits(Handle client) override;
  void on_accepted(Handle client, Handle exchange) override;
  void log(model::RouterId router, const char* text) override;
  void send_datagram(model::RouterId from, model::RouterId to, std::string bytes) override;
  SlotTable<Link>& links() override { return links_; }
  SlotTable<Exchange>& exchanges() override { return exchanges_; }
  SlotTable<RouterAttempt>& attempts() override { return attempts_; }

 private:
  struct Try {
    model::TryStart start;
    model::RouterId router = 0;
    std::uint32_t router_incarnation = 0; // of the router that accepted it
    bool new_connection = false, client_gone = false, accepted = false;
    bool reached_router = false; // it has arrived at its router, or never will
    bool response_sent = false;  // the response is under way
    Handle exchange = 0;
    model::TryOutcome outcome = model::TryOutcome::Served;
    double retry_after_ms = 0;
  };
  struct MachineAttempt { // an attempt as its machine sees it
    model::AttemptId attempt_number = 0;
    model::MachineId machine = 0;
    model::RouterId router = 0;
    Handle link = 0, attempt = 0; // attempt: the router's
    model::TryId try_id = 0;
    std::uint64_t key = 0;
    bool write = false;
    fernward::AttemptResult result = fernward::AttemptResult::Ok;
    VirtualRouter::ConnectionEnd connection_end = VirtualRouter::ConnectionEnd::Kept;
    std::vector<float> report;
  };
  struct Datagram {
    model::RouterId from = 0, to = 0;
    std::string bytes;
  };
  struct Pause { // of a router's process
    bool active = false;
    std::vector<EventQueue::Entry> pending_events;  // events held for it, in order
    std::vector<model::RouterStep> pending_signals; // signals held for it, in order
  };
  struct MachineState { // a machine's state in addition to its server model
    std::uint32_t incarnation = 0;
    double started_at = -1;
    double timer_at = 0; // the time of its EventKind::MachineTimer in the queue
    double bad_response_share = 0;
    model::BadResponse bad_response = model::BadResponse::Error;
  };

  bool is_current(const EventQueue::Entry& event);
  void dispatch(const EventQueue::Entry& event);
  void apply_step(const model::Step& step);
  void record_samples();

  // ---- clients ----
  void schedule_next_arrival();
  void execute_client_actions();
  void start_try(const model::TryStart& start);
  void cancel_try(const model::TryCancelled& cancelled);
  void on_request_at_router(Handle client);
  void resend_on_new_connection(Handle client, Try& client_try);
  void end_try(Handle client, model::TryOutcome outcome, double retry_after_ms);
  void schedule_client_timer();

  // ---- routers ----
  void apply_router_step(const model::RouterStep& step);
  void start_router(model::RouterId router);
  void terminate_router(model::RouterId router, model::RouterEvent::What cause);
  void terminate_if_finished(model::RouterId router);
  bool hold_while_paused(const EventQueue::Entry& event);
  void pause_router(model::RouterId router);
  void resume_router(model::RouterId router);
  void deliver_datagram(Handle datagram);
  void send_endpoint_list(model::RouterId router);
  bool can_reach_discovery(model::RouterId router) const;
  void advance_discovery();
  void record_event(model::RouterId router, model::RouterEvent::What kind);

  // ---- machines ----
  void apply_node_step(const model::NodeStep& step);
  void execute_machine_actions(model::MachineId machine);
  void on_attempt_ended(model::MachineId machine, const model::ServerAction& action);
  void on_connect_at_machine(Handle link);
  void on_attempt_at_machine(Handle attempt);
  void on_close_at_machine(Handle link);
  void close_idle_link(Handle link);
  void deliver_response(Handle handle);
  void reset_machine_links(model::MachineId machine, bool only_stuck);
  void reset_at_router(Handle link);
  void reset_stuck_links();
  void record_event(model::MachineId machine, model::NodeEvent::What kind, bool cold, double notified_share);
  model::CacheNode* node(model::MachineId machine);
  void apply_bad_response(MachineAttempt& machine_attempt, double& delay_ms);
  std::uint32_t zone_of(model::MachineId machine) const { return plan_.machines[machine].zone; }
  double machine_idle_timeout_ms(model::MachineId machine) const;
  double next_arrival_at_machine(Link& link);
  double next_arrival_at_router(Link& link);

  const model::Spec& spec_;
  model::Sink& sink_;
  model::Plan plan_;
  model::KeySpace keys_;
  model::IdempotencyCache idempotency_cache_;
  model::CacheNode::InitialNodes initial_nodes_;
  model::PendingFills pending_fills_;
  model::ArrivalGenerator arrivals_;
  model::Clients clients_;
  model::FrontBalancer front_balancer_;
  model::Network network_;
  model::Discovery discovery_;
  model::Engine work_noise_engine_, bad_response_engine_;
  MachineTable machine_table_;

  double now_ = 0;
  EventQueue event_queue_;
  SlotTable<Link> links_;
  SlotTable<Exchange> exchanges_;
  SlotTable<RouterAttempt> attempts_;
  SlotTable<Try> tries_;
  SlotTable<MachineAttempt> machine_attempts_;
  std::vector<std::unique_ptr<model::ServerModel>> server_models_;
  std::vector<MachineState> machine_states_;
  std::vector<std::unique_ptr<VirtualRouter>> routers_;
  std::vector<std::uint32_t> idle_client_connections_; // idle connections of clients, by router
  std::vector<char> has_stuck_connections_; // by router: it has client connections that pass no messages
  std::vector<double> restart_delay_ms_; // by terminating router: delay until it is restarted; below 0: never
  std::vector<Pause> pauses_;            // by router
  SlotTable<Datagram> datagrams_;
  std::map<model::RouterId, false_gossip::DatagramCorruptor>
      corruptors_;                                       // of routers with false facts, past or present
  std::vector<RouterResourceUse> router_costs_;          // by router: only the datagrams that it has sent
  std::vector<char> follows_new_address_;                // by router: it uses discovery's new address
  std::unordered_map<model::TryId, Handle> tries_by_id_; // tries whose client still waits
  std::optional<model::DrawnRequest> next_request_;
  model::ServerActions machine_actions_;
  model::ClientActions client_actions_;
  bool discovery_down_ = false, old_discovery_ended_ = false, arrivals_finished_ = false;
  double client_timer_at_ = 0, discovery_timer_at_ = 0;
  model::AttemptId attempt_count_ = 0;
};

} // namespace fernward::lab
