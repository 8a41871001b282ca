// The routers: start, shutdown, pauses, datagrams, and updates from discovery.
#include "lab/virtual/world.h"

#include <algorithm>

namespace fernward::lab {

using fernward::ServerState;
using model::Heard;
using model::MachineId;
using model::RouterEvent;
using model::RouterId;

namespace {

constexpr double kAcceptOnMs = 500; // a router accepts connections for this long after SIGTERM
constexpr double kFinishMs = 600;   // allowance beyond the deadline of requests accepted then
constexpr double kServeOnMs =
    1500; // kept connections are served for half of the shutdown time, at most this long
constexpr double kStartMs = 30; // from a router's start until it listens

} // namespace

void World::event(RouterId router, RouterEvent::What what) { sink_.on(RouterEvent{now_, router, what}); }

void World::router_starts(RouterId router) {
  Router& r = *routers_[router];
  const bool first = r.life() == 0;
  r.start();
  event(router, RouterEvent::What::Started);
  model::Discovery::List known;
  known.whole = true;
  if (first) {
    known = discovery_.list(router, std::nullopt);
  } else {
    for (MachineId m = 0; m < plan_.machines.size(); ++m) {
      const auto& had = r.known(m);
      if (had.state != ServerState::Gone) known.entries.push_back({m, had.state, had.started_at, 0});
    }
  }
  for (const auto& entry : known.entries) {
    sink_.on(model::Told{now_, router, entry.machine, entry.state, entry.started_at, true, false});
  }
  r.list(known, true);
  tell(router);
  if (r.ready()) {
    event(router, RouterEvent::What::Ready);
    front_.up(now_, router);
  }
}

void World::router_step(const model::RouterStep& step) {
  using What = model::RouterStep::What;
  Router& router = *routers_[step.router];
  if (pauses_[step.router].on && (step.what == What::Term || step.what == What::Reload)) {
    pauses_[step.router].signals.push_back(step); // delivered when the process resumes
    return;
  }
  switch (step.what) {
    case What::Kill:
      if (router.runs()) router_dies(step.router, RouterEvent::What::Killed);
      return;
    case What::Pause:
      if (router.runs()) pause(step.router);
      return;
    case What::Wake: return wake(step.router);
    case What::Term: { // as src/router/router.cpp
      if (!router.runs() || router.stopping()) return;
      const double last = longest_give_up(spec_) + kFinishMs;
      event(step.router, RouterEvent::What::Term);
      router.wind_down();
      front_.stopping(now_, step.router);
      down_ms_[step.router] = step.down_ms;
      at(now_ + kAcceptOnMs, Due::RouterStops, step.router, 0, router.life());
      at(now_ + std::max(kAcceptOnMs, std::min(last / 2, kServeOnMs)), Due::RouterDrains, step.router, 0,
         router.life());
      at(now_ + last, Due::RouterEnds, step.router, 0, router.life());
      return;
    }
    case What::Start: return at(now_ + kStartMs, Due::RouterStart, step.router, 0, 0);
    case What::Reload:
      moved_[step.router] = 1; // a stopped router starts with the new configuration later
      if (!router.runs()) return;
      event(step.router, RouterEvent::What::Reloaded);
      return tell(step.router);
    case What::Silence:
      event(step.router, RouterEvent::What::Silent);
      stuck_[step.router] = kept_[step.router] > 0;
      tries_.each([&](Handle, const Try& t) { stuck_[step.router] |= t.router == step.router && !t.over; });
      kept_[step.router] = 0;
      return front_.down(now_, step.router);
    case What::Return:
      event(step.router, RouterEvent::What::Returned);
      stuck_[step.router] = 0;
      free_ways();
      tell(step.router);
      if (router.ready() && !pauses_[step.router].on) front_.up(now_, step.router);
      return check_end(step.router);
  }
}

// A stopping router ends with its last connection. Connections kept by clients, and those with a response
// under way, stay open until it drains.
void World::check_end(RouterId router) {
  const Router& r = *routers_[router];
  if (!r.runs() || !r.stopping() || !r.finished()) return;
  if (r.keeps()) {
    bool open = kept_[router] > 0 || stuck_[router] != 0;
    tries_.each([&](Handle, const Try& t) { open |= t.router == router && t.answered && !t.over; });
    if (open && spec_.clients.keep_connections) return;
  }
  router_dies(router, RouterEvent::What::Ended);
}

// The process is gone: connections reset on both sides.
void World::router_dies(RouterId router, RouterEvent::What how) {
  pauses_[router].on = false;
  pauses_[router].signals.clear();
  event(router, how);
  routers_[router]->die();
  front_.down(now_, router);
  kept_[router] = 0;
  stuck_[router] = 0;
  std::vector<Handle> gone;
  tries_.each([&](Handle client, Try& t) {
    if (t.router != router || !t.taken || t.answered) return;
    t.taken = false;
    if (t.over) {
      gone.push_back(client);
    } else if (network_.reachable(router)) {
      at(now_ + network_.with_client(t.start.drawn.zone, plan_.routers[router].zone), Due::BrokenAtClient, 0,
         client, 0);
    }
  });
  for (const Handle client : gone) tries_.remove(client);
  attempts_.each([&](Handle attempt, RouterAttempt& a) {
    if (a.router == router) attempts_.remove(attempt);
  });
  exchanges_.each([&](Handle exchange, Exchange& x) {
    if (x.router == router) exchanges_.remove(exchange);
  });
  links_.each([&](Handle link, Link& l) {
    if (l.router != router || l.closed) return;
    l.closed = true;
    l.attempt = 0;
    close(link);
  });
  // Events held for a paused process are processed without it.
  for (const Agenda::Entry& due : std::exchange(pauses_[router].due, {})) work_off(due);
  const double down = std::exchange(down_ms_[router], -1);
  if (how == RouterEvent::What::Ended && down >= 0)
    at(now_ + down + kStartMs, Due::RouterStart, router, 0, 0);
}

// ---- pauses ----

// The process is paused. Its kernel keeps accepting connections and data, which are available when the
// process resumes.
void World::pause(RouterId router) {
  if (pauses_[router].on) return;
  pauses_[router].on = true;
  event(router, RouterEvent::What::Paused);
  front_.down(now_, router); // its readiness checks get no response
}

void World::wake(RouterId router) {
  Pause& pause = pauses_[router];
  if (!pause.on) return;
  pause.on = false;
  event(router, RouterEvent::What::Woke);
  tell(router);
  if (routers_[router]->ready() && network_.reachable(router)) front_.up(now_, router);
  for (const Agenda::Entry& due : std::exchange(pause.due, {})) {
    if (means_something(due)) work_off(due);
  }
  for (const model::RouterStep& signal : std::exchange(pause.signals, {})) router_step(signal);
}

// Keeps the event if it is for a paused process. True: it was kept.
bool World::waits_for_router(const Agenda::Entry& due) {
  switch (due.what()) {
    case Due::RequestAtRouter:
    case Due::GoneAtRouter:
    case Due::RouterTimer:
    case Due::RouterStops:
    case Due::RouterDrains:
    case Due::RouterEnds:
    case Due::LinkRested:
    case Due::Guard:
    case Due::AttemptTimeout:
    case Due::ConnectedAtRouter:
    case Due::RefusedAtRouter:
    case Due::ConnectTimeout:
    case Due::AnswerAtRouter:
    case Due::ResetAtRouter:
    case Due::ClosedAtRouter:
    case Due::RouterRound:
    case Due::DatagramAtRouter: break;
    default: return false;
  }
  if (!pauses_[due.number].on) return false;
  pauses_[due.number].due.push_back(due);
  return true;
}

// ---- datagrams ----

void World::datagram(RouterId from, RouterId to, std::string bytes) {
  ++spoken_[from].datagrams;
  spoken_[from].datagram_bytes += bytes.size();
  if (const auto liar = liars_.find(from); liar != liars_.end()) bytes = liar->second.spoil(now_, bytes);
  for (int copies = network_.twice(from, to) ? 2 : 1; copies > 0; --copies) {
    const auto way = network_.datagram(from, to);
    if (!way) continue;
    const Handle handle = datagrams_.add();
    *datagrams_.find(handle) = {from, to, bytes};
    at(now_ + *way, Due::DatagramAtRouter, to, handle, 0);
  }
}

void World::datagram_at_router(Handle handle) {
  Datagram* found = datagrams_.find(handle);
  if (found == nullptr) return;
  const Datagram d = std::move(*found);
  datagrams_.remove(handle);
  if (!network_.routers_pass(d.from, d.to) || !routers_[d.to]->runs()) return;
  routers_[d.to]->datagram(d.from, d.bytes);
  check_end(d.to);
}

bool World::hears_discovery(RouterId router) const {
  return routers_[router]->runs() && !pauses_[router].on && !discovery_down_ && network_.reachable(router) &&
         !(old_ended_ && !moved_[router]);
}

void World::tell(RouterId router) {
  Router& r = *routers_[router];
  const std::uint64_t has = r.list_index();
  if (!hears_discovery(router) || (has != 0 && discovery_.index(router) == has)) return;
  const auto list = discovery_.list(router, has == 0 ? std::nullopt : std::optional(has));
  if (list.whole) { // machines missing from the list are gone
    std::vector<char> listed(plan_.machines.size());
    for (const auto& entry : list.entries) listed[entry.machine] = 1;
    for (MachineId m = 0; m < listed.size(); ++m) {
      if (listed[m] || r.known(m).state == ServerState::Gone) continue;
      sink_.on(model::Told{now_, router, m, ServerState::Gone, r.known(m).started_at, false, false});
    }
  }
  for (const auto& entry : list.entries) {
    sink_.on(model::Told{now_, router, entry.machine, entry.state, entry.started_at, false, false});
  }
  const bool was_ready = r.ready();
  r.list(list, false);
  if (!was_ready && r.ready()) {
    event(router, RouterEvent::What::Ready);
    front_.up(now_, router);
  }
}

void World::discovery() {
  if (discovery_wake_ <= now_) discovery_wake_ = kForever;
  discovery_.advance(now_);
  for (RouterId r = 0; r < routers_.size(); ++r) tell(r);
  const double next = discovery_.next();
  if (next >= discovery_wake_) return;
  discovery_wake_ = next;
  at(next, Due::Discovery, 0, 0, 0);
}

void World::log(RouterId router, const char* text) { sink_.on(model::RouterLog{now_, router, text}); }

} // namespace fernward::lab
