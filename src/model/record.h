// What a run tells, from three sides: clients, nodes and the origin, and the fleet with its routers.
//
// Both drivers emit the same records to one Sink, in order of `at`: in virtual time exactly, on sockets as
// they are seen. Nothing here is kept: a sink that must remember does so itself and
// is bounded by what is open, not by the length of the run.
//
//  - Times are milliseconds from the start of the run.
//  - `request` numbers what was drawn, from 1; `attempt id`s number arrivals at machines, from 1. Both are
//    unique within a run. `try_id` is the number behind X-Request-ID: new for each try of a client.
//  - What a rule is judged by:
//      one answer, no lost  Tried{taken} and Answered of the same try_id: exactly one by its deadline plus
//                           the grace; a router that was killed meanwhile (RouterEvent) owes none.
//      repeats              Arrived, AttemptEnded of the same try_id, against its class's repeat and window;
//                           Answered{Refused} where an attempt ran or may have.
//      drains               Told (or at_latest) and Arrived::sent_at of the same router and machine.
//      cold nodes           NodeEvent{TippedOver, cold}: told_share of 2/3 and more is the routers' doing.
//      genuine              Answered::genuine.
#pragma once

#include <cstdint>

#include "model/spec.h"

namespace fernward::model {

using RequestNumber = std::uint64_t;
using TryId = std::uint64_t;
using AttemptId = std::uint64_t;

// ---- the client's side ----

// A request that somebody means to make; emitted when it is due, whether or not the rig is on time.
struct Drawn {
  double at = 0; // intended send
  RequestNumber request = 0;
  std::uint32_t cls = 0, tenant = 0, zone = 0;
  std::uint64_t key = 0;
  bool write = false;
  bool over_share = false;         // beyond its tenant's quota
  double work_ms = 0, hint_ms = 0; // hint 0: none is given
  double size_bytes = 0;
  double worth = 0;      // with work, quota and counted_by in it
  double aim_ms = 0;     // an answer this long after `at` earns the worth
  double late_share = 0; // and after it this share, until
  double give_up_ms = 0; // the client's patience over all tries
};

struct Tried { // one try: the router's machine has accepted its last byte, or will not
  double at = 0;
  double due = 0;     // when it was meant to be sent
  double late_ms = 0; // how much later than that the rig began to send it: its own fault, 0 in virtual time
  RequestNumber request = 0;
  TryId try_id = 0;
  std::uint32_t number = 0; // of the request's tries, from 0
  RouterId router = 0;
  bool taken = false; // the router's machine accepted all of it: the router owes an answer
  bool new_connection = false;
  double deadline = 0;          // absolute; the client waits no longer on this try
  std::uint64_t repeat_key = 0; // Idempotency-Key, the same for all tries; 0: none
};

enum class Heard { // how a try ended for its client
  Served,
  Refused,     // 429, 503
  Failed,      // any other whole answer
  Broken,      // the connection ended without a whole answer
  Unreachable, // no connection came up
  Silence,     // its deadline passed
  Left,        // the client went away by itself
};

struct Answered { // one for each try, and one more for each surplus answer
  double at = 0;
  RequestNumber request = 0;
  TryId try_id = 0;
  RouterId router = 0;
  Heard heard = Heard::Served;
  double retry_after_ms = 0;
  bool genuine = true;  // Served: the body is, byte for byte, one that a machine answered this try with
  bool surplus = false; // the try had its end before
};

struct Closed { // the end of a request, one for each Drawn
  double at = 0;
  RequestNumber request = 0;
  Heard end = Heard::Served; // of the last try
  std::uint32_t tries = 0;
  double latency_ms = 0; // from the intended send
  double earned = 0;     // of the worth
};

// ---- machines (nodes and the origin) ----

struct Arrived { // an attempt of which the last byte has come
  double at = 0;
  double sent_at = 0; // its first byte left the router
  AttemptId attempt = 0;
  MachineId machine = 0;
  TryId try_id = 0;
  RouterId router = 0;
  std::uint32_t cls = 0;
  std::uint64_t key = 0, repeat_key = 0;
  bool write = false;
  bool told = false; // the router had been told of the machine's present start, or it has none within the run
  double work_ms = 0; // that it asks of this machine
};

struct Begun {
  double at = 0;
  AttemptId attempt = 0;
  MachineId machine = 0;
};

enum class Ending {
  Hit,     // a read answered from memory, or by a node of a fleet without an origin
  Miss,    // not in memory: the router goes to the origin
  Pending, // the same while another fetch of the key is out
  Fetched, // the origin answered a read
  Written, // a write was carried out
  Repeat,  // a repeat of a keyed write: dropped, answered as the first
  Error,
  Full,     // turned away, never ran: no room
  Draining, // the same as the node drains
  Overdue,  // the same as its time was up
  Dropped,  // nobody waited for it any more: not begun, or stopped
  Lost,     // the machine ended with it
};
// Did it, or may it have, had an effect?
inline bool may_have_run(Ending e) {
  return !(e == Ending::Full || e == Ending::Draining || e == Ending::Overdue || e == Ending::Miss ||
           e == Ending::Pending);
}

struct AttemptEnded {
  double at = 0;
  AttemptId attempt = 0;
  MachineId machine = 0;
  Ending ending = Ending::Hit;
  bool begun = false;
  bool wanted = true;                  // somebody still waited for it
  double waited_ms = 0, worked_ms = 0; // time before it began; work it took, on a standard core
};

struct LoadSample { // every ReportSpec::period_ms or so, and not less often than each second
  double at = 0;
  MachineId machine = 0;
  std::uint32_t in_work = 0, waiting = 0, connections = 0;
  double used = 0;     // share of the present capacity, since the last sample
  double capacity = 1; // share of the whole that it has at present (cold start, neighbour, crowding)
  double memory_bytes = 0;
  double new_connections = 0; // since the last sample
};

struct NodeEvent {
  enum class What { Started, Warm, Draining, Ended, TippedOver, Silent, Returned, NeighbourOn, NeighbourOff };
  double at = 0;
  MachineId machine = 0;
  What what = What::Started;
  bool cold = false;     // TippedOver
  double told_share = 0; // TippedOver: of the work that pushed it, from routers that knew of its start
};

// ---- routers and the fleet ----

struct RouterEvent {
  enum class What { Started, Ready, Term, Killed, Ended, Crashed, Reloaded, Silent, Returned, Paused, Woke };
  double at = 0;
  RouterId router = 0;
  What what = What::Started;
};

// What a router that shares says and holds, once a second; virtual time alone: on sockets its log and figures
// have it.
struct Shared {
  double at = 0;
  RouterId router = 0;
  double living = 0, heard = 0; // routers; those others whose word counts now
  double demand = 0, limit = 0; // of its own, at the origin
  double part = 0;              // that follows from what is shared; 0: nothing does
};

struct Told { // discovery wrote this to the router; Cached: it started with it
  double at = 0;
  RouterId router = 0;
  MachineId machine = 0;
  ServerState state = ServerState::Ready;
  double started_at = 0; // the machine's last start; below 0: before the run
  bool cached = false;
  bool deemed = false; // not written to it, but it counts as told: DiscoverySpec::at_latest_ms have passed
};

struct Mark {
  double at = 0;
  std::uint32_t event = 0; // of Spec::events
  bool begins = true;
};

struct RouterLog { // a line of the decision module, or of the router's standard error where it is kept
  double at = 0;
  RouterId router = 0;
  const char* text = ""; // valid during the call
};

// Takes records as they come; the ones it has no use for it leaves as they are.
class Sink {
 public:
  virtual ~Sink() = default;
  virtual void on(const Drawn&) {}
  virtual void on(const Tried&) {}
  virtual void on(const Answered&) {}
  virtual void on(const Closed&) {}
  virtual void on(const Arrived&) {}
  virtual void on(const Begun&) {}
  virtual void on(const AttemptEnded&) {}
  virtual void on(const LoadSample&) {}
  virtual void on(const NodeEvent&) {}
  virtual void on(const RouterEvent&) {}
  virtual void on(const Shared&) {}
  virtual void on(const Told&) {}
  virtual void on(const Mark&) {}
  virtual void on(const RouterLog&) {}
};

} // namespace fernward::model
