// The plan of a run, made from a Spec: every machine with its number and speed, every event as timed steps.
//
// All selections and draws that a scenario leaves to the seed are made here, once, so that both drivers run
// the same plan.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/spec.h"

namespace fernward::model {

// Machines are numbered from 0: the groups' nodes in order (each group's `count`, then its `standby`), then
// the origin if there is one, then the machines that replace others.
struct PlannedMachine {
  MachineId id = 0;
  std::string name;        // as discovery lists it; the routers derive the endpoint's number from it
  std::uint32_t group = 0; // of the origin: the index after the last group
  std::uint32_t kind = 0;  // the origin: origin_kind()
  std::uint32_t zone = 0, cell = 0;
  MachineId address_of = 0; // the machine whose address it uses: itself unless it replaces another
  double speed = 1;         // of a core, drawn
  double weight = 1;        // as published by discovery
  bool in_service_at_start = false;
};

struct PlannedRouter {
  RouterId id = 0;
  std::string name; // r0, r1, ...
  std::uint32_t zone = 0;
};

// ---- steps; steps with the same time are executed in order ----

struct NodeStep {
  enum class What { Start, Drain, End, Silence, Return, Neighbour, Bad };
  MachineId machine = 0;
  What what = What::Start;
  // Applies from now on. Neighbour: share of the capacity that it uses. Bad: share of the responses.
  double share = 0;
  BadResponse kind = BadResponse::Error; // Bad
};
struct RouterStep {
  enum class What { Kill, Term, Start, Reload, Silence, Return, Pause, Resume };
  RouterId router = 0;
  What what = What::Kill;
  // Term: the router is started this long after its exit; below 0: never. A Kill has its own Start step.
  double down_ms = 0;
};
struct PartitionStep {      // messages between the sides `a` and `b` are lost while it is enabled
  std::uint32_t number = 0; // of the event
  bool enabled = false;
  std::vector<MachineId> machines_a, machines_b;
  std::vector<RouterId> routers_a, routers_b;
  bool one_way = false; // from `a` to `b`, between routers
};
struct DatagramLossStep {   // affects the datagrams that these routers send or receive, while it is enabled
  std::uint32_t number = 0; // of the event
  bool enabled = false;
  double loss_share = 0, duplicate_share = 0;
  std::vector<RouterId> routers;
};
struct InconsistentRouterStep { // the routers' datagrams hold false values while it is enabled
  std::uint32_t number = 0;     // of the event
  bool enabled = false;
  InconsistentRouter behavior;
  std::vector<RouterId> routers;
};
struct LinkStep { // multiplies the default delay between two zones
  std::uint32_t from = 0, to = 0;
  double factor = 1;
};
struct DiscoveryStep {
  enum class What { Down, Up, MoveBegins, OldEnds }; // OldEnds: the old address stops answering
  What what = What::Down;
};
struct OriginStep {
  enum class What { Speed, Fall }; // Speed: `factor` is the share of its capacity from now on
  What what = What::Speed;
  double factor = 1, down_ms = 0;
};
struct ZoneStep { // clients of the zone use its routers, use other zones, or are lost
  enum class What { Usual, Move, Lost };
  std::uint32_t zone = 0;
  What what = What::Usual;
};
struct MarkStep { // for reports: event number `event` of the spec begins or ends
  std::uint32_t event = 0;
  bool begins = true;
};

struct Step {
  double at_ms = 0;
  std::variant<NodeStep, RouterStep, PartitionStep, LinkStep, DiscoveryStep, OriginStep, ZoneStep, MarkStep,
               DatagramLossStep, InconsistentRouterStep>
      what;
};

// Rate changes are part of the plan because arrivals are drawn in advance.
struct RateChange { // the rate is multiplied by `factor` between the two times
  double from_ms = 0, to_ms = 0, factor = 1;
};
struct HotKeyPeriod {
  double from_ms = 0, to_ms = 0, share = 0;
  std::uint64_t key = 0;
};

struct Plan {
  std::vector<PlannedMachine> machines; // by number
  std::vector<PlannedRouter> routers;
  MachineId origin = 0;    // without an origin: the number of the groups' machines
  std::vector<Step> steps; // in order of time
  std::vector<RateChange> rate_changes;
  std::vector<HotKeyPeriod> hot_key_periods;
  std::vector<double> client_share;                 // by zone; the sum is 1
  std::vector<std::uint32_t> events_without_target; // events whose selector matches no machine or router
};

// Requires that find_spec_errors() finds no error.
Plan make_plan(const Spec& spec);

} // namespace fernward::model
