// The open-loop clients of a run, in an event loop on a thread of their own.
//
// A request is sent at its intended time, whatever the outcome of earlier requests; latencies count from the
// intended time. For each try the delay that the rig itself added is measured. The model's front balancer
// distributes clients over the routers and detects a dead router with a delay; the load generator probes a
// starting router for readiness and tells the front balancer when it is ready.
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
#include "lab/shared/run_context.h"
#include "lab/shared/stream.h"
#include "loop/slot_map.h"
#include "model/arrival_generator.h"
#include "model/clients.h"
#include "model/network.h"

namespace fernward::rig {

struct LoadSummary {
  lab::LatenessQuantiles lateness_ms; // of sends, relative to their due times
  double cpu_s = 0;
  std::uint64_t tries = 0, connections = 0; // started: tries that had a router, connections of any kind
};

// The clients of one run. Created, started and stopped by one thread; the clients run on a thread of its own.
class LoadGenerator {
 public:
  struct Callbacks {                            // called on the load generator's thread
    std::function<void(model::RouterId)> ready; // the router has answered /ready with 200
    std::function<void()> finished;             // all requests have arrived and ended
  };
  // `ready_by_connect`, by router: 1 for a router without /ready, which counts as ready once it accepts a
  // connection.
  LoadGenerator(const RunContext& context, Callbacks callbacks, std::vector<char> ready_by_connect);
  ~LoadGenerator(); // calls stop()
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // To be called from the thread that created it.
  void start_loop();                            // starts the loop
  void start_arrivals();                        // the clock has started: requests arrive from now on
  void router_started(model::RouterId router);  // starts probing it for readiness
  void router_stopping(model::RouterId router); // it was sent SIGTERM
  void router_ended(model::RouterId router);    // its process has ended, or was killed
  void router_paused(model::RouterId router, bool paused); // it was stopped with SIGSTOP, or continued
  void stop_arrivals(); // starts no further requests; active ones continue to their ends
  LoadSummary stop();   // ends the thread; further calls return the same summary

 private:
  using Handle = loop::Handle;
  struct Try { // from its start until its response is delivered or its client no longer waits
    model::TryStart start;
    model::RouterId router = 0;
    bool routed = false;              // a router was available for it
    bool recorded = false;            // its model::TrySent record is written
    bool client_done = false;         // the client has a response, or no longer waits
    bool resent = false;              // on a new connection, as the router had closed the first one
    bool response_in_transit = false; // the response is on its way to the client
    double due_at_router = 0;         // run time (ms) at which its first byte is due at the router
    Handle connection = 0;
  };
  struct Connection final : Stream::Handler {
    void on_connected() override { generator->on_connected(*this); }
    void on_data(std::string_view data) override { generator->on_data(*this, data); }
    void on_closed(int error) override { generator->on_closed(*this, error); }

    LoadGenerator* generator = nullptr;
    Handle self = 0;
    model::RouterId router = 0;
    std::unique_ptr<Stream> stream;
    http::Parser parser{http::MessageKind::Response};
    bool reading_paused = false; // the router's machine is silent: nothing is read from the connection
    bool kept_idle = false;      // held open idle, never used for a request
    bool is_ready_probe = false;
    bool request_due = false; // the send time of its request has passed
    bool request_written = false;
    bool response_started = false;               // bytes of the current response were received
    Handle active_try = 0;                       // the try that uses the connection; 0: none
    bool abandoned = false;                      // its client cancelled while the router's machine was silent
    std::uint32_t request_count = 0;             // requests written to it
    model::TryId last_try = 0, previous_try = 0; // the latest two tries sent on it
    double connected_at = 0;                     // run time, ms
  };
  struct RouterState {
    bool running = false, ready = false;
    std::vector<Handle> idle_connections; // the most recently used last; some may be closed
    std::uint32_t incarnation = 0;
    std::uint32_t kept_idle_count = 0; // open connections with `kept_idle`
  };

  // ---- requests ----
  void start_due_requests();
  void process_actions();
  void schedule_client_timer();
  void start_try(const model::TryStart& start);
  void send(Handle handle);
  void write(Connection& connection, Try& client_try);
  void cancel_try(const model::TryCancelled& cancelled);
  void deliver_response(Handle handle, const ClientResponse& response);
  void finish_try(Handle handle, const ClientResponse& response);
  // A try has one record, and a second one if its request was accepted, was lost unread with its connection and
  // was then refused on a new connection: the second corrects `accepted`.
  void record_sent(Try& client_try, bool accepted, bool new_connection, double late_ms);
  void check_finished();

  // ---- connections ----
  Connection* take_idle_connection(model::RouterId router);
  Connection* connect(model::RouterId router);
  void on_connected(Connection& connection);
  void on_data(Connection& connection, std::string_view data);
  void on_closed(Connection& connection, int error);
  void record_surplus(const Connection& connection, const ClientResponse& response);
  void close_connection(Connection& connection);
  void make_idle(Connection& connection);

  // ---- routers ----
  void apply(const model::Step& step);
  void probe_ready(model::RouterId router);
  void router_ready(model::RouterId router);
  void open_idle_connections(model::RouterId router);
  void set_router_silent(model::RouterId router, bool silent);

  double one_way_delay_ms(const Try& client_try);
  double now() const { return loop_.now(); }
  // Runs `task` after `ms` milliseconds, also before the run's clock has started.
  void run_after(double ms, std::function<void()> task) { loop_.run_after(ms, std::move(task)); }

  const RunContext& context_;
  Callbacks callbacks_;
  std::vector<char> ready_by_connect_;
  RunLoop loop_;
  model::Network network_;
  model::KeySpace keys_;
  model::ArrivalGenerator arrivals_;
  model::Clients clients_;
  model::FrontBalancer front_balancer_;
  std::vector<RouterState> router_states_;
  loop::SlotMap<Try> tries_;
  loop::SlotMap<Connection> connections_;
  std::unordered_map<model::TryId, Handle> pending_tries_; // tries whose clients still wait
  std::optional<model::DrawnRequest> next_request_;
  model::ClientActions actions_;
  bool processing_actions_ = false, finishing_ = false, finished_ = false;
  double client_timer_at_;
  loop::TimerQueue::TimerId client_timer_ = 0;
  LatenessHistogram lateness_;
  LoadSummary summary_;
  std::thread thread_;
};

} // namespace fernward::rig
