#include "lab/virtual/world.h"

#include <xxhash.h>

#include <algorithm>

namespace fernward::lab {

using model::Heard;
using model::MachineId;
using model::RouterEvent;
using model::RouterId;

namespace {

constexpr double kSampleMs = 1000;
constexpr double kLeaveMs = 30000;    // machines' work left after this time is not awaited
constexpr std::uint64_t kLook = 4096; // events between two checks of the run control

// `salt`: varies the assignment of keys to nodes, which is also left to chance, as the program hashes keys
// and names.
Machines make_machines(const model::Plan& plan, std::uint64_t salt) {
  Machines all;
  for (const model::Machine& m : plan.machines) {
    fernward::Server server;
    // On a hash collision another identity is used, so that each machine has its own.
    std::uint64_t hash = XXH3_64bits_withSeed(m.name.data(), m.name.size(), salt);
    while (all.by_id.count(static_cast<fernward::ServerId>(hash)) > 0) ++hash;
    server.id = static_cast<fernward::ServerId>(hash);
    server.kind = m.kind;
    server.cell = m.cell;
    server.zone = m.zone;
    server.weight = m.weight;
    all.by_id[server.id] = m.id;
    all.entries.push_back(server);
  }
  return all;
}

} // namespace

double longest_give_up(const model::Spec& spec) {
  double longest = 0;
  for (const auto& cls : spec.classes) longest = std::max(longest, cls.give_up_ms);
  return longest;
}

World::World(const model::Spec& spec, model::Sink& sink, Planted planted, const model::Spec& asked)
    : spec_(spec),
      sink_(sink),
      plan_(model::make_plan(asked)),
      keys_(asked),
      aside_(2 * longest_give_up(spec) + 1000),
      arrivals_(asked, plan_, keys_),
      clients_(asked),
      front_(spec, plan_),
      network_(spec, plan_),
      discovery_(spec, plan_),
      noise_(model::stream(spec.seed, "attempt noise")),
      bad_(model::stream(spec.seed, "bad answers")),
      machines_(make_machines(plan_, spec.seed == asked.seed ? 0 : spec.seed)),
      places_(plan_.machines.size()),
      kept_(plan_.routers.size()),
      stuck_(plan_.routers.size()),
      down_ms_(plan_.routers.size(), -1),
      pauses_(plan_.routers.size()),
      spoken_(plan_.routers.size()),
      moved_(plan_.routers.size()),
      clients_wake_(kForever),
      discovery_wake_(kForever) {
  const model::Node::World shared{spec_, keys_, repeats_, &beginning_};
  for (const model::Machine& m : plan_.machines) {
    if (spec_.origin.on && m.id == plan_.origin) {
      stations_.push_back(std::make_unique<model::Origin>(spec_, m, repeats_));
    } else {
      stations_.push_back(std::make_unique<model::Node>(shared, m));
    }
    places_[m.id].wakes_at = kForever;
  }
  for (const model::RouterPlace& r : plan_.routers) {
    routers_.push_back(std::make_unique<Router>(spec_, r, machines_, plan_.routers.size(), *this, planted));
  }
}

// ---- the loop ----

void World::run(const RunControl& control, RunInfo& info) {
  for (std::uint32_t i = 0; i < plan_.steps.size(); ++i) at(plan_.steps[i].at_ms, Due::Step, i, 0, 0);
  at(0, Due::Sample, 0, 0, 0);
  // Each router starts with the cached list.
  for (const auto& router : routers_) router_starts(static_cast<RouterId>(&router - routers_.data()));
  draw_next();
  Agenda::Entry due;
  for (; agenda_.pop(due, [this](const Agenda::Entry& entry) { return means_something(entry); });
       ++info.events) {
    if (info.events % kLook == 0) {
      if (control.progress) control.progress(now_);
      if (control.stop.stop_requested()) {
        info.stopped = true;
        break;
      }
    }
    now_ = due.at;
    // After the last response only work at the machines and steps without effect on clients are left.
    const bool answered = done_drawing_ && clients_.open_requests() == 0 && now_ >= spec_.duration_ms;
    if (answered && (arrived_.size() == 0 || now_ > spec_.duration_ms + kLeaveMs)) break;
    work_off(due);
  }
  info.played_ms = now_;
  for (RouterId r = 0; r < routers_.size(); ++r) {
    RouterCost cost = spoken_[r];
    cost.router = r;
    cost.cpu_s = routers_[r]->cpu_s();
    cost.peak_sockets = static_cast<std::uint32_t>(routers_[r]->peak_links());
    info.routers.push_back(cost);
  }
}

bool World::means_something(const Agenda::Entry& due) {
  switch (due.what()) {
    case Due::Guard: {
      const Exchange* x = exchanges_.find(due.handle);
      return x != nullptr && !x->over;
    }
    case Due::AttemptTimeout: return attempts_.find(due.handle) != nullptr;
    case Due::ConnectTimeout: {
      const Link* l = links_.find(due.handle);
      return l != nullptr && !l->closed && !l->up;
    }
    case Due::LinkRested: {
      const Link* l = links_.find(due.handle);
      return l != nullptr && !l->closed && l->attempt == 0 && l->rest == due.life;
    }
    case Due::MachineCloses: {
      const Link* l = links_.find(due.handle);
      return l != nullptr && l->accepted && l->arrival == 0;
    }
    default: return true;
  }
}

void World::work_off(const Agenda::Entry& due) {
  if (waits_for_router(due)) return;
  const bool alive = due.number < routers_.size() && routers_[due.number]->life() == due.life &&
                     routers_[due.number]->runs();
  switch (due.what()) {
    case Due::Arrival: {
      sink_.on(*next_);
      clients_.open(now_, *next_, client_acts_);
      client_acts();
      return draw_next();
    }
    case Due::Clients:
      if (due.at != clients_wake_) return; // obsolete: the timer was set to another time meanwhile
      clients_wake_ = kForever;
      clients_.advance(now_, client_acts_);
      return client_acts();
    case Due::Step: return step(plan_.steps[due.number]);
    case Due::Station:
      if (due.at != places_[due.number].wakes_at) return; // as above
      places_[due.number].wakes_at = kForever;
      stations_[due.number]->advance(now_, acts_);
      return station_acts(due.number);
    case Due::Discovery: return discovery();
    case Due::Sample: return sample();
    case Due::RequestAtRouter: return request_at_router(due.handle);
    case Due::AnswerAtClient: {
      const Try* t = tries_.find(due.handle);
      if (t != nullptr) end_try(due.handle, t->heard, t->retry_after_ms);
      return;
    }
    case Due::GoneAtRouter:
      if (alive && network_.reachable(due.number)) routers_[due.number]->client_gone(due.handle);
      break;
    case Due::BrokenAtClient: return end_try(due.handle, Heard::Broken, 0);
    case Due::RouterStart:
      if (!routers_[due.number]->runs()) router_starts(due.number);
      return;
    case Due::RouterTimer:
      if (alive) routers_[due.number]->timer(due.handle);
      break;
    case Due::RouterStops:
      if (alive) routers_[due.number]->stop_accepting();
      break;
    case Due::RouterDrains:
      if (!alive) return;
      routers_[due.number]->drain();
      kept_[due.number] = 0;
      break;
    case Due::RouterEnds:
      if (alive) router_dies(due.number, RouterEvent::What::Ended);
      return;
    case Due::LinkRested:
      if (routers_[due.number]->runs()) routers_[due.number]->rested(due.handle, due.life);
      return;
    case Due::MachineCloses: return machine_closes(due.handle);
    case Due::ClosedAtRouter: {
      const Link* l = links_.find(due.handle);
      if (l == nullptr || l->closed || !network_.passes(l->router, l->machine)) return;
      routers_[l->router]->closed_by_machine(due.handle);
      break;
    }
    case Due::Guard:
      if (alive) routers_[due.number]->guard(due.handle);
      break;
    case Due::AttemptTimeout:
      if (alive) routers_[due.number]->attempt_timeout(due.handle);
      break;
    case Due::ConnectAtMachine: return connect_at_machine(due.handle);
    case Due::ConnectedAtRouter: {
      const Link* l = links_.find(due.handle);
      if (l == nullptr || l->closed) return;
      if (!network_.passes(l->router, l->machine)) {
        links_.find(due.handle)->stuck = true;
        return;
      }
      routers_[l->router]->linked(due.handle);
      return check_end(due.number);
    }
    case Due::RefusedAtRouter: {
      const Link* l = links_.find(due.handle);
      if (l == nullptr) return;
      if (!l->closed && network_.passes(l->router, l->machine)) routers_[l->router]->lost(due.handle, true);
      break;
    }
    case Due::ConnectTimeout:
      if (alive) routers_[due.number]->connect_timeout(due.handle);
      break;
    case Due::AttemptAtMachine: return attempt_at_machine(due.handle);
    case Due::AnswerAtRouter: return answer_at_router(due.handle);
    case Due::CloseAtMachine: return close_at_machine(due.handle);
    case Due::ResetAtRouter: return reset_at_router(due.handle);
    case Due::RouterRound:
      if (alive) routers_[due.number]->round();
      break;
    case Due::DatagramAtRouter: return datagram_at_router(due.handle);
  }
  if (due.number < routers_.size()) check_end(due.number);
}

void World::step(const model::Step& step) {
  network_.apply(step);
  if (const auto* node = std::get_if<model::NodeStep>(&step.what)) {
    node_step(*node);
  } else if (const auto* router = std::get_if<model::RouterStep>(&step.what)) {
    router_step(*router);
  } else if (const auto* cut = std::get_if<model::CutStep>(&step.what)) {
    if (!cut->on) free_ways();
  } else if (const auto* found = std::get_if<model::DiscoveryStep>(&step.what)) {
    using What = model::DiscoveryStep::What;
    if (found->what == What::Down || found->what == What::Up) {
      discovery_down_ = found->what == What::Down;
      discovery_.outage(now_, discovery_down_);
    }
    if (found->what == What::OldEnds) old_ended_ = true;
    discovery();
  } else if (const auto* origin = std::get_if<model::OriginStep>(&step.what)) {
    if (!spec_.origin.on) return;
    auto& station = static_cast<model::Origin&>(*stations_[plan_.origin]);
    if (origin->what == model::OriginStep::What::Fall) {
      station.fall(now_, origin->down_ms, acts_);
    } else {
      station.slow(now_, origin->factor, acts_);
    }
    station_acts(plan_.origin);
  } else if (const auto* zone = std::get_if<model::ZoneStep>(&step.what)) {
    front_.zone(zone->zone, zone->what);
  } else if (const auto* lie = std::get_if<model::LieStep>(&step.what)) {
    lies::apply(liars_, *lie, plan_.routers.size(), spec_.seed);
  } else if (const auto* mark = std::get_if<model::MarkStep>(&step.what)) {
    sink_.on(model::Mark{now_, mark->event, mark->begins});
  }
}

void World::sample() {
  for (MachineId m = 0; m < stations_.size(); ++m) {
    stations_[m]->advance(now_, acts_);
    station_acts(m);
    if (stations_[m]->phase() != model::Phase::Off) sink_.on(stations_[m]->sample(now_));
  }
  for (const auto& router : routers_) {
    if (const auto shared = router->shared()) sink_.on(*shared);
  }
  at(now_ + kSampleMs, Due::Sample, 0, 0, 0);
}

} // namespace fernward::lab
