// The clients of VirtualWorld: their tries on the way to the routers, and the responses on the way back.
#include "lab/virtual/virtual_world.h"

#include <algorithm>

namespace fernward::lab {

using model::TryOutcome;

void VirtualWorld::schedule_next_arrival() {
  next_request_ = arrivals_.next();
  arrivals_finished_ = !next_request_;
  if (next_request_) schedule(next_request_->at, EventKind::Arrival, 0, 0, 0);
}

void VirtualWorld::schedule_client_timer() {
  const double next = std::max(now_, clients_.next_due_ms());
  if (next >= client_timer_at_) return;
  client_timer_at_ = next;
  schedule(next, EventKind::ClientTimer, 0, 0, 0);
}

void VirtualWorld::execute_client_actions() {
  // Executing an action may append further actions.
  for (std::size_t i = 0; i < client_actions_.size(); ++i) {
    const model::ClientAction action = client_actions_[i];
    if (const auto* start = std::get_if<model::TryStart>(&action.what)) start_try(*start);
    if (const auto* cancelled = std::get_if<model::TryCancelled>(&action.what)) cancel_try(*cancelled);
    if (const auto* ended = std::get_if<model::RequestEnded>(&action.what)) sink_.on(*ended);
  }
  client_actions_.clear();
  schedule_client_timer();
}

void VirtualWorld::start_try(const model::TryStart& start) {
  const auto router = front_balancer_.pick(now_, start.drawn.zone);
  const Handle client = tries_.add();
  Try& client_try = *tries_.find(client);
  client_try.start = start;
  tries_by_id_[start.try_id] = client;
  if (!router) { // no router is available: the client gets no response
    client_try.reached_router = true;
    model::TrySent record;
    record.at = now_;
    record.scheduled_at = start.scheduled_at;
    record.request = start.drawn.request;
    record.try_id = start.try_id;
    record.number = start.number;
    record.deadline = start.deadline;
    record.idempotency_key = start.idempotency_key;
    sink_.on(record);
    return;
  }
  client_try.router = *router;
  client_try.router_incarnation = routers_[*router]->incarnation();
  client_try.new_connection = !spec_.clients.keep_connections || idle_client_connections_[*router] == 0;
  if (!client_try.new_connection) --idle_client_connections_[*router];
  double delay_ms = network_.client_delay(start.drawn.zone, plan_.routers[*router].zone);
  if (client_try.new_connection)
    delay_ms += 2 * network_.client_delay(start.drawn.zone, plan_.routers[*router].zone);
  schedule(now_ + delay_ms, EventKind::RequestAtRouter, *router, client, 0);
}

void VirtualWorld::on_request_at_router(Handle client) {
  Try* client_try = tries_.find(client);
  if (client_try == nullptr) return;
  if (client_try->client_gone) { // the client gave up before the request arrived
    tries_.remove(client);
    return;
  }
  VirtualRouter& router = *routers_[client_try->router];
  // A kept connection leads to the process that accepted it; a new one to the process that listens now.
  const bool accepts_request =
      client_try->new_connection
          ? router.is_accepting()
          : router.is_running() && router.incarnation() == client_try->router_incarnation;
  const bool reachable = network_.is_reachable(client_try->router);
  if (!accepts_request && !client_try->new_connection && reachable)
    return resend_on_new_connection(client, *client_try);
  client_try->reached_router = true;
  const double response_delay_ms =
      network_.client_delay(client_try->start.drawn.zone, plan_.routers[client_try->router].zone);
  model::TrySent record;
  record.at = now_;
  record.scheduled_at = client_try->start.scheduled_at;
  record.request = client_try->start.drawn.request;
  record.try_id = client_try->start.try_id;
  record.number = client_try->start.number;
  record.router = client_try->router;
  record.new_connection = client_try->new_connection;
  record.deadline = client_try->start.deadline;
  record.idempotency_key = client_try->start.idempotency_key;
  record.accepted = reachable && accepts_request;
  sink_.on(record);
  if (!reachable) return; // the client gets no response
  if (!accepts_request) {
    client_try->outcome = TryOutcome::Unreachable;
    schedule(now_ + response_delay_ms, EventKind::ResponseAtClient, 0, client, 0);
    return;
  }
  client_try->accepted = true;
  client_try->router_incarnation = router.incarnation();
  const model::TryStart start = client_try->start; // copied, as the table may reallocate
  router.on_request(client, start);
  terminate_if_finished(record.router);
}

// The router closed the connection before it read the request: the client resends it on a new one.
void VirtualWorld::resend_on_new_connection(Handle client, Try& client_try) {
  const std::uint32_t zone = client_try.start.drawn.zone;
  double delay_ms = network_.client_delay(
      zone, plan_.routers[client_try.router].zone); // until the client detects the close
  client_try.router = front_balancer_.pick(now_, zone).value_or(client_try.router);
  client_try.new_connection = true;
  for (int i = 0; i < 3; ++i) delay_ms += network_.client_delay(zone, plan_.routers[client_try.router].zone);
  schedule(now_ + delay_ms, EventKind::RequestAtRouter, client_try.router, client, 0);
}

void VirtualWorld::on_accepted(Handle client, Handle exchange) { tries_.find(client)->exchange = exchange; }

bool VirtualWorld::client_waits(Handle client) {
  const Try* client_try = tries_.find(client);
  return client_try != nullptr && !client_try->client_gone;
}

void VirtualWorld::respond(Handle client, TryOutcome outcome, double retry_after_ms) {
  Try* client_try = tries_.find(client);
  if (client_try == nullptr) return;
  if (client_try->client_gone) {
    tries_.remove(client);
    return;
  }
  if (!network_.is_reachable(client_try->router)) return; // the client gets no response
  client_try->outcome = outcome;
  client_try->retry_after_ms = retry_after_ms;
  client_try->response_sent = true;
  schedule(now_ + network_.client_delay(client_try->start.drawn.zone, plan_.routers[client_try->router].zone),
           EventKind::ResponseAtClient, 0, client, 0);
}

void VirtualWorld::end_try(Handle client, TryOutcome outcome, double retry_after_ms) {
  const Try* stored_try = tries_.find(client);
  if (stored_try == nullptr) return;
  const Try ended_try = *stored_try;
  tries_.remove(client);
  if (ended_try.client_gone) return;
  tries_by_id_.erase(ended_try.start.try_id);
  model::TryEnded record;
  record.at = now_;
  record.request = ended_try.start.drawn.request;
  record.try_id = ended_try.start.try_id;
  record.router = ended_try.router;
  record.outcome = outcome;
  record.retry_after_ms = retry_after_ms;
  const VirtualRouter& router = *routers_[ended_try.router];
  const bool complete_response =
      outcome == TryOutcome::Served || outcome == TryOutcome::Rejected || outcome == TryOutcome::Failed;
  if (complete_response && spec_.clients.keep_connections && router.keeps_client_connections() &&
      router.incarnation() == ended_try.router_incarnation)
    ++idle_client_connections_[ended_try.router];
  record.surplus =
      !clients_.on_try_ended(now_, ended_try.start.try_id, outcome, retry_after_ms, client_actions_);
  sink_.on(record);
  execute_client_actions();
}

// The client stops waiting and closes its connection.
void VirtualWorld::cancel_try(const model::TryCancelled& cancelled) {
  const auto found = tries_by_id_.find(cancelled.try_id);
  if (found == tries_by_id_.end()) return;
  const Handle client = found->second;
  tries_by_id_.erase(found);
  Try& client_try = *tries_.find(client);
  client_try.client_gone = true;
  if (!client_try.reached_router) { // the client gave up before the request reached a router
    model::TrySent sent_record;
    sent_record.at = now_;
    sent_record.scheduled_at = client_try.start.scheduled_at;
    sent_record.request = client_try.start.drawn.request;
    sent_record.try_id = client_try.start.try_id;
    sent_record.number = client_try.start.number;
    sent_record.router = client_try.router;
    sent_record.deadline = client_try.start.deadline;
    sent_record.idempotency_key = client_try.start.idempotency_key;
    sink_.on(sent_record);
  }
  model::TryEnded end_record;
  end_record.at = now_;
  end_record.request = cancelled.request;
  end_record.try_id = cancelled.try_id;
  end_record.router = client_try.router;
  end_record.outcome = cancelled.outcome;
  sink_.on(end_record);
  const bool router_has_request = client_try.accepted && routers_[client_try.router]->is_running() &&
                                  routers_[client_try.router]->incarnation() == client_try.router_incarnation;
  if (router_has_request && client_try.exchange != 0) {
    schedule(now_ + network_.client_delay(client_try.start.drawn.zone, plan_.routers[client_try.router].zone),
             EventKind::DisconnectAtRouter, client_try.router, client_try.exchange,
             client_try.router_incarnation);
  }
  // A try that has not reached its router yet is removed there.
  if (client_try.reached_router) tries_.remove(client);
}

} // namespace fernward::lab
