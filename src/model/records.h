// The records of a run, from three sides: the clients; the nodes and the origin; the fleet with its routers.
//
// Both drivers emit the same records to one Sink, in order of `at`: exact in virtual time, as observed on
// sockets. The records are not stored here. A sink that needs earlier records stores them itself; its memory
// is bounded by the number of open requests, not by the length of the run.
//
//  - Times are milliseconds from the start of the run.
//  - `request` numbers the drawn requests from 1; `attempt` numbers the arrivals at machines from 1. Both are
//    unique within a run. `try_id` is the number in X-Request-ID and is new for each try of a client.
//  - The records from which each rule is judged:
//      one_response,         TrySent{accepted} and TryEnded of the same try_id: exactly one response by the
//      no_lost_requests      deadline plus the grace; a router killed meanwhile (RouterEvent) owes none.
//      safe_repeats          AttemptArrived and AttemptEnded of the same try_id, compared with the class's
//                            idempotency and window; TryEnded{Rejected} where an attempt ran or may have run.
//      drains_respected      EndpointNotified (or notified_at_latest_ms) and AttemptArrived::sent_at of the
//                            same router and machine.
//      cold_nodes_protected  NodeEvent{Overloaded, cold}: the routers are responsible if notified_share is
//                            2/3 or more.
//      genuine_bodies        TryEnded::genuine.
#pragma once

#include <cstdint>

#include "model/spec.h"

