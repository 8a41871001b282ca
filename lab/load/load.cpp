#include "lab/load/load.h"

#include <pthread.h>
#include <sys/socket.h>

#include <algorithm>
#include <ctime>
#include <limits>

namespace fernward::rig {

using loop::Handle;
using model::RouterId;
using model::TryId;

namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kMinClientTimerMs = 1;      // minimum interval between two runs of the client timer
constexpr double kReadyProbeIntervalMs = 20; // interval between readiness probes of a starting router
constexpr double kReadyProbeTimeoutMs = 1000;
constexpr double kReconnectIdleMs = 500; // until a closed idle connection is opened again
constexpr double kImmediateMs = 0.02;    // what is due within this time is done at once

double thread_cpu_s() {
  timespec cpu_time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
  return static_cast<double>(cpu_time.tv_sec) + static_cast<double>(cpu_time.tv_nsec) * 1e-9;
}

// Whether a reset followed the end of the peer's data: the peer had closed before it read the request.
bool reset_after_close(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
}

} // namespace

LoadGenerator::LoadGenerator(const RunContext& context, Callbacks callbacks,
                             std::vector<char> ready_by_connect)
    : context_(context),
      callbacks_(std::move(callbacks)),
      ready_by_connect_(std::move(ready_by_connect)),
      loop_(context.clock),
      network_(context.spec, context.plan),
      keys_(context.spec),
      arrivals_(context.spec, context.plan, keys_),
      clients_(context.spec),
      front_balancer_(context.spec, context.plan),
      router_states_(context.plan.routers.size()),
      client_timer_at_(kForever) {
  ready_by_connect_.resize(router_states_.size());
}

LoadGenerator::~LoadGenerator() { stop(); }

void LoadGenerator::start_loop() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), "lab-load");
    loop_.run();
    summary_.cpu_s = thread_cpu_s();
  });
}

LoadSummary LoadGenerator::stop() {
  if (thread_.joinable()) {
    loop_.stop();
    thread_.join();
    summary_.lateness_ms = lateness_.quantiles();
  }
  return summary_;
}

void LoadGenerator::start_arrivals() {
  loop_.run_in_loop([this] {
    for (const model::Step& step : context_.plan.steps)
      loop_.run_at(step.at_ms, [this, &step] { apply(step); });
    for (RouterId router = 0; router < router_states_.size(); ++router) {
      if (!router_states_[router].ready) front_balancer_.set_down(0, router);
    }
    next_request_ = arrivals_.next();
    start_due_requests();
    check_finished();
  });
}

void LoadGenerator::stop_arrivals() {
  loop_.run_in_loop([this] {
    finishing_ = true;
    check_finished();
  });
}

// ---- requests ----

void LoadGenerator::start_due_requests() {
  while (next_request_ && !finishing_) {
    if (next_request_->at > now() + kImmediateMs) {
      loop_.run_at(next_request_->at, [this] { start_due_requests(); });
      return;
    }
    const model::DrawnRequest request = *next_request_;
    next_request_ = arrivals_.next();
    context_.records.add(request);
    clients_.open(request.at, request, actions_);
    process_actions();
  }
  check_finished();
}

void LoadGenerator::check_finished() {
  const bool all_arrived = finishing_ || (!next_request_ && now() >= context_.spec.duration_ms);
  if (!all_arrived && !next_request_)
    return run_after(context_.spec.duration_ms - now() + 1, [this] { check_finished(); });
  if (finished_ || !all_arrived || clients_.open_requests() > 0) return;
  finished_ = true;
  callbacks_.finished();
}

void LoadGenerator::schedule_client_timer() {
  const double next = std::max(clients_.next_due_ms(), now() + kMinClientTimerMs);
  if (next >= client_timer_at_) return;
  loop_.timers().cancel(client_timer_);
  client_timer_at_ = next;
  client_timer_ = loop_.run_at(client_timer_at_, [this] {
    client_timer_ = 0;
    client_timer_at_ = kForever;
    clients_.advance(now(), actions_);
    process_actions();
  });
}

// Processing an action may append further actions, which are processed in the same pass.
void LoadGenerator::process_actions() {
  if (processing_actions_) return;
  processing_actions_ = true;
  for (std::size_t i = 0; i < actions_.size(); ++i) {
    const model::ClientAction action = actions_[i];
    if (const auto* start = std::get_if<model::TryStart>(&action.what)) start_try(*start);
    if (const auto* cancelled = std::get_if<model::TryCancelled>(&action.what)) cancel_try(*cancelled);
    if (const auto* ended = std::get_if<model::RequestEnded>(&action.what)) context_.records.add(*ended);
  }
  actions_.clear();
  processing_actions_ = false;
  schedule_client_timer();
  if (clients_.open_requests() == 0 && (finishing_ || !next_request_)) check_finished();
}

