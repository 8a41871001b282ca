// A Spec made definite: every machine with its number and speed, every event as single steps at times.
//
// All picks and draws that a scenario leaves to the seed are made here, once: both drivers play the same.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/spec.h"

namespace fernward::model {

// Machines are numbered from 0: the groups' nodes in order (each group's `count`, then its `standby`), then
// the origin where there is one, then the machines that replace others.
struct Machine {
  MachineId id = 0;
  std::string name;        // as discovery lists it, and the routers' number follows from it
  std::uint32_t group = 0; // the origin: one beyond the groups
  std::uint32_t kind = 0;  // the origin: origin_kind()
  std::uint32_t zone = 0, cell = 0;
  MachineId address_of = 0; // the machine whose address it has: its own number unless it replaces one
  double speed = 1;         // of a core, drawn
  double weight = 1;        // as discovery tells it
  bool at_start = false;    // in service when the run begins
};

struct RouterPlace {
  RouterId id = 0;
  std::string name; // r0, r1, ...
  std::uint32_t zone = 0;
};

// ---- steps; those of one time are carried out in order ----

struct NodeStep {
  enum class What { Start, Drain, End, Silence, Return, Neighbour, Bad };
  MachineId machine = 0;
  What what = What::Start;
  double share = 0;                  // Neighbour: taken from now on. Bad: of the answers from now on
  BadAnswer kind = BadAnswer::Error; // Bad
};
struct RouterStep {
  enum class What { Kill, Term, Start, Reload, Silence, Return, Pause, Wake };
  RouterId router = 0;
  What what = What::Kill;
  // Term: it is started this long after its end; below 0: never. (A Kill has its own Start.).
  double down_ms = 0;
};
struct CutStep {         // messages between a member of `a` and one of `b` are lost while the cut is on
  std::uint32_t cut = 0; // its number
  bool on = false;
  std::vector<MachineId> machines_a, machines_b;
  std::vector<RouterId> routers_a, routers_b;
  bool one_way = false; // from `a` to `b`, between routers
};
struct LossStep { // of the datagrams that these routers send or get, while it is on
  std::uint32_t number = 0;
  bool on = false;
  double share = 0, twice = 0;
  std::vector<RouterId> routers;
};
struct LieStep { // what the routers' datagrams say is made false while it is on
  std::uint32_t number = 0;
  bool on = false;
  LyingRouter how;
  std::vector<RouterId> routers;
};
struct LinkStep { // the delay between two zones is this times its usual
  std::uint32_t from = 0, to = 0;
  double factor = 1;
};
struct DiscoveryStep {
  enum class What { Down, Up, MoveBegins, OldEnds };
  What what = What::Down;
};
struct OriginStep {
  enum class What { Speed, Fall }; // Speed: its capacity is this share from now on
  What what = What::Speed;
  double factor = 1, down_ms = 0;
};
struct ZoneStep { // clients of the zone: 0 usual, 1 go to other zones, 2 are lost
  enum class What { Usual, Move, Lost };
  std::uint32_t zone = 0;
  What what = What::Usual;
};
struct MarkStep { // for reports: event `event` of the spec begins or ends here
  std::uint32_t event = 0;
  bool begins = true;
};

struct Step {
  double at_ms = 0;
  std::variant<NodeStep, RouterStep, CutStep, LinkStep, DiscoveryStep, OriginStep, ZoneStep, MarkStep,
               LossStep, LieStep>
      what;
};

// Known before the run, as arrivals are drawn ahead.
struct RateChange { // the rate is multiplied by this between the two times
  double from_ms = 0, to_ms = 0, factor = 1;
};
struct HotSpell {
  double from_ms = 0, to_ms = 0, share = 0;
  std::uint64_t key = 0;
};

struct Plan {
  std::vector<Machine> machines; // by number
  std::vector<RouterPlace> routers;
  MachineId origin = 0;    // machines.size() where there is none
  std::vector<Step> steps; // in order of time
  std::vector<RateChange> rates;
  std::vector<HotSpell> hot;
  std::vector<double> client_share; // of each zone, sums to 1
  std::vector<std::uint32_t> idle;  // events that find nobody to happen to
};

// The spec must have no faults().
Plan make_plan(const Spec& spec);

} // namespace fernward::model
