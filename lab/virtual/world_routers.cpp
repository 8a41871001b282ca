// The routers of VirtualWorld: start, shutdown, pauses, datagrams, and updates from discovery.
#include "lab/virtual/virtual_world.h"

#include <algorithm>

namespace fernward::lab {

using fernward::ServerState;
using model::MachineId;
using model::RouterEvent;
using model::RouterId;
using model::TryOutcome;

namespace {

// The first three are as in src/router/graceful_shutdown.cpp.
constexpr double kAcceptDuringShutdownMs = 500; // a router accepts connections for this long after SIGTERM
constexpr double kResponseGraceMs = 600;        // allowance after the longest client timeout
constexpr double kMaxServeDuringShutdownMs =
    1500; // kept connections are served for half of the shutdown time, at most this long
constexpr double kRouterStartUpMs = 30; // from a router's start until it listens

} // namespace

void VirtualWorld::record_event(RouterId router, RouterEvent::What kind) {
  sink_.on(RouterEvent{now_, router, kind});
}

void VirtualWorld::start_router(RouterId router) {
  VirtualRouter& state = *routers_[router];
  const bool first_start = state.incarnation() == 0;
  state.start();
  record_event(router, RouterEvent::What::Started);
  model::Discovery::List initial_list;
  initial_list.complete = true;
  if (first_start) {
    initial_list = discovery_.list(router, std::nullopt);
  } else {
    for (MachineId machine = 0; machine < plan_.machines.size(); ++machine) {
      const auto& previous = state.known_state(machine);
      if (previous.state != ServerState::Gone)
        initial_list.entries.push_back({machine, previous.state, previous.started_at, 0});
    }
  }
  for (const auto& entry : initial_list.entries) {
    sink_.on(
        model::EndpointNotified{now_, router, entry.machine, entry.state, entry.started_at, true, false});
  }
  state.on_endpoint_list(initial_list, true);
  send_endpoint_list(router);
  if (state.is_ready()) {
    record_event(router, RouterEvent::What::Ready);
    front_balancer_.set_up(now_, router);
  }
}

void VirtualWorld::apply_router_step(const model::RouterStep& step) {
  using What = model::RouterStep::What;
  VirtualRouter& router = *routers_[step.router];
  if (pauses_[step.router].active && (step.what == What::Term || step.what == What::Reload)) {
    pauses_[step.router].pending_signals.push_back(step); // delivered when the process resumes
    return;
  }
  switch (step.what) {
    case What::Kill:
      if (router.is_running()) terminate_router(step.router, RouterEvent::What::Killed);
      return;
    case What::Pause:
      if (router.is_running()) pause_router(step.router);
      return;
    case What::Resume: return resume_router(step.router);
    case What::Term: { // as src/router/graceful_shutdown.cpp
      if (!router.is_running() || router.is_stopping()) return;
      const double shutdown_ms = max_client_timeout_ms(spec_) + kResponseGraceMs;
      record_event(step.router, RouterEvent::What::Term);
      router.begin_shutdown();
      front_balancer_.set_stopping(now_, step.router);
      restart_delay_ms_[step.router] = step.down_ms;
      schedule(now_ + kAcceptDuringShutdownMs, EventKind::RouterStopsAccepting, step.router, 0,
               router.incarnation());
      schedule(now_ + std::max(kAcceptDuringShutdownMs, std::min(shutdown_ms / 2, kMaxServeDuringShutdownMs)),
               EventKind::RouterDrains, step.router, 0, router.incarnation());
      schedule(now_ + shutdown_ms, EventKind::RouterTerminates, step.router, 0, router.incarnation());
      return;
    }
    case What::Start: return schedule(now_ + kRouterStartUpMs, EventKind::RouterStart, step.router, 0, 0);
    case What::Reload:
      follows_new_address_[step.router] = 1; // a stopped router starts with the new configuration later
      if (!router.is_running()) return;
      record_event(step.router, RouterEvent::What::Reloaded);
      return send_endpoint_list(step.router);
    case What::Silence:
      record_event(step.router, RouterEvent::What::Silent);
      has_stuck_connections_[step.router] = idle_client_connections_[step.router] > 0;
      tries_.for_each([&](Handle, const Try& client_try) {
        has_stuck_connections_[step.router] |= client_try.router == step.router && !client_try.client_gone;
      });
      idle_client_connections_[step.router] = 0;
      return front_balancer_.set_down(now_, step.router);
    case What::Return:
      record_event(step.router, RouterEvent::What::Returned);
      has_stuck_connections_[step.router] = 0;
      reset_stuck_links();
      send_endpoint_list(step.router);
      if (router.is_ready() && !pauses_[step.router].active) front_balancer_.set_up(now_, step.router);
      return terminate_if_finished(step.router);
  }
}

// A stopping router ends with its last connection. Connections kept by clients, and those with a response
// under way, stay open until it drains.
void VirtualWorld::terminate_if_finished(RouterId router) {
  const VirtualRouter& state = *routers_[router];
  if (!state.is_running() || !state.is_stopping() || !state.has_finished()) return;
  if (state.keeps_client_connections()) {
    bool has_open_connections = idle_client_connections_[router] > 0 || has_stuck_connections_[router] != 0;
    tries_.for_each([&](Handle, const Try& client_try) {
      has_open_connections |=
          client_try.router == router && client_try.response_sent && !client_try.client_gone;
    });
    if (has_open_connections && spec_.clients.keep_connections) return;
  }
  terminate_router(router, RouterEvent::What::Ended);
}

// The process is gone: connections reset on both sides.
void VirtualWorld::terminate_router(RouterId router, RouterEvent::What cause) {
  pauses_[router].active = false;
  pauses_[router].pending_signals.clear();
  record_event(router, cause);
  routers_[router]->terminate();
  front_balancer_.set_down(now_, router);
  idle_client_connections_[router] = 0;
  has_stuck_connections_[router] = 0;
  std::vector<Handle> abandoned_tries;
  tries_.for_each([&](Handle client, Try& client_try) {
    if (client_try.router != router || !client_try.accepted || client_try.response_sent) return;
    client_try.accepted = false;
    if (client_try.client_gone) {
      abandoned_tries.push_back(client);
    } else if (network_.is_reachable(router)) {
      schedule(now_ + network_.client_delay(client_try.start.drawn.zone, plan_.routers[router].zone),
               EventKind::ResetAtClient, 0, client, 0);
    }
  });
  for (const Handle client : abandoned_tries) tries_.remove(client);
  attempts_.for_each([&](Handle attempt, RouterAttempt& attempt_state) {
    if (attempt_state.router == router) attempts_.remove(attempt);
  });
  exchanges_.for_each([&](Handle exchange, Exchange& exchange_state) {
    if (exchange_state.router == router) exchanges_.remove(exchange);
  });
  links_.for_each([&](Handle link, Link& link_state) {
    if (link_state.router != router || link_state.closed_by_router) return;
    link_state.closed_by_router = true;
    link_state.attempt = 0;
    close(link);
  });
  // Events held for a paused process are processed without it.
  for (const EventQueue::Entry& event : std::exchange(pauses_[router].pending_events, {})) dispatch(event);
  const double restart_delay_ms = std::exchange(restart_delay_ms_[router], -1);
  if (cause == RouterEvent::What::Ended && restart_delay_ms >= 0)
    schedule(now_ + restart_delay_ms + kRouterStartUpMs, EventKind::RouterStart, router, 0, 0);
}

// ---- pauses ----

// The process is paused. Its kernel keeps accepting connections and data, which are available when the
// process resumes.
void VirtualWorld::pause_router(RouterId router) {
  if (pauses_[router].active) return;
  pauses_[router].active = true;
  record_event(router, RouterEvent::What::Paused);
  front_balancer_.set_down(now_, router); // its readiness checks get no response
}

void VirtualWorld::resume_router(RouterId router) {
  Pause& pause = pauses_[router];
  if (!pause.active) return;
  pause.active = false;
  record_event(router, RouterEvent::What::Resumed);
  send_endpoint_list(router);
  if (routers_[router]->is_ready() && network_.is_reachable(router)) front_balancer_.set_up(now_, router);
  for (const EventQueue::Entry& event : std::exchange(pause.pending_events, {})) {
    if (is_current(event)) dispatch(event);
  }
  for (const model::RouterStep& signal : std::exchange(pause.pending_signals, {})) apply_router_step(signal);
}

// Holds the event until the process resumes if it is for a paused one. True: it is held.
bool VirtualWorld::hold_while_paused(const EventQueue::Entry& event) {
  switch (event.kind()) {
    case EventKind::RequestAtRouter:
    case EventKind::DisconnectAtRouter:
    case EventKind::RouterTimer:
    case EventKind::RouterStopsAccepting:
    case EventKind::RouterDrains:
    case EventKind::RouterTerminates:
    case EventKind::LinkIdleTimeout:
    case EventKind::RequestGuard:
    case EventKind::AttemptTimeout:
    case EventKind::ConnectedAtRouter:
    case EventKind::RefusedAtRouter:
    case EventKind::ConnectTimeout:
    case EventKind::ResponseAtRouter:
    case EventKind::ResetAtRouter:
    case EventKind::ClosedAtRouter:
    case EventKind::GossipRound:
    case EventKind::DatagramAtRouter: break;
    default: return false;
  }
  if (!pauses_[event.number].active) return false;
  pauses_[event.number].pending_events.push_back(event);
  return true;
}

// ---- datagrams ----

void VirtualWorld::send_datagram(RouterId from, RouterId to, std::string bytes) {
  ++router_costs_[from].datagrams;
  router_costs_[from].datagram_bytes += bytes.size();
  if (const auto corruptor = corruptors_.find(from); corruptor != corruptors_.end())
    bytes = corruptor->second.corrupt(now_, bytes);
  for (int copies = network_.draw_duplicate(from, to) ? 2 : 1; copies > 0; --copies) {
    const auto delay_ms = network_.datagram_delay(from, to);
    if (!delay_ms) continue;
    const Handle handle = datagrams_.add();
    *datagrams_.find(handle) = {from, to, bytes};
    schedule(now_ + *delay_ms, EventKind::DatagramAtRouter, to, handle, 0);
  }
}

void VirtualWorld::deliver_datagram(Handle handle) {
  Datagram* stored_datagram = datagrams_.find(handle);
  if (stored_datagram == nullptr) return;
  const Datagram datagram = std::move(*stored_datagram);
  datagrams_.remove(handle);
  if (!network_.routers_connected(datagram.from, datagram.to) || !routers_[datagram.to]->is_running()) return;
  routers_[datagram.to]->on_datagram(datagram.from, datagram.bytes);
  terminate_if_finished(datagram.to);
}

bool VirtualWorld::can_reach_discovery(RouterId router) const {
  return routers_[router]->is_running() && !pauses_[router].active && !discovery_down_ &&
         network_.is_reachable(router) && !(old_discovery_ended_ && !follows_new_address_[router]);
}

void VirtualWorld::send_endpoint_list(RouterId router) {
  VirtualRouter& state = *routers_[router];
  const std::uint64_t known_index = state.list_index();
  if (!can_reach_discovery(router) || (known_index != 0 && discovery_.index(router) == known_index)) return;
  const auto list = discovery_.list(router, known_index == 0 ? std::nullopt : std::optional(known_index));
  if (list.complete) { // machines missing from the list are gone
    std::vector<char> listed(plan_.machines.size());
    for (const auto& entry : list.entries) listed[entry.machine] = 1;
    for (MachineId machine = 0; machine < listed.size(); ++machine) {
      if (listed[machine] || state.known_state(machine).state == ServerState::Gone) continue;
      sink_.on(model::EndpointNotified{now_, router, machine, ServerState::Gone,
                                       state.known_state(machine).started_at, false, false});
    }
  }
  for (const auto& entry : list.entries) {
    sink_.on(
        model::EndpointNotified{now_, router, entry.machine, entry.state, entry.started_at, false, false});
  }
  const bool was_ready = state.is_ready();
  state.on_endpoint_list(list, false);
  if (!was_ready && state.is_ready()) {
    record_event(router, RouterEvent::What::Ready);
    front_balancer_.set_up(now_, router);
  }
}

void VirtualWorld::advance_discovery() {
  if (discovery_timer_at_ <= now_) discovery_timer_at_ = kInfiniteMs;
  discovery_.advance(now_);
  for (RouterId router = 0; router < routers_.size(); ++router) send_endpoint_list(router);
  const double next_change_at = discovery_.next_due_ms();
  if (next_change_at >= discovery_timer_at_) return;
  discovery_timer_at_ = next_change_at;
  schedule(next_change_at, EventKind::Discovery, 0, 0, 0);
}

void VirtualWorld::log(RouterId router, const char* text) {
  sink_.on(model::RouterLogLine{now_, router, text});
}

} // namespace fernward::lab