double LoadGenerator::one_way_delay_ms(const Try& client_try) {
  return network_.client_delay(client_try.start.drawn.zone, context_.plan.routers[client_try.router].zone);
}

void LoadGenerator::start_try(const model::TryStart& start) {
  const auto router = front_balancer_.pick(now(), start.drawn.zone);
  const Handle handle = tries_.add();
  if (handle == 0) return context_.void_reasons.add("more open tries than the lab can hold");
  Try& new_try = *tries_.find(handle);
  new_try.start = start;
  pending_tries_[start.try_id] = handle;
  if (!router)
    return record_sent(new_try, false, false, 0); // no router is available: the client receives no response
  ++summary_.tries;
  new_try.router = *router;
  new_try.routed = true;
  context_.tries.add(now(), start.try_id, metadata_of(start));
  Connection* connection = take_idle_connection(*router);
  new_try.due_at_router = start.scheduled_at + one_way_delay_ms(new_try);
  if (connection == nullptr) {
    new_try.due_at_router += 2 * one_way_delay_ms(new_try); // the round trip of the TCP handshake
    connection = connect(*router);
  }
  if (connection == nullptr) return; // out of descriptors, which makes the run void
  new_try.connection = connection->self;
  connection->active_try = handle;
  connection->request_due = connection->request_written = false;
  if (new_try.due_at_router <= now() + kImmediateMs) return send(handle);
  loop_.run_at(new_try.due_at_router, [this, handle] { send(handle); });
}

// Sends a try that is due. If its connection is not established yet, the delay does not count as lateness of
// the rig.
void LoadGenerator::send(Handle handle) {
  Try* client_try = tries_.find(handle);
  if (client_try == nullptr || client_try->client_done) return;
  Connection* connection = connections_.find(client_try->connection);
  if (connection == nullptr) return;
  connection->request_due = true;
  if (connection->reading_paused) return; // held back: the client receives no response
  if (connection->request_count > 0 && !connection->stream->nothing_unread()) {
    // The router closed the idle connection while this request was on its way: the client sends it again.
    connection->active_try = 0;
    close_connection(*connection);
    connection = connect(client_try->router);
    if (connection == nullptr) return;
    client_try->connection = connection->self;
    client_try->resent = true;
    connection->active_try = handle;
    connection->request_due = true;
    return;
  }
  if (connection->stream->is_connected()) write(*connection, *client_try);
}

void LoadGenerator::write(Connection& connection, Try& client_try) {
  const double due = std::max(client_try.due_at_router, connection.connected_at);
  const double wait_ms = client_try.start.deadline - client_try.start.scheduled_at;
  const std::string request_bytes = request_text(context_.spec, context_.tries, client_try.start, wait_ms);
  const bool is_first_request = connection.request_count++ == 0;
  connection.request_written = true;
  connection.response_started = false;
  connection.previous_try = std::exchange(connection.last_try, client_try.start.try_id);
  const double late_ms = std::max(0.0, now() - due);
  if (!client_try.recorded) lateness_.add(late_ms);
  // On a broken connection nothing was accepted; the close is processed by on_closed().
  const bool accepted = connection.stream->send(request_bytes);
  if (!client_try.recorded) record_sent(client_try, accepted, is_first_request, late_ms);
}

void LoadGenerator::record_sent(Try& client_try, bool accepted, bool new_connection, double late_ms) {
  client_try.recorded = true;
  model::TrySent record;
  record.at = now();
  record.scheduled_at = client_try.start.scheduled_at;
  record.send_delay_ms = late_ms;
  record.request = client_try.start.drawn.request;
  record.try_id = client_try.start.try_id;
  record.number = client_try.start.number;
  record.router = client_try.router;
  record.accepted = accepted;
  record.new_connection = new_connection;
  record.deadline = client_try.start.deadline;
  record.idempotency_key = client_try.start.idempotency_key;
  context_.records.add(record);
}

