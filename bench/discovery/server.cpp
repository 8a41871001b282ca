#include "discovery/server.h"

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

constexpr int kBacklog = 64;
constexpr double kDefaultTimeoutMs = 3000;
constexpr std::string_view kPath = "/v1/endpoints";

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

Server::Server(event_base* base, loop::TimerQueue& deadlines, Registry& registry, Propagation& propagation,
               std::size_t routers)
    : base_(base), deadlines_(deadlines), registry_(registry), propagation_(propagation), ports_(routers) {
  for (std::size_t router = 0; router < routers; ++router) ports_[router] = make_port(router);
}

Server::Port Server::make_port(std::size_t router) {
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Port port;
  port.server = this;
  port.router = router;
  port.listener.reset(evconnlistener_new_bind(base_, &Server::accepted, &ports_[router],
                                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, kBacklog,
                                              reinterpret_cast<sockaddr*>(&where), sizeof where));
  if (port.listener == nullptr)
    throw std::runtime_error("cannot listen for router " + std::to_string(router));
  socklen_t size = sizeof where;
  getsockname(evconnlistener_get_fd(port.listener.get()), reinterpret_cast<sockaddr*>(&where), &size);
  port.address = "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
  return port;
}

void Server::accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* of_port) {
  Port& port = *static_cast<Port*>(of_port);
  Server& server = *port.server;
  evutil_make_socket_nonblocking(socket);
  evutil_make_socket_closeonexec(socket);
  loop::set_nodelay(socket);
  auto connection = std::make_unique<Connection>();
  connection->server = &server;
  connection->router = port.router;
  connection->id = ++server.last_connection_;
  connection->stream = loop::make_bufferevent(server.base_, socket);
  bufferevent_setcb(connection->stream.get(), &Server::readable, &Server::written, &Server::changed,
                    connection.get());
  bufferevent_enable(connection->stream.get(), EV_READ | EV_WRITE);
  ++port.counters.connections_made;
  ++port.counters.connections_open;
  port.counters.most_connections_open =
      std::max(port.counters.most_connections_open, port.counters.connections_open);
  server.connections_.emplace(connection->id, std::move(connection));
}

void Server::readable(bufferevent*, void* connection) {
  Connection& from = *static_cast<Connection*>(connection);
  from.server->read(from);
}

void Server::written(bufferevent*, void* connection) {
  Connection& to = *static_cast<Connection*>(connection);
  if (to.written_index == 0 || loop::pending_output(to.stream.get()) > 0) return;
  const Index index = std::exchange(to.written_index, 0);
  to.server->propagation_.router_has(to.router, index, loop::now_ms());
}

void Server::changed(bufferevent*, short what, void* connection) {
  Connection& of = *static_cast<Connection*>(connection);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  RouterCounters& counters = of.server->counters_of(of);
  ++(of.call != 0 || of.silent ? counters.calls_given_up : counters.closed_without_call);
  of.server->close(of);
}

void Server::read(Connection& connection) {
  bufferevent* stream = connection.stream.get();
  while (connection.call == 0 && !connection.silent) {
    const std::string_view input = loop::pending_input(stream);
    loop::consume_input(stream, connection.parser.feed(input));
    if (connection.parser.fault() != http::Fault::None) return close(connection);
    if (!connection.parser.done()) return;
    take_call(connection, connection.parser.take());
  }
}

void Server::take_call(Connection& connection, const http::Message& request) {
  const std::string_view target = request.target;
  if (target.substr(0, target.find('?')) != kPath) {
    const std::string refusal = http::write_response(404, {}, "", true);
    bufferevent_write(connection.stream.get(), refusal.data(), refusal.size());
    return;
  }
  ++counters_of(connection).calls;
  const CallId id = ++last_call_;
  connection.call = id;
  Call& call = calls_[id];
  call.connection = connection.id;
  call.since = query_number(target, "since");
  if (!call.since) return enqueue(id);
  propagation_.router_has(connection.router, *call.since, loop::now_ms());
  if (*call.since < registry_.index()) return enqueue(id);
  const auto timeout_ms = query_number(target, "timeout_ms");
  const double wait_ms = timeout_ms ? static_cast<double>(*timeout_ms) : kDefaultTimeoutMs;
  waiting_.emplace(id, connection.id);
  call.timeout = deadlines_.at(loop::now_ms() + wait_ms, [this, id] { enqueue(id); });
}

