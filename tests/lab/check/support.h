// A small fleet, and a builder that passes the records of a run to the checker one by one.
#pragma once

#include "lab/check/checker.h"

namespace fernward::lab::test {

using namespace fernward::model;
using fernward::ServerState;

// Two zones: nodes 0 and 1 in the first (cells 0 and 1), node 2 in the second; the origin is machine 3.
// Machine 4 replaces node 1 at 5 s. Classes: 0 safe, 1 with an idempotency key valid at all nodes, 2 within a
// zone, 3 within a cell, 4 unsafe.
inline Spec small_spec() {
  Spec s;
  s.name = "small";
  s.zones = {{"east", 1}, {"west", 1}};
  NodeKind kind;
  kind.name = "plain";
  s.kinds = {kind};
  NodeGroup east, west;
  east.name = "east";
  east.count = 2;
  east.cell_size = 1;
  west.name = "west";
  west.zone = 1;
  s.nodes = {east, west};
  s.routers.groups = {{0, 1}, {1, 1}};
  for (const auto& [name, repeat, scope] :
       {std::tuple("safe", Idempotency::Idempotent, IdempotencyScope::All),
        {"all", Idempotency::WithKey, IdempotencyScope::All},
        {"zone", Idempotency::WithKey, IdempotencyScope::Zone},
        {"cell", Idempotency::WithKey, IdempotencyScope::Cell},
        {"unsafe", Idempotency::NonIdempotent, IdempotencyScope::All}}) {
    ClassSpec c;
    c.name = name;
    c.repeat = repeat;
    c.scope = scope;
    s.classes.push_back(c);
  }
  s.tenants = {{"big", 0.7, 1, 0}, {"small", 0.3, 1, 0}};
  ReplaceNodes replace;
  replace.who.nodes = {1};
  replace.after_ms = 500;
  s.events = {{5000, "replaced", replace}};
  return s;
}

// Builds a run: each method passes one record to the checker. Times are absolute, in milliseconds. The
// defaults describe a run that keeps every rule. At the start all routers have started and list all initial
// machines as ready.
class Script {
 public:
  explicit Script(double slack_ms = 50)
      : spec(small_spec()), plan(make_plan(spec)), checker(spec, plan, slack_ms) {
    for (RouterId r = 0; r < plan.routers.size(); ++r) {
      router(0, r, RouterEvent::What::Started);
      for (const Machine& m : plan.machines) {
        if (m.at_start) told(0, r, m.id, ServerState::Ready);
      }
    }
  }

  Script& drawn(double at, RequestNumber n, std::uint32_t cls = 0) {
    Drawn d;
    d.at = at;
    d.request = n;
    d.cls = cls;
    d.worth = 1;
    d.aim_ms = 750;
    d.give_up_ms = 1500;
    checker.on(d);
    return *this;
  }
  Script& tried(double at, RequestNumber n, RouterId r = 0, bool taken = true, double way = 0) {
    Tried t;
    t.at = at;
    t.due = at - way;
    t.request = t.try_id = n;
    t.router = r;
    t.taken = taken;
    t.deadline = t.due + 1500;
    checker.on(t);
    return *this;
  }
  Script& answered(double at, RequestNumber n, Heard heard = Heard::Served, bool genuine = true,
                   RouterId r = 0) {
    Answered a;
    a.at = at;
    a.request = a.try_id = n;
    a.router = r;
    a.heard = heard;
    a.genuine = genuine;
    checker.on(a);
    return *this;
  }
  Script& closed(double at, RequestNumber n, Heard end = Heard::Served, double earned = 1) {
    Closed c;
    c.at = at;
    c.request = n;
    c.end = end;
    c.tries = 1;
    c.earned = earned;
    checker.on(c);
    return *this;
  }
  Script& arrived(double at, AttemptId id, RequestNumber n, MachineId machine, std::uint32_t cls = 0,
                  RouterId r = 0) {
    Arrived a;
    a.at = at;
    a.sent_at = at - 1;
    a.attempt = id;
    a.machine = machine;
    a.try_id = n;
    a.router = r;
    a.cls = cls;
    checker.on(a);
    return *this;
  }
  Script& ended(double at, AttemptId id, Ending ending) {
    AttemptEnded e;
    e.at = at;
    e.attempt = id;
    e.ending = ending;
    checker.on(e);
    return *this;
  }
  Script& router(double at, RouterId r, RouterEvent::What what) {
    checker.on(RouterEvent{at, r, what});
    return *this;
  }
  Script& told(double at, RouterId r, MachineId machine, ServerState state) {
    Told t;
    t.at = at;
    t.router = r;
    t.machine = machine;
    t.state = state;
    checker.on(t);
    return *this;
  }
  Script& tipped(double at, MachineId machine, bool cold, double told_share) {
    checker.on(NodeEvent{at, machine, NodeEvent::What::TippedOver, cold, told_share});
    return *this;
  }

  const Spec spec;
  const Plan plan;
  Checker checker;
};

} // namespace fernward::lab::test
