// The listening socket: accepting connections, reserving descriptors for them, and handover to the process
// that replaces this one.
#include "downstream/listener.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <random>
#include <stdexcept>

#include "config/address.h"
#include "downstream/codec.h"
#include "log/log.h"

namespace fernward::downstream {

using loop::Handle;
using loop::now_ms;

namespace {

constexpr double kAcceptPauseMs = 50; // out of descriptors: the event loop must not spin on accept()
constexpr int kBacklog = 512;
constexpr ev_ssize_t kMostWritten = 256 * 1024; // per event

} // namespace

Listener::Listener(event_base* base, loop::TimerQueue& deadlines, descriptors::DescriptorBudget& account,
                   descriptors::RequestBufferBudget& buffers, body_buffers::BufferBudget& bytes,
                   proxy::BodyStores& bodies, figures::Figures& figures, const ListenerOptions& options,
                   Rules rules, ListenerCalls calls)
    : base_(base),
      deadlines_(deadlines),
      account_(account),
      buffers_(buffers),
      bytes_(bytes),
      bodies_(bodies),
      figures_(figures),
      clients_(options.clients),
      options_(options),
      rules_(std::move(rules)),
      calls_(std::move(calls)),
      connections_(account.total()) {
  listen();
  // Generated ids must differ between restarts of a router: servers may remember earlier ids.
  std::random_device draw;
  char prefix[32];
  std::snprintf(prefix, sizeof prefix, "r%08x%08x-", draw(), draw());
  id_prefix_ = prefix;
}

Listener::~Listener() {
  if (!unix_path_.empty()) ::unlink(unix_path_.c_str());
}

namespace {

// Whether a socket path is left over from a crash: nobody accepts connections on it.
bool left_behind(const sockaddr_un& where) {
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  const int failed = connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where);
  const int fault = errno;
  ::close(fd);
  return failed != 0 && fault == ECONNREFUSED;
}

} // namespace

void Listener::listen() {
  sockaddr_in where{};
  sockaddr_un path{};
  const auto at = config::unix_path(options_.address);
  if (at) {
    path.sun_family = AF_UNIX;
    std::memcpy(path.sun_path, at->c_str(), at->size() + 1);
    if (left_behind(path)) ::unlink(path.sun_path);
  } else if (!config::parse_address(options_.address, where)) {
    throw std::runtime_error("listen: invalid address, expected IPv4 address and port or unix:PATH: " +
                             options_.address);
  }
  unsigned reuse = at ? 0u : unsigned{LEV_OPT_REUSEABLE};
  if (!at && options_.share_port) reuse |= unsigned{LEV_OPT_REUSEABLE_PORT};
  if (options_.listening >= 0) {
    listener_.reset(
        evconnlistener_new(base_, &Listener::accepted, this, LEV_OPT_CLOSE_ON_FREE, 0, options_.listening));
  } else {
    listener_.reset(evconnlistener_new_bind(
        base_, &Listener::accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | reuse, kBacklog,
        at ? reinterpret_cast<sockaddr*>(&path) : reinterpret_cast<sockaddr*>(&where),
        at ? static_cast<int>(sizeof path) : static_cast<int>(sizeof where)));
  }
  if (listener_ == nullptr) {
    throw std::runtime_error("listen: cannot listen on " + options_.address + ": " + std::strerror(errno));
  }
  if (at) unix_path_ = *at;
  evconnlistener_set_error_cb(listener_.get(), &Listener::accept_failed);
}

void Listener::change(Rules rules) { rules_ = std::move(rules); }

int Listener::listening() const { return listener_ == nullptr ? -1 : evconnlistener_get_fd(listener_.get()); }

int Listener::port() const {
  sockaddr_in where{};
  socklen_t size = sizeof where;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&where), &size);
  return where.sin_family == AF_INET ? ntohs(where.sin_port) : 0;
}

// ---- accepting connections ----

void Listener::accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  static_cast<Listener*>(self)->accept(fd);
}

void Listener::accept_failed(evconnlistener*, void* self) {
  const int fault = EVUTIL_SOCKET_ERROR();
  auto* const listener = static_cast<Listener*>(self);
  if (fault == EMFILE || fault == ENFILE) { // fewer descriptors are available than the budget assumed
    const double now = now_ms();
    if (listener->account_.on_refused(now)) {
      log::line("descriptors-refused",
                {{"in_use", listener->account_.usable(now)}, {"of", listener->account_.total()}});
    }
    if (listener->let_go("table-full")) return; // the event loop accepts again
  }
  log::line("accept-failed", {{"why", std::strerror(fault)}});
  listener->pause(kAcceptPauseMs);
}

void Listener::pause(double ms) {
  if (stopped_ || paused_) return;
  paused_ = true;
  evconnlistener_disable(listener_.get());
  resume_ = deadlines_.at(now_ms() + ms, [this] {
    resume_ = 0;
    paused_ = false;
    if (!may_accept()) return pause(kAcceptPauseMs);
    if (!held_) evconnlistener_enable(listener_.get());
  });
}

void Listener::resume() {
  deadlines_.cancel(resume_);
  if (!paused_ || stopped_) return;
  paused_ = false;
  if (!held_) evconnlistener_enable(listener_.get());
}

