// Discovery as the routers see it: an agent on each router's machine, which responds at once with the latest
// endpoint list that discovery has sent to it, and does not respond while discovery is down or its machine is
// silent. With `discovery.congestion` in the scenario, one congested server responds to the calls of all
// routers instead (response_queue.h).
//
// A router counts as notified of a change, and the notification is recorded, when
//  - the change has been written to the router completely;
//  - the change arrives between two calls of one watch (not with congestion: there the next call has to
//    queue);
//  - DiscoverySpec::notified_at_latest_ms has passed since the router could have been notified, whatever
//    happened to its calls: they may have failed, been rejected, been cancelled, received no response, or
//    still be queued;
//  - DiscoverySpec::reload_notified_at_latest_ms has passed since the SIGHUP after which it reads discovery's
//    new address.
// The last two periods start again when discovery recovers from an outage, or the router's machine from a
// silence: until then the router could not have been notified.
#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "http/parser.h"
#include "lab/peers/response_queue.h"
#include "lab/shared/loop.h"
#include "lab/shared/run_context.h"
#include "lab/shared/stream.h"
#include "loop/slot_map.h"
#include "model/discovery.h"
#include "model/network.h"
#include "model/rng.h"

namespace fernward::rig {

// The discovery agents of all routers. Owned by the simulated fleet, and used on its loop's thread.
class DiscoveryAgents final : private ResponseQueue::PendingCalls {
 public:
  DiscoveryAgents(const RunContext& context, RunLoop& loop, model::Network& network);
  ~DiscoveryAgents();
  DiscoveryAgents(const DiscoveryAgents&) = delete;
  DiscoveryAgents& operator=(const DiscoveryAgents&) = delete;

  void open();                         // listens; throws std::runtime_error
  void start_run();                    // the run has started
  void apply(const model::Step& step); // a step that is already applied to the network
  void endpoint_changed(model::MachineId machine, ServerState state, double started_at,
                        model::Discovery::Cause reason);

  // A router's process is about to start. Returns the last list that was delivered to it, for the `known` key
  // of its configuration; the router counts as notified of that list.
  nlohmann::json router_started(model::RouterId router);
  void router_ended(model::RouterId router);

  // The start time of the machine as the router was last notified of it; below 0: before the run, or never
  // notified.
  double notified_start(model::RouterId router, model::MachineId machine) const {
    return views_[router].notified[machine].started_at;
  }

 private:
  using Handle = loop::Handle;
  struct Listener { // the listening socket of one router's agent at one of discovery's addresses
    DiscoveryAgents* agents = nullptr;
    model::RouterId router = 0;
    std::uint32_t address_version = 0;
    int fd = -1;
    loop::EventPtr accept_event;
  };
  enum class Progress {
    Waiting,      // it waits for a change, or for discovery to recover
    Queued,       // its response waits to be made or to be sent
    NeverAnswered // a long poll that never receives a response
  };
  struct PendingRequest {
    std::optional<std::uint64_t> since;
    double deadline = 0; // wall clock, ms
    Progress progress = Progress::Waiting;
    model::Discovery::List response; // the list that is being sent
  };
  struct DiscoveryCall final : Stream::Handler {
    void on_data(std::string_view data) override { agents->on_data(*this, data); }
    void on_closed(int) override { agents->calls_.remove(self); }

    DiscoveryAgents* agents = nullptr;
    Handle self = 0;
    model::RouterId router = 0;
    std::uint32_t address_version = 0;
    std::unique_ptr<Stream> stream;
    http::Parser parser{http::MessageKind::Request};
    std::string buffered;
    std::optional<PendingRequest> pending;
    loop::TimerQueue::TimerId watch_timer = 0; // of a waiting watch
  };
  struct EndpointState {
    ServerState state = ServerState::Gone;
    double started_at = -1;
  };
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  struct PendingVersion { // a version of the list of which the router does not count as notified yet
    std::uint64_t index = 0;
    double available_at = 0; // run time at which the agent received it
  };
  struct RouterView { // what a router was sent and what it counts as notified of
    bool running = false;
    std::vector<EndpointState> delivered; // endpoints as written to it
    std::uint64_t delivered_index = 0;
    std::vector<EndpointState> notified; // endpoints of which it counts as notified
    std::uint64_t notified_index = 0;
    std::deque<PendingVersion> pending_versions; // in order of their indexes
    std::uint64_t last_pending_index = 0;        // the latest index added to it
    std::uint32_t address_version = 0; // the discovery address that it uses, as the number of moves so far
    double reachable_since = kNever;   // since when the router can reach discovery; kNever: it can't
    double reloaded_at = -kNever;      // when it last read a new discovery address
    double watch_ended_at = -1e9;      // run time of the last response to a watch
    model::Engine congestion_engine;   // draws the outcomes of its calls
  };

  static void on_acceptable(int, short, void* listener);
  void listen(model::RouterId router, std::uint32_t address_version);
  void accept(const Listener& listener);
  void on_data(DiscoveryCall& call, std::string_view data);
  void read_call(DiscoveryCall& call);
  bool fail_by_congestion(DiscoveryCall& call); // true: the call was failed; false: it is to be served
  void serve(DiscoveryCall& call);
  std::string response_bytes(DiscoveryCall& call);
  void response_sent(DiscoveryCall& call);
  State state(Handle call) override;
  std::optional<std::string> make_response(Handle call) override;
  void send_piece(Handle call, std::string_view piece, bool is_last) override;
  bool is_silent(model::RouterId router) const { return discovery_down_ || !network_.is_reachable(router); }
  void router_reloaded(model::RouterId router);
  void advance();
  void serve_waiting_calls();
  void notify_watches(model::RouterId router);
  void add_pending_version(model::RouterId router);
  void update_reachability(model::RouterId router);
  bool reachable(model::RouterId router) const;
  double notified_at_latest(const RouterView& view, const PendingVersion& version) const;
  void expire_pending_versions();
  void record_notified(model::RouterId router, const model::Discovery::List& list, bool cached, bool assumed);
  void drop_notified(RouterView& view);
  void apply_list(std::vector<EndpointState>& states, const model::Discovery::List& list) const;
  nlohmann::json endpoint(model::RouterId router, const model::Discovery::Entry& entry) const;
  nlohmann::json list_json(model::RouterId router, const model::Discovery::List& list) const;
  double now() const { return loop_.now(); }

  const RunContext& context_;
  RunLoop& loop_;
  model::Network& network_;
  model::Discovery discovery_;
  bool discovery_down_ = false;
  std::uint32_t address_version_ = 0;       // number of discovery's moves to another address so far
  std::uint32_t oldest_served_version_ = 0; // the oldest address that still responds, as a number of moves
  loop::TimerQueue::TimerId advance_timer_ = 0;
  std::vector<std::unique_ptr<Listener>> listeners_;
  loop::SlotMap<DiscoveryCall> calls_;
  std::vector<RouterView> views_;
  ResponseQueue response_queue_;
};

} // namespace fernward::rig
