#include "discovery/discovery_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace fernward::bench::discovery {
namespace {

constexpr int kListenBacklog = 64;
constexpr double kDefaultLongPollMs = 3000;
constexpr std::string_view kEndpointsPath = "/v1/endpoints";

/// The number after "?name=" or "&name=" in the request target.
std::optional<std::uint64_t> query_number(std::string_view target, std::string_view name) {
  const std::string key = std::string(name) + "=";
  for (std::size_t at = target.find_first_of("?&"); at != std::string_view::npos;
       at = target.find('&', at + 1)) {
    const std::string_view parameter = target.substr(at + 1);
    if (parameter.substr(0, key.size()) != key) continue;
    const std::string_view text = parameter.substr(key.size());
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec == std::errc()) return number;
  }
  return std::nullopt;
}

} // namespace

DiscoveryServer::DiscoveryServer(event_base* base, loop::TimerQueue& timers, EndpointRegistry& registry,
                                 PropagationRecorder& propagation, std::size_t routers)
    : base_(base), timers_(timers), registry_(registry), propagation_(propagation), ports_(routers) {
  for (std::size_t router = 0; router < routers; ++router) ports_[router] = make_port(router);
}

DiscoveryServer::RouterPort DiscoveryServer::make_port(std::size_t router) {
  sockaddr_in listen_address{};
  listen_address.sin_family = AF_INET;
  listen_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  RouterPort port;
  port.server = this;
  port.router = router;
  port.listener.reset(evconnlistener_new_bind(
      base_, &DiscoveryServer::on_accepted, &ports_[router], LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog, reinterpret_cast<sockaddr*>(&listen_address), sizeof listen_address));
  if (port.listener == nullptr)
    throw std::runtime_error("cannot listen for router " + std::to_string(router));
  socklen_t size = sizeof listen_address;
  getsockname(evconnlistener_get_fd(port.listener.get()), reinterpret_cast<sockaddr*>(&listen_address),
              &size);
  port.address = "127.0.0.1:" + std::to_string(ntohs(listen_address.sin_port));
  return port;
}

void DiscoveryServer::on_accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
  RouterPort& port = *static_cast<RouterPort*>(context);
  DiscoveryServer& server = *port.server;
  evutil_make_socket_nonblocking(socket);
  evutil_make_socket_closeonexec(socket);
  loop::set_nodelay(socket);
  auto connection = std::make_unique<RouterConnection>();
  connection->server = &server;
  connection->router = port.router;
  connection->id = ++server.last_connection_id_;
  connection->stream = loop::make_bufferevent(server.base_, socket);
  bufferevent_setcb(connection->stream.get(), &DiscoveryServer::on_readable, &DiscoveryServer::on_written,
                    &DiscoveryServer::on_connection_event, connection.get());
  bufferevent_enable(connection->stream.get(), EV_READ | EV_WRITE);
  ++port.counters.connections_accepted;
  ++port.counters.connections_open;
  port.counters.max_connections_open =
      std::max(port.counters.max_connections_open, port.counters.connections_open);
  server.connections_.emplace(connection->id, std::move(connection));
}

void DiscoveryServer::on_readable(bufferevent*, void* context) {
  RouterConnection& connection = *static_cast<RouterConnection*>(context);
  connection.server->read_calls(connection);
}

void DiscoveryServer::on_written(bufferevent*, void* context) {
  RouterConnection& connection = *static_cast<RouterConnection*>(context);
  if (connection.written_index == 0 || loop::pending_output(connection.stream.get()) > 0) return;
  const RegistryIndex index = std::exchange(connection.written_index, 0);
  connection.server->propagation_.record_receipt(connection.router, index, loop::now_ms());
}

void DiscoveryServer::on_connection_event(bufferevent*, short what, void* context) {
  RouterConnection& connection = *static_cast<RouterConnection*>(context);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  RouterCounters& counters = connection.server->counters_of(connection);
  ++(connection.call != 0 || connection.silent ? counters.calls_abandoned : counters.closed_without_call);
  connection.server->close_connection(connection);
}

void DiscoveryServer::read_calls(RouterConnection& connection) {
  bufferevent* stream = connection.stream.get();
  while (connection.call == 0 && !connection.silent) {
    const std::string_view input = loop::pending_input(stream);
    loop::consume_input(stream, connection.parser.feed(input));
    if (connection.parser.error() != http::ParseError::None) return close_connection(connection);
    if (!connection.parser.done()) return;
    handle_call(connection, connection.parser.take_message());
  }
}

void DiscoveryServer::handle_call(RouterConnection& connection, const http::Message& request) {
  const std::string_view target = request.target;
  if (target.substr(0, target.find('?')) != kEndpointsPath) {
    const std::string not_found_response = http::write_response(404, {}, "", true);
    bufferevent_write(connection.stream.get(), not_found_response.data(), not_found_response.size());
    return;
  }
  ++counters_of(connection).calls_received;
  const CallId id = ++last_call_id_;
  connection.call = id;
  OpenCall& call = calls_[id];
  call.connection = connection.id;
  call.since = query_number(target, "since");
  if (!call.since) return enqueue(id);
  propagation_.record_receipt(connection.router, *call.since, loop::now_ms());
  if (*call.since < registry_.index()) return enqueue(id);
  const auto timeout_ms = query_number(target, "timeout_ms");
  const double wait_ms = timeout_ms ? static_cast<double>(*timeout_ms) : kDefaultLongPollMs;
  waiting_long_polls_.emplace(id, connection.id);
  call.timeout = timers_.run_at(loop::now_ms() + wait_ms, [this, id] { enqueue(id); });
}

