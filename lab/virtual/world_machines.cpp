// The machines, and the connections between routers and machines.
#include "lab/virtual/world.h"

#include <algorithm>

namespace fernward::lab {

using fernward::AttemptResult;
using fernward::ServerState;
using model::Act;
using model::Ending;
using model::MachineId;
using model::NodeEvent;
using model::RouterId;

namespace {

constexpr double kSlowBytesMs = 2500; // delay of a BadAnswer::SlowBytes response

} // namespace

double World::to_machine(Link& link) {
  const double way = network_.between(plan_.routers[link.router].zone, zone_of(link.machine));
  return link.to_machine_at = std::max(link.to_machine_at, now_ + way);
}

double World::to_router(Link& link) {
  const double way = network_.between(zone_of(link.machine), plan_.routers[link.router].zone);
  return link.to_router_at = std::max(link.to_router_at, now_ + way);
}

void World::connect(Handle link) {
  Link& l = *links_.find(link);
  if (!network_.passes(l.router, l.machine)) {
    l.stuck = true;
    return;
  }
  at(to_machine(l), Due::ConnectAtMachine, l.router, link, 0);
}

void World::connect_at_machine(Handle link) {
  Link* l = links_.find(link);
  if (l == nullptr || l->closed) return;
  if (!network_.passes(l->router, l->machine)) {
    l->stuck = true;
    return;
  }
  l->machine_life = places_[l->machine].life;
  l->accepted = true;
  const MachineId machine = l->machine;
  if (!stations_[machine]->connect(now_, link, acts_)) {
    l->accepted = false;
    at(to_router(*l), Due::RefusedAtRouter, l->router, link, 0);
  }
  station_acts(machine);
}

void World::write(Handle attempt) {
  const RouterAttempt& a = *attempts_.find(attempt);
  Link& l = *links_.find(a.link);
  if (!network_.passes(l.router, l.machine)) {
    l.stuck = true;
    return;
  }
  at(to_machine(l), Due::AttemptAtMachine, l.router, attempt, 0);
}

// The router closes the link. The machine is notified later, or closes after its idle timeout if no message
// passes.
void World::close(Handle link) {
  Link& l = *links_.find(link);
  l.closed = true;
  const bool passes = network_.passes(l.router, l.machine);
  const double idle = idle_ms(l.machine);
  at(passes ? to_machine(l) : now_ + idle, Due::CloseAtMachine, l.router, link, 0);
}

void World::close_at_machine(Handle link) {
  const Link* l = links_.find(link);
  if (l == nullptr) return;
  const MachineId machine = l->machine;
  const Handle arrival = l->arrival;
  if (l->accepted && l->machine_life == places_[machine].life) {
    stations_[machine]->disconnect(now_);
    if (const Arrival* a = arrived_.find(arrival)) {
      (void)a;
      stations_[machine]->cancel(now_, arrival, acts_);
    }
  }
  links_.remove(link);
  station_acts(machine);
}

// The machine's idle timeout has expired and it closes the link. The router is notified; a request that it
// sends meanwhile is answered with a reset.
void World::machine_closes(Handle link) {
  Link* l = links_.find(link);
  if (l == nullptr || !l->accepted || l->arrival != 0 || l->machine_life != places_[l->machine].life) return;
  if (now_ - l->machine_rests_since < idle_ms(l->machine)) return; // it was used meanwhile
  l->accepted = false;
  l->gone = true;
  stations_[l->machine]->disconnect(now_);
  if (!l->closed && network_.passes(l->router, l->machine)) {
    at(to_router(*l), Due::ClosedAtRouter, l->router, link, 0);
  }
}

double World::idle_ms(MachineId machine) const {
  if (spec_.origin.on && machine == plan_.origin) return spec_.origin.idle_ms;
  return spec_.kinds[plan_.machines[machine].kind].idle_ms;
}

void World::reset_at_router(Handle link) {
  Link* l = links_.find(link);
  if (l == nullptr || l->closed) return; // its CloseAtMachine event is under way
  const RouterId router = l->router;
  if (!network_.passes(router, l->machine)) {
    l->stuck = true;
    return;
  }
  routers_[router]->lost(link, false);
  check_end(router);
}

// The machine's side of its connections is gone. Routers are notified by a reset if messages pass.
void World::reset_links(MachineId machine, bool only_stuck) {
  links_.each([&](Handle link, Link& l) {
    if (l.machine != machine || (only_stuck && !l.stuck)) return;
    if (l.accepted && l.machine_life == places_[machine].life && only_stuck)
      stations_[machine]->disconnect(now_);
    l.accepted = false;
    if (l.closed) return;
    if (!network_.passes(l.router, machine)) {
      l.stuck = true;
      return;
    }
    l.stuck = false;
    at(to_router(l), Due::ResetAtRouter, l.router, link, 0);
  });
}

// A silence or network partition is over: connections that lost a message reset.
void World::free_ways() {
  for (MachineId m = 0; m < stations_.size(); ++m) reset_links(m, true);
}

// ---- machines ----

model::Node* World::node(MachineId machine) {
  return spec_.origin.on && machine == plan_.origin ? nullptr
                                                    : static_cast<model::Node*>(stations_[machine].get());
}

void World::event(MachineId machine, NodeEvent::What what, bool cold, double told_share) {
  sink_.on(NodeEvent{now_, machine, what, cold, told_share});
}

void World::node_step(const model::NodeStep& step) {
  using What = model::NodeStep::What;
  using Why = model::Discovery::Why;
  const MachineId m = step.machine;
  model::Station& station = *stations_[m];
  Place& place = places_[m];
  const bool runs = station.phase() != model::Phase::Off;
  switch (step.what) {
    case What::Start:
      if (runs) return;
      ++place.life;
      place.started_at = now_;
      station.start(now_, acts_);
      event(m, NodeEvent::What::Started, true, 0);
      discovery_.change(now_, m, ServerState::Ready, now_, Why::Added);
      break;
    case What::Drain:
      if (!runs) return;
      station.drain(now_, acts_);
      event(m, NodeEvent::What::Draining, false, 0);
      discovery_.change(now_, m, ServerState::Draining, place.started_at, Why::Left);
      break;
    case What::End:
      if (!runs) return;
      station.end(now_, acts_);
      event(m, NodeEvent::What::Ended, false, 0);
      station_acts(m);
      reset_links(m, false);
      ++place.life;
      discovery_.change(now_, m, ServerState::Gone, place.started_at, Why::Left);
      break;
    case What::Silence:
      event(m, NodeEvent::What::Silent, false, 0);
      discovery_.change(now_, m, ServerState::Gone, place.started_at, Why::Silent);
      break;
    case What::Return:
      event(m, NodeEvent::What::Returned, false, 0);
      free_ways();
      // An origin that failed meanwhile stays on the list, and returns without a separate update.
      if (runs || m == plan_.origin)
        discovery_.change(now_, m, ServerState::Ready, place.started_at, Why::Added);
      break;
    case What::Neighbour:
      if (model::Node* n = node(m)) n->neighbour(now_, step.share, acts_);
      event(m, step.share > 0 ? NodeEvent::What::NeighbourOn : NodeEvent::What::NeighbourOff, false, 0);
      break;
    case What::Bad:
      place.bad_share = step.share;
      place.bad = step.kind;
      return;
  }
  station_acts(m);
  discovery();
}

void World::attempt_at_machine(Handle attempt) {
  const RouterAttempt* a = attempts_.find(attempt);
  if (a == nullptr) return; // abandoned: the link's close follows
  Link* l = links_.find(a->link);
  if (!network_.passes(a->router, a->machine)) {
    l->stuck = true;
    return;
  }
  if (l->gone) { // a request on a connection that the machine has closed is answered with a reset
    at(to_router(*l), Due::ResetAtRouter, l->router, a->link, 0);
    return;
  }
  if (!l->accepted || l->machine_life != places_[a->machine].life) return; // its reset is under way
  const Exchange& x = *exchanges_.find(a->exchange);
  const model::Drawn& drawn = x.start.drawn;
  const MachineId machine = a->machine;
  const Handle handle = arrived_.add();
  Arrival& arrival = *arrived_.find(handle);
  arrival.number = ++attempts_seen_;
  arrival.machine = machine;
  arrival.router = a->router;
  arrival.link = a->link;
  arrival.attempt = attempt;
  arrival.try_id = x.start.try_id;
  arrival.key = drawn.key;
  arrival.write = drawn.write;
  l->arrival = handle;
  model::Attempt work;
  work.id = handle;
  work.cls = drawn.cls;
  work.key = drawn.key;
  work.repeat_key = x.start.repeat_key;
  work.write = drawn.write;
  // Whether the router knows of the machine's present start; starts before the run count as known.
  const auto& known = routers_[a->router]->known(machine);
  work.told = places_[machine].started_at < 0 || known.started_at >= places_[machine].started_at;
  work.work_ms = drawn.work_ms * model::draw_factor(spec_.classes[drawn.cls].attempt_noise, noise_);
  work.size_bytes = drawn.size_bytes;
  work.deadline = a->deadline;
  model::Arrived record;
  record.at = now_;
  record.sent_at = a->sent_at;
  record.attempt = arrival.number;
  record.machine = machine;
  record.try_id = arrival.try_id;
  record.router = a->router;
  record.cls = drawn.cls;
  record.key = drawn.key;
  record.repeat_key = work.repeat_key;
  record.write = drawn.write;
  record.told = work.told;
  record.work_ms = work.work_ms;
  sink_.on(record);
  stations_[machine]->arrive(now_, work, acts_);
  station_acts(machine);
}

void World::station_acts(MachineId machine) {
  for (std::size_t i = 0; i < acts_.size(); ++i) {
    const Act act = acts_[i];
    switch (act.what) {
      case Act::What::Began:
        if (const Arrival* a = arrived_.find(act.id)) sink_.on(model::Begun{act.at, a->number, machine});
        break;
      case Act::What::Answered: attempt_ended(machine, act); break;
      case Act::What::Connected:
        if (Link* l = links_.find(act.id)) {
          const auto& kinds = spec_.kinds;
          const double trips = spec_.origin.on && machine == plan_.origin
                                   ? spec_.origin.handshake_trips
                                   : kinds[plan_.machines[machine].kind].handshake_trips;
          const double way = network_.between(zone_of(machine), plan_.routers[l->router].zone);
          l->to_router_at = std::max(l->to_router_at, now_ + way * (1 + 2 * trips));
          if (network_.passes(l->router, machine)) {
            at(l->to_router_at, Due::ConnectedAtRouter, l->router, act.id, 0);
          } else {
            l->stuck = true;
          }
        }
        break;
      case Act::What::Warm: event(machine, NodeEvent::What::Warm, false, 0); break;
      case Act::What::TippedOver:
        event(machine, NodeEvent::What::TippedOver, act.cold, act.told_share);
        reset_links(machine, false);
        ++places_[machine].life;
        discovery_.change(now_, machine, ServerState::Gone, places_[machine].started_at,
                          model::Discovery::Why::Left);
        discovery();
        break;
      case Act::What::Fell: // stays on the list: it returns under the same name
        event(machine, NodeEvent::What::Ended, false, 0);
        reset_links(machine, false);
        ++places_[machine].life;
        break;
      case Act::What::Returned: event(machine, NodeEvent::What::Started, false, 0); break;
    }
  }
  acts_.clear();
  const double next = std::max(now_, stations_[machine]->next());
  if (next >= places_[machine].wakes_at) return;
  places_[machine].wakes_at = next;
  at(next, Due::Station, machine, 0, 0);
}

void World::attempt_ended(MachineId machine, const Act& act) {
  Arrival* found = arrived_.find(act.id);
  if (found == nullptr) return;
  Arrival& a = *found;
  model::AttemptEnded record;
  record.at = act.at;
  record.attempt = a.number;
  record.machine = machine;
  record.ending = act.ending;
  record.begun = act.begun;
  record.wanted = act.wanted;
  record.waited_ms = act.waited_ms;
  record.worked_ms = act.worked_ms;
  sink_.on(record);
  Link* l = links_.find(a.link);
  if (l != nullptr && l->arrival == act.id) {
    l->arrival = 0;
    l->machine_rests_since = now_;
    // Otherwise the router closes the link first.
    const double idle = idle_ms(machine);
    if (idle < router_idle_ms(spec_)) at(now_ + idle, Due::MachineCloses, l->router, a.link, 0);
  }

  switch (act.ending) {
    case Ending::Miss:
    case Ending::Pending: aside_.missed(now_, a.try_id, machine); break;
    case Ending::Fetched:
      if (act.wanted) {
        const auto places = aside_.fetched(now_, a.try_id);
        for (std::uint32_t i = 0; i < places.count; ++i) {
          if (model::Node* n = node(places.machines[i])) n->store(now_, a.key);
        }
      }
      break;
    default: break;
  }
  const bool written = act.ending == Ending::Written || (act.ending == Ending::Error && act.begun);
  if (a.write && written && spec_.origin.on &&
      machine == plan_.origin) { // the origin invalidates cached copies
    for (MachineId m = 0; m < plan_.machines.size(); ++m) {
      if (model::Node* n = node(m)) n->make_void(a.key);
    }
  }

  switch (act.ending) {
    case Ending::Hit:
    case Ending::Fetched:
    case Ending::Written:
    case Ending::Repeat: a.result = AttemptResult::Ok; break;
    case Ending::Miss:
    case Ending::Pending: a.result = AttemptResult::CacheMiss; break;
    case Ending::Error: a.result = AttemptResult::Error; break;
    case Ending::Full:
    case Ending::Draining:
    case Ending::Overdue: a.result = AttemptResult::Overloaded; break;
    case Ending::Dropped:
    case Ending::Lost: return arrived_.remove(act.id); // no response: the router notices when the link ends
  }
  // The router has closed the link, or messages do not pass.
  if (l == nullptr || l->closed || !network_.passes(a.router, machine)) {
    if (l != nullptr && !l->closed) l->stuck = true;
    return arrived_.remove(act.id);
  }
  stations_[machine]->report(act.at, a.report);
  double late = 0;
  if (model::draw_chance(places_[machine].bad_share, bad_)) spoil(a, late);
  if (late == kForever) return arrived_.remove(act.id);
  at(to_router(*l) + late, Due::AnswerAtRouter, a.router, act.id, 0);
}

// Sets what the router observes of a bad response.
void World::spoil(Arrival& arrival, double& late) {
  switch (places_[arrival.machine].bad) {
    case model::BadAnswer::Error: arrival.result = AttemptResult::Error; break;
    case model::BadAnswer::Garbage:
    case model::BadAnswer::TooLarge:
      arrival.result = AttemptResult::Error;
      arrival.ends = Router::Ends::ClosesLink;
      arrival.report.clear();
      break;
    case model::BadAnswer::CutOff:
    case model::BadAnswer::EarlyClose:
      arrival.result = AttemptResult::Reset;
      arrival.ends = places_[arrival.machine].bad == model::BadAnswer::CutOff ? Router::Ends::ClosesLink
                                                                              : Router::Ends::Unbegun;
      arrival.report.clear();
      break;
    case model::BadAnswer::NeverEnds: late = kForever; break;
    case model::BadAnswer::WrongBody: break;
    case model::BadAnswer::SlowBytes: late = kSlowBytesMs; break;
  }
}

void World::answer_at_router(Handle handle) {
  Arrival* a = arrived_.find(handle);
  if (a == nullptr) return;
  const Handle attempt = a->attempt;
  const RouterId router = a->router;
  const AttemptResult result = a->result;
  const Router::Ends ends = a->ends;
  const bool passes = network_.passes(router, a->machine);
  if (Link* l = links_.find(a->link); l != nullptr && !passes) l->stuck = true;
  std::vector<float> report = std::move(a->report);
  arrived_.remove(handle);
  if (!passes || attempts_.find(attempt) == nullptr) return;
  routers_[router]->answered(attempt, result, std::move(report), ends);
  check_end(router);
}

} // namespace fernward::lab