namespace fernward::model {

using RequestNumber = std::uint64_t;
using TryId = std::uint64_t;
using AttemptId = std::uint64_t;

// ---- the client's side ----

// A request of the workload; emitted when it is due, whether or not the load generator is on time.
struct DrawnRequest {
  double at = 0; // intended send time
  RequestNumber request = 0;
  std::uint32_t cls = 0, tenant = 0, zone = 0;
  std::uint64_t key = 0;
  bool write = false;
  bool over_quota = false;         // above its tenant's quota
  double work_ms = 0, hint_ms = 0; // hint_ms 0: the request has no cost hint
  double size_bytes = 0;
  double priority_weight = 0;      // includes the work, the quota and the weight basis
  double latency_objective_ms = 0; // a response within this time from `at` earns the full weight
  double late_value_share = 0;     // a later response earns this share of it
  double client_timeout_ms = 0;    // the client's timeout over all tries
};

// The sending of a try: the router's machine has accepted its last byte, or sending it has failed. A try has
// one; on sockets a second one, with `accepted` false, follows if its kept connection was lost before the
// router read the request and no new connection could be established to resend it.
struct TrySent {
  double at = 0;
  double scheduled_at = 0;  // intended send time
  double send_delay_ms = 0; // delay of the send caused by the load generator itself; 0 in virtual time
  RequestNumber request = 0;
  TryId try_id = 0;
  std::uint32_t number = 0; // index among the tries of the request, from 0
  RouterId router = 0;
  bool accepted = false; // the router's machine accepted the complete request: the router owes a response
  bool new_connection = false;
  double deadline = 0;               // absolute time after which the client no longer waits for this try
  std::uint64_t idempotency_key = 0; // Idempotency-Key, the same for all tries; 0: none
};

enum class TryOutcome { // how a try ended for its client
  Served,
  Rejected,       // 429, 503
  Failed,         // any other complete response
  ConnectionLost, // the connection ended before a complete response
  Unreachable,    // no connection was established
  TimedOut,       // its deadline passed
  Abandoned,      // the client abandoned it
};

struct TryEnded { // one for each try, and one more for each surplus response
  double at = 0;
  RequestNumber request = 0;
  TryId try_id = 0;
  RouterId router = 0;
  TryOutcome outcome = TryOutcome::Served;
  double retry_after_ms = 0;
  bool genuine = true;  // Served: the body is byte for byte one that a machine sent in response to this try
  bool surplus = false; // the try had already ended
};

struct RequestEnded { // the end of a request, one for each DrawnRequest
  double at = 0;
  RequestNumber request = 0;
  TryOutcome outcome = TryOutcome::Served; // outcome of the last try
  std::uint32_t tries = 0;
  double latency_ms = 0;    // from the intended send
  double earned_weight = 0; // part of the priority weight that the response earned
};

// ---- machines (nodes and the origin) ----

struct AttemptArrived { // a machine has received the last byte of an attempt
  double at = 0;
  double sent_at = 0; // when its first byte left the router
  AttemptId attempt = 0;
  MachineId machine = 0;
  TryId try_id = 0;
  RouterId router = 0;
  std::uint32_t cls = 0;
  std::uint64_t key = 0, idempotency_key = 0;
  bool write = false;
  // The router was notified of the machine's latest start, or the machine did not start during the run.
  bool notified = false;
  double work_ms = 0; // work that the attempt requires of this machine
};

struct AttemptStarted {
  double at = 0;
  AttemptId attempt = 0;
  MachineId machine = 0;
};

enum class ServerOutcome {
  Hit,       // a read answered from memory, or by a node of a fleet without an origin
  Miss,      // not in memory: the router sends the request to the origin
  Pending,   // a miss while another fetch of the key is in progress
  Fetched,   // the origin answered a read
  Written,   // a write was executed
  Duplicate, // a repeat of a keyed write: not executed, answered like the first one
  Error,
  Full,      // rejected without running: the queue is full
  Draining,  // rejected without running: the node is draining
  Expired,   // rejected without running: its deadline has passed
  Cancelled, // cancelled by the router: not started, or stopped
  Lost,      // the machine terminated before the attempt ended
};
// Whether an attempt with this outcome had an effect or may have had one.
inline bool may_have_run(ServerOutcome outcome) {
  return !(outcome == ServerOutcome::Full || outcome == ServerOutcome::Draining ||
           outcome == ServerOutcome::Expired || outcome == ServerOutcome::Miss ||
           outcome == ServerOutcome::Pending);
}

struct AttemptEnded {
  double at = 0;
  AttemptId attempt = 0;
  MachineId machine = 0;
  ServerOutcome outcome = ServerOutcome::Hit;
  bool started = false;
  bool awaited = true; // the router still waited for it
  // Time before it started, or until it ended unstarted; work done for it, on a standard core.
  double queued_ms = 0, work_done_ms = 0;
};

struct LoadSample { // about every ReportSpec::period_ms, at least once a second
  double at = 0;
  MachineId machine = 0;
  std::uint32_t active = 0, queued = 0, connections = 0;
  double utilization = 0; // used share of the available capacity since the last sample
  double capacity = 1;    // available share of the full capacity (slow start, neighbour, congestion)
  double memory_bytes = 0;
  double new_connections = 0; // since the last sample
};

struct NodeEvent {
  enum class What {
    Started,
    Warm,
    Draining,
    Ended,
    Overloaded,
    Silent,
    Returned,
    NeighbourStarted,
    NeighbourStopped
  };
  double at = 0;
  MachineId machine = 0;
  What what = What::Started;
  bool cold = false;         // Overloaded
  double notified_share = 0; // Overloaded: share of the work that came from routers notified of its start
};

// ---- routers and the fleet ----

struct RouterEvent {
  enum class What {
    Started,
    Ready,
    Term,
    Killed,
    Ended,
    Crashed,
    Reloaded,
    Silent,
    Returned,
    Paused,
    Resumed
  };
  double at = 0;
  RouterId router = 0;
  What what = What::Started;
};

// State of a router with sharing enabled, once a second. Emitted in virtual time only: on sockets the
// router's log and statistics hold the same values.
struct SharingSample {
  double at = 0;
  RouterId router = 0;
  double living_routers = 0, reporting_peers = 0; // living routers; other routers whose reports are valid now
  double demand = 0, limit = 0;                   // its own demand and limit at the origin
  double shared_part = 0;                         // part that follows from shared reports; 0: none
};

// Discovery sent this state to the router; cached: the router loaded it at its start.
struct EndpointNotified {
  double at = 0;
  RouterId router = 0;
  MachineId machine = 0;
  ServerState state = ServerState::Ready;
  double started_at = 0; // the machine's last start; below 0: before the run
  bool cached = false;
  bool assumed = false; // not sent, but counts as notified: DiscoverySpec::notified_at_latest_ms have passed
};

struct EventMark { // an event of the scenario begins or ends
  double at = 0;
  std::uint32_t event = 0; // index in Spec::events
  bool begins = true;
};

// A log line of the decision module, or of the router's standard error where it is captured.
struct RouterLogLine {
  double at = 0;
  RouterId router = 0;
  const char* text = ""; // valid during the call
};

// Receives records as they are emitted. The default implementations ignore them.
class Sink {
 public:
  virtual ~Sink() = default;
  virtual void on(const DrawnRequest&) {}
  virtual void on(const TrySent&) {}
  virtual void on(const TryEnded&) {}
  virtual void on(const RequestEnded&) {}
  virtual void on(const AttemptArrived&) {}
  virtual void on(const AttemptStarted&) {}
  virtual void on(const AttemptEnded&) {}
  virtual void on(const LoadSample&) {}
  virtual void on(const NodeEvent&) {}
  virtual void on(const RouterEvent&) {}
  virtual void on(const SharingSample&) {}
  virtual void on(const EndpointNotified&) {}
  virtual void on(const EventMark&) {}
  virtual void on(const RouterLogLine&) {}
};

} // namespace fernward::model