// The client no longer waits: it closes its connection, which the router sees after the one-way delay.
void LoadGenerator::cancel_try(const model::TryCancelled& cancelled) {
  const auto found = pending_tries_.find(cancelled.try_id);
  if (found == pending_tries_.end()) return;
  const Handle handle = found->second;
  pending_tries_.erase(found);
  Try& client_try = *tries_.find(handle);
  client_try.client_done = true;
  if (!client_try.recorded) record_sent(client_try, false, false, 0);
  model::TryEnded record;
  record.at = now();
  record.request = cancelled.request;
  record.try_id = cancelled.try_id;
  record.router = client_try.router;
  record.outcome = cancelled.outcome;
  context_.records.add(record);
  if (!client_try.routed) return tries_.remove(handle);
  run_after(one_way_delay_ms(client_try), [this, handle] {
    const Try* cancelled_try = tries_.find(handle);
    if (cancelled_try == nullptr) return;
    if (Connection* connection = connections_.find(cancelled_try->connection)) {
      connection->active_try = 0;
      connection->abandoned = connection->reading_paused;
      if (!connection->reading_paused) close_connection(*connection);
    }
    tries_.remove(handle);
  });
}

// The response has left the router: the client receives it after the one-way delay.
void LoadGenerator::deliver_response(Handle handle, const ClientResponse& response) {
  Try* client_try = tries_.find(handle);
  if (client_try == nullptr || client_try->response_in_transit) return;
  client_try->response_in_transit = true;
  run_after(one_way_delay_ms(*client_try), [this, handle, response] { finish_try(handle, response); });
}

void LoadGenerator::finish_try(Handle handle, const ClientResponse& response) {
  Try* client_try = tries_.find(handle);
  if (client_try == nullptr || client_try->client_done)
    return; // its client no longer waits: cancel_try() removes the try
  if (!client_try->recorded) record_sent(*client_try, false, false, 0); // it was held back and never sent
  pending_tries_.erase(client_try->start.try_id);
  model::TryEnded record;
  record.at = now();
  record.request = client_try->start.drawn.request;
  record.try_id = client_try->start.try_id;
  record.router = client_try->router;
  record.outcome = response.outcome;
  record.retry_after_ms = response.retry_after_ms;
  record.genuine = response.genuine;
  const TryId try_id = client_try->start.try_id;
  Connection* connection = connections_.find(client_try->connection);
  tries_.remove(handle);
  if (connection != nullptr) {
    connection->active_try = 0;
    make_idle(*connection);
  }
  record.surplus = !clients_.on_try_ended(now(), try_id, response.outcome, response.retry_after_ms, actions_);
  context_.records.add(record);
  process_actions();
}

// ---- connections ----

LoadGenerator::Connection* LoadGenerator::take_idle_connection(RouterId router) {
  if (!context_.spec.clients.keep_connections) return nullptr;
  auto& idle = router_states_[router].idle_connections;
  while (!idle.empty()) {
    Connection* connection = connections_.find(idle.back());
    idle.pop_back();
    if (connection != nullptr && connection->active_try == 0) return connection;
  }
  return nullptr;
}

LoadGenerator::Connection* LoadGenerator::connect(RouterId router) {
  const Handle handle = connections_.add();
  Connection* connection = connections_.find(handle);
  if (connection != nullptr) {
    connection->generator = this;
    connection->self = handle;
    connection->router = router;
    connection->reading_paused = !network_.is_reachable(router);
    connection->stream = Stream::connect(loop_.base(), context_.addresses.router(router), *connection);
    ++summary_.connections;
    if (connection->stream != nullptr) return connection;
    connections_.remove(handle);
  }
  context_.void_reasons.add("the lab is out of descriptors");
  return nullptr;
}

