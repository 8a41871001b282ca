// The end of client connections: timeouts, eviction, lingering close, and handover to a new process.
#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "downstream/codec.h"
#include "downstream/listener.h"
#include "log/log.h"

namespace fernward::downstream {

using loop::Handle;
using loop::now_ms;

namespace {

constexpr double kPendingInputDelayMs = 10; // for the event loop to process pending input
constexpr double kPressureCheckIntervalMs =
    250;                            // while under pressure, without responses that trigger the check
constexpr int kMaxClosedAtOnce = 4; // idle connections closed at a time under pressure

} // namespace

// ---- eviction ----

// No request is pending on the connection, not even unread in its socket.
bool Listener::can_evict(Handle handle) {
  Connection* connection = connections_.find(handle);
  if (connection == nullptr) return false;
  if (connection->state == Connection::State::Lingering) return true;
  return loop::pending_input(connection->socket.get()).empty() &&
         loop::peek(bufferevent_getfd(connection->socket.get())) != loop::Peek::Data;
}

bool Listener::evict_connection(const char* close_code) {
  const auto victim =
      admission_.select_for_eviction(now_ms(), [this](Handle handle) { return can_evict(handle); });
  if (!victim) return false;
  close(*connections_.find(*victim), close_code);
  return true;
}

bool Listener::is_stalled(Connection& connection) {
  return loop::pending_output(connection.socket.get()) > 0 &&
         now_ms() - connection.last_sent_at_ms >= options_.write_timeout_ms / 2;
}

void Listener::close_stalled(std::size_t excess_bytes) {
  std::vector<std::pair<std::size_t, Handle>> stalled; // by unsent bytes
  connections_.for_each([&](Handle handle, Connection& connection) {
    if (is_stalled(connection)) stalled.emplace_back(loop::pending_output(connection.socket.get()), handle);
  });
  std::sort(stalled.rbegin(), stalled.rend());
  std::size_t freed_bytes = 0;
  for (const auto& [unsent_bytes, handle] : stalled) {
    if (freed_bytes >= excess_bytes) return;
    freed_bytes += unsent_bytes;
    Connection& connection = *connections_.find(handle);
    const Handle active_request = std::exchange(connection.active_request, 0);
    close(connection, "memory-full");
    if (active_request != 0) callbacks_.client_disconnected(active_request);
  }
}

// Under descriptor pressure, closes connections that have been idle for long and are not expected to be
// reused.
void Listener::close_expired_idle() {
  const double now = now_ms();
  for (int i = 0; i < kMaxClosedAtOnce; ++i) {
    const auto expired_handle = admission_.expired_idle(now);
    if (!expired_handle || !can_evict(*expired_handle)) break;
    close(*connections_.find(*expired_handle), "rested-long");
  }
  watch_descriptor_pressure();
}

// When clients hold all the descriptors that they may, idle connections may see no response that would
// trigger close_expired_idle(): so it is triggered by a timer.
void Listener::watch_descriptor_pressure() {
  if (pressure_timer_ != 0 || stopped_ || !admission_.under_pressure()) return;
  pressure_timer_ = timers_.run_at(now_ms() + kPressureCheckIntervalMs, [this] {
    pressure_timer_ = 0;
    close_expired_idle();
  });
}

// ---- timeouts and disconnects ----

// Lingering close of a connection on which nothing more will be sent. Input is read and discarded until the
// client closes as well: closing with unread input resets the connection, and a reset caused by a request
// that crosses the close may destroy response bytes that the client has not read yet. Only a connection whose
// descriptor is needed at once is closed without lingering, see evict_connection().
void Listener::start_lingering(Connection& connection, const char* close_code) {
  connection.state = Connection::State::Lingering;
  connection.close_code = close_code;
  admission_.on_lingering(now_ms(), connection.handle);
  shutdown(bufferevent_getfd(connection.socket.get()), SHUT_WR);
  start_timeout(connection, options_.linger_timeout_ms, close_code);
}

void Listener::on_connection_event(Connection& connection, short events) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  const bool reset = (events & BEV_EVENT_ERROR) != 0;
  connection.peer_closed = true;
  switch (connection.state) {
    case Connection::State::Waiting:
    case Connection::State::Streaming: {
      const Handle active_request = std::exchange(connection.active_request, 0);
      // The body was already being streamed to a server.
      if (connection.streamed_body != nullptr) connection.streamed_body->abort();
      close(connection, connection.streamed_body != nullptr ? "request-cut" : "client-gone");
      return callbacks_.client_disconnected(active_request);
    }
    case Connection::State::Closing:
      if (reset) return close(connection, "answer-cut");
      return;
    case Connection::State::Lingering: return close(connection, connection.close_code);
    default:
      return close(connection, connection.parser.has_started() ? "request-cut"
                               : reset                         ? "reset"
                                                               : "client-closed");
  }
}

