// A small fleet, and a builder that passes the records of a run to a RuleChecker one by one.
#pragma once

#include "lab/check/rule_checker.h"

namespace fernward::lab::test {

using namespace fernward::model;
using fernward::ServerState;

// Two zones: nodes 0 and 1 in the first (cells 0 and 1), node 2 in the second; the origin is machine 3.
// Machine 4 replaces node 1 at 5 s. Classes: 0 safe, 1 with an idempotency key valid at all nodes, 2 within a
// zone, 3 within a cell, 4 unsafe.
inline Spec small_spec() {
  Spec spec;
  spec.name = "small";
  spec.zones = {{"east", 1}, {"west", 1}};
  NodeKind kind;
  kind.name = "plain";
  spec.kinds = {kind};
  NodeGroup east, west;
  east.name = "east";
  east.count = 2;
  east.cell_size = 1;
  west.name = "west";
  west.zone = 1;
  spec.nodes = {east, west};
  spec.routers.groups = {{0, 1}, {1, 1}};
  for (const auto& [name, repeat, scope] :
       {std::tuple("safe", Idempotency::Idempotent, IdempotencyScope::All),
        {"all", Idempotency::WithKey, IdempotencyScope::All},
        {"zone", Idempotency::WithKey, IdempotencyScope::Zone},
        {"cell", Idempotency::WithKey, IdempotencyScope::Cell},
        {"unsafe", Idempotency::NonIdempotent, IdempotencyScope::All}}) {
    ClassSpec request_class;
    request_class.name = name;
    request_class.idempotency = repeat;
    request_class.idempotency_scope = scope;
    spec.classes.push_back(request_class);
  }
  spec.tenants = {{"big", 0.7, 1, 0}, {"small", 0.3, 1, 0}};
  ReplaceNodes replace;
  replace.who.nodes = {1};
  replace.after_ms = 500;
  spec.events = {{5000, "replaced", replace}};
  return spec;
}

// Builds a run: each method passes one record to the checker. Times are absolute, in milliseconds. The
// defaults describe a run that keeps every rule. At the start all routers have started and list all initial
// machines as ready.
class RecordScript {
 public:
  explicit RecordScript(double slack_ms = 50)
      : spec(small_spec()), plan(make_plan(spec)), checker(spec, plan, slack_ms) {
    for (RouterId r = 0; r < plan.routers.size(); ++r) {
      router_event(0, r, RouterEvent::What::Started);
      for (const PlannedMachine& m : plan.machines) {
        if (m.in_service_at_start) notify(0, r, m.id, ServerState::Ready);
      }
    }
  }

  RecordScript& draw(double at_ms, RequestNumber request, std::uint32_t request_class = 0) {
    DrawnRequest record;
    record.at = at_ms;
    record.request = request;
    record.cls = request_class;
    record.priority_weight = 1;
    record.latency_objective_ms = 750;
    record.client_timeout_ms = 1500;
    checker.on(record);
    return *this;
  }
  RecordScript& send_try(double at_ms, RequestNumber request, RouterId router_id = 0, bool accepted = true,
                         double network_delay_ms = 0) {
    TrySent record;
    record.at = at_ms;
    record.scheduled_at = at_ms - network_delay_ms;
    record.request = record.try_id = request;
    record.router = router_id;
    record.accepted = accepted;
    record.deadline = record.scheduled_at + 1500;
    checker.on(record);
    return *this;
  }
  RecordScript& end_try(double at_ms, RequestNumber request, TryOutcome outcome = TryOutcome::Served,
                        bool genuine = true, RouterId router_id = 0) {
    TryEnded record;
    record.at = at_ms;
    record.request = record.try_id = request;
    record.router = router_id;
    record.outcome = outcome;
    record.genuine = genuine;
    checker.on(record);
    return *this;
  }
  RecordScript& end_request(double at_ms, RequestNumber request, TryOutcome outcome = TryOutcome::Served,
                            double earned_weight = 1) {
    RequestEnded record;
    record.at = at_ms;
    record.request = request;
    record.outcome = outcome;
    record.tries = 1;
    record.earned_weight = earned_weight;
    checker.on(record);
    return *this;
  }
  RecordScript& arrive(double at_ms, AttemptId attempt, RequestNumber request, MachineId machine,
                       std::uint32_t request_class = 0, RouterId router_id = 0) {
    AttemptArrived record;
    record.at = at_ms;
    record.sent_at = at_ms - 1;
    record.attempt = attempt;
    record.machine = machine;
    record.try_id = request;
    record.router = router_id;
    record.cls = request_class;
    checker.on(record);
    return *this;
  }
  RecordScript& end_attempt(double at_ms, AttemptId attempt, ServerOutcome outcome) {
    AttemptEnded record;
    record.at = at_ms;
    record.attempt = attempt;
    record.outcome = outcome;
    checker.on(record);
    return *this;
  }
  RecordScript& router_event(double at_ms, RouterId router_id, RouterEvent::What event) {
    checker.on(RouterEvent{at_ms, router_id, event});
    return *this;
  }
  RecordScript& notify(double at_ms, RouterId router_id, MachineId machine, ServerState state) {
    EndpointNotified record;
    record.at = at_ms;
    record.router = router_id;
    record.machine = machine;
    record.state = state;
    checker.on(record);
    return *this;
  }
  RecordScript& overload(double at_ms, MachineId machine, bool cold, double notified_share) {
    checker.on(NodeEvent{at_ms, machine, NodeEvent::What::Overloaded, cold, notified_share});
    return *this;
  }

  const Spec spec;
  const Plan plan;
  RuleChecker checker;
};

} // namespace fernward::lab::test