// Reserves a descriptor for a new connection: an unused one, one that upstream connections hold beyond their
// share, or that of an evicted client connection.
descriptors::DescriptorBudget::Lease Listener::place_for_connection() {
  using Needs = descriptors::DescriptorBudget::Eviction;
  const double now = now_ms();
  for (;;) { // each iteration closes one connection
    const Needs needs = account_.required_eviction(now, descriptors::Side::Downstream);
    if (needs == Needs::None) return account_.acquire(now, descriptors::Side::Downstream);
    if (needs == Needs::OtherSide && calls_.recall()) continue;
    if (!let_go("table-full")) return {};
  }
}

void Listener::accept(int fd) {
  descriptors::DescriptorBudget::Lease place = place_for_connection();
  if (!place) { // only during shutdown: otherwise accepting is paused before
    const std::string text = encode_shed(options_.shed_retry_ms, false);
    [[maybe_unused]] const auto sent = ::send(fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::close(fd);
    log::routine("ingress-ended", {{"code", "table-full"}, {"requests", 0}, {"ms", 0}});
    return pause(kAcceptPauseMs);
  }
  Connection& c = join(fd, std::move(place));
  limit(c, options_.request_ms, "silent");
  if (!may_accept()) pause(kAcceptPauseMs); // further connections stay in the kernel's queue
}

Listener::Connection& Listener::join(int fd, descriptors::DescriptorBudget::Lease place) {
  const double now = now_ms();
  const Handle handle = connections_.add(buffers_, bytes_, bodies_.retained.limits().max_body_bytes);
  Connection& c = *connections_.find(handle);
  evutil_make_socket_nonblocking(fd);
  loop::set_nodelay(fd);
  loop::limit_unsent(fd, options_.unsent_bytes);
  c.listener = this;
  c.self = handle;
  c.place = std::move(place);
  c.io = loop::make_bufferevent(base_, fd);
  c.opened_at = now;
  clients_.on_accepted(now, handle);
  bufferevent_setcb(c.io.get(), &Listener::readable, &Listener::written, &Listener::changed, &c);
  bufferevent_setwatermark(c.io.get(), EV_READ, 0, kMostInput);
  bufferevent_set_max_single_write(c.io.get(), kMostWritten);
  bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
  return c;
}

bool Listener::may_accept() {
  const double now = now_ms();
  return account_.required_eviction(now, descriptors::Side::Downstream) !=
             descriptors::DescriptorBudget::Eviction::OwnSide ||
         clients_.select_for_eviction(now, [this](Handle handle) { return spareable(handle); });
}

// ---- hot restart ----

void Listener::hold(bool held) {
  held_ = held;
  if (listener_ == nullptr || paused_) return;
  held ? evconnlistener_disable(listener_.get()) : evconnlistener_enable(listener_.get());
}

void Listener::hand_over(Pass pass) {
  pass_ = std::move(pass);
  stopped_ = true;
  deadlines_.cancel(resume_);
  deadlines_.cancel(watch_);
  listener_.reset(); // the process that shares the socket continues to accept
  unix_path_.clear();
  connections_.each([this](Handle, Connection& c) { pass_on(c); });
  if (connections_.size() == 0) calls_.emptied();
}

void Listener::pass_no_more() {
  if (!pass_) return;
  pass_ = nullptr;
  draining_ = true;
}

bool Listener::adopt(int fd, unsigned requests) {
  descriptors::DescriptorBudget::Lease place = place_for_connection();
  if (!place) {
    ::close(fd);
    log::routine("ingress-ended", {{"code", "table-full"}, {"requests", requests}, {"ms", 0}});
    return false;
  }
  Connection& c = join(fd, std::move(place));
  c.requests = requests;
  if (requests == 0) {
    limit(c, options_.request_ms, "silent");
    return true;
  }
  c.answered_at = now_ms();
  clients_.on_request_complete(c.answered_at, c.self);
  clients_.on_idle(c.answered_at, c.self);
  limit_rest(c, c.answered_at + options_.idle_ms);
  return true;
}

// ---- shutdown ----

void Listener::drain() { draining_ = true; }

void Listener::stop_accepting() {
  if (listener_ == nullptr) return;
  // Accepts the connections in the kernel's queue: closing the listening socket would reset them.
  const int listening = evconnlistener_get_fd(listener_.get());
  for (;;) {
    const int fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      accept(fd);
    } else if ((errno != EMFILE && errno != ENFILE) || !let_go("table-full")) {
      break; // out of descriptors, idle connections are evicted as before
    }
  }
  deadlines_.cancel(resume_);
  deadlines_.cancel(watch_);
  listener_.reset();
  if (!unix_path_.empty()) ::unlink(unix_path_.c_str());
  unix_path_.clear();
  stopped_ = true; // from now on the last connection to close ends the shutdown
  if (connections_.size() == 0) calls_.emptied();
}

void Listener::stop() {
  stop_accepting();
  connections_.each([this](Handle, Connection& c) {
    if (c.state != Connection::State::Reading || c.parser.begun() || loop::pending_output(c.io.get()) > 0)
      return;
    if (spareable(c.self)) linger(c, "stopping");
  });
  if (connections_.size() == 0) calls_.emptied();
}

} // namespace fernward::downstream
