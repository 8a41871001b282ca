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
constexpr int kListenBacklog = 512;
constexpr std::size_t kConnectionBytes = 8 * 1024;      // its state and its input
constexpr ev_ssize_t kMaxSingleWriteBytes = 256 * 1024; // per event

} // namespace

Listener::Listener(event_base* base, loop::TimerQueue& timers,
                   descriptors::DescriptorBudget& descriptor_budget,
                   memory_budget::MemoryBudget& memory_budget,
                   descriptors::RequestBufferBudget& request_buffers,
                   body_buffers::BufferBudget& buffer_budget, proxy::BodyStores& body_stores,
                   figures::RouterStats& stats, const ListenerOptions& options, RequestRules rules,
                   ListenerCallbacks callbacks)
    : base_(base),
      timers_(timers),
      descriptor_budget_(descriptor_budget),
      memory_budget_(memory_budget),
      request_buffers_(request_buffers),
      buffer_budget_(buffer_budget),
      body_stores_(body_stores),
      stats_(stats),
      admission_(options.admission),
      options_(options),
      rules_(std::move(rules)),
      callbacks_(std::move(callbacks)),
      connections_(descriptor_budget.total()) {
  listen();
  // Generated ids must differ between restarts of a router: servers may remember earlier ids.
  std::random_device random_source;
  char prefix[32];
  std::snprintf(prefix, sizeof prefix, "r%08x%08x-", random_source(), random_source());
  id_prefix_ = prefix;
}

Listener::~Listener() {
  if (!unix_path_.empty()) ::unlink(unix_path_.c_str());
}

namespace {

// Whether a socket path is left over from a crash: no process accepts connections on it.
bool is_stale_socket(const sockaddr_un& address) {
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  const int connect_result = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const int connect_error = errno;
  ::close(fd);
  return connect_result != 0 && connect_error == ECONNREFUSED;
}

} // namespace

void Listener::listen() {
  sockaddr_in ipv4_address{};
  sockaddr_un unix_address{};
  const auto unix_path = config::unix_path(options_.address);
  if (unix_path) {
    unix_address.sun_family = AF_UNIX;
    std::memcpy(unix_address.sun_path, unix_path->c_str(), unix_path->size() + 1);
    if (is_stale_socket(unix_address)) ::unlink(unix_address.sun_path);
  } else if (!config::parse_address(options_.address, ipv4_address)) {
    throw std::runtime_error("listen: invalid address, expected IPv4 address and port or unix:PATH: " +
                             options_.address);
  }
  unsigned reuse_flags = unix_path ? 0u : unsigned{LEV_OPT_REUSEABLE};
  if (!unix_path && options_.share_port) reuse_flags |= unsigned{LEV_OPT_REUSEABLE_PORT};
  if (options_.inherited_fd >= 0) {
    listener_.reset(evconnlistener_new(base_, &Listener::on_accepted, this, LEV_OPT_CLOSE_ON_FREE, 0,
                                       options_.inherited_fd));
  } else {
    listener_.reset(evconnlistener_new_bind(
        base_, &Listener::on_accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | reuse_flags,
        kListenBacklog,
        unix_path ? reinterpret_cast<sockaddr*>(&unix_address) : reinterpret_cast<sockaddr*>(&ipv4_address),
        unix_path ? static_cast<int>(sizeof unix_address) : static_cast<int>(sizeof ipv4_address)));
  }
  if (listener_ == nullptr) {
    throw std::runtime_error("listen: cannot listen on " + options_.address + ": " + std::strerror(errno));
  }
  if (unix_path) unix_path_ = *unix_path;
  evconnlistener_set_error_cb(listener_.get(), &Listener::on_accept_failed);
}

void Listener::update_rules(RequestRules rules) { rules_ = std::move(rules); }

int Listener::listening_fd() const {
  return listener_ == nullptr ? -1 : evconnlistener_get_fd(listener_.get());
}

int Listener::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &size);
  return address.sin_family == AF_INET ? ntohs(address.sin_port) : 0;
}

// ---- accepting connections ----

