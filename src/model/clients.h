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
#include "model/record.h"
#include "model/rng.h"

namespace fernward::model {

class Front {
 public:
  Front(const Spec& spec, const Plan& plan);

  // The actual state of a router, which the balancer detects later.
  void up(double now, RouterId router);       // answers /ready
  void down(double now, RouterId router);     // dead, silent or not ready
  void stopping(double now, RouterId router); // shutting down: soon gets no new connections
  void zone(std::uint32_t zone, ZoneStep::What what) { zones_[zone] = what; }

  // The router for a client's try; nullopt if the client's zone is lost or there is no router.
  std::optional<RouterId> pick(double now, std::uint32_t client_zone);

 private:
  struct Seen {
    double from = 0, until = 0; // the router receives tries between these times
  };
  bool used(double now, RouterId router) const {
    return now >= seen_[router].from && now < seen_[router].until;
  }
  std::optional<RouterId> turn(double now, const std::vector<RouterId>& among, std::size_t& next, bool any);

  FrontSpec spec_;
  Engine engine_;
  std::vector<Seen> seen_;
  std::vector<std::vector<RouterId>> in_zone_;
  std::vector<RouterId> all_;
  std::vector<std::size_t> next_; // round-robin position, by zone
  std::size_t next_of_all_ = 0;
  std::vector<ZoneStep::What> zones_;
};

// The caller must send this try. A request has one active try at a time.
struct TryStart {
  Drawn drawn;
  TryId try_id = 0;
  std::uint32_t number = 0;
  double due = 0;      // intended send time
  double deadline = 0; // absolute time
  std::uint64_t repeat_key = 0;
};
struct TryOver { // the client no longer waits: the caller must close its connection
  RequestNumber request = 0;
  TryId try_id = 0;
  Heard heard = Heard::Silence; // TimedOut or Abandoned
};
struct ClientAct {
  double at = 0;
  std::variant<TryStart, TryOver, Closed> what;
};
using ClientActs = std::vector<ClientAct>;

class Clients {
 public:
  explicit Clients(const Spec& spec);

  void open(double now, const Drawn& drawn, ClientActs& acts);
  // Reports the outcome of a try. False: the try had already ended, so this response is surplus.
  bool heard(double now, TryId try_id, Heard heard, double retry_after_ms, ClientActs& acts);
  void advance(double now, ClientActs& acts);
  double next() const; // when advance() must be called; infinity: never
  std::size_t open_requests() const { return open_.size(); }

  static RequestNumber request_of(TryId try_id) { return try_id >> 4; }

 private:
  struct Open {
    Drawn drawn;
    std::uint32_t tries = 0, most = 1;
    bool waiting = false; // for a response to its latest try
    double leaves_at = 0, deadline = 0;
    double first_try_at = 0;
  };
  struct Timer {
    double at;
    RequestNumber request;
    std::uint32_t number; // of the try; a timer of an earlier try is ignored
    bool retry;
    bool operator>(const Timer& other) const {
      return at != other.at ? at > other.at : request > other.request;
    }
  };

  void start_try(double now, Open& open, ClientActs& acts);
  void close(double now, RequestNumber request, const Open& open, Heard end, ClientActs& acts);
  void try_ended(double now, RequestNumber request, Open& open, Heard heard, double retry_after_ms,
                 ClientActs& acts);
  bool may_retry(const Open& open, Heard heard, double at) const;

  Spec spec_;
  Engine habits_, retries_;
  std::unordered_map<RequestNumber, Open> open_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
};

} // namespace fernward::model