void Server::enqueue(CallId id) {
  Call& call = calls_.at(id);
  deadlines_.cancel(call.timeout);
  waiting_.erase(id);
  queue_.push_back({id, call.since, loop::now_ms()});
  // Not synchronously: the caller may be using the connection that would be written to.
  if (work_done_ == 0 && !outage_) work_done_ = deadlines_.at(loop::now_ms(), [this] { work(); });
}

void Server::registry_changed() {
  while (!waiting_.empty()) enqueue(waiting_.begin()->first);
}

// Sends the responses that are finished by now. The work on a call begins when the previous work was
// finished, not when the timer fires, so that timer delays don't reduce the capacity.
void Server::work() {
  work_done_ = 0;
  while (!queue_.empty() && !outage_) {
    if (!in_work_) in_work_ = answer_to(queue_.front());
    if (in_work_->finished_at_ms > loop::now_ms()) {
      work_done_ = deadlines_.at(in_work_->finished_at_ms, [this] { work(); });
      return;
    }
    const QueuedCall queued = queue_.front();
    const Answer answer = *std::exchange(in_work_, std::nullopt);
    queue_.pop_front();
    free_at_ms_ = answer.finished_at_ms;
    longest_queueing_ms_ = std::max(longest_queueing_ms_, answer.finished_at_ms - queued.queued_at_ms);
    write_answer(queued, answer);
  }
}

Server::Answer Server::answer_to(const QueuedCall& queued) {
  constexpr double kMsPerSecond = 1000;
  const std::string body = queued.since ? registry_.changes_after(*queued.since) : registry_.snapshot();
  Answer answer;
  answer.text = http::write_response(200, {{"content-type", "application/json"}}, body, true);
  answer.index = registry_.index();
  double cost_ms = 0;
  if (capacity_.answers_per_second > 0) cost_ms += kMsPerSecond / capacity_.answers_per_second;
  if (capacity_.bytes_per_second > 0) {
    cost_ms += kMsPerSecond * static_cast<double>(answer.text.size()) / capacity_.bytes_per_second;
  }
  answer.finished_at_ms = std::max(free_at_ms_, queued.queued_at_ms) + cost_ms;
  return answer;
}

void Server::write_answer(const QueuedCall& queued, const Answer& answer) {
  const auto call = calls_.find(queued.call);
  if (call == calls_.end()) return; // the router closed the connection
  Connection& connection = *connections_.at(call->second.connection);
  if (loop::peer_ended(bufferevent_getfd(connection.stream.get())))
    return; // the end-of-connection event follows
  forget_call(connection);
  RouterCounters& counters = counters_of(connection);
  ++(queued.since ? counters.long_polls_answered : counters.snapshots_answered);
  counters.bytes_written += answer.text.size();
  connection.written_index = answer.index;
  bufferevent_write(connection.stream.get(), answer.text.data(), answer.text.size());
}

void Server::forget_call(Connection& connection) {
  const auto call = calls_.find(connection.call);
  connection.call = 0;
  if (call == calls_.end()) return;
  deadlines_.cancel(call->second.timeout);
  waiting_.erase(call->first);
  calls_.erase(call);
}

void Server::close(Connection& connection) {
  forget_call(connection);
  --counters_of(connection).connections_open;
  connections_.erase(connection.id);
}

void Server::begin_outage() {
  outage_ = true;
  in_work_.reset();
  deadlines_.cancel(work_done_);
}

void Server::end_outage() {
  outage_ = false;
  free_at_ms_ = loop::now_ms();
  work();
}

void Server::reset_all_connections() {
  while (!connections_.empty()) {
    Connection& connection = *connections_.begin()->second;
    loop::reset_on_close(bufferevent_getfd(connection.stream.get()));
    close(connection);
  }
}

void Server::silence_open_long_polls() {
  for (const auto& [id, connection] : connections_) {
    const auto call = calls_.find(connection->call);
    if (call == calls_.end() || !call->second.since) continue;
    forget_call(*connection);
    connection->silent = true;
  }
}

void Server::clear_counters() {
  longest_queueing_ms_ = 0;
  for (Port& port : ports_) {
    const std::size_t open = port.counters.connections_open;
    port.counters = RouterCounters();
    port.counters.connections_open = port.counters.most_connections_open = open;
  }
}

bool Server::all_routers_wait() const {
  std::vector<bool> waits(ports_.size(), false);
  for (const auto& [call, connection] : waiting_) waits[connections_.at(connection)->router] = true;
  return std::all_of(waits.begin(), waits.end(), [](bool router_waits) { return router_waits; });
}

} // namespace fernward::bench::discovery