void LoadGenerator::on_connected(Connection& connection) {
  connection.connected_at = now();
  if (connection.reading_paused)
    return connection.stream->pause(); // the machine is silent: the connection counts as not established
  if (connection.is_ready_probe) {
    if (ready_by_connect_[connection.router]) {
      const RouterId router = connection.router;
      close_connection(connection);
      return router_ready(router);
    }
    connection.stream->send("GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
    return;
  }
  Try* client_try = tries_.find(connection.active_try);
  if (client_try != nullptr && connection.request_due && !client_try->client_done)
    write(connection, *client_try);
}

void LoadGenerator::on_data(Connection& connection, std::string_view data) {
  const Handle self = connection.self;
  while (!data.empty()) {
    data.remove_prefix(connection.parser.feed(data));
    connection.response_started = true;
    if (connection.parser.error() != http::ParseError::None) return on_closed(connection, 0);
    if (!connection.parser.done()) return;
    const http::Message message = connection.parser.take_message();
    connection.response_started = false;
    if (connection.is_ready_probe) {
      const RouterId router = connection.router;
      close_connection(connection);
      if (message.status == 200) router_ready(router);
      return;
    }
    Try* client_try = tries_.find(connection.active_try);
    const bool has_request = client_try != nullptr && connection.request_written;
    const ClientResponse response = parse_response(
        context_.body_codec, message, has_request ? client_try->start.try_id : connection.last_try);
    if (!has_request || (response.made_for != 0 && response.made_for == connection.previous_try)) {
      // A response without a request, or one to the previous request: it is surplus.
      record_surplus(connection, response);
      if (!has_request) return close_connection(connection);
      continue;
    }
    const Handle active_try = connection.active_try;
    connection.request_written = false;
    const bool has_more_data = !data.empty();
    deliver_response(active_try, response);
    if (!message.keep_alive || has_more_data) {
      if (has_more_data) {
        connection.parser.feed(data);
        if (connection.parser.done())
          record_surplus(connection, parse_response(context_.body_codec, connection.parser.take_message(),
                                                    connection.last_try));
      }
      Connection* remaining = connections_.find(self);
      if (remaining == nullptr) return;
      remaining->active_try = 0;
      return close_connection(*remaining);
    }
  }
}

void LoadGenerator::record_surplus(const Connection& connection, const ClientResponse& response) {
  const TryId try_id = response.made_for != 0 ? response.made_for : connection.last_try;
  if (try_id == 0) return;
  model::TryEnded record;
  record.at = now();
  record.request = model::Clients::request_of(try_id);
  record.try_id = try_id;
  record.router = connection.router;
  record.outcome = response.outcome;
  record.retry_after_ms = response.retry_after_ms;
  record.genuine = response.genuine;
  record.surplus = true;
  context_.records.add(record);
}

void LoadGenerator::on_closed(Connection& connection, int error) {
  const Handle handle = connection.active_try;
  Try* client_try = tries_.find(handle);
  if (client_try == nullptr || client_try->client_done || client_try->response_in_transit) {
    connection.active_try = 0;
    return close_connection(connection);
  }
  // A response without a Content-Length ends with the connection.
  const bool complete = error == 0 && connection.request_written && connection.parser.end_of_input();
  if (complete) {
    const ClientResponse response =
        parse_response(context_.body_codec, connection.parser.take_message(), client_try->start.try_id);
    deliver_response(handle, response);
  } else if (!connection.stream->is_connected()) {
    // No router has accepted the request: a resent one was not read on its first connection either.
    if (!client_try->recorded || client_try->resent) record_sent(*client_try, false, true, 0);
    deliver_response(handle, {model::TryOutcome::Unreachable, 0, true, 0});
  } else if (!connection.request_written && client_try->due_at_router > now()) {
    // The connection closed while the request was on its way: send() uses the replacement.
    client_try->connection = 0;
    Connection* replacement = connect(client_try->router);
    connection.active_try = 0;
    if (replacement != nullptr) {
      client_try->connection = replacement->self;
      client_try->resent = true;
      replacement->active_try = handle;
    }
  } else {
    const bool closed_before_read =
        !connection.response_started && (error != 0 || reset_after_close(connection.stream->fd()));
    if (closed_before_read && !client_try->resent && connection.request_written &&
        connection.request_count > 1) {
      // The router closed the idle connection without having read this request: the client sends it again.
      Connection* replacement = connect(client_try->router);
      connection.active_try = 0;
      if (replacement != nullptr) {
        client_try->connection = replacement->self;
        client_try->resent = true;
        replacement->active_try = handle;
        replacement->request_due = true;
      }
    } else {
      deliver_response(handle, {model::TryOutcome::ConnectionLost, 0, true, 0});
    }
  }
  connection.active_try = 0;
  close_connection(connection);
}

void LoadGenerator::close_connection(Connection& connection) {
  const RouterId router = connection.router;
  const bool was_kept_idle = connection.kept_idle;
  connections_.remove(connection.self);
  if (!was_kept_idle) return;
  --router_states_[router].kept_idle_count;
  run_after(kReconnectIdleMs, [this, router] { open_idle_connections(router); });
}

// Makes the connection available for another request, or closes it.
void LoadGenerator::make_idle(Connection& connection) {
  if (!context_.spec.clients.keep_connections || connection.reading_paused)
    return close_connection(connection);
  connection.request_due = connection.request_written = false;
  auto& idle = router_states_[connection.router].idle_connections;
  if (idle.size() > 64 && idle.size() > 2 * connections_.size()) { // most of the older entries are closed
    std::erase_if(idle, [this](Handle candidate) { return connections_.find(candidate) == nullptr; });
  }
  idle.push_back(connection.self);
}

// ---- routers ----

void LoadGenerator::router_started(RouterId router) {
  loop_.run_in_loop([this, router] {
    RouterState& state = router_states_[router];
    state.running = true;
    state.ready = false;
    ++state.incarnation;
    probe_ready(router);
  });
}

void LoadGenerator::router_stopping(RouterId router) {
  loop_.run_in_loop([this, router] { front_balancer_.set_stopping(now(), router); });
}

void LoadGenerator::router_ended(RouterId router) {
  loop_.run_in_loop([this, router] {
    RouterState& state = router_states_[router];
    state.running = state.ready = false;
    state.idle_connections.clear();
    ++state.incarnation;
    if (context_.clock.started()) front_balancer_.set_down(now(), router);
  });
}

void LoadGenerator::router_paused(RouterId router, bool paused) {
  loop_.run_in_loop([this, router, paused] {
    if (!context_.clock.started()) return;
    if (paused) return front_balancer_.set_down(now(), router);
    if (router_states_[router].ready && network_.is_reachable(router)) front_balancer_.set_up(now(), router);
  });
}

void LoadGenerator::probe_ready(RouterId router) {
  RouterState& state = router_states_[router];
  if (!state.running || state.ready) return;
  Connection* connection = connect(router);
  if (connection == nullptr) return;
  connection->is_ready_probe = true;
  connection->reading_paused = false;
  const Handle handle = connection->self;
  const std::uint32_t incarnation = state.incarnation;
  run_after(kReadyProbeTimeoutMs, [this, handle] {
    if (Connection* unanswered = connections_.find(handle)) close_connection(*unanswered);
  });
  run_after(kReadyProbeIntervalMs, [this, router, incarnation] {
    if (router_states_[router].incarnation == incarnation) probe_ready(router);
  });
}

void LoadGenerator::router_ready(RouterId router) {
  RouterState& state = router_states_[router];
  if (!state.running || state.ready) return;
  state.ready = true;
  context_.records.add(model::RouterEvent{now(), router, model::RouterEvent::What::Ready});
  if (network_.is_reachable(router)) front_balancer_.set_up(now(), router);
  open_idle_connections(router);
  callbacks_.ready(router);
}

// Opens the connections that clients hold open idle to a router.
void LoadGenerator::open_idle_connections(RouterId router) {
  RouterState& state = router_states_[router];
  while (state.ready && state.kept_idle_count < context_.spec.clients.idle_connections) {
    Connection* connection = connect(router);
    if (connection == nullptr) return;
    connection->kept_idle = true;
    ++state.kept_idle_count;
  }
}

void LoadGenerator::apply(const model::Step& step) {
  network_.apply(step);
  if (const auto* zone = std::get_if<model::ZoneStep>(&step.what))
    front_balancer_.set_zone_state(zone->zone, zone->what);
  if (const auto* router = std::get_if<model::RouterStep>(&step.what)) {
    using What = model::RouterStep::What;
    if (router->what == What::Silence || router->what == What::Return) {
      set_router_silent(router->router, router->what == What::Silence);
    }
  }
}

// Starts or ends a silence: nothing passes between clients and the router's machine. Connections on which
// data was lost are reset when the machine is reachable again.
void LoadGenerator::set_router_silent(RouterId router, bool silent) {
  using What = model::RouterEvent::What;
  context_.records.add(model::RouterEvent{now(), router, silent ? What::Silent : What::Returned});
  if (silent) {
    front_balancer_.set_down(now(), router);
  } else if (router_states_[router].ready) {
    front_balancer_.set_up(now(), router);
  }
  connections_.for_each([&](Handle, Connection& connection) {
    if (connection.router != router || connection.reading_paused == silent) return;
    connection.reading_paused = silent;
    if (silent) return connection.stream->pause();
    if (connection.active_try != 0 || connection.abandoned || !connection.stream->nothing_unread()) {
      const Handle active_try = std::exchange(connection.active_try, 0);
      close_connection(connection);
      if (active_try != 0) deliver_response(active_try, {model::TryOutcome::ConnectionLost, 0, true, 0});
      return;
    }
    connection.stream->resume();
  });
}

} // namespace fernward::rig
