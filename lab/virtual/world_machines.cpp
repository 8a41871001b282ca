// The machines of VirtualWorld, and the connections between routers and machines.
#include "lab/virtual/virtual_world.h"

#include <algorithm>

namespace fernward::lab {

using fernward::AttemptResult;
using fernward::ServerState;
using model::MachineId;
using model::NodeEvent;
using model::RouterId;
using model::ServerAction;
using model::ServerOutcome;

namespace {

constexpr double kSlowResponseDelayMs = 2500; // delay of a BadResponse::SlowBytes response

} // namespace

double VirtualWorld::next_arrival_at_machine(Link& link) {
  const double delay_ms = network_.zone_delay(plan_.routers[link.router].zone, zone_of(link.machine));
  return link.last_arrival_at_machine = std::max(link.last_arrival_at_machine, now_ + delay_ms);
}

double VirtualWorld::next_arrival_at_router(Link& link) {
  const double delay_ms = network_.zone_delay(zone_of(link.machine), plan_.routers[link.router].zone);
  return link.last_arrival_at_router = std::max(link.last_arrival_at_router, now_ + delay_ms);
}

void VirtualWorld::connect(Handle link) {
  Link& state = *links_.find(link);
  if (!network_.is_connected(state.router, state.machine)) {
    state.message_lost = true;
    return;
  }
  schedule(next_arrival_at_machine(state), EventKind::ConnectAtMachine, state.router, link, 0);
}

void VirtualWorld::on_connect_at_machine(Handle link) {
  Link* state = links_.find(link);
  if (state == nullptr || state->closed_by_router) return;
  if (!network_.is_connected(state->router, state->machine)) {
    state->message_lost = true;
    return;
  }
  state->machine_incarnation = machine_states_[state->machine].incarnation;
  state->accepted = true;
  const MachineId machine = state->machine;
  if (!server_models_[machine]->connect(now_, link, machine_actions_)) {
    state->accepted = false;
    schedule(next_arrival_at_router(*state), EventKind::RefusedAtRouter, state->router, link, 0);
  }
  execute_machine_actions(machine);
}

void VirtualWorld::write(Handle attempt) {
  const RouterAttempt& attempt_state = *attempts_.find(attempt);
  Link& link = *links_.find(attempt_state.link);
  if (!network_.is_connected(link.router, link.machine)) {
    link.message_lost = true;
    return;
  }
  schedule(next_arrival_at_machine(link), EventKind::AttemptAtMachine, link.router, attempt, 0);
}

// The router closes the link. The machine is notified later, or closes after its idle timeout if no message
// passes.
void VirtualWorld::close(Handle link) {
  Link& state = *links_.find(link);
  state.closed_by_router = true;
  const bool passes = network_.is_connected(state.router, state.machine);
  const double idle_timeout_ms = machine_idle_timeout_ms(state.machine);
  schedule(passes ? next_arrival_at_machine(state) : now_ + idle_timeout_ms, EventKind::CloseAtMachine,
           state.router, link, 0);
}

void VirtualWorld::on_close_at_machine(Handle link) {
  const Link* state = links_.find(link);
  if (state == nullptr) return;
  const MachineId machine = state->machine;
  const Handle handle = state->machine_attempt;
  if (state->accepted && state->machine_incarnation == machine_states_[machine].incarnation) {
    server_models_[machine]->disconnect(now_);
    if (const MachineAttempt* machine_attempt = machine_attempts_.find(handle)) {
      (void)machine_attempt;
      server_models_[machine]->cancel(now_, handle, machine_actions_);
    }
  }
  links_.remove(link);
  execute_machine_actions(machine);
}

// The machine's idle timeout has expired and it closes the link. The router is notified; a request that it
// sends meanwhile is answered with a reset.
void VirtualWorld::close_idle_link(Handle link) {
  Link* state = links_.find(link);
  if (state == nullptr || !state->accepted || state->machine_attempt != 0 ||
      state->machine_incarnation != machine_states_[state->machine].incarnation)
    return;
  if (now_ - state->machine_idle_since < machine_idle_timeout_ms(state->machine))
    return; // it was used meanwhile
  state->accepted = false;
  state->closed_by_machine = true;
  server_models_[state->machine]->disconnect(now_);
  if (!state->closed_by_router && network_.is_connected(state->router, state->machine)) {
    schedule(next_arrival_at_router(*state), EventKind::ClosedAtRouter, state->router, link, 0);
  }
}

double VirtualWorld::machine_idle_timeout_ms(MachineId machine) const {
  if (spec_.origin.enabled && machine == plan_.origin) return spec_.origin.idle_timeout_ms;
  return spec_.kinds[plan_.machines[machine].kind].idle_timeout_ms;
}

void VirtualWorld::reset_at_router(Handle link) {
  Link* state = links_.find(link);
  if (state == nullptr || state->closed_by_router) return; // its CloseAtMachine event is under way
  const RouterId router = state->router;
  if (!network_.is_connected(router, state->machine)) {
    state->message_lost = true;
    return;
  }
  routers_[router]->on_connection_lost(link, false);
  terminate_if_finished(router);
}

// The machine's side of its connections is gone. Routers are notified by a reset if messages pass.
void VirtualWorld::reset_machine_links(MachineId machine, bool only_stuck) {
  links_.for_each([&](Handle link, Link& state) {
    if (state.machine != machine || (only_stuck && !state.message_lost)) return;
    if (state.accepted && state.machine_incarnation == machine_states_[machine].incarnation && only_stuck)
      server_models_[machine]->disconnect(now_);
    state.accepted = false;
    if (state.closed_by_router) return;
    if (!network_.is_connected(state.router, machine)) {
      state.message_lost = true;
      return;
    }
    state.message_lost = false;
    schedule(next_arrival_at_router(state), EventKind::ResetAtRouter, state.router, link, 0);
  });
}

// A silence or network partition is over: connections that lost a message reset.
void VirtualWorld::reset_stuck_links() {
  for (MachineId m = 0; m < server_models_.size(); ++m) reset_machine_links(m, true);
}

// ---- machines ----

model::CacheNode* VirtualWorld::node(MachineId machine) {
  return spec_.origin.enabled && machine == plan_.origin
             ? nullptr
             : static_cast<model::CacheNode*>(server_models_[machine].get());
}

void VirtualWorld::record_event(MachineId machine, NodeEvent::What kind, bool cold, double notified_share) {
  sink_.on(NodeEvent{now_, machine, kind, cold, notified_share});
}

void VirtualWorld::apply_node_step(const model::NodeStep& step) {
  using What = model::NodeStep::What;
  using Cause = model::Discovery::Cause;
  const MachineId machine = step.machine;
  model::ServerModel& server_model = *server_models_[machine];
  MachineState& state = machine_states_[machine];
  const bool is_running = server_model.phase() != model::ServerPhase::Off;
  switch (step.what) {
    case What::Start:
      if (is_running) return;
      ++state.incarnation;
      state.started_at = now_;
      server_model.start(now_, machine_actions_);
      record_event(machine, NodeEvent::What::Started, true, 0);
      discovery_.change(now_, machine, ServerState::Ready, now_, Cause::Added);
      break;
    case What::Drain:
      if (!is_running) return;
      server_model.drain(now_, machine_actions_);
      record_event(machine, NodeEvent::What::Draining, false, 0);
      discovery_.change(now_, machine, ServerState::Draining, state.started_at, Cause::Leaving);
      break;
    case What::End:
      if (!is_running) return;
      server_model.terminate(now_, machine_actions_);
      record_event(machine, NodeEvent::What::Ended, false, 0);
      execute_machine_actions(machine);
      reset_machine_links(machine, false);
      ++state.incarnation;
      discovery_.change(now_, machine, ServerState::Gone, state.started_at, Cause::Leaving);
      break;
    case What::Silence:
      record_event(machine, NodeEvent::What::Silent, false, 0);
      discovery_.change(now_, machine, ServerState::Gone, state.started_at, Cause::Silent);
      break;
    case What::Return:
      record_event(machine, NodeEvent::What::Returned, false, 0);
      reset_stuck_links();
      // An origin that failed meanwhile stays on the list, and returns without a separate update.
      if (is_running || machine == plan_.origin)
        discovery_.change(now_, machine, ServerState::Ready, state.started_at, Cause::Added);
      break;
    case What::Neighbour:
      if (model::CacheNode* cache_node = node(machine))
        cache_node->set_neighbour_share(now_, step.share, machine_actions_);
      record_event(machine,
                   step.share > 0 ? NodeEvent::What::NeighbourStarted : NodeEvent::What::NeighbourStopped,
                   false, 0);
      break;
    case What::Bad:
      state.bad_response_share = step.share;
      state.bad_response = step.kind;
      return;
  }
  execute_machine_actions(machine);
  advance_discovery();
}

void VirtualWorld::on_attempt_at_machine(Handle attempt) {
  const RouterAttempt* attempt_state = attempts_.find(attempt);
  if (attempt_state == nullptr) return; // abandoned: the link's close follows
  Link* link = links_.find(attempt_state->link);
  if (!network_.is_connected(attempt_state->router, attempt_state->machine)) {
    link->message_lost = true;
    return;
  }
  if (link->closed_by_machine) { // as a kernel resets a connection that is closed on its side
    schedule(next_arrival_at_router(*link), EventKind::ResetAtRouter, link->router, attempt_state->link, 0);
    return;
  }
  if (!link->accepted || link->machine_incarnation != machine_states_[attempt_state->machine].incarnation)
    return; // its reset is under way
  const Exchange& exchange = *exchanges_.find(attempt_state->exchange);
  const model::DrawnRequest& drawn = exchange.start.drawn;
  const MachineId machine = attempt_state->machine;
  const Handle handle = machine_attempts_.add();
  MachineAttempt& machine_attempt = *machine_attempts_.find(handle);
  machine_attempt.attempt_number = ++attempt_count_;
  machine_attempt.machine = machine;
  machine_attempt.router = attempt_state->router;
  machine_attempt.link = attempt_state->link;
  machine_attempt.attempt = attempt;
  machine_attempt.try_id = exchange.start.try_id;
  machine_attempt.key = drawn.key;
  machine_attempt.write = drawn.write;
  link->machine_attempt = handle;
  model::ServerAttempt work;
  work.id = handle;
  work.cls = drawn.cls;
  work.key = drawn.key;
  work.idempotency_key = exchange.start.idempotency_key;
  work.write = drawn.write;
  // Whether the router was notified of the machine's present start; starts before the run count as notified.
  const auto& known_state = routers_[attempt_state->router]->known_state(machine);
  work.notified = machine_states_[machine].started_at < 0 ||
                  known_state.started_at >= machine_states_[machine].started_at;
  work.work_ms =
      drawn.work_ms * model::draw_factor(spec_.classes[drawn.cls].attempt_work_cv, work_noise_engine_);
  work.size_bytes = drawn.size_bytes;
  work.deadline = attempt_state->deadline;
  model::AttemptArrived record;
  record.at = now_;
  record.sent_at = attempt_state->sent_at;
  record.attempt = machine_attempt.attempt_number;
  record.machine = machine;
  record.try_id = machine_attempt.try_id;
  record.router = attempt_state->router;
  record.cls = drawn.cls;
  record.key = drawn.key;
  record.idempotency_key = work.idempotency_key;
  record.write = drawn.write;
  record.notified = work.notified;
  record.work_ms = work.work_ms;
  sink_.on(record);
  server_models_[machine]->arrive(now_, work, machine_actions_);
  execute_machine_actions(machine);
}

void VirtualWorld::execute_machine_actions(MachineId machine) {
  for (std::size_t i = 0; i < machine_actions_.size(); ++i) {
    const ServerAction action = machine_actions_[i];
    switch (action.what) {
      case ServerAction::What::Started:
        if (const MachineAttempt* machine_attempt = machine_attempts_.find(action.id))
          sink_.on(model::AttemptStarted{action.at, machine_attempt->attempt_number, machine});
        break;
      case ServerAction::What::Answered: on_attempt_ended(machine, action); break;
      case ServerAction::What::Connected:
        if (Link* link = links_.find(action.id)) {
          const auto& kinds = spec_.kinds;
          const double handshake_trips = spec_.origin.enabled && machine == plan_.origin
                                             ? spec_.origin.handshake_round_trips
                                             : kinds[plan_.machines[machine].kind].handshake_round_trips;
          const double delay_ms = network_.zone_delay(zone_of(machine), plan_.routers[link->router].zone);
          link->last_arrival_at_router =
              std::max(link->last_arrival_at_router, now_ + delay_ms * (1 + 2 * handshake_trips));
          if (network_.is_connected(link->router, machine)) {
            schedule(link->last_arrival_at_router, EventKind::ConnectedAtRouter, link->router, action.id, 0);
          } else {
            link->message_lost = true;
          }
        }
        break;
      case ServerAction::What::Warm: record_event(machine, NodeEvent::What::Warm, false, 0); break;
      case ServerAction::What::Overloaded:
        record_event(machine, NodeEvent::What::Overloaded, action.cold, action.notified_share);
        reset_machine_links(machine, false);
        ++machine_states_[machine].incarnation;
        discovery_.change(now_, machine, ServerState::Gone, machine_states_[machine].started_at,
                          model::Discovery::Cause::Leaving);
        advance_discovery();
        break;
      case ServerAction::What::OriginFailed: // stays on the list: it returns under the same name
        record_event(machine, NodeEvent::What::Ended, false, 0);
        reset_machine_links(machine, false);
        ++machine_states_[machine].incarnation;
        break;
      case ServerAction::What::OriginRecovered:
        record_event(machine, NodeEvent::What::Started, false, 0);
        break;
    }
  }
  machine_actions_.clear();
  const double next_timer_at = std::max(now_, server_models_[machine]->next_due_ms());
  if (next_timer_at >= machine_states_[machine].timer_at) return;
  machine_states_[machine].timer_at = next_timer_at;
  schedule(next_timer_at, EventKind::MachineTimer, machine, 0, 0);
}

void VirtualWorld::on_attempt_ended(MachineId machine, const ServerAction& action) {
  MachineAttempt* stored_attempt = machine_attempts_.find(action.id);
  if (stored_attempt == nullptr) return;
  MachineAttempt& machine_attempt = *stored_attempt;
  model::AttemptEnded record;
  record.at = action.at;
  record.attempt = machine_attempt.attempt_number;
  record.machine = machine;
  record.outcome = action.outcome;
  record.started = action.started;
  record.awaited = action.awaited;
  record.queued_ms = action.queued_ms;
  record.work_done_ms = action.work_done_ms;
  sink_.on(record);
  Link* link = links_.find(machine_attempt.link);
  if (link != nullptr && link->machine_attempt == action.id) {
    link->machine_attempt = 0;
    link->machine_idle_since = now_;
    // Otherwise the router closes the link first.
    const double idle_timeout_ms = machine_idle_timeout_ms(machine);
    if (idle_timeout_ms < max_link_idle_ms(spec_))
      schedule(now_ + idle_timeout_ms, EventKind::MachineIdleTimeout, link->router, machine_attempt.link, 0);
  }

  switch (action.outcome) {
    case ServerOutcome::Miss:
    case ServerOutcome::Pending: pending_fills_.add_miss(now_, machine_attempt.try_id, machine); break;
    case ServerOutcome::Fetched:
      if (action.awaited) {
        const auto waiting_nodes = pending_fills_.take(now_, machine_attempt.try_id);
        for (std::uint32_t i = 0; i < waiting_nodes.count; ++i) {
          if (model::CacheNode* cache_node = node(waiting_nodes.machines[i]))
            cache_node->store(now_, machine_attempt.key);
        }
      }
      break;
    default: break;
  }
  const bool written =
      action.outcome == ServerOutcome::Written || (action.outcome == ServerOutcome::Error && action.started);
  if (machine_attempt.write && written && spec_.origin.enabled &&
      machine == plan_.origin) { // the origin invalidates cached copies
    for (MachineId m = 0; m < plan_.machines.size(); ++m) {
      if (model::CacheNode* cache_node = node(m)) cache_node->invalidate(machine_attempt.key);
    }
  }

  switch (action.outcome) {
    case ServerOutcome::Hit:
    case ServerOutcome::Fetched:
    case ServerOutcome::Written:
    case ServerOutcome::Duplicate: machine_attempt.result = AttemptResult::Ok; break;
    case ServerOutcome::Miss:
    case ServerOutcome::Pending: machine_attempt.result = AttemptResult::CacheMiss; break;
    case ServerOutcome::Error: machine_attempt.result = AttemptResult::Error; break;
    case ServerOutcome::Full:
    case ServerOutcome::Draining:
    case ServerOutcome::Expired: machine_attempt.result = AttemptResult::Overloaded; break;
    case ServerOutcome::Cancelled:
    case ServerOutcome::Lost:
      return machine_attempts_.remove(action.id); // no response: the router notices when the link ends
  }
  // The router has closed the link, or messages do not pass.
  if (link == nullptr || link->closed_by_router || !network_.is_connected(machine_attempt.router, machine)) {
    if (link != nullptr && !link->closed_by_router) link->message_lost = true;
    return machine_attempts_.remove(action.id);
  }
  server_models_[machine]->report(action.at, machine_attempt.report);
  double delay_ms = 0;
  if (model::draw_with_probability(machine_states_[machine].bad_response_share, bad_response_engine_))
    apply_bad_response(machine_attempt, delay_ms);
  if (delay_ms == kInfiniteMs) return machine_attempts_.remove(action.id);
  schedule(next_arrival_at_router(*link) + delay_ms, EventKind::ResponseAtRouter, machine_attempt.router,
           action.id, 0);
}

// Sets what the router observes of a bad response.
void VirtualWorld::apply_bad_response(MachineAttempt& machine_attempt, double& delay_ms) {
  switch (machine_states_[machine_attempt.machine].bad_response) {
    case model::BadResponse::Error: machine_attempt.result = AttemptResult::Error; break;
    case model::BadResponse::NotHttp:
    case model::BadResponse::TooLarge:
      machine_attempt.result = AttemptResult::Error;
      machine_attempt.connection_end = VirtualRouter::ConnectionEnd::Closed;
      machine_attempt.report.clear();
      break;
    case model::BadResponse::Truncated:
    case model::BadResponse::EarlyClose:
      machine_attempt.result = AttemptResult::Reset;
      machine_attempt.connection_end =
          machine_states_[machine_attempt.machine].bad_response == model::BadResponse::Truncated
              ? VirtualRouter::ConnectionEnd::Closed
              : VirtualRouter::ConnectionEnd::ClosedUnanswered;
      machine_attempt.report.clear();
      break;
    case model::BadResponse::NeverCompletes: delay_ms = kInfiniteMs; break;
    case model::BadResponse::WrongBody: break;
    case model::BadResponse::SlowBytes: delay_ms = kSlowResponseDelayMs; break;
  }
}

void VirtualWorld::deliver_response(Handle handle) {
  MachineAttempt* machine_attempt = machine_attempts_.find(handle);
  if (machine_attempt == nullptr) return;
  const Handle attempt = machine_attempt->attempt;
  const RouterId router = machine_attempt->router;
  const AttemptResult result = machine_attempt->result;
  const VirtualRouter::ConnectionEnd connection_end = machine_attempt->connection_end;
  const bool passes = network_.is_connected(router, machine_attempt->machine);
  if (Link* link = links_.find(machine_attempt->link); link != nullptr && !passes) link->message_lost = true;
  std::vector<float> report = std::move(machine_attempt->report);
  machine_attempts_.remove(handle);
  if (!passes || attempts_.find(attempt) == nullptr) return;
  routers_[router]->on_response(attempt, result, std::move(report), connection_end);
  terminate_if_finished(router);
}

} // namespace fernward::lab