void Listener::start_timeout(Connection& connection, double timeout_ms, const char* close_code) {
  timers_.cancel(connection.timer);
  connection.timer = timers_.run_at(now_ms() + timeout_ms, [this, handle = connection.handle, close_code] {
    Connection* timed_out = connections_.find(handle);
    if (timed_out == nullptr) return;
    timed_out->timer = 0;
    if (timed_out->state == Connection::State::Closing && client_is_reading(*timed_out))
      return start_timeout(*timed_out, options_.write_timeout_ms / 4, close_code);
    if (timed_out->state == Connection::State::Reading && timed_out->parser.has_started()) {
      // The deadline of a body is extended while it arrives.
      const double body_bytes = static_cast<double>(timed_out->parser.message().body.size());
      const double body_due_at_ms = timed_out->head_received_at_ms + options_.short_body_timeout_ms +
                                    body_bytes / options_.min_body_bytes_per_ms;
      if (timed_out->head_received_at_ms > 0 && now_ms() < body_due_at_ms)
        return start_timeout(*timed_out, body_due_at_ms - now_ms(), close_code);
      return send_short_response(*timed_out, encode_error(408, "too slow"), false, "request-timeout");
    }
    if (timed_out->state != Connection::State::Reading) return close(*timed_out, close_code);
    can_evict(handle) ? start_lingering(*timed_out, close_code)
                      : start_timeout(*timed_out, kPendingInputDelayMs, close_code);
  });
}

// The idle time between requests counts from the last response, but the client has to read that response
// first.
void Listener::start_idle_timeout(Connection& connection, double check_at_ms) {
  timers_.cancel(connection.timer);
  connection.timer = timers_.run_at(check_at_ms, [this, handle = connection.handle] {
    Connection* timed_out = connections_.find(handle);
    if (timed_out == nullptr) return;
    timed_out->timer = 0;
    if (loop::pending_output(timed_out->socket.get()) > 0) {
      return client_is_reading(*timed_out)
                 ? start_idle_timeout(*timed_out, now_ms() + options_.write_timeout_ms / 4)
                 : close(*timed_out, "stalled");
    }
    const double idle_timeout_at_ms = timed_out->responded_at_ms + options_.idle_timeout_ms;
    if (now_ms() < idle_timeout_at_ms) return start_idle_timeout(*timed_out, idle_timeout_at_ms);
    // A request that has just arrived is processed before its connection is closed.
    can_evict(handle) ? start_lingering(*timed_out, "idle")
                      : start_idle_timeout(*timed_out, now_ms() + kPendingInputDelayMs);
  });
}

void Listener::close(Connection& connection, const char* close_code) {
  log::routine_line("ingress-ended", {{"code", close_code},
                                      {"requests", connection.request_count},
                                      {"ms", now_ms() - connection.opened_at_ms},
                                      {"id", connection.last_request_id}});
  timers_.cancel(connection.timer);
  timers_.cancel(connection.end_check_timer);
  // Clients that disconnect, or requested the close, free their descriptors by themselves.
  const bool closed_by_client = connection.peer_closed || !connection.keep_alive;
  admission_.on_closed(now_ms(), connection.handle,
                       closed_by_client ? descriptors::ClientAdmission::ClosedBy::Client
                                        : descriptors::ClientAdmission::ClosedBy::Router);
  connections_.remove(connection.handle);
  resume_accepting();
  if (stopped_ && connections_.size() == 0) callbacks_.all_connections_closed();
}

// ---- handover to a new process ----

// Nothing of a request has been read, and no response is in the output buffer: all of the connection's state
// is in its socket.
bool Listener::is_idle(Connection& connection) {
  return connection.state == Connection::State::Reading && !connection.parser.has_started() &&
         loop::pending_input(connection.socket.get()).empty() &&
         loop::pending_output(connection.socket.get()) == 0;
}

bool Listener::try_pass_connection(Connection& connection) {
  if (!is_idle(connection)) return false;
  const int fd = bufferevent_getfd(connection.socket.get());
  // Otherwise its events would outlive the descriptor.
  bufferevent_disable(connection.socket.get(), EV_READ | EV_WRITE);
  if (!pass_connection_(fd, connection.request_count)) {
    bufferevent_enable(connection.socket.get(), EV_READ | EV_WRITE);
    return false;
  }
  bufferevent_setfd(connection.socket.get(), -1);
  close(connection, "passed-on");
  return true;
}

} // namespace fernward::downstream
