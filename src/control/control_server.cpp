#include "control/control_server.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "config/address.h"
#include "log/log.h"
#include "loop/buffer.h"

namespace fernward::control {

using loop::Handle;

namespace {

constexpr int kBacklog = 128;
// Connections accepted per event; limited so that other events are not delayed.
constexpr int kMaxAcceptsPerEvent = 16;
constexpr double kAcceptPauseMs = 50;

// Events of the control port run before those of traffic, if the event loop has priorities.
void set_high_priority(event_base* base, event* io_event) {
  if (event_base_get_npriorities(base) > 1) event_priority_set(io_event, 0);
}

} // namespace

ControlServer::ControlServer(event_base* base, loop::TimerQueue& timers, const ControlServerOptions& options,
                             CommandHandler handler)
    : base_(base),
      timers_(timers),
      options_(options),
      handler_(std::move(handler)),
      connections_(options.max_connections) {
  const auto fail = [this](const char* reason) {
    if (listen_fd_ >= 0) ::close(listen_fd_);
    throw std::runtime_error("control: cannot listen on " + options_.address + ": " + reason);
  };
  sockaddr_in socket_address{};
  if (!config::parse_address(options_.address, socket_address)) fail("not a valid IPv4 address and port");
  listen_fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enable = 1;
  if (listen_fd_ < 0 || setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable) != 0 ||
      bind(listen_fd_, reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) != 0 ||
      listen(listen_fd_, kBacklog) != 0) {
    fail(std::strerror(errno));
  }
  // evconnlistener is not used: its event can't be given a priority.
  accept_event_.reset(
      event_new(base_, listen_fd_, EV_READ | EV_PERSIST, &ControlServer::on_acceptable, this));
  if (accept_event_ == nullptr) throw std::bad_alloc();
  set_high_priority(base_, accept_event_.get());
  event_add(accept_event_.get(), nullptr);
}

ControlServer::~ControlServer() {
  connections_.for_each([this](Handle, Connection& connection) { close(connection); });
  timers_.cancel(resume_timer_);
  accept_event_.reset();
  ::close(listen_fd_);
}

int ControlServer::port() const {
  sockaddr_in socket_address{};
  socklen_t size = sizeof socket_address;
  getsockname(listen_fd_, reinterpret_cast<sockaddr*>(&socket_address), &size);
  return ntohs(socket_address.sin_port);
}

void ControlServer::on_acceptable(int listen_fd, short, void* context) {
  auto* const server = static_cast<ControlServer*>(context);
  for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
    int fd = accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && (errno == EMFILE || errno == ENFILE) && server->connections_.size() > 0) {
      server->evict_oldest(); // no descriptor is free: releases that of the oldest connection
      fd = accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    }
    if (fd < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ECONNABORTED)
        server->pause_accepting();
      return;
    }
    server->accept(fd);
  }
}

// A connection that can't be accepted stays in the backlog. Its event would fire again at once, with priority
// over all traffic, and stall the router until a descriptor is free.
void ControlServer::pause_accepting() {
  if (!std::exchange(accept_failed_, true))
    log::line("control-accept-failed", {{"why", std::strerror(errno)}});
  event_del(accept_event_.get());
  timers_.cancel(resume_timer_);
  resume_timer_ = timers_.run_at(loop::now_ms() + kAcceptPauseMs, [this] {
    resume_timer_ = 0;
    event_add(accept_event_.get(), nullptr);
  });
}

// Prefers connections that already have their response, then the one accepted first.
void ControlServer::evict_oldest() {
  Connection* oldest = nullptr;
  connections_.for_each([&oldest](Handle, Connection& connection) {
    if (oldest == nullptr || connection.replied > oldest->replied ||
        (connection.replied == oldest->replied && connection.accept_order < oldest->accept_order))
      oldest = &connection;
  });
  if (oldest == nullptr) return;
  if (!oldest->replied) log::line("control-ended", {{"code", "made-room"}});
  close(*oldest);
}