void Listener::on_accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  static_cast<Listener*>(self)->accept_connection(fd);
}

void Listener::on_accept_failed(evconnlistener*, void* self) {
  const int error = EVUTIL_SOCKET_ERROR();
  auto* const listener = static_cast<Listener*>(self);
  if (error == EMFILE || error == ENFILE) { // fewer descriptors are available than the budget assumed
    const double now = now_ms();
    if (listener->descriptor_budget_.on_descriptor_refused(now)) {
      log::line("descriptors-refused", {{"in_use", listener->descriptor_budget_.usable(now)},
                                        {"of", listener->descriptor_budget_.total()}});
    }
    if (listener->evict_connection("table-full")) return; // the event loop accepts again
  }
  log::line("accept-failed", {{"why", std::strerror(error)}});
  listener->pause_accepting(kAcceptPauseMs);
}

void Listener::pause_accepting(double pause_ms) {
  if (stopped_ || accepting_paused_) return;
  accepting_paused_ = true;
  evconnlistener_disable(listener_.get());
  resume_timer_ = timers_.run_at(now_ms() + pause_ms, [this] {
    resume_timer_ = 0;
    accepting_paused_ = false;
    if (!can_accept()) return pause_accepting(kAcceptPauseMs);
    if (!accepting_held_) evconnlistener_enable(listener_.get());
  });
}

void Listener::resume_accepting() {
  timers_.cancel(resume_timer_);
  if (!accepting_paused_ || stopped_) return;
  accepting_paused_ = false;
  if (!accepting_held_) evconnlistener_enable(listener_.get());
}

// Reserves a descriptor for a new connection: an unused one, one that upstream connections hold beyond their
// share, or that of an evicted client connection.
descriptors::DescriptorBudget::Lease Listener::reserve_descriptor() {
  using Eviction = descriptors::DescriptorBudget::Eviction;
  const double now = now_ms();
  for (;;) { // each iteration closes one connection
    const Eviction eviction = descriptor_budget_.required_eviction(now, descriptors::Side::Downstream);
    if (eviction == Eviction::None) return descriptor_budget_.acquire(now, descriptors::Side::Downstream);
    if (eviction == Eviction::OtherSide && callbacks_.evict_upstream_connection()) continue;
    if (!evict_connection("table-full")) return {};
  }
}

