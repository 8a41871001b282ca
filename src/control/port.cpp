#include "control/port.h"

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
constexpr int kMaxAcceptsAtOnce = 16; // connections accepted per event, so that other events are not delayed
constexpr double kAcceptPauseMs = 50;

// Events of the control port run before those of traffic, if the event loop has priorities.
void raise_priority(event_base* base, event* e) {
  if (event_base_get_npriorities(base) > 1) event_priority_set(e, 0);
}

} // namespace

Port::Port(event_base* base, loop::TimerQueue& timers, const PortOptions& options, Answer answer)
    : base_(base), timers_(timers), options_(options), answer_(std::move(answer)), callers_(options.callers) {
  const auto fail = [this](const char* why) {
    if (fd_ >= 0) ::close(fd_);
    throw std::runtime_error("control: cannot listen on " + options_.address + ": " + why);
  };
  sockaddr_in where{};
  if (!config::parse_address(options_.address, where)) fail("not a valid IPv4 address and port");
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (fd_ < 0 || setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      bind(fd_, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 || listen(fd_, kBacklog) != 0) {
    fail(std::strerror(errno));
  }
  // evconnlistener is not used: its event can't be given a priority.
  accept_event_.reset(event_new(base_, fd_, EV_READ | EV_PERSIST, &Port::on_acceptable, this));
  if (accept_event_ == nullptr) throw std::bad_alloc();
  raise_priority(base_, accept_event_.get());
  event_add(accept_event_.get(), nullptr);
}

Port::~Port() {
  callers_.each([this](Handle, Caller& caller) { close(caller); });
  timers_.cancel(resume_timer_);
  accept_event_.reset();
  ::close(fd_);
}

int Port::port() const {
  sockaddr_in where{};
  socklen_t size = sizeof where;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&where), &size);
  return ntohs(where.sin_port);
}

void Port::on_acceptable(int listening, short, void* self) {
  auto* const port = static_cast<Port*>(self);
  for (int i = 0; i < kMaxAcceptsAtOnce; ++i) {
    int fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && (errno == EMFILE || errno == ENFILE) && port->callers_.size() > 0) {
      port->evict_oldest(); // no reserved descriptor is left: frees that of the oldest connection
      fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    }
    if (fd < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ECONNABORTED) port->pause();
      return;
    }
    port->accept(fd);
  }
}

// A connection that can't be accepted stays in the backlog. Its event would fire again at once, with priority
// over all traffic, and stall the router until a descriptor is free.
void Port::pause() {
  if (!std::exchange(accept_failed_, true))
    log::line("control-accept-failed", {{"why", std::strerror(errno)}});
  event_del(accept_event_.get());
  timers_.cancel(resume_timer_);
  resume_timer_ = timers_.at(loop::now_ms() + kAcceptPauseMs, [this] {
    resume_timer_ = 0;
    event_add(accept_event_.get(), nullptr);
  });
}

// Prefers connections that already have their response, then the one accepted first.
void Port::evict_oldest() {
  Caller* oldest = nullptr;
  callers_.each([&oldest](Handle, Caller& caller) {
    if (oldest == nullptr || caller.answered > oldest->answered ||
        (caller.answered == oldest->answered && caller.order < oldest->order))
      oldest = &caller;
  });
  if (oldest == nullptr) return;
  if (!oldest->answered) log::line("control-ended", {{"code", "made-room"}});
  close(*oldest);
}

void Port::accept(int fd) {
  accept_failed_ = false;
  if (callers_.full()) evict_oldest();
  const Handle handle = callers_.add();
  Caller& caller = *callers_.find(handle);
  caller.port = this;
  caller.self = handle;
  caller.order = ++accepted_;
  caller.io = loop::make_bufferevent(base_, fd);
  loop::set_nodelay(fd);
  if (event_base_get_npriorities(base_) > 1) bufferevent_priority_set(caller.io.get(), 0);
  bufferevent_setcb(caller.io.get(), &Port::on_readable, &Port::on_written, &Port::on_event, &caller);
  bufferevent_setwatermark(caller.io.get(), EV_READ, 0, options_.longest + 1);
  bufferevent_enable(caller.io.get(), EV_READ | EV_WRITE);
  set_timeout(caller, options_.patience_ms);
}

void Port::on_readable(bufferevent*, void* context) {
  auto* caller = static_cast<Caller*>(context);
  caller->port->read(*caller);
}

void Port::read(Caller& caller) {
  const std::string_view input = loop::pending_input(caller.io.get());
  if (caller.answered) return loop::consume_input(caller.io.get(), input.size());
  const auto end = input.find('\n');
  if (end == std::string_view::npos) {
    if (input.size() > options_.longest) reply(caller, "fail the line is too long\n");
    return;
  }
  std::string_view line = input.substr(0, end);
  if (line.ends_with('\r')) line.remove_suffix(1);
  const bool alone = input.find_first_not_of(" \t\r\n", end) == std::string_view::npos;
  Parsed parsed = parse(line);
  if (!alone) parsed.fault = "one line to a connection";
  const std::string text = parsed.fault.empty() ? answer_(parsed.call) : "fail " + parsed.fault + "\n";
  loop::consume_input(caller.io.get(), input.size());
  reply(caller, text);
}

void Port::reply(Caller& caller, const std::string& text) {
  caller.answered = true;
  loop::write_or_wait(caller.io.get(), text);
  set_timeout(caller, options_.linger_ms);
  if (loop::pending_output(caller.io.get()) == 0) shutdown(bufferevent_getfd(caller.io.get()), SHUT_WR);
}

void Port::on_written(bufferevent*, void* context) {
  auto* caller = static_cast<Caller*>(context);
  // Only the write side is closed: closing with unread input would make the kernel reset the connection, and
  // the response could be lost.
  if (caller->answered && loop::pending_output(caller->io.get()) == 0)
    shutdown(bufferevent_getfd(caller->io.get()), SHUT_WR);
}

// A line that ends without a terminator is rejected: its id may be a truncated prefix of another id.
void Port::on_event(bufferevent*, short what, void* context) {
  auto* caller = static_cast<Caller*>(context);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  if (!caller->answered && (what & BEV_EVENT_EOF) != 0 && !loop::pending_input(caller->io.get()).empty()) {
    return caller->port->reply(*caller, "fail the line has no end\n");
  }
  if (caller->answered && loop::pending_output(caller->io.get()) > 0 && (what & BEV_EVENT_ERROR) == 0) return;
  caller->port->close(*caller);
}

void Port::set_timeout(Caller& caller, double ms) {
  timers_.cancel(caller.timer);
  caller.timer = timers_.at(loop::now_ms() + ms, [this, handle = caller.self] {
    Caller* late = callers_.find(handle);
    if (late == nullptr) return;
    late->timer = 0;
    if (late->answered) return close(*late);
    reply(*late, "fail no line came in time\n");
  });
}

void Port::close(Caller& caller) {
  timers_.cancel(caller.timer);
  callers_.remove(caller.self);
}

} // namespace fernward::control
