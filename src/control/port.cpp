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
constexpr int kAtOnce = 16; // accepted before others have their turn
constexpr double kAcceptPauseMs = 50;

// Before traffic, where the loop has been given priorities.
void go_first(event_base* base, event* e) {
  if (event_base_get_npriorities(base) > 1) event_priority_set(e, 0);
}

} // namespace

Port::Port(event_base* base, loop::TimerQueue& deadlines, const PortOptions& options, Answer answer)
    : base_(base),
      deadlines_(deadlines),
      options_(options),
      answer_(std::move(answer)),
      callers_(options.callers) {
  const auto fail = [this](const char* why) {
    if (fd_ >= 0) ::close(fd_);
    throw std::runtime_error("control: cannot listen on " + options_.address + ": " + why);
  };
  sockaddr_in where{};
  if (!config::parse_address(options_.address, where)) fail("no address");
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (fd_ < 0 || setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      bind(fd_, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 || listen(fd_, kBacklog) != 0) {
    fail(std::strerror(errno));
  }
  // Not libevent's listener: its event can't be given a priority.
  listening_.reset(event_new(base_, fd_, EV_READ | EV_PERSIST, &Port::accepted, this));
  if (listening_ == nullptr) throw std::bad_alloc();
  go_first(base_, listening_.get());
  event_add(listening_.get(), nullptr);
}

Port::~Port() {
  callers_.each([this](Handle, Caller& c) { close(c); });
  deadlines_.cancel(resume_);
  listening_.reset();
  ::close(fd_);
}

int Port::port() const {
  sockaddr_in where{};
  socklen_t size = sizeof where;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&where), &size);
  return ntohs(where.sin_port);
}

void Port::accepted(int listening, short, void* self) {
  auto* const port = static_cast<Port*>(self);
  for (int i = 0; i < kAtOnce; ++i) {
    int fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && (errno == EMFILE || errno == ENFILE) && port->callers_.size() > 0) {
      port->make_room(); // none of the descriptors that were set aside is left: the oldest caller's is used
      fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    }
    if (fd < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ECONNABORTED) port->pause();
      return;
    }
    port->accept(fd);
  }
}

// What can't be accepted stays at the door and would be found again at once: before all traffic, as long as it lasts.
void Port::pause() {
  if (!std::exchange(short_, true)) log::line("control-accept-failed", {{"why", std::strerror(errno)}});
  event_del(listening_.get());
  deadlines_.cancel(resume_);
  resume_ = deadlines_.at(loop::now_ms() + kAcceptPauseMs, [this] {
    resume_ = 0;
    event_add(listening_.get(), nullptr);
  });
}

// Those that only linger have their answer; after them the one that came first.
void Port::make_room() {
  Caller* goes = nullptr;
  callers_.each([&goes](Handle, Caller& c) {
    if (goes == nullptr || c.answered > goes->answered ||
        (c.answered == goes->answered && c.order < goes->order))
      goes = &c;
  });
  if (goes == nullptr) return;
  if (!goes->answered) log::line("control-ended", {{"code", "made-room"}});
  close(*goes);
}

void Port::accept(int fd) {
  short_ = false;
  if (callers_.full()) make_room();
  const Handle handle = callers_.add();
  Caller& c = *callers_.find(handle);
  c.port = this;
  c.self = handle;
  c.order = ++came_;
  c.io = loop::make_bufferevent(base_, fd);
  loop::set_nodelay(fd);
  if (event_base_get_npriorities(base_) > 1) bufferevent_priority_set(c.io.get(), 0);
  bufferevent_setcb(c.io.get(), &Port::readable, &Port::written, &Port::changed, &c);
  bufferevent_setwatermark(c.io.get(), EV_READ, 0, options_.longest + 1);
  bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
  limit(c, options_.patience_ms);
}

void Port::readable(bufferevent*, void* c) {
  auto* caller = static_cast<Caller*>(c);
  caller->port->read(*caller);
}

void Port::read(Caller& c) {
  const std::string_view input = loop::pending_input(c.io.get());
  if (c.answered) return loop::consume_input(c.io.get(), input.size());
  const auto end = input.find('\n');
  if (end == std::string_view::npos) {
    if (input.size() > options_.longest) reply(c, "fail the line is too long\n");
    return;
  }
  std::string_view line = input.substr(0, end);
  if (line.ends_with('\r')) line.remove_suffix(1);
  const bool alone = input.find_first_not_of(" \t\r\n", end) == std::string_view::npos;
  Parsed parsed = parse(line);
  if (!alone) parsed.fault = "one line to a connection";
  const std::string text = parsed.fault.empty() ? answer_(parsed.call) : "fail " + parsed.fault + "\n";
  loop::consume_input(c.io.get(), input.size());
  reply(c, text);
}

void Port::reply(Caller& c, const std::string& text) {
  c.answered = true;
  loop::write_or_wait(c.io.get(), text);
  limit(c, options_.linger_ms);
  if (loop::pending_output(c.io.get()) == 0) shutdown(bufferevent_getfd(c.io.get()), SHUT_WR);
}

void Port::written(bufferevent*, void* c) {
  auto* caller = static_cast<Caller*>(c);
  // Not closed at once: bytes that are still unread here would make the kernel reset the connection.
  if (caller->answered && loop::pending_output(caller->io.get()) == 0)
    shutdown(bufferevent_getfd(caller->io.get()), SHUT_WR);
}

// An end before the line's own: half a call is none, as the id might be the beginning of another one.
void Port::changed(bufferevent*, short what, void* c) {
  auto* caller = static_cast<Caller*>(c);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  if (!caller->answered && (what & BEV_EVENT_EOF) != 0 && !loop::pending_input(caller->io.get()).empty()) {
    return caller->port->reply(*caller, "fail the line has no end\n");
  }
  if (caller->answered && loop::pending_output(caller->io.get()) > 0 && (what & BEV_EVENT_ERROR) == 0) return;
  caller->port->close(*caller);
}

void Port::limit(Caller& c, double ms) {
  deadlines_.cancel(c.ticket);
  c.ticket = deadlines_.at(loop::now_ms() + ms, [this, handle = c.self] {
    Caller* late = callers_.find(handle);
    if (late == nullptr) return;
    late->ticket = 0;
    if (late->answered) return close(*late);
    reply(*late, "fail no line came in time\n");
  });
}

void Port::close(Caller& c) {
  deadlines_.cancel(c.ticket);
  callers_.remove(c.self);
}

} // namespace fernward::control