void ControlServer::accept(int fd) {
  accept_failed_ = false;
  if (connections_.full()) evict_oldest();
  const Handle handle = connections_.add();
  Connection& connection = *connections_.find(handle);
  connection.server = this;
  connection.handle = handle;
  connection.accept_order = ++accepted_count_;
  connection.io = loop::make_bufferevent(base_, fd);
  loop::set_nodelay(fd);
  if (event_base_get_npriorities(base_) > 1) bufferevent_priority_set(connection.io.get(), 0);
  bufferevent_setcb(connection.io.get(), &ControlServer::on_readable, &ControlServer::on_written,
                    &ControlServer::on_event, &connection);
  bufferevent_setwatermark(connection.io.get(), EV_READ, 0, options_.max_line_bytes + 1);
  bufferevent_enable(connection.io.get(), EV_READ | EV_WRITE);
  set_timeout(connection, options_.read_timeout_ms);
}

void ControlServer::on_readable(bufferevent*, void* context) {
  auto* connection = static_cast<Connection*>(context);
  connection->server->read(*connection);
}

void ControlServer::read(Connection& connection) {
  const std::string_view input = loop::pending_input(connection.io.get());
  if (connection.replied) return loop::consume_input(connection.io.get(), input.size());
  const auto line_end = input.find('\n');
  if (line_end == std::string_view::npos) {
    if (input.size() > options_.max_line_bytes) reply(connection, "fail the line is too long\n");
    return;
  }
  std::string_view line = input.substr(0, line_end);
  if (line.ends_with('\r')) line.remove_suffix(1);
  const bool is_single_line = input.find_first_not_of(" \t\r\n", line_end) == std::string_view::npos;
  ParsedCommand parsed = parse_command(line);
  if (!is_single_line) parsed.error = "one line to a connection";
  const std::string response =
      parsed.error.empty() ? handler_(parsed.command) : "fail " + parsed.error + "\n";
  loop::consume_input(connection.io.get(), input.size());
  reply(connection, response);
}

void ControlServer::reply(Connection& connection, const std::string& response) {
  connection.replied = true;
  loop::write_or_enqueue(connection.io.get(), response);
  set_timeout(connection, options_.linger_timeout_ms);
  if (loop::pending_output(connection.io.get()) == 0)
    shutdown(bufferevent_getfd(connection.io.get()), SHUT_WR);
}

void ControlServer::on_written(bufferevent*, void* context) {
  auto* connection = static_cast<Connection*>(context);
  // Only the write side is closed: closing with unread input would make the kernel reset the connection, and
  // the response could be lost.
  if (connection->replied && loop::pending_output(connection->io.get()) == 0)
    shutdown(bufferevent_getfd(connection->io.get()), SHUT_WR);
}

// A line that ends without a terminator is rejected: its id may be a truncated prefix of another id.
void ControlServer::on_event(bufferevent*, short events, void* context) {
  auto* connection = static_cast<Connection*>(context);
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  if (!connection->replied && (events & BEV_EVENT_EOF) != 0 &&
      !loop::pending_input(connection->io.get()).empty()) {
    return connection->server->reply(*connection, "fail the line has no end\n");
  }
  if (connection->replied && loop::pending_output(connection->io.get()) > 0 &&
      (events & BEV_EVENT_ERROR) == 0)
    return;
  connection->server->close(*connection);
}

void ControlServer::set_timeout(Connection& connection, double timeout_ms) {
  timers_.cancel(connection.timeout_timer);
  connection.timeout_timer = timers_.run_at(loop::now_ms() + timeout_ms, [this, handle = connection.handle] {
    Connection* timed_out = connections_.find(handle);
    if (timed_out == nullptr) return;
    timed_out->timeout_timer = 0;
    if (timed_out->replied) return close(*timed_out);
    reply(*timed_out, "fail no line came in time\n");
  });
}

void ControlServer::close(Connection& connection) {
  timers_.cancel(connection.timeout_timer);
  connections_.remove(connection.handle);
}

} // namespace fernward::control
