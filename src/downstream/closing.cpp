// The end of client connections: timeouts, eviction, lingering close, and handover to a new process.
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "downstream/codec.h"
#include "downstream/listener.h"
#include "log/log.h"

namespace fernward::downstream {

using loop::Handle;
using loop::now_ms;

namespace {

constexpr double kPendingInputMs = 10; // for the event loop to process pending input
constexpr double kWatchPlacesMs = 250; // while under pressure, without responses that trigger the check
constexpr int kMostClosedAtOnce = 4;   // idle connections closed at a time under pressure

} // namespace

// ---- eviction ----

// No request is pending on the connection, not even unread in its socket.
bool Listener::spareable(Handle handle) {
  Connection* c = connections_.find(handle);
  if (c == nullptr) return false;
  if (c->state == Connection::State::Lingering) return true;
  return loop::pending_input(c->io.get()).empty() &&
         loop::peek(bufferevent_getfd(c->io.get())) != loop::Peek::Data;
}

bool Listener::let_go(const char* code) {
  const auto spare =
      clients_.select_for_eviction(now_ms(), [this](Handle handle) { return spareable(handle); });
  if (!spare) return false;
  close(*connections_.find(*spare), code);
  return true;
}

// Under descriptor pressure, closes connections that have been idle for long and are not expected to be
// reused.
void Listener::close_rested() {
  const double now = now_ms();
  for (int i = 0; i < kMostClosedAtOnce; ++i) {
    const auto id = clients_.expired_idle(now);
    if (!id || !spareable(*id)) break;
    close(*connections_.find(*id), "rested-long");
  }
  watch_places();
}

// When clients hold all the descriptors that they may, idle connections may see no response that would
// trigger close_expired_idle(): so it is triggered by a timer.
void Listener::watch_places() {
  if (watch_ != 0 || stopped_ || !clients_.under_pressure()) return;
  watch_ = deadlines_.at(now_ms() + kWatchPlacesMs, [this] {
    watch_ = 0;
    close_rested();
  });
}

// ---- timeouts and disconnects ----

// Lingering close of a connection on which nothing more will be sent. Input is read and discarded until the
// client closes as well: closing with unread input resets the connection, and a reset caused by a request
// that crosses the close may destroy response bytes that the client has not read yet. Only a connection whose
// descriptor is needed at once is closed without lingering, see evict_connection().
void Listener::linger(Connection& c, const char* code) {
  c.state = Connection::State::Lingering;
  c.code = code;
  clients_.on_lingering(now_ms(), c.self);
  shutdown(bufferevent_getfd(c.io.get()), SHUT_WR);
  limit(c, options_.linger_ms, code);
}

void Listener::connection_event(Connection& c, short what) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  const bool reset = (what & BEV_EVENT_ERROR) != 0;
  c.peer_closed = true;
  switch (c.state) {
    case Connection::State::Waiting:
    case Connection::State::Passing: {
      const Handle exchange = std::exchange(c.exchange, 0);
      if (c.inflow != nullptr) c.inflow->abort(); // its body is already being streamed
      close(c, c.inflow != nullptr ? "request-cut" : "client-gone");
      return calls_.gone(exchange);
    }
    case Connection::State::Closing:
      if (reset) return close(c, "answer-cut");
      return;
    case Connection::State::Lingering: return close(c, c.code);
    default: return close(c, c.parser.begun() ? "request-cut" : reset ? "reset" : "client-closed");
  }
}

void Listener::limit(Connection& c, double ms, const char* code) {
  deadlines_.cancel(c.ticket);
  c.ticket = deadlines_.at(now_ms() + ms, [this, handle = c.self, code] {
    Connection* late = connections_.find(handle);
    if (late == nullptr) return;
    late->ticket = 0;
    if (late->state == Connection::State::Closing && client_takes(*late))
      return limit(*late, options_.write_ms / 4, code);
    if (late->state == Connection::State::Reading && late->parser.begun()) {
      // The deadline of a body is extended while it arrives.
      const double come = static_cast<double>(late->parser.message().body.size());
      const double due = late->head_at + options_.body_ms + come / options_.body_rate;
      if (late->head_at > 0 && now_ms() < due) return limit(*late, due - now_ms(), code);
      return reply(*late, encode_fault(408, "too slow"), false, "request-timeout");
    }
    if (late->state != Connection::State::Reading) return close(*late, code);
    spareable(handle) ? linger(*late, code) : limit(*late, kPendingInputMs, code);
  });
}

// The idle time between requests counts from the last response, but the client has to read that response
// first.
void Listener::limit_rest(Connection& c, double when) {
  deadlines_.cancel(c.ticket);
  c.ticket = deadlines_.at(when, [this, handle = c.self] {
    Connection* late = connections_.find(handle);
    if (late == nullptr) return;
    late->ticket = 0;
    if (loop::pending_output(late->io.get()) > 0) {
      return client_takes(*late) ? limit_rest(*late, now_ms() + options_.write_ms / 4)
                                 : close(*late, "stalled");
    }
    const double idle_at = late->answered_at + options_.idle_ms;
    if (now_ms() < idle_at) return limit_rest(*late, idle_at);
    // A request that has just arrived is processed before its connection is closed.
    spareable(handle) ? linger(*late, "idle") : limit_rest(*late, now_ms() + kPendingInputMs);
  });
}

void Listener::close(Connection& c, const char* code) {
  log::routine("ingress-ended", {{"code", code}, {"requests", c.requests}, {"ms", now_ms() - c.opened_at}});
  deadlines_.cancel(c.ticket);
  deadlines_.cancel(c.end_check);
  // Clients that disconnect, or requested the close, free their descriptors by themselves.
  const bool left = c.peer_closed || !c.keep_alive;
  clients_.on_closed(
      now_ms(), c.self,
      left ? descriptors::ClientAdmission::ClosedBy::Client : descriptors::ClientAdmission::ClosedBy::Router);
  connections_.remove(c.self);
  resume();
  if (stopped_ && connections_.size() == 0) calls_.emptied();
}

// ---- handover to a new process ----

// Nothing of a request has been read, and no response is in the output buffer: all of the connection's state
// is in its socket.
bool Listener::rests(Connection& c) {
  return c.state == Connection::State::Reading && !c.parser.begun() &&
         loop::pending_input(c.io.get()).empty() && loop::pending_output(c.io.get()) == 0;
}

bool Listener::pass_on(Connection& c) {
  if (!rests(c)) return false;
  const int fd = bufferevent_getfd(c.io.get());
  bufferevent_disable(c.io.get(), EV_READ | EV_WRITE); // else its event would outlive the descriptor
  if (!pass_(fd, c.requests)) {
    bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
    return false;
  }
  bufferevent_setfd(c.io.get(), -1);
  close(c, "passed-on");
  return true;
}

} // namespace fernward::downstream
