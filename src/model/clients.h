// The behavior of clients: tries, waits, retries, timeouts, abandoned requests. Also the simple load balancer
// in front of the routers, which distributes the tries.
//
// The caller opens each DrawnRequest when it is due, executes the actions, and reports how each try ended.
// Every opened request ends with exactly one RequestEnded action. Memory is bounded by the open requests.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <unordered_map>
#include <variant>
#include <vector>

#include "model/plan.h"
#include "model/records.h"
#include "model/rng.h"

namespace fernward::model {

// The simple load balancer (FrontBalancerSpec) with its delayed knowledge of the routers' states.
class FrontBalancer {
 public:
  FrontBalancer(const Spec& spec, const Plan& plan);

  // The actual state of a router, which the balancer detects later.
  void set_up(double now, RouterId router);       // answers /ready
  void set_down(double now, RouterId router);     // dead, silent or not ready
  void set_stopping(double now, RouterId router); // shutting down: soon gets no new connections
  void set_zone_state(std::uint32_t zone, ZoneStep::What what) { zone_states_[zone] = what; }

  // The router for a client's try; nullopt if the client's zone is lost or there is no router.
  std::optional<RouterId> pick(double now, std::uint32_t client_zone);

 private:
  struct RoutingPeriod {
    double from = 0, until = 0; // the router receives tries between these times
  };
  bool is_used(double now, RouterId router) const {
    return now >= routing_periods_[router].from && now < routing_periods_[router].until;
  }
  // The next router in round-robin order from position `next`; include_unused: regardless of its state.
  std::optional<RouterId> next_in_turn(double now, const std::vector<RouterId>& routers, std::size_t& next,
                                       bool include_unused);

  FrontBalancerSpec spec_;
  Engine engine_;
  std::vector<RoutingPeriod> routing_periods_;
  std::vector<std::vector<RouterId>> routers_by_zone_;
  std::vector<RouterId> all_routers_;
  std::vector<std::size_t> next_in_zone_; // round-robin position, by zone
  std::size_t next_overall_ = 0;
  std::vector<ZoneStep::What> zone_states_;
};

// The caller must send this try. A request has one active try at a time.
struct TryStart {
  DrawnRequest drawn;
  TryId try_id = 0;
  std::uint32_t number = 0;
  double scheduled_at = 0; // intended send time
  double deadline = 0;     // absolute time
  std::uint64_t idempotency_key = 0;
};
struct TryCancelled { // the client no longer waits: the caller must close its connection
  RequestNumber request = 0;
  TryId try_id = 0;
  TryOutcome outcome = TryOutcome::TimedOut; // TimedOut or Abandoned
};
struct ClientAction {
  double at = 0;
  std::variant<TryStart, TryCancelled, RequestEnded> what;
};
using ClientActions = std::vector<ClientAction>;

// The open requests of all clients.
class Clients {
 public:
  explicit Clients(const Spec& spec);

  // Starts the first try of a request that is due.
  void open(double now, const DrawnRequest& drawn, ClientActions& actions);
  // Reports the outcome of a try. False: the try had already ended, so this response is surplus.
  bool on_try_ended(double now, TryId try_id, TryOutcome outcome, double retry_after_ms,
                    ClientActions& actions);
  void advance(double now, ClientActions& actions);
  double next_due_ms() const; // when advance() must be called; infinity: never
  std::size_t open_requests() const { return open_.size(); }

  // A try's id is its request's number times 16 plus the number of the try.
  static RequestNumber request_of(TryId try_id) { return try_id >> 4; }

 private:
  struct OpenRequest {
    DrawnRequest drawn;
    std::uint32_t tries = 0, max_tries = 1;
    bool waiting = false;                 // for a response to its latest try
    double abandons_at = 0, deadline = 0; // of its latest try
    double first_try_at_ms = 0;
  };
  struct Timer {
    double at;
    RequestNumber request;
    std::uint32_t try_number; // a timer of an earlier try is ignored
    bool retry;               // true: the next try starts; false: this try times out or is abandoned
    bool operator>(const Timer& other) const {
      return at != other.at ? at > other.at : request > other.request;
    }
  };

  void start_try(double now, OpenRequest& open, ClientActions& actions);
  void close_request(double now, RequestNumber request, const OpenRequest& open, TryOutcome outcome,
                     ClientActions& actions);
  void finish_try(double now, RequestNumber request, OpenRequest& open, TryOutcome outcome,
                  double retry_after_ms, ClientActions& actions);
  bool may_retry(const OpenRequest& open, TryOutcome outcome, double at) const;

  Spec spec_;
  Engine behavior_engine_, retry_engine_;
  std::unordered_map<RequestNumber, OpenRequest> open_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
};

} // namespace fernward::model
