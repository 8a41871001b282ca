#include "lab/virtual/virtual_world.h"

#include <xxhash.h>

#include <algorithm>

namespace fernward::lab {

using model::MachineId;
using model::RouterEvent;
using model::RouterId;
using model::TryOutcome;

namespace {

constexpr double kSampleIntervalMs = 1000;
constexpr double kMaxUnfinishedWorkMs = 30000;   // machines' work left after this time is not awaited
constexpr std::uint64_t kControlInterval = 4096; // events between two checks of the run control

// `salt`: varies the machines' ids, and thereby the assignment of keys to nodes, which depends on hashes.
MachineTable make_machine_table(const model::Plan& plan, std::uint64_t salt) {
  MachineTable table;
  for (const model::PlannedMachine& machine : plan.machines) {
    fernward::Server server;
    // On a collision the next free id is used, so that each machine has its own.
    std::uint64_t hash = XXH3_64bits_withSeed(machine.name.data(), machine.name.size(), salt);
    while (table.by_id.count(static_cast<fernward::ServerId>(hash)) > 0) ++hash;
    server.id = static_cast<fernward::ServerId>(hash);
    server.kind = machine.kind;
    server.cell = machine.cell;
    server.zone = machine.zone;
    server.weight = machine.weight;
    table.by_id[server.id] = machine.id;
    table.entries.push_back(server);
  }
  return table;
}

} // namespace

double max_client_timeout_ms(const model::Spec& spec) {
  double max_timeout_ms = 0;
  for (const auto& cls : spec.classes) max_timeout_ms = std::max(max_timeout_ms, cls.client_timeout_ms);
  return max_timeout_ms;
}

VirtualWorld::VirtualWorld(const model::Spec& spec, model::Sink& sink, PlantedDefect planted_defect,
                           const model::Spec& plan_spec)
    : spec_(spec),
      sink_(sink),
      plan_(model::make_plan(plan_spec)),
      keys_(plan_spec),
      pending_fills_(2 * max_client_timeout_ms(spec) + 1000),
      arrivals_(plan_spec, plan_, keys_),
      clients_(plan_spec),
      front_balancer_(spec, plan_),
      network_(spec, plan_),
      discovery_(spec, plan_),
      work_noise_engine_(model::stream(spec.seed, "attempt noise")),
      bad_response_engine_(model::stream(spec.seed, "bad answers")),
      machine_table_(make_machine_table(plan_, spec.seed == plan_spec.seed ? 0 : spec.seed)),
      machine_states_(plan_.machines.size()),
      idle_client_connections_(plan_.routers.size()),
      has_stuck_connections_(plan_.routers.size()),
      restart_delay_ms_(plan_.routers.size(), -1),
      pauses_(plan_.routers.size()),
      router_costs_(plan_.routers.size()),
      follows_new_address_(plan_.routers.size()),
      client_timer_at_(kInfiniteMs),
      discovery_timer_at_(kInfiniteMs) {
  const model::CacheNode::FleetContext fleet_context{spec_, keys_, idempotency_cache_, &initial_nodes_};
  for (const model::PlannedMachine& machine : plan_.machines) {
    if (spec_.origin.enabled && machine.id == plan_.origin) {
      server_models_.push_back(std::make_unique<model::Origin>(spec_, machine, idempotency_cache_));
    } else {
      server_models_.push_back(std::make_unique<model::CacheNode>(fleet_context, machine));
    }
    machine_states_[machine.id].timer_at = kInfiniteMs;
  }
  for (const model::PlannedRouter& router : plan_.routers) {
    routers_.push_back(std::make_unique<VirtualRouter>(spec_, router, machine_table_, plan_.routers.size(),
                                                       *this, planted_defect));
  }
}

// ---- the loop ----

void VirtualWorld::run(const RunControl& control, RunInfo& info) {
  for (std::uint32_t i = 0; i < plan_.steps.size(); ++i)
    schedule(plan_.steps[i].at_ms, EventKind::PlanStep, i, 0, 0);
  schedule(0, EventKind::Sample, 0, 0, 0);
  // Each router starts with the cached list.
  for (const auto& router : routers_) start_router(static_cast<RouterId>(&router - routers_.data()));
  schedule_next_arrival();
  EventQueue::Entry event;
  for (; event_queue_.pop(event, [this](const EventQueue::Entry& entry) { return is_current(entry); });
       ++info.simulated_events) {
    if (info.simulated_events % kControlInterval == 0) {
      if (control.progress) control.progress(now_);
      if (control.stop.stop_requested()) {
        info.stopped = true;
        break;
      }
    }
    now_ = event.at;
    // After the last response only work at the machines and steps without effect on clients are left.
    const bool all_answered =
        arrivals_finished_ && clients_.open_requests() == 0 && now_ >= spec_.duration_ms;
    if (all_answered && (machine_attempts_.size() == 0 || now_ > spec_.duration_ms + kMaxUnfinishedWorkMs))
      break;
    dispatch(event);
  }
  info.scenario_elapsed_ms = now_;
  for (RouterId router = 0; router < routers_.size(); ++router) {
    RouterResourceUse cost = router_costs_[router];
    cost.router = router;
    cost.cpu_s = routers_[router]->cpu_s();
    cost.peak_sockets = static_cast<std::uint32_t>(routers_[router]->peak_links());
    info.routers.push_back(cost);
  }
}

bool VirtualWorld::is_current(const EventQueue::Entry& event) {
  switch (event.kind()) {
    case EventKind::RequestGuard: {
      const Exchange* exchange = exchanges_.find(event.handle);
      return exchange != nullptr && !exchange->answered;
    }
    case EventKind::AttemptTimeout: return attempts_.find(event.handle) != nullptr;
    case EventKind::ConnectTimeout: {
      const Link* link = links_.find(event.handle);
      return link != nullptr && !link->closed_by_router && !link->established;
    }
    case EventKind::LinkIdleTimeout: {
      const Link* link = links_.find(event.handle);
      return link != nullptr && !link->closed_by_router && link->attempt == 0 &&
             link->idle_period == event.incarnation;
    }
    case EventKind::MachineIdleTimeout: {
      const Link* link = links_.find(event.handle);
      return link != nullptr && link->accepted && link->machine_attempt == 0;
    }
    default: return true;
  }
}

void VirtualWorld::dispatch(const EventQueue::Entry& event) {
  if (hold_while_paused(event)) return;
  const bool same_incarnation = event.number < routers_.size() &&
                                routers_[event.number]->incarnation() == event.incarnation &&
                                routers_[event.number]->is_running();
  switch (event.kind()) {
    case EventKind::Arrival: {
      sink_.on(*next_request_);
      clients_.open(now_, *next_request_, client_actions_);
      execute_client_actions();
      return schedule_next_arrival();
    }
    case EventKind::ClientTimer:
      if (event.at != client_timer_at_) return; // obsolete: the timer was set to another time meanwhile
      client_timer_at_ = kInfiniteMs;
      clients_.advance(now_, client_actions_);
      return execute_client_actions();
    case EventKind::PlanStep: return apply_step(plan_.steps[event.number]);
    case EventKind::MachineTimer:
      if (event.at != machine_states_[event.number].timer_at) return; // as above
      machine_states_[event.number].timer_at = kInfiniteMs;
      server_models_[event.number]->advance(now_, machine_actions_);
      return execute_machine_actions(event.number);
    case EventKind::Discovery: return advance_discovery();
    case EventKind::Sample: return record_samples();
    case EventKind::RequestAtRouter: return on_request_at_router(event.handle);
    case EventKind::ResponseAtClient: {
      const Try* client_try = tries_.find(event.handle);
      if (client_try != nullptr) end_try(event.handle, client_try->outcome, client_try->retry_after_ms);
      return;
    }
    case EventKind::DisconnectAtRouter:
      if (same_incarnation && network_.is_reachable(event.number))
        routers_[event.number]->on_client_disconnected(event.handle);
      break;
    case EventKind::ResetAtClient: return end_try(event.handle, TryOutcome::ConnectionLost, 0);
    case EventKind::RouterStart:
      if (!routers_[event.number]->is_running()) start_router(event.number);
      return;
    case EventKind::RouterTimer:
      if (same_incarnation) routers_[event.number]->on_timer(event.handle);
      break;
    case EventKind::RouterStopsAccepting:
      if (same_incarnation) routers_[event.number]->stop_accepting();
      break;
    case EventKind::RouterDrains:
      if (!same_incarnation) return;
      routers_[event.number]->drain();
      idle_client_connections_[event.number] = 0;
      break;
    case EventKind::RouterTerminates:
      if (same_incarnation) terminate_router(event.number, RouterEvent::What::Ended);
      return;
    case EventKind::LinkIdleTimeout:
      if (routers_[event.number]->is_running())
        routers_[event.number]->on_idle_timeout(event.handle, event.incarnation);
      return;
    case EventKind::MachineIdleTimeout: return close_idle_link(event.handle);
    case EventKind::ClosedAtRouter: {
      const Link* link = links_.find(event.handle);
      if (link == nullptr || link->closed_by_router || !network_.is_connected(link->router, link->machine))
        return;
      routers_[link->router]->on_closed_by_machine(event.handle);
      break;
    }
    case EventKind::RequestGuard:
      if (same_incarnation) routers_[event.number]->on_request_guard(event.handle);
      break;
    case EventKind::AttemptTimeout:
      if (same_incarnation) routers_[event.number]->on_attempt_timeout(event.handle);
      break;
    case EventKind::ConnectAtMachine: return on_connect_at_machine(event.handle);
    case EventKind::ConnectedAtRouter: {
      const Link* link = links_.find(event.handle);
      if (link == nullptr || link->closed_by_router) return;
      if (!network_.is_connected(link->router, link->machine)) {
        links_.find(event.handle)->message_lost = true;
        return;
      }
      routers_[link->router]->on_connected(event.handle);
      return terminate_if_finished(event.number);
    }
    case EventKind::RefusedAtRouter: {
      const Link* link = links_.find(event.handle);
      if (link == nullptr) return;
      if (!link->closed_by_router && network_.is_connected(link->router, link->machine))
        routers_[link->router]->on_connection_lost(event.handle, true);
      break;
    }
    case EventKind::ConnectTimeout:
      if (same_incarnation) routers_[event.number]->on_connect_timeout(event.handle);
      break;
    case EventKind::AttemptAtMachine: return on_attempt_at_machine(event.handle);
    case EventKind::ResponseAtRouter: return deliver_response(event.handle);
    case EventKind::CloseAtMachine: return on_close_at_machine(event.handle);
    case EventKind::ResetAtRouter: return reset_at_router(event.handle);
    case EventKind::GossipRound:
      if (same_incarnation) routers_[event.number]->run_gossip_round();
      break;
    case EventKind::DatagramAtRouter: return deliver_datagram(event.handle);
  }
  if (event.number < routers_.size()) terminate_if_finished(event.number);
}

void VirtualWorld::apply_step(const model::Step& step) {
  network_.apply(step);
  if (const auto* node = std::get_if<model::NodeStep>(&step.what)) {
    apply_node_step(*node);
  } else if (const auto* router = std::get_if<model::RouterStep>(&step.what)) {
    apply_router_step(*router);
  } else if (const auto* partition = std::get_if<model::PartitionStep>(&step.what)) {
    if (!partition->enabled) reset_stuck_links();
  } else if (const auto* discovery_step = std::get_if<model::DiscoveryStep>(&step.what)) {
    using What = model::DiscoveryStep::What;
    if (discovery_step->what == What::Down || discovery_step->what == What::Up) {
      discovery_down_ = discovery_step->what == What::Down;
      discovery_.set_outage(now_, discovery_down_);
    }
    if (discovery_step->what == What::OldEnds) old_discovery_ended_ = true;
    advance_discovery();
  } else if (const auto* origin = std::get_if<model::OriginStep>(&step.what)) {
    if (!spec_.origin.enabled) return;
    auto& origin_model = static_cast<model::Origin&>(*server_models_[plan_.origin]);
    if (origin->what == model::OriginStep::What::Fall) {
      origin_model.fail(now_, origin->down_ms, machine_actions_);
    } else {
      origin_model.set_capacity_share(now_, origin->factor, machine_actions_);
    }
    execute_machine_actions(plan_.origin);
  } else if (const auto* zone = std::get_if<model::ZoneStep>(&step.what)) {
    front_balancer_.set_zone_state(zone->zone, zone->what);
  } else if (const auto* inconsistent_step = std::get_if<model::InconsistentRouterStep>(&step.what)) {
    false_gossip::apply_step(corruptors_, *inconsistent_step, plan_.routers.size(), spec_.seed);
  } else if (const auto* mark = std::get_if<model::MarkStep>(&step.what)) {
    sink_.on(model::EventMark{now_, mark->event, mark->begins});
  }
}

void VirtualWorld::record_samples() {
  for (MachineId machine = 0; machine < server_models_.size(); ++machine) {
    server_models_[machine]->advance(now_, machine_actions_);
    execute_machine_actions(machine);
    if (server_models_[machine]->phase() != model::ServerPhase::Off)
      sink_.on(server_models_[machine]->sample(now_));
  }
  for (const auto& router : routers_) {
    if (const auto shared = router->shared_state()) sink_.on(*shared);
  }
  schedule(now_ + kSampleIntervalMs, EventKind::Sample, 0, 0, 0);
}

} // namespace fernward::lab