void Listener::accept_connection(int fd) {
  descriptors::DescriptorBudget::Lease descriptor = reserve_descriptor();
  if (!descriptor) { // only during shutdown: otherwise accepting is paused before
    const std::string text = encode_shed(options_.shed_retry_after_ms, false);
    [[maybe_unused]] const auto sent = ::send(fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::close(fd);
    log::routine_line("ingress-ended", {{"code", "table-full"}, {"requests", 0}, {"ms", 0}});
    return pause_accepting(kAcceptPauseMs);
  }
  Connection& connection = add_connection(fd, std::move(descriptor));
  start_timeout(connection, options_.request_timeout_ms, "silent");
  if (!can_accept()) pause_accepting(kAcceptPauseMs); // further connections stay in the kernel's queue
}

Listener::Connection& Listener::add_connection(int fd, descriptors::DescriptorBudget::Lease descriptor) {
  const double now = now_ms();
  const Handle handle =
      connections_.add(request_buffers_, buffer_budget_, body_stores_.retained.limits().max_body_bytes);
  Connection& connection = *connections_.find(handle);
  evutil_make_socket_nonblocking(fd);
  loop::set_nodelay(fd);
  loop::limit_unsent_bytes(fd, options_.max_unsent_bytes);
  connection.listener = this;
  connection.handle = handle;
  connection.descriptor = std::move(descriptor);
  connection.socket = loop::make_bufferevent(base_, fd);
  connection.opened_at_ms = now;
  admission_.on_accepted(now, handle);
  bufferevent_setcb(connection.socket.get(), &Listener::on_readable, &Listener::on_writable,
                    &Listener::on_event, &connection);
  bufferevent_setwatermark(connection.socket.get(), EV_READ, 0, kMaxReadAheadBytes);
  bufferevent_set_max_single_write(connection.socket.get(), kMaxSingleWriteBytes);
  bufferevent_enable(connection.socket.get(), EV_READ | EV_WRITE);
  return connection;
}

bool Listener::can_accept() {
  if (!memory_budget_.admits(memory_budget::Purpose::Connection, kConnectionBytes)) return false;
  const double now = now_ms();
  return descriptor_budget_.required_eviction(now, descriptors::Side::Downstream) !=
             descriptors::DescriptorBudget::Eviction::OwnSide ||
         admission_.select_for_eviction(now, [this](Handle handle) { return can_evict(handle); });
}

// ---- hot restart ----

void Listener::hold_accepting(bool hold) {
  accepting_held_ = hold;
  if (listener_ == nullptr || accepting_paused_) return;
  hold ? evconnlistener_disable(listener_.get()) : evconnlistener_enable(listener_.get());
}

void Listener::hand_over(PassConnection pass_connection) {
  pass_connection_ = std::move(pass_connection);
  stopped_ = true;
  timers_.cancel(resume_timer_);
  timers_.cancel(pressure_timer_);
  listener_.reset(); // the process that shares the socket continues to accept
  unix_path_.clear();
  connections_.for_each([this](Handle, Connection& connection) { try_pass_connection(connection); });
  if (connections_.size() == 0) callbacks_.all_connections_closed();
}

void Listener::cancel_handover() {
  if (!pass_connection_) return;
  pass_connection_ = nullptr;
  draining_ = true;
}

bool Listener::adopt(int fd, unsigned request_count) {
  descriptors::DescriptorBudget::Lease descriptor = reserve_descriptor();
  if (!descriptor) {
    ::close(fd);
    log::routine_line("ingress-ended", {{"code", "table-full"}, {"requests", request_count}, {"ms", 0}});
    return false;
  }
  Connection& connection = add_connection(fd, std::move(descriptor));
  connection.request_count = request_count;
  if (request_count == 0) {
    start_timeout(connection, options_.request_timeout_ms, "silent");
    return true;
  }
  connection.responded_at_ms = now_ms();
  admission_.on_request_complete(connection.responded_at_ms, connection.handle);
  admission_.on_idle(connection.responded_at_ms, connection.handle);
  start_idle_timeout(connection, connection.responded_at_ms + options_.idle_timeout_ms);
  return true;
}

// ---- shutdown ----

void Listener::drain() { draining_ = true; }

void Listener::stop_accepting() {
  if (listener_ == nullptr) return;
  // Accepts the connections in the kernel's queue: closing the listening socket would reset them.
  const int socket_fd = evconnlistener_get_fd(listener_.get());
  for (;;) {
    const int fd = accept4(socket_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      accept_connection(fd);
    } else if ((errno != EMFILE && errno != ENFILE) || !evict_connection("table-full")) {
      // The queue is empty, or no descriptor is left and no idle connection can be evicted to free one.
      break;
    }
  }
  timers_.cancel(resume_timer_);
  timers_.cancel(pressure_timer_);
  listener_.reset();
  if (!unix_path_.empty()) ::unlink(unix_path_.c_str());
  unix_path_.clear();
  stopped_ = true; // from now on the last connection to close ends the shutdown
  if (connections_.size() == 0) callbacks_.all_connections_closed();
}

bool Listener::is_transmitting() {
  bool transmitting = false;
  connections_.for_each([&](Handle, Connection& connection) {
    transmitting |=
        connection.state == Connection::State::Streaming || loop::pending_output(connection.socket.get()) > 0;
  });
  return transmitting;
}

void Listener::stop() {
  stop_accepting();
  connections_.for_each([this](Handle, Connection& connection) {
    if (connection.state != Connection::State::Reading || connection.parser.has_started() ||
        loop::pending_output(connection.socket.get()) > 0)
      return;
    if (can_evict(connection.handle)) start_lingering(connection, "stopping");
  });
  if (connections_.size() == 0) callbacks_.all_connections_closed();
}

} // namespace fernward::downstream