void DiscoveryServer::enqueue(CallId id) {
  OpenCall& call = calls_.at(id);
  timers_.cancel(call.timeout);
  waiting_long_polls_.erase(id);
  queued_calls_.push_back({id, call.since, loop::now_ms()});
  // Not synchronously: the caller may be using the connection that would be written to.
  if (response_timer_ == 0 && !in_outage_)
    response_timer_ = timers_.run_at(loop::now_ms(), [this] { send_finished_responses(); });
}

void DiscoveryServer::queue_waiting_long_polls() {
  while (!waiting_long_polls_.empty()) enqueue(waiting_long_polls_.begin()->first);
}

// Sends the responses that are finished by now. The work on a call begins when the previous work was
// finished, not when the timer fires, so that timer delays don't reduce the capacity.
void DiscoveryServer::send_finished_responses() {
  response_timer_ = 0;
  while (!queued_calls_.empty() && !in_outage_) {
    if (!response_in_progress_) response_in_progress_ = make_response(queued_calls_.front());
    if (response_in_progress_->finished_at_ms > loop::now_ms()) {
      response_timer_ =
          timers_.run_at(response_in_progress_->finished_at_ms, [this] { send_finished_responses(); });
      return;
    }
    const QueuedCall queued = queued_calls_.front();
    const CallResponse response = *std::exchange(response_in_progress_, std::nullopt);
    queued_calls_.pop_front();
    capacity_free_at_ms_ = response.finished_at_ms;
    max_queueing_ms_ = std::max(max_queueing_ms_, response.finished_at_ms - queued.queued_at_ms);
    write_response(queued, response);
  }
}

DiscoveryServer::CallResponse DiscoveryServer::make_response(const QueuedCall& queued) {
  constexpr double kMsPerSecond = 1000;
  const std::string body = queued.since ? registry_.changes_after(*queued.since) : registry_.snapshot();
  CallResponse response;
  response.http_text = http::write_response(200, {{"content-type", "application/json"}}, body, true);
  response.index = registry_.index();
  double work_ms = 0;
  if (capacity_.responses_per_second > 0) work_ms += kMsPerSecond / capacity_.responses_per_second;
  if (capacity_.bytes_per_second > 0) {
    work_ms += kMsPerSecond * static_cast<double>(response.http_text.size()) / capacity_.bytes_per_second;
  }
  response.finished_at_ms = std::max(capacity_free_at_ms_, queued.queued_at_ms) + work_ms;
  return response;
}

void DiscoveryServer::write_response(const QueuedCall& queued, const CallResponse& response) {
  const auto call = calls_.find(queued.call);
  if (call == calls_.end()) return; // the router closed the connection
  RouterConnection& connection = *connections_.at(call->second.connection);
  if (loop::peer_has_closed(bufferevent_getfd(connection.stream.get())))
    return; // the end-of-connection event follows
  remove_call(connection);
  RouterCounters& counters = counters_of(connection);
  ++(queued.since ? counters.long_poll_responses : counters.snapshots_sent);
  counters.bytes_written += response.http_text.size();
  connection.written_index = response.index;
  bufferevent_write(connection.stream.get(), response.http_text.data(), response.http_text.size());
}

void DiscoveryServer::remove_call(RouterConnection& connection) {
  const auto call = calls_.find(connection.call);
  connection.call = 0;
  if (call == calls_.end()) return;
  timers_.cancel(call->second.timeout);
  waiting_long_polls_.erase(call->first);
  calls_.erase(call);
}

void DiscoveryServer::close_connection(RouterConnection& connection) {
  remove_call(connection);
  --counters_of(connection).connections_open;
  connections_.erase(connection.id);
}

void DiscoveryServer::begin_outage() {
  in_outage_ = true;
  response_in_progress_.reset();
  timers_.cancel(response_timer_);
}

void DiscoveryServer::end_outage() {
  in_outage_ = false;
  capacity_free_at_ms_ = loop::now_ms();
  send_finished_responses();
}

void DiscoveryServer::reset_all_connections() {
  while (!connections_.empty()) {
    RouterConnection& connection = *connections_.begin()->second;
    loop::reset_on_close(bufferevent_getfd(connection.stream.get()));
    close_connection(connection);
  }
}

void DiscoveryServer::silence_open_long_polls() {
  for (const auto& [id, connection] : connections_) {
    const auto call = calls_.find(connection->call);
    if (call == calls_.end() || !call->second.since) continue;
    remove_call(*connection);
    connection->silent = true;
  }
}

void DiscoveryServer::clear_counters() {
  max_queueing_ms_ = 0;
  for (RouterPort& port : ports_) {
    const std::size_t open = port.counters.connections_open;
    port.counters = RouterCounters();
    port.counters.connections_open = port.counters.max_connections_open = open;
  }
}

bool DiscoveryServer::all_routers_have_long_poll() const {
  std::vector<bool> router_has_long_poll(ports_.size(), false);
  for (const auto& [call, connection] : waiting_long_polls_)
    router_has_long_poll[connections_.at(connection)->router] = true;
  return std::all_of(router_has_long_poll.begin(), router_has_long_poll.end(),
                     [](bool router_waits) { return router_waits; });
}

} // namespace fernward::bench::discovery
