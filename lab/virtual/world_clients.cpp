// The clients: tries under way to routers, and responses under way back.
#include "lab/virtual/world.h"

#include <algorithm>

namespace fernward::lab {

using model::Heard;

void World::draw_next() {
  next_ = arrivals_.next();
  done_drawing_ = !next_;
  if (next_) at(next_->at, Due::Arrival, 0, 0, 0);
}

void World::wake_clients() {
  const double next = std::max(now_, clients_.next());
  if (next >= clients_wake_) return;
  clients_wake_ = next;
  at(next, Due::Clients, 0, 0, 0);
}

void World::client_acts() {
  // Executing an action may append further actions.
  for (std::size_t i = 0; i < client_acts_.size(); ++i) {
    const model::ClientAct act = client_acts_[i];
    if (const auto* start = std::get_if<model::TryStart>(&act.what)) start_try(*start);
    if (const auto* ended = std::get_if<model::TryOver>(&act.what)) over(*ended);
    if (const auto* closed = std::get_if<model::Closed>(&act.what)) sink_.on(*closed);
  }
  client_acts_.clear();
  wake_clients();
}

void World::start_try(const model::TryStart& start) {
  const auto router = front_.pick(now_, start.drawn.zone);
  const Handle client = tries_.add();
  Try& t = *tries_.find(client);
  t.start = start;
  by_try_[start.try_id] = client;
  if (!router) { // no router is available: the client gets no response
    t.came = true;
    model::Tried tried;
    tried.at = now_;
    tried.due = start.due;
    tried.request = start.drawn.request;
    tried.try_id = start.try_id;
    tried.number = start.number;
    tried.deadline = start.deadline;
    tried.repeat_key = start.repeat_key;
    sink_.on(tried);
    return;
  }
  t.router = *router;
  t.life = routers_[*router]->life();
  t.new_connection = !spec_.clients.keep_connections || kept_[*router] == 0;
  if (!t.new_connection) --kept_[*router];
  double way = network_.with_client(start.drawn.zone, plan_.routers[*router].zone);
  if (t.new_connection) way += 2 * network_.with_client(start.drawn.zone, plan_.routers[*router].zone);
  at(now_ + way, Due::RequestAtRouter, *router, client, 0);
}

void World::request_at_router(Handle client) {
  Try* t = tries_.find(client);
  if (t == nullptr) return;
  if (t->over) { // the client gave up before the request arrived
    tries_.remove(client);
    return;
  }
  Router& router = *routers_[t->router];
  // A kept connection leads to the process that accepted it; a new one to the process that listens now.
  const bool open = t->new_connection ? router.accepts() : router.runs() && router.life() == t->life;
  const bool reachable = network_.reachable(t->router);
  if (!open && !t->new_connection && reachable) return send_anew(client, *t);
  t->came = true;
  const double back = network_.with_client(t->start.drawn.zone, plan_.routers[t->router].zone);
  model::Tried tried;
  tried.at = now_;
  tried.due = t->start.due;
  tried.request = t->start.drawn.request;
  tried.try_id = t->start.try_id;
  tried.number = t->start.number;
  tried.router = t->router;
  tried.new_connection = t->new_connection;
  tried.deadline = t->start.deadline;
  tried.repeat_key = t->start.repeat_key;
  tried.taken = reachable && open;
  sink_.on(tried);
  if (!reachable) return; // the client gets no response
  if (!open) {
    t->heard = Heard::Unreachable;
    at(now_ + back, Due::AnswerAtClient, 0, client, 0);
    return;
  }
  t->taken = true;
  t->life = router.life();
  const model::TryStart start = t->start; // copied, as the table may reallocate
  router.request(client, start);
  check_end(tried.router);
}

// The router closed the connection before it read the request: the client resends it on a new one.
void World::send_anew(Handle client, Try& t) {
  const std::uint32_t zone = t.start.drawn.zone;
  double way = network_.with_client(zone, plan_.routers[t.router].zone); // until the client detects the close
  t.router = front_.pick(now_, zone).value_or(t.router);
  t.new_connection = true;
  for (int i = 0; i < 3; ++i) way += network_.with_client(zone, plan_.routers[t.router].zone);
  at(now_ + way, Due::RequestAtRouter, t.router, client, 0);
}

void World::taken(Handle client, Handle exchange) { tries_.find(client)->exchange = exchange; }

bool World::waits(Handle client) {
  const Try* t = tries_.find(client);
  return t != nullptr && !t->over;
}

void World::answer(Handle client, Heard heard, double retry_after_ms) {
  Try* t = tries_.find(client);
  if (t == nullptr) return;
  if (t->over) {
    tries_.remove(client);
    return;
  }
  if (!network_.reachable(t->router)) return; // the client gets no response
  t->heard = heard;
  t->retry_after_ms = retry_after_ms;
  t->answered = true;
  at(now_ + network_.with_client(t->start.drawn.zone, plan_.routers[t->router].zone), Due::AnswerAtClient, 0,
     client, 0);
}

void World::end_try(Handle client, Heard heard, double retry_after_ms) {
  const Try* found = tries_.find(client);
  if (found == nullptr) return;
  const Try t = *found;
  tries_.remove(client);
  if (t.over) return;
  by_try_.erase(t.start.try_id);
  model::Answered answered;
  answered.at = now_;
  answered.request = t.start.drawn.request;
  answered.try_id = t.start.try_id;
  answered.router = t.router;
  answered.heard = heard;
  answered.retry_after_ms = retry_after_ms;
  const Router& router = *routers_[t.router];
  const bool whole = heard == Heard::Served || heard == Heard::Refused || heard == Heard::Failed;
  if (whole && spec_.clients.keep_connections && router.keeps() && router.life() == t.life) ++kept_[t.router];
  answered.surplus = !clients_.heard(now_, t.start.try_id, heard, retry_after_ms, client_acts_);
  sink_.on(answered);
  client_acts();
}

// The client stops waiting and closes its connection.
void World::over(const model::TryOver& over) {
  const auto found = by_try_.find(over.try_id);
  if (found == by_try_.end()) return;
  const Handle client = found->second;
  by_try_.erase(found);
  Try& t = *tries_.find(client);
  t.over = true;
  if (!t.came) { // the client gave up before the request reached a router
    model::Tried tried;
    tried.at = now_;
    tried.due = t.start.due;
    tried.request = t.start.drawn.request;
    tried.try_id = t.start.try_id;
    tried.number = t.start.number;
    tried.router = t.router;
    tried.deadline = t.start.deadline;
    tried.repeat_key = t.start.repeat_key;
    sink_.on(tried);
  }
  model::Answered answered;
  answered.at = now_;
  answered.request = over.request;
  answered.try_id = over.try_id;
  answered.router = t.router;
  answered.heard = over.heard;
  sink_.on(answered);
  const bool here = t.taken && routers_[t.router]->runs() && routers_[t.router]->life() == t.life;
  if (here && t.exchange != 0) {
    at(now_ + network_.with_client(t.start.drawn.zone, plan_.routers[t.router].zone), Due::GoneAtRouter,
       t.router, t.exchange, t.life);
  }
  // A try that has not reached its router yet is removed there.
  if (t.came) tries_.remove(client);
}

} // namespace fernward::lab
