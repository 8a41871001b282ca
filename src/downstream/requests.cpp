// Reading of requests: heads, short bodies, and long bodies that are streamed while they arrive.
#include <algorithm>
#include <string>
#include <utility>

#include "downstream/codec.h"
#include "downstream/listener.h"

namespace fernward::downstream {

using loop::Handle;
using loop::now_ms;

namespace {

constexpr std::size_t kMostDrained = 256 * 1024; // read from a client whose request was rejected
constexpr unsigned kMostPipelined = 2;           // consecutive requests received before the previous response
// An attempt that starts 0.1 s or more after its client disconnected counts as a fault.
constexpr double kClientEndCheckMs = 50;

} // namespace

// ---- requests ----

void Listener::readable(bufferevent*, void* c) {
  auto* connection = static_cast<Connection*>(c);
  connection->listener->read(*connection);
}
void Listener::written(bufferevent*, void* c) {
  auto* connection = static_cast<Connection*>(c);
  connection->listener->flushed(*connection);
}
void Listener::changed(bufferevent*, short what, void* c) {
  auto* connection = static_cast<Connection*>(c);
  connection->listener->connection_event(*connection, what);
}

void Listener::read(Connection& c) {
  const std::string_view input = loop::pending_input(c.io.get());
  if (c.state == Connection::State::Lingering || c.state == Connection::State::Closing) {
    c.drained += input.size();
    if (c.drained > kMostDrained) bufferevent_disable(c.io.get(), EV_READ); // do not read an upload of 60 MB
    return loop::consume_input(c.io.get(), input.size());
  }
  if (c.inflow != nullptr) return read_body(c);
  // The next request is not read before the previous response is sent: otherwise responses could accumulate
  // in the output buffer.
  if (c.state != Connection::State::Reading || input.empty() || loop::pending_output(c.io.get()) > 0) {
    // With a full input buffer libevent would call again and again, and use a whole core for each such
    // client.
    if (input.size() >= kMostInput) pause_reading(c);
    return;
  }
  const bool fresh = !c.parser.begun();
  loop::consume_input(c.io.get(), c.parser.feed(input));
  switch (c.parser.fault()) {
    case http::Fault::None: break;
    case http::Fault::Malformed: return reply(c, encode_fault(400, "malformed"), false, "malformed");
    case http::Fault::HeaderTooLarge: return reply(c, encode_fault(431, "header"), false, "header-too-large");
    case http::Fault::BodyTooLarge: return reply(c, encode_fault(413, "body"), false, "body-too-large");
  }
  if (c.parser.done()) {
    clients_.on_request_active(now_ms(), c.self);
    c.head_at = 0;
    c.request.set(0);
    return handle(c, c.parser.take());
  }
  if (c.parser.wants_body() && std::max<std::uint64_t>(c.parser.body().length().value_or(0),
                                                       c.parser.body().come()) > options_.short_body) {
    return begin_body(c);
  }
  if (c.head_at == 0 && c.parser.wants_body()) c.head_at = now_ms();
  if (c.parser.begun()) clients_.on_request_partial(now_ms(), c.self);
  c.request.set(c.parser.held());
  if (buffers_.exceeded()) {
    return reply(c, encode_shed(options_.shed_retry_ms, false), false, "buffers-full");
  }
  if (fresh && c.parser.begun() && c.requests > 0) limit(c, options_.request_ms, "request-timeout");
  go_ahead(c);
}

// Pauses reading until resume_reading() is called.
void Listener::pause_reading(Connection& c) {
  bufferevent_disable(c.io.get(), EV_READ);
  if (c.end_check == 0) look_for_end(c);
}

void Listener::read_on(Connection& c) {
  if ((bufferevent_get_enabled(c.io.get()) & EV_READ) == 0) bufferevent_enable(c.io.get(), EV_READ);
}

// While reading is paused, a disconnect of the client is not reported: the end of the stream follows unread
// bytes, and a reset is detected by a read only. So the socket is polled.
void Listener::look_for_end(Connection& c) {
  c.end_check = deadlines_.at(now_ms() + kClientEndCheckMs, [this, handle = c.self] {
    Connection* paused = connections_.find(handle);
    if (paused == nullptr) return;
    paused->end_check = 0;
    if ((bufferevent_get_enabled(paused->io.get()) & EV_READ) != 0) return;
    if (loop::peer_ended(bufferevent_getfd(paused->io.get())))
      return connection_event(*paused, BEV_EVENT_EOF);
    look_for_end(*paused);
  });
}

// Answers Expect: 100-continue.
void Listener::go_ahead(Connection& c) {
  if (!c.parser.wants_body() || c.continued) return;
  if (http::lower(c.parser.message().header("expect")) != "100-continue") return;
  c.continued = true;
  loop::write_or_wait(c.io.get(), "HTTP/1.1 100 Continue\r\n\r\n");
}

void Listener::handle(Connection& c, http::Message request) {
  c.continued = false;
  c.keep_alive = request.keep_alive && !draining_;
  c.old = request.version_1_0;
  if (request.method == "GET" && request.target == "/ready") {
    ++c.requests;
    const bool ready = !draining_ && ends_by_ == 0 && calls_.ready();
    const std::string text =
        http::write_response(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n", c.keep_alive);
    return reply(c, text, c.keep_alive, "done");
  }
  Decoded decoded = decode(std::move(request));
  if (!admit(c, decoded, true)) return;
  deadlines_.cancel(c.ticket);
  open(c, std::move(decoded.call));
}

Decoded Listener::decode(http::Message request) {
  Decoded decoded = downstream::decode(std::move(request), rules_);
  if (decoded.status == 0 && decoded.call.id.empty())
    decoded.call.id = id_prefix_ + std::to_string(++ids_made_);
  return decoded;
}

bool Listener::admit(Connection& c, Decoded& decoded, bool whole) {
  ++c.requests;
  if (decoded.status == 0) { // its class is known: it is counted, whatever its outcome
    c.taken_request = figures_.take(decoded.call.class_index);
    if (whole) c.taken_request.whole();
  }
  if (decoded.status != 0) {
    turn_away(c, decoded.status, decoded.why, decoded.why);
  } else if (calls_.is_open(decoded.call.id)) {
    turn_away(c, 409, "X-Request-ID in use", "id in use");
  } else if (c.pipelined > kMostPipelined) {
    turn_away(c, 503, "", "pipelined");
  } else {
    return true;
  }
  return false;
}

void Listener::open(Connection& c, proxy::ClientRequest call) {
  clients_.on_request_complete(now_ms(), c.self);
  c.state = Connection::State::Waiting;
  // With the shortened timeout the Balancer gives the request up in time.
  if (ends_by_ > 0)
    call.timeout_ms = std::max(1.0, std::min(call.timeout_ms, ends_by_ - now_ms() - call.body_timeout_ms));
  const bool whole = call.body_timeout_ms == 0;
  c.exchange = calls_.open(c.self, std::move(call));
  if (c.exchange != 0) return;
  if (!whole) return turn_away(c, 503, "", "shed");
  c.taken_request.end(figures::Outcome::Deferred);
  reply(c, encode_shed(options_.shed_retry_ms, c.keep_alive), c.keep_alive, "shed");
}

// Rejects a request and closes the connection, with an error response if no response has started. 503: shed.
void Listener::turn_away(Connection& c, int status, const char* text, const char* code) {
  const Handle exchange = std::exchange(c.exchange, 0);
  if (c.inflow != nullptr) c.inflow->abort();
  c.inflow.reset();
  c.call.reset();
  c.taken_request.end(status == 503 ? figures::Outcome::Deferred : figures::Outcome::Errored);
  if (c.state == Connection::State::Passing) {
    close(c, code);
  } else {
    reply(c, status == 503 ? encode_shed(options_.shed_retry_ms, false) : encode_fault(status, text), false,
          code);
  }
  if (exchange != 0) calls_.gone(exchange);
}

// ---- long bodies ----

// The head has been received, and perhaps a first part of the body.
void Listener::begin_body(Connection& c) {
  const http::Message& head = c.parser.message();
  const std::string come = c.parser.take_body();
  c.keep_alive = head.keep_alive && !draining_;
  c.old = head.version_1_0;
  Decoded decoded = decode(http::Message(head));
  if (!admit(c, decoded, false)) return;
  c.request.set(c.parser.held());
  c.head_at = 0;
  clients_.on_request_active(now_ms(), c.self);
  c.begun_at = now_ms();
  c.inflow = std::make_shared<proxy::RequestBody>(bodies_, c.parser.body().length());
  c.inflow->set_on_writable([this, handle = c.self] {
    Connection* again = connections_.find(handle);
    if (again == nullptr || again->inflow == nullptr) return;
    read_on(*again);
    bufferevent_trigger(again->io.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
  });
  c.call = std::move(decoded.call);
  c.call->streamed_body = c.inflow;
  for (std::string_view rest = come; !rest.empty();) {
    const std::size_t most = std::min(c.inflow->writable_bytes(), rest.size());
    if (most == 0) return turn_away(c, 503, "", "buffers-full");
    if (!c.inflow->append(rest.substr(0, most), block_)) return turn_away(c, 413, "body", "body-too-large");
    rest.remove_prefix(most);
  }
  go_ahead(c);
  limit_body(c);
  read_body(c);
}

void Listener::read_body(Connection& c) {
  http::Framer& body = c.parser.body();
  while (!body.done()) {
    const std::string_view input = loop::pending_input(c.io.get());
    if (input.empty()) break;
    const std::size_t room = c.inflow->writable_bytes();
    if (room == 0) { // the server reads it slowly
      pause_reading(c);
      break;
    }
    const http::Framer::Piece piece = body.next(input.substr(0, room));
    const bool fits = c.inflow->append(piece.body, block_);
    loop::consume_input(c.io.get(), piece.used);
    if (body.fault() == http::Fault::Malformed) return turn_away(c, 400, "malformed", "malformed");
    if (body.fault() == http::Fault::HeaderTooLarge) return turn_away(c, 431, "header", "header-too-large");
    if (!fits || body.fault() != http::Fault::None) return turn_away(c, 413, "body", "body-too-large");
  }
  flow(c);
}

// Forwards the request when its body is complete or may be streamed.
void Listener::flow(Connection& c) {
  const bool whole = c.parser.body().done();
  if (whole) {
    c.taken_request.whole();
    c.inflow->complete();
    c.parser.take();
    c.continued = false;
    deadlines_.cancel(c.ticket);
  }
  const auto inflow = c.inflow;
  if (whole) c.inflow.reset();
  if (c.call && inflow->may_stream()) {
    proxy::ClientRequest call = std::move(*c.call);
    c.call.reset();
    c.request.set(0);
    if (!whole) {
      call.body_timeout_ms =
          std::max(1.0, c.begun_at + inflow->receive_timeout_ms(options_.request_ms) - now_ms());
    }
    return open(c, std::move(call));
  }
  if (whole && c.exchange != 0) calls_.whole(c.exchange);
}

// Limits the time for a body to arrive. The limit grows with the bytes received.
void Listener::limit_body(Connection& c) {
  deadlines_.cancel(c.ticket);
  c.ticket =
      deadlines_.at(c.begun_at + c.inflow->receive_timeout_ms(options_.request_ms), [this, handle = c.self] {
        Connection* late = connections_.find(handle);
        if (late == nullptr || late->inflow == nullptr) return;
        late->ticket = 0;
        if (now_ms() < late->begun_at + late->inflow->receive_timeout_ms(options_.request_ms))
          return limit_body(*late);
        turn_away(*late, 408, "too slow", "request-timeout");
      });
}

} // namespace fernward::downstream
