#include "lab/peers/machines.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <limits>
#include <stdexcept>

namespace fernward::rig {

using loop::Handle;
using model::MachineId;
using model::NodeEvent;
using model::RouterId;
using model::ServerAction;
using model::ServerOutcome;

namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kSampleIntervalMs = 1000;
constexpr double kIdleCheckIntervalMs = 250; // interval between checks for expired idle connections
constexpr double kImmediateMs = 0.02;        // what is due within this time is done at once
constexpr int kBacklog = 512;
constexpr std::size_t kMaxBufferedBytes = 128 * 1024; // of requests that a router sends before the response

void reset_fd(int fd) {
  const linger at_once{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close(fd);
}

} // namespace

SimulatedMachines::SimulatedMachines(const RunContext& context, RunLoop& loop, model::Network& network,
                                     MachineCallbacks callbacks)
    : context_(context),
      loop_(loop),
      network_(network),
      callbacks_(std::move(callbacks)),
      keys_(context.spec),
      pending_fills_(2 * max_client_timeout_ms(context.spec) + 1000),
      work_noise_engine_(model::stream(context.spec.seed, "attempt noise")),
      bad_response_engine_(model::stream(context.spec.seed, "bad answers")),
      states_(context.plan.machines.size()) {
  const model::CacheNode::FleetContext fleet_context{context_.spec, keys_, idempotency_cache_,
                                                     &initial_nodes_};
  for (const model::PlannedMachine& machine : context_.plan.machines) {
    if (is_origin(machine.id)) {
      server_models_.push_back(std::make_unique<model::Origin>(context_.spec, machine, idempotency_cache_));
    } else {
      server_models_.push_back(std::make_unique<model::CacheNode>(fleet_context, machine));
    }
    states_[machine.id].timer_at = kForever;
    address_owner_.push_back(machine.id);
  }
}

SimulatedMachines::~SimulatedMachines() {
  for (Listener& target : listeners_) set_listener_state(target, Listener::State::Closed);
}

// ---- listeners ----

void SimulatedMachines::open() {
  const std::size_t machine_count = context_.plan.machines.size();
  listeners_ = std::vector<Listener>(context_.plan.routers.size() * machine_count);
  for (std::size_t i = 0; i < listeners_.size(); ++i) {
    listeners_[i].machines = this;
    listeners_[i].router = static_cast<RouterId>(i / machine_count);
    listeners_[i].address_owner = static_cast<MachineId>(i % machine_count);
  }
  for (const model::PlannedMachine& machine : context_.plan.machines) {
    if (machine.in_service_at_start) update_listeners(machine.id);
  }
}

SimulatedMachines::Listener& SimulatedMachines::listener(RouterId router, MachineId address_owner) {
  return listeners_[std::size_t{router} * context_.plan.machines.size() + address_owner];
}

void SimulatedMachines::update_listeners(MachineId machine) {
  const MachineId address_owner = context_.plan.machines[machine].address_of;
  if (address_owner_[address_owner] != machine) return; // another machine owns the address now
  for (RouterId router = 0; router < context_.plan.routers.size(); ++router) {
    const bool is_off = server_models_[machine]->phase() == model::ServerPhase::Off;
    set_listener_state(listener(router, address_owner), !network_.is_connected(router, machine)
                                                            ? Listener::State::Blocked
                                                        : is_off ? Listener::State::Closed
                                                                 : Listener::State::Open);
  }
}

void SimulatedMachines::set_listener_state(Listener& target, Listener::State state) {
  if (target.state == state) return;
  target.state = state;
  target.accept_event.reset();
  // Connections queued while none were accepted are reset: the peer regards them as established.
  for (int fd = -1; target.fd >= 0 && (fd = accept4(target.fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
    reset_fd(fd);
  for (const int fd : target.blocking_sockets) close(fd);
  target.blocking_sockets.clear();
  if (state == Listener::State::Closed) {
    if (target.fd >= 0) close(target.fd);
    target.fd = -1;
    return;
  }
  const sockaddr_in address = context_.addresses.machine(target.router, target.address_owner);
  if (target.fd < 0) target.fd = listen_at(address, kBacklog);
  if (target.fd < 0) {
    const std::string error = "cannot listen on " + address_text(address) + ": " + std::strerror(errno);
    if (!context_.clock.started()) throw std::runtime_error(error);
    return context_.void_reasons.add(error);
  }
  if (state == Listener::State::Blocked) return block(target);
  listen(target.fd, kBacklog);
  target.accept_event.reset(
      event_new(loop_.base(), target.fd, EV_READ | EV_PERSIST, &SimulatedMachines::on_acceptable, &target));
  event_add(target.accept_event.get(), nullptr);
}

// Fills the backlog of a listener. A full backlog drops connection requests without a response, as an
// unreachable machine does.
void SimulatedMachines::block(Listener& target) {
  listen(target.fd, 0);
  const sockaddr_in address = context_.addresses.machine(target.router, target.address_owner);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return context_.void_reasons.add("out of descriptors");
  [[maybe_unused]] const int ignored_result =
      ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  target.blocking_sockets.push_back(fd);
}

void SimulatedMachines::on_acceptable(int, short, void* listener_argument) {
  auto* accepting = static_cast<Listener*>(listener_argument);
  accepting->machines->accept(*accepting);
}

void SimulatedMachines::accept(Listener& target) {
  const int fd = accept4(target.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    if (errno == EMFILE || errno == ENFILE) context_.void_reasons.add("the lab is out of descriptors");
    return;
  }
  const Handle handle = connections_.add();
  if (handle == 0) return reset_fd(fd);
  Connection& connection = *connections_.find(handle);
  connection.machines = this;
  connection.self = handle;
  connection.router = target.router;
  connection.machine = address_owner_[target.address_owner];
  connection.incarnation = states_[connection.machine].incarnation;
  connection.idle_since = now();
  connection.stream = std::make_unique<Stream>(loop_.base(), fd, connection);
  loop_.run_at(arrival_at_machine(connection, now()), [this, handle] { connect_at_machine(handle); });
}

// ---- connections ----

double SimulatedMachines::arrival_at_machine(Connection& connection, double sent_at) {
  const double delay_ms =
      network_.zone_delay(context_.plan.routers[connection.router].zone, zone_of(connection.machine));
  return connection.last_arrival_at_machine =
             std::max(connection.last_arrival_at_machine, sent_at + delay_ms);
}

double SimulatedMachines::arrival_at_router(Connection& connection, double sent_at) {
  const double delay_ms =
      network_.zone_delay(zone_of(connection.machine), context_.plan.routers[connection.router].zone);
  return connection.last_arrival_at_router = std::max(connection.last_arrival_at_router, sent_at + delay_ms);
}

void SimulatedMachines::connect_at_machine(Handle connection) {
  Connection* found = connections_.find(connection);
  if (found == nullptr || found->stream == nullptr || !of_current_incarnation(*found)) return;
  if (!passes(*found)) {
    found->message_lost = true;
    return;
  }
  const MachineId machine = found->machine;
  if (server_models_[machine]->connect(now(), connection, actions_)) {
    found->accepted = true;
  } else { // its connection table is full, or it has just ended
    found->rejected = found->established = true;
    found->established_at = arrival_at_router(*found, now());
    forward_request(*found);
  }
  process_actions(machine);
}

void SimulatedMachines::on_data(Connection& connection, std::string_view data) {
  if (connection.first_byte_at < 0 && !connection.request && connection.attempt == 0)
    connection.first_byte_at = now();
  connection.buffered.append(data);
  if (connection.buffered.size() > kMaxBufferedBytes) {
    context_.void_reasons.add("router " + context_.plan.routers[connection.router].name +
                              " pipelines requests without waiting for responses");
    connection.buffered.clear();
  }
  read_request(connection);
}

void SimulatedMachines::read_request(Connection& connection) {
  if (connection.request || connection.attempt != 0 || connection.response_pending ||
      connection.buffered.empty() || connection.stream == nullptr)
    return;
  if (connection.first_byte_at < 0) connection.first_byte_at = now();
  connection.buffered.erase(0, connection.parser.feed(connection.buffered));
  if (connection.parser.error() != http::ParseError::None) {
    connection.parser = http::Parser(http::MessageKind::Request);
    connection.buffered.clear();
    context_.void_reasons.add("router " + context_.plan.routers[connection.router].name +
                              " sent a malformed HTTP request to " +
                              context_.plan.machines[connection.machine].name);
    return send_error(connection, 400);
  }
  if (!connection.parser.done()) return;
  int status = 0;
  connection.request = parse_request(connection, connection.parser.take_message(), status);
  connection.first_byte_at = -1;
  if (!connection.request) return send_error(connection, status);
  forward_request(connection);
}

// Returns the request, or none: then the response is the error `status`.
std::optional<SimulatedMachines::Request> SimulatedMachines::parse_request(const Connection& connection,
                                                                           const http::Message& message,
                                                                           int& status) {
  Request request;
  request.sent_at = connection.first_byte_at;
  request.read_at = now();
  request.wait_ms = 0;
  const std::string_view timeout = message.header("x-timeout-ms");
  std::from_chars(timeout.data(), timeout.data() + timeout.size(), request.wait_ms);
  const std::string_view id = message.header("x-request-id");
  if (id.empty()) {
    status = 404;
    return std::nullopt;
  }
  const auto number = context_.tries.try_id_of(id);
  const auto known = number ? context_.tries.find(*number) : std::nullopt;
  if (known) {
    const std::string idempotency_key =
        known->idempotency_key != 0 ? idempotency_key_text(known->idempotency_key) : "";
    const bool matches =
        message.method == (known->write ? "PUT" : "GET") && message.target == path_of(known->key) &&
        message.header("idempotency-key") == idempotency_key && message.body.size() == known->body_bytes &&
        (message.body.empty() || hash_of(message.body) == known->body_hash);
    request.try_id = *number;
    request.metadata = *known;
    if (matches) return request;
  } else if (context_.serve_foreign_requests) {
    request.try_id = hash_of(id) | 1ull << 63; // not a try of the lab's clients
    request.metadata.write = message.method == "PUT";
    request.metadata.key = hash_of(message.target) >> 8;
    request.metadata.work_ms = context_.spec.classes.front().work.mean;
    request.metadata.size_bytes = keys_.size_bytes(request.metadata.key);
    return request;
  }
  context_.void_reasons.add("router " + context_.plan.routers[connection.router].name +
                            " sent a request that no client sent: " + message.method + " " +
                            message.target.substr(0, 64) + " id " + std::string(id.substr(0, 32)));
  status = 400;
  return std::nullopt;
}

// Schedules the arrival of the request once the router sees the connection as established.
void SimulatedMachines::forward_request(Connection& connection) {
  if (!connection.request || !connection.established || connection.request_in_transit) return;
  connection.request_in_transit = true;
  const double arrival_at =
      arrival_at_machine(connection, std::max(connection.request->read_at, connection.established_at));
  if (arrival_at <= now() + kImmediateMs) return request_arrived(connection.self);
  loop_.run_at(arrival_at, [this, handle = connection.self] { request_arrived(handle); });
}

void SimulatedMachines::request_arrived(Handle connection) {
  Connection* found = connections_.find(connection);
  if (found == nullptr || !found->request || !of_current_incarnation(*found)) return;
  if (!passes(*found)) {
    found->message_lost = true;
    return;
  }
  found->request_in_transit = false;
  const Request request = *std::exchange(found->request, std::nullopt);
  if (found->rejected) {
    ServerResponse full_response;
    full_response.outcome = ServerOutcome::Full;
    ResponseScript script = make_script(context_.body_codec, full_response, {});
    script.close = true;
    found->response_pending = true;
    return send_response(*found, now(), std::move(script));
  }
  const MachineId machine = found->machine;
  const Handle handle = active_attempts_.add();
  if (handle == 0) return context_.void_reasons.add("too many active attempts: the lab's table is full");
  ActiveAttempt& active = *active_attempts_.find(handle);
  active.number = ++arrived_count_;
  active.machine = machine;
  active.connection = connection;
  active.try_id = request.try_id;
  active.key = request.metadata.key;
  active.write = request.metadata.write;
  active.size_bytes = request.metadata.size_bytes;
  found->attempt = handle;
  model::ServerAttempt attempt;
  attempt.id = handle;
  attempt.cls = request.metadata.cls;
  attempt.key = request.metadata.key;
  attempt.idempotency_key = request.metadata.idempotency_key;
  attempt.write = request.metadata.write;
  const double started_at = states_[machine].started_at;
  attempt.notified = started_at < 0 || callbacks_.notified_start(found->router, machine) >= started_at;
  attempt.work_ms =
      request.metadata.work_ms *
      model::draw_factor(context_.spec.classes[request.metadata.cls].attempt_work_cv, work_noise_engine_);
  attempt.size_bytes = request.metadata.size_bytes;
  attempt.deadline = request.wait_ms > 0 ? request.read_at + request.wait_ms : 0;
  model::AttemptArrived record;
  record.at = now();
  record.sent_at = request.sent_at;
  record.attempt = active.number;
  record.machine = machine;
  record.try_id = request.try_id;
  record.router = found->router;
  record.cls = attempt.cls;
  record.key = attempt.key;
  record.idempotency_key = attempt.idempotency_key;
  record.write = attempt.write;
  record.notified = attempt.notified;
  record.work_ms = attempt.work_ms;
  context_.records.add(record);
  server_models_[machine]->arrive(now(), attempt, actions_);
  process_actions(machine);
}

// The router has closed the connection, or its sending side: this cancels the active request.
void SimulatedMachines::on_closed(Connection& connection) {
  const Handle handle = connection.self;
  // A request that would not have been sent yet, had the handshake taken its simulated time, is never sent.
  if (connection.request && (!connection.established || connection.established_at > now()))
    connection.request.reset();
  connection.stream.reset();
  loop_.run_at(arrival_at_machine(connection, now()), [this, handle] { closed_at_machine(handle); });
}

void SimulatedMachines::closed_at_machine(Handle connection) {
  const Connection* found = connections_.find(connection);
  if (found == nullptr) return;
  const MachineId machine = found->machine;
  if (found->accepted && of_current_incarnation(*found)) {
    server_models_[machine]->disconnect(now());
    if (found->attempt != 0) server_models_[machine]->cancel(now(), found->attempt, actions_);
  }
  connections_.remove(connection);
  process_actions(machine);
}

void SimulatedMachines::reset(Handle connection) {
  Connection* found = connections_.find(connection);
  if (found == nullptr) return;
  if (found->stream != nullptr) found->stream->reset_on_close();
  connections_.remove(connection);
}

// Closes the machine's side of its connections. Routers that messages reach are notified with a reset.
void SimulatedMachines::reset_connections(MachineId machine, bool only_message_lost) {
  connections_.for_each([&](Handle handle, Connection& connection) {
    if (connection.machine != machine || (only_message_lost && !connection.message_lost)) return;
    if (only_message_lost && connection.accepted && of_current_incarnation(connection)) {
      server_models_[machine]->disconnect(now());
      if (connection.attempt != 0) server_models_[machine]->cancel(now(), connection.attempt, actions_);
    }
    connection.accepted = false;
    connection.incarnation = std::numeric_limits<std::uint32_t>::max(); // no incarnation has this number
    if (!passes(connection)) {
      connection.message_lost = true;
      return;
    }
    connection.message_lost = false;
    loop_.run_at(arrival_at_router(connection, now()), [this, handle] { reset(handle); });
  });
  process_actions(machine);
}

// A silence or partition has started or ended: connections on which no message passes are not read, and those
// on which a message was lost are reset once messages pass again.
void SimulatedMachines::reachability_changed() {
  for (MachineId machine = 0; machine < server_models_.size(); ++machine) update_listeners(machine);
  connections_.for_each([&](Handle, Connection& connection) {
    if (connection.stream == nullptr) return;
    const bool unreachable = !passes(connection);
    if (unreachable == connection.reading_paused) return;
    connection.reading_paused = unreachable;
    if (unreachable) return connection.stream->pause();
    if (!connection.stream->nothing_unread())
      connection.message_lost = true; // data written to it meanwhile is lost and stays unread
    if (!connection.message_lost) connection.stream->resume();
  });
  for (MachineId machine = 0; machine < server_models_.size(); ++machine) reset_connections(machine, true);
}

void SimulatedMachines::close_idle_connections() {
  const double now_ms = now();
  connections_.for_each([&](Handle handle, Connection& connection) {
    if (connection.stream == nullptr || connection.request || connection.attempt != 0 ||
        connection.response_pending || !connection.established)
      return;
    if (connection.idle_since + context_.idle_timeout_ms(connection.machine) > now_ms) return;
    if (connection.accepted && of_current_incarnation(connection))
      server_models_[connection.machine]->disconnect(now_ms);
    connection.accepted = false;
    if (passes(connection)) return connections_.remove(handle);
    connection.message_lost = true;
    connection.idle_since = kForever;
  });
  loop_.run_after(kIdleCheckIntervalMs, [this] { close_idle_connections(); });
}

// ---- responses ----

void SimulatedMachines::send_error(Connection& connection, int status) {
  ResponseScript script;
  script.pieces.push_back({0, http::write_response(status, {}, "", true)});
  connection.response_pending = true;
  send_response(connection, now(), std::move(script));
}

void SimulatedMachines::send_response(Connection& connection, double due, ResponseScript script) {
  if (connection.stream == nullptr) return;
  if (!passes(connection)) {
    connection.message_lost = true;
    return;
  }
  connection.response_pending = true;
  const auto shared_script = std::make_shared<const ResponseScript>(std::move(script));
  write(connection.self, shared_script, 0, arrival_at_router(connection, due));
}

void SimulatedMachines::write(Handle connection, const std::shared_ptr<const ResponseScript>& script,
                              std::size_t piece, double due) {
  for (; piece < script->pieces.size() || script->close; ++piece) {
    const bool is_end = piece >= script->pieces.size();
    const double write_at = due + (!is_end     ? script->pieces[piece].after_ms
                                   : piece > 0 ? script->pieces.back().after_ms
                                               : 0);
    if (write_at > now() + kImmediateMs) {
      loop_.run_at(write_at,
                   [this, connection, script, piece, due] { write(connection, script, piece, due); });
      return;
    }
    Connection* found = connections_.find(connection);
    if (found == nullptr || found->stream == nullptr || !of_current_incarnation(*found)) return;
    if (!passes(*found)) {
      found->message_lost = true;
      return;
    }
    if (is_end) { // a truncated response, or one after which the connection closes
      if (found->accepted) server_models_[found->machine]->disconnect(now());
      return connections_.remove(connection);
    }
    lateness_.add(now() - write_at);
    found->stream->send(script->pieces[piece].bytes);
  }
  Connection* found = connections_.find(connection);
  if (found == nullptr || found->stream == nullptr || !script->reusable) return;
  found->response_pending = false;
  found->idle_since = now();
  read_request(*found);
}

// ---- server models ----

void SimulatedMachines::start_run() {
  sample();
  close_idle_connections();
  for (MachineId machine = 0; machine < server_models_.size(); ++machine) schedule_timer(machine);
}

void SimulatedMachines::sample() {
  for (MachineId machine = 0; machine < server_models_.size(); ++machine) {
    server_models_[machine]->advance(now(), actions_);
    process_actions(machine);
    if (server_models_[machine]->phase() != model::ServerPhase::Off)
      context_.records.add(server_models_[machine]->sample(now()));
  }
  loop_.run_after(kSampleIntervalMs, [this] { sample(); });
}

void SimulatedMachines::record_event(MachineId machine, NodeEvent::What what, bool cold,
                                     double notified_share) {
  context_.records.add(NodeEvent{now(), machine, what, cold, notified_share});
}

model::CacheNode* SimulatedMachines::node(MachineId machine) {
  return is_origin(machine) ? nullptr : static_cast<model::CacheNode*>(server_models_[machine].get());
}

void SimulatedMachines::schedule_timer(MachineId machine) {
  MachineState& state = states_[machine];
  const double next = server_models_[machine]->next_due_ms();
  if (next >= state.timer_at) return;
  loop_.timers().cancel(state.timer);
  state.timer_at = next;
  state.timer = loop_.run_at(next, [this, machine] {
    states_[machine].timer_at = kForever;
    states_[machine].timer = 0;
    server_models_[machine]->advance(now(), actions_);
    process_actions(machine);
  });
}

void SimulatedMachines::apply(const model::Step& step) {
  if (const auto* node_action = std::get_if<model::NodeStep>(&step.what)) {
    node_step(*node_action);
  } else if (const auto* origin = std::get_if<model::OriginStep>(&step.what)) {
    if (!context_.spec.origin.enabled) return;
    auto& server_model = static_cast<model::Origin&>(*server_models_[context_.plan.origin]);
    if (origin->what == model::OriginStep::What::Fall) {
      server_model.fail(now(), origin->down_ms, actions_);
    } else {
      server_model.set_capacity_share(now(), origin->factor, actions_);
    }
    process_actions(context_.plan.origin);
  } else if (std::get_if<model::PartitionStep>(&step.what) != nullptr) {
    reachability_changed();
  } else if (const auto* router = std::get_if<model::RouterStep>(&step.what)) {
    using What = model::RouterStep::What;
    if (router->what == What::Silence || router->what == What::Return) reachability_changed();
  }
}

void SimulatedMachines::node_step(const model::NodeStep& step) {
  using What = model::NodeStep::What;
  using Cause = model::Discovery::Cause;
  const MachineId machine = step.machine;
  model::ServerModel& server_model = *server_models_[machine];
  MachineState& state = states_[machine];
  const bool running = server_model.phase() != model::ServerPhase::Off;
  switch (step.what) {
    case What::Start:
      if (running) return;
      ++state.incarnation;
      state.started_at = now();
      address_owner_[context_.plan.machines[machine].address_of] = machine;
      server_model.start(now(), actions_);
      record_event(machine, NodeEvent::What::Started, true);
      update_listeners(machine);
      callbacks_.changed(machine, ServerState::Ready, state.started_at, Cause::Added);
      break;
    case What::Drain:
      if (!running) return;
      server_model.drain(now(), actions_);
      record_event(machine, NodeEvent::What::Draining);
      callbacks_.changed(machine, ServerState::Draining, state.started_at, Cause::Leaving);
      break;
    case What::End:
      if (!running) return;
      server_model.terminate(now(), actions_);
      record_event(machine, NodeEvent::What::Ended);
      process_actions(machine);
      update_listeners(machine);
      reset_connections(machine, false);
      ++state.incarnation;
      callbacks_.changed(machine, ServerState::Gone, state.started_at, Cause::Leaving);
      break;
    case What::Silence:
      record_event(machine, NodeEvent::What::Silent);
      reachability_changed();
      callbacks_.changed(machine, ServerState::Gone, state.started_at, Cause::Silent);
      break;
    case What::Return:
      record_event(machine, NodeEvent::What::Returned);
      reachability_changed();
      // An origin that has failed meanwhile stays on the list, and recovers without a change of the list.
      if (running || is_origin(machine))
        callbacks_.changed(machine, ServerState::Ready, state.started_at, Cause::Added);
      break;
    case What::Neighbour:
      if (model::CacheNode* target = node(machine)) target->set_neighbour_share(now(), step.share, actions_);
      record_event(machine,
                   step.share > 0 ? NodeEvent::What::NeighbourStarted : NodeEvent::What::NeighbourStopped);
      break;
    case What::Bad:
      state.bad_response_share = step.share;
      state.bad_response = step.kind;
      return;
  }
  process_actions(machine);
}

// Performs the actions that a server model requests. An action may append others, which are performed in the
// same pass.
void SimulatedMachines::process_actions(MachineId machine) {
  if (processing_actions_) return;
  processing_actions_ = true;
  for (std::size_t i = 0; i < actions_.size(); ++i) {
    const ServerAction action = actions_[i];
    switch (action.what) {
      case ServerAction::What::Started:
        if (const ActiveAttempt* attempt = active_attempts_.find(action.id))
          context_.records.add(model::AttemptStarted{action.at, attempt->number, machine});
        break;
      case ServerAction::What::Answered: attempt_ended(machine, action); break;
      case ServerAction::What::Connected:
        if (Connection* connection = connections_.find(action.id)) {
          const double round_trips = context_.handshake_round_trips(machine);
          const double delay_ms =
              network_.zone_delay(zone_of(machine), context_.plan.routers[connection->router].zone);
          connection->established = true;
          connection->established_at = connection->last_arrival_at_router =
              std::max(connection->last_arrival_at_router, action.at + delay_ms * (1 + 2 * round_trips));
          forward_request(*connection);
        }
        break;
      case ServerAction::What::Warm: record_event(machine, NodeEvent::What::Warm); break;
      case ServerAction::What::Overloaded:
        record_event(machine, NodeEvent::What::Overloaded, action.cold, action.notified_share);
        update_listeners(machine);
        reset_connections(machine, false);
        ++states_[machine].incarnation;
        callbacks_.changed(machine, ServerState::Gone, states_[machine].started_at,
                           model::Discovery::Cause::Leaving);
        break;
      case ServerAction::What::OriginFailed: // stays on the list, as it recovers under the same name
        record_event(machine, NodeEvent::What::Ended);
        update_listeners(machine);
        reset_connections(machine, false);
        ++states_[machine].incarnation;
        break;
      case ServerAction::What::OriginRecovered:
        record_event(machine, NodeEvent::What::Started);
        update_listeners(machine);
        break;
    }
  }
  actions_.clear();
  processing_actions_ = false;
  schedule_timer(machine);
}

void SimulatedMachines::attempt_ended(MachineId machine, const ServerAction& action) {
  const ActiveAttempt* found = active_attempts_.find(action.id);
  if (found == nullptr) return;
  const ActiveAttempt attempt = *found;
  active_attempts_.remove(action.id);
  model::AttemptEnded record;
  record.at = action.at;
  record.attempt = attempt.number;
  record.machine = machine;
  record.outcome = action.outcome;
  record.started = action.started;
  record.awaited = action.awaited;
  record.queued_ms = action.queued_ms;
  record.work_done_ms = action.work_done_ms;
  context_.records.add(record);

  switch (action.outcome) {
    case ServerOutcome::Miss:
    case ServerOutcome::Pending: pending_fills_.add_miss(now(), attempt.try_id, machine); break;
    case ServerOutcome::Fetched:
      if (action.awaited) {
        const auto caches = pending_fills_.take(now(), attempt.try_id);
        for (std::uint32_t i = 0; i < caches.count; ++i) {
          if (model::CacheNode* cache = node(caches.machines[i])) cache->store(now(), attempt.key);
        }
      }
      break;
    default: break;
  }
  const bool written =
      action.outcome == ServerOutcome::Written || (action.outcome == ServerOutcome::Error && action.started);
  if (attempt.write && written && is_origin(machine)) { // a write at the origin invalidates the cached copies
    for (const auto& planned : context_.plan.machines) {
      if (model::CacheNode* cache = node(planned.id)) cache->invalidate(attempt.key);
    }
  }

  Connection* connection = connections_.find(attempt.connection);
  if (connection == nullptr || connection->attempt != action.id) return;
  connection->attempt = 0;
  if (action.outcome == ServerOutcome::Lost || action.outcome == ServerOutcome::Cancelled ||
      !of_current_incarnation(*connection))
    return;
  ServerResponse response;
  response.outcome = action.outcome;
  response.write = attempt.write;
  response.made_for = {attempt.try_id, attempt.number, machine, attempt.key};
  response.size_bytes = attempt.size_bytes;
  server_models_[machine]->report(action.at, response.report);
  const auto& fields = context_.report_of(machine).fields;
  const MachineState& state = states_[machine];
  send_response(*connection, action.at,
                model::draw_with_probability(state.bad_response_share, bad_response_engine_)
                    ? make_bad_script(context_.body_codec, response, fields, state.bad_response)
                    : make_script(context_.body_codec, response, fields));
}

} // namespace fernward::rig
