// Reading of requests: heads, short bodies, and long bodies that are streamed while they arrive.
#include <algorithm>
#include <string>
#include <utility>

#include "downstream/codec.h"
#include "downstream/listener.h"
#include "log/log.h"

namespace fernward::downstream {

using loop::Handle;
using loop::now_ms;

namespace {

constexpr std::size_t kMaxDiscardedBytes = 256 * 1024; // read from a client whose request was rejected
constexpr int kMaxDirectReadsPerEvent = 8;             // before other connections are served
constexpr unsigned kMaxPipelinedRequests = 2; // consecutive requests received before the previous response
// An attempt that starts 0.1 s or more after its client disconnected counts as a fault.
constexpr double kClientEndCheckIntervalMs = 50;

} // namespace

// ---- requests ----

void Listener::on_readable(bufferevent*, void* context) {
  auto* connection = static_cast<Connection*>(context);
  connection->listener->read_input(*connection);
}
void Listener::on_writable(bufferevent*, void* context) {
  auto* connection = static_cast<Connection*>(context);
  connection->listener->on_output_drained(*connection);
}
void Listener::on_event(bufferevent*, short events, void* context) {
  auto* connection = static_cast<Connection*>(context);
  connection->listener->on_connection_event(*connection, events);
}

void Listener::read_input(Connection& connection) {
  const std::string_view input = loop::pending_input(connection.socket.get());
  if (connection.state == Connection::State::Lingering || connection.state == Connection::State::Closing) {
    connection.discarded_bytes += input.size();
    if (connection.discarded_bytes > kMaxDiscardedBytes)
      bufferevent_disable(connection.socket.get(), EV_READ); // do not receive a long upload, such as 60 MB
    return loop::consume_input(connection.socket.get(), input.size());
  }
  if (connection.streamed_body != nullptr) return read_streamed_body(connection);
  // The next request is not read before the previous response is sent: otherwise responses could accumulate
  // in the output buffer.
  if (connection.state != Connection::State::Reading || input.empty() ||
      loop::pending_output(connection.socket.get()) > 0) {
    update_receive_clock(connection);
    // With a full input buffer libevent would call again and again, and use a whole core for each such
    // client.
    if (input.size() >= kMaxReadAheadBytes) pause_reading(connection);
    return;
  }
  const bool is_first_part = !connection.parser.has_started();
  loop::consume_input(connection.socket.get(), connection.parser.feed(input));
  switch (connection.parser.error()) {
    case http::ParseError::None: break;
    case http::ParseError::Malformed:
      return send_short_response(connection, encode_error(400, "malformed"), false, "malformed");
    case http::ParseError::HeaderTooLarge:
      return send_short_response(connection, encode_error(431, "header"), false, "header-too-large");
    case http::ParseError::BodyTooLarge:
      return send_short_response(connection, encode_error(413, "body"), false, "body-too-large");
  }
  if (connection.parser.done()) {
    admission_.on_request_active(now_ms(), connection.handle);
    connection.head_received_at_ms = 0;
    connection.weight_share = 0;
    connection.request_buffer.set(0);
    const double received_at_ms = connection.receive_clock.sent_at_ms(now_ms());
    update_receive_clock(connection);
    return handle_request(connection, connection.parser.take_message(), received_at_ms);
  }
  update_receive_clock(connection);
  if (connection.parser.expects_body() &&
      std::max<std::uint64_t>(connection.parser.body().length().value_or(0),
                              connection.parser.body().received_bytes()) > options_.max_short_body_bytes) {
    return start_streamed_body(connection);
  }
  if (connection.head_received_at_ms == 0 && connection.parser.expects_body()) {
    connection.head_received_at_ms = now_ms();
    connection.weight_share = weight_share_of(connection.parser.message().header("x-priority-class"));
  }
  if (connection.parser.has_started()) admission_.on_request_partial(now_ms(), connection.handle);
  connection.request_buffer.set(connection.parser.buffered_bytes());
  while (request_buffers_.must_reject_incomplete(connection.request_buffer.bytes())) {
    Connection& lightest = lightest_incomplete(connection);
    log_refusal(lightest.parser.message().header("x-request-id"), "incomplete",
                lightest.request_buffer.bytes());
    send_short_response(lightest, encode_shed(options_.shed_retry_after_ms, false), false, "buffers-full");
    if (&lightest == &connection) return;
  }
  if (is_first_part && connection.parser.has_started() && connection.request_count > 0)
    start_timeout(connection, options_.request_timeout_ms, "request-timeout");
  send_continue(connection);
}

// Pauses reading until resume_reading() is called.
void Listener::pause_reading(Connection& connection) {
  bufferevent_disable(connection.socket.get(), EV_READ);
  if (connection.end_check_timer == 0) schedule_end_check(connection);
}

void Listener::resume_reading(Connection& connection) {
  if ((bufferevent_get_enabled(connection.socket.get()) & EV_READ) == 0)
    bufferevent_enable(connection.socket.get(), EV_READ);
}

// While reading is paused, a disconnect of the client is not reported: the end of the stream follows unread
// bytes, and a reset is detected by a read only. So the socket is polled.
void Listener::schedule_end_check(Connection& connection) {
  connection.end_check_timer =
      timers_.run_at(now_ms() + kClientEndCheckIntervalMs, [this, handle = connection.handle] {
        Connection* paused = connections_.find(handle);
        if (paused == nullptr) return;
        paused->end_check_timer = 0;
        if ((bufferevent_get_enabled(paused->socket.get()) & EV_READ) != 0) return;
        if (loop::peer_has_closed(bufferevent_getfd(paused->socket.get())))
          return on_connection_event(*paused, BEV_EVENT_EOF);
        schedule_end_check(*paused);
      });
}

// Answers Expect: 100-continue.
void Listener::send_continue(Connection& connection) {
  if (!connection.parser.expects_body() || connection.continue_sent) return;
  if (http::to_lower(connection.parser.message().header("expect")) != "100-continue") return;
  connection.continue_sent = true;
  loop::write_or_enqueue(connection.socket.get(), "HTTP/1.1 100 Continue\r\n\r\n");
}

void Listener::handle_request(Connection& connection, http::Message request, double received_at_ms) {
  connection.continue_sent = false;
  connection.keep_alive = request.keep_alive && !draining_;
  connection.is_http_1_0 = request.is_http_1_0;
  // Probes of the platform may have no Host field.
  const bool may_probe = !request.has_header("host") || has_valid_host(request);
  if (request.method == "GET" && request.target == "/ready" && may_probe) {
    ++connection.request_count;
    const bool ready = !draining_ && !not_ready_ && callbacks_.is_ready();
    const std::string text =
        http::write_response(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n", connection.keep_alive);
    return send_short_response(connection, text, connection.keep_alive, "done");
  }
  DecodedRequest decoded = decode(std::move(request));
  if (!admit(connection, decoded, true)) return;
  timers_.cancel(connection.timer);
  decoded.request.received_at_ms = received_at_ms;
  if (!reserve_body_memory(decoded.request)) {
    log_refusal(decoded.request.id, "body", decoded.request.body.size());
    admission_.on_request_complete(now_ms(), connection.handle);
    return shed(connection, "buffers-full");
  }
  open_request(connection, std::move(decoded.request));
}

double Listener::weight_share_of(std::size_t class_index) const {
  const std::vector<fernward::ClassSettings>& classes = rules_.settings.classes;
  double greatest_weight = 0;
  for (const fernward::ClassSettings& other : classes)
    greatest_weight = std::max(greatest_weight, other.priority_weight);
  return greatest_weight > 0 ? classes[class_index].priority_weight / greatest_weight : 1;
}

double Listener::weight_share_of(std::string_view class_name) const {
  const std::vector<std::string>& names = rules_.names.classes;
  const auto found = std::find(names.begin(), names.end(), class_name);
  return found == names.end() ? 0 : weight_share_of(static_cast<std::size_t>(found - names.begin()));
}

// The incomplete request of the least weight that is not small; among equal ones, `asking`.
Listener::Connection& Listener::lightest_incomplete(Connection& asking) {
  Connection* lightest = &asking;
  connections_.for_each([&lightest](Handle, Connection& connection) {
    if (connection.state != Connection::State::Reading || connection.streamed_body != nullptr) return;
    if (connection.request_buffer.bytes() <= descriptors::RequestBufferBudget::kSmallRequestBytes) return;
    if (connection.weight_share < lightest->weight_share) lightest = &connection;
  });
  return *lightest;
}

// False: the budget has no room for the body of a request of this class.
bool Listener::reserve_body_memory(proxy::ClientRequest& request) {
  if (request.body.empty()) return true;
  if (!request_buffers_.admits_complete(request.body.size(), weight_share_of(request.class_index)))
    return false;
  request.body.shrink_to_fit();
  request.body_memory = std::make_shared<descriptors::RequestBufferBudget::Lease>(request_buffers_);
  request.body_memory->set(request.body.size());
  return true;
}

DecodedRequest Listener::decode(http::Message request) {
  DecodedRequest decoded = downstream::decode(std::move(request), rules_);
  if (decoded.status == 0 && decoded.request.id.empty())
    decoded.request.id = id_prefix_ + std::to_string(++generated_ids_);
  return decoded;
}

bool Listener::admit(Connection& connection, DecodedRequest& decoded, bool complete) {
  ++connection.request_count;
  connection.last_request_id = decoded.request.id;
  if (decoded.status == 0) { // its class is known: it is counted, whatever its outcome
    connection.request_statistics = stats_.track_request(decoded.request.class_index);
    if (complete) connection.request_statistics.set_complete();
  }
  if (decoded.status != 0) {
    reject(connection, decoded.status, decoded.reason, decoded.reason);
  } else if (callbacks_.is_active_id(decoded.request.id)) {
    reject(connection, 409, "X-Request-ID in use", "id in use");
  } else if (connection.pipelined_requests > kMaxPipelinedRequests) {
    reject(connection, 503, "", "pipelined");
  } else {
    return true;
  }
  return false;
}

void Listener::open_request(Connection& connection, proxy::ClientRequest request) {
  admission_.on_request_complete(now_ms(), connection.handle);
  connection.state = Connection::State::Waiting;
  const bool complete = !request.body_arriving;
  connection.active_request = callbacks_.open_request(connection.handle, std::move(request));
  if (connection.active_request != 0) return;
  complete ? shed(connection, "shed") : reject(connection, 503, "", "shed");
}

void Listener::log_refusal(std::string_view request_id, const char* what, std::size_t bytes) {
  log::routine_line("request-refused", {{"id", request_id},
                                        {"what", what},
                                        {"bytes", bytes},
                                        {"requests_hold", request_buffers_.used_bytes()},
                                        {"process_holds", memory_budget_.used_bytes()},
                                        {"budget", memory_budget_.total_bytes()}});
}

// Rejects a complete request that was never forwarded; the connection stays open.
void Listener::shed(Connection& connection, const char* close_code) {
  connection.request_statistics.end(figures::Outcome::Deferred);
  send_short_response(connection, encode_shed(options_.shed_retry_after_ms, connection.keep_alive),
                      connection.keep_alive, close_code);
}

// Rejects a request and closes the connection, with an error response if no response has started. 503: shed.
void Listener::reject(Connection& connection, int status, const char* text, const char* close_code) {
  const Handle active_request = std::exchange(connection.active_request, 0);
  if (connection.streamed_body != nullptr) connection.streamed_body->abort();
  connection.streamed_body.reset();
  connection.pending_request.reset();
  connection.request_statistics.end(status == 503 ? figures::Outcome::Deferred : figures::Outcome::Errored);
  if (connection.state == Connection::State::Streaming) {
    close(connection, close_code);
  } else {
    send_short_response(
        connection,
        status == 503 ? encode_shed(options_.shed_retry_after_ms, false) : encode_error(status, text), false,
        close_code);
  }
  if (active_request != 0) callbacks_.client_disconnected(active_request);
}

// ---- long bodies ----

// The head has been received, and perhaps a first part of the body.
void Listener::start_streamed_body(Connection& connection) {
  const http::Message& head = connection.parser.message();
  const std::string first_part = connection.parser.take_body();
  connection.keep_alive = head.keep_alive && !draining_;
  connection.is_http_1_0 = head.is_http_1_0;
  DecodedRequest decoded = decode(http::Message(head));
  if (!admit(connection, decoded, false)) return;
  connection.request_buffer.set(connection.parser.buffered_bytes());
  connection.head_received_at_ms = 0;
  admission_.on_request_active(now_ms(), connection.handle);
  connection.body_started_at_ms = now_ms();
  connection.streamed_body =
      std::make_shared<proxy::RequestBody>(body_stores_, connection.parser.body().length());
  connection.streamed_body->set_on_writable([this, handle = connection.handle] {
    Connection* waiting = connections_.find(handle);
    if (waiting == nullptr || waiting->streamed_body == nullptr) return;
    resume_reading(*waiting);
    bufferevent_trigger(waiting->socket.get(), EV_READ,
                        BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
  });
  connection.pending_request = std::move(decoded.request);
  connection.pending_request->streamed_body = connection.streamed_body;
  for (std::string_view remaining_part = first_part; !remaining_part.empty();) {
    const std::size_t part_bytes =
        std::min(connection.streamed_body->writable_bytes(), remaining_part.size());
    if (part_bytes == 0) {
      log_refusal(connection.pending_request->id, "body", first_part.size());
      return reject(connection, 503, "", "buffers-full");
    }
    if (!connection.streamed_body->append(remaining_part.substr(0, part_bytes)))
      return reject(connection, 413, "body", "body-too-large");
    remaining_part.remove_prefix(part_bytes);
  }
  send_continue(connection);
  start_body_timeout(connection);
  read_streamed_body(connection);
}

void Listener::read_streamed_body(Connection& connection) {
  http::BodyParser& body = connection.parser.body();
  bool all_read = false;
  for (int direct_reads = 0; !body.done();) {
    const std::size_t writable_bytes = connection.streamed_body->writable_bytes();
    if (writable_bytes == 0) { // the body's buffer is full: the server reads slowly
      pause_reading(connection);
      break;
    }
    std::string_view input = loop::pending_input(connection.socket.get());
    const bool direct = input.empty();
    if (direct && direct_reads++ == kMaxDirectReadsPerEvent) break;
    if (direct) input = read_body_directly(connection, writable_bytes, all_read);
    if (input.empty()) break;
    const http::BodyParser::Piece piece = body.next(input.substr(0, writable_bytes));
    // While bytes were unread, the end of the connection could not be seen behind them.
    if (body.done() && loop::peer_has_closed(bufferevent_getfd(connection.socket.get())))
      return on_connection_event(connection, BEV_EVENT_EOF);
    const bool fits = connection.streamed_body->append(piece.body);
    if (!direct) loop::consume_input(connection.socket.get(), piece.consumed_bytes);
    if (body.error() == http::ParseError::Malformed) return reject(connection, 400, "malformed", "malformed");
    if (body.error() == http::ParseError::HeaderTooLarge)
      return reject(connection, 431, "header", "header-too-large");
    if (!fits || body.error() != http::ParseError::None)
      return reject(connection, 413, "body", "body-too-large");
  }
  if (!body.done()) update_receive_clock(connection, !all_read && has_unread_bytes(connection));
  forward_request(connection);
}

// Reads a long stretch of the body from the socket, as libevent reads 4 KB at a time. Empty: there is no such
// stretch or nothing to read; `all_read` is true if nothing was there. An end of the connection is left to
// libevent.
std::string_view Listener::read_body_directly(Connection& connection, std::size_t max_bytes, bool& all_read) {
  max_bytes = std::min({max_bytes, loop::IoBuffer::size(),
                        static_cast<std::size_t>(connection.parser.body().contiguous_body_bytes())});
  if (max_bytes <= loop::kMaxInputBytes) return {}; // libevent reads as much
  char* const destination = io_buffer_.data();
  std::size_t bytes = 0;
  const int socket = bufferevent_getfd(connection.socket.get());
  all_read = loop::receive(socket, destination, max_bytes, bytes) == loop::ReceiveResult::WouldBlock;
  return {destination, bytes};
}

bool Listener::has_unread_bytes(const Connection& connection) {
  return !loop::pending_input(connection.socket.get()).empty() ||
         loop::peek(bufferevent_getfd(connection.socket.get())) == loop::Peek::Data;
}

// Between bodies the socket is asked only to end a delay.
void Listener::update_receive_clock(Connection& connection) {
  const bool unread = connection.receive_clock.is_delayed()
                          ? has_unread_bytes(connection)
                          : !loop::pending_input(connection.socket.get()).empty();
  update_receive_clock(connection, unread);
}

void Listener::update_receive_clock(Connection& connection, bool unread) {
  body_buffers::ReceiveClock& clock = connection.receive_clock;
  if (connection.streamed_body == nullptr) {
    unread ? clock.on_unread_bytes(now_ms()) : void(clock.on_caught_up(now_ms()));
    return;
  }
  const bool was_delayed = clock.is_delayed();
  if (unread) {
    clock.on_unread_bytes(now_ms(), connection.parser.body().missing_bytes());
  } else {
    const double delay_ms = clock.on_caught_up(now_ms());
    connection.body_started_at_ms += delay_ms;
    connection.body_expected_at_ms += delay_ms;
  }
  if (clock.is_delayed() == was_delayed) return;
  if (was_delayed) start_body_timeout(connection);
  if (connection.active_request == 0) return;
  callbacks_.received_at_changed(connection.active_request, clock.is_delayed()
                                                                ? clock.sent_at_ms(now_ms())
                                                                : connection.body_expected_at_ms);
}

// Forwards the request when its body is complete or may be streamed.
void Listener::forward_request(Connection& connection) {
  const bool complete = connection.parser.body().done();
  if (connection.pending_request) connection.body_expected_at_ms = body_due_at_ms(connection);
  const double received_at_ms = complete || connection.receive_clock.is_delayed()
                                    ? connection.receive_clock.sent_at_ms(now_ms())
                                    : connection.body_expected_at_ms;
  if (complete) {
    connection.request_statistics.set_complete();
    connection.streamed_body->complete();
    connection.parser.take_message();
    connection.continue_sent = false;
    timers_.cancel(connection.timer);
  }
  const auto streamed_body = connection.streamed_body;
  if (complete) {
    connection.streamed_body.reset();
    update_receive_clock(connection);
  }
  if (connection.pending_request && streamed_body->may_stream()) {
    proxy::ClientRequest request = std::move(*connection.pending_request);
    connection.pending_request.reset();
    connection.request_buffer.set(0);
    // Another request with the same id may have become active while the body arrived.
    if (callbacks_.is_active_id(request.id))
      return reject(connection, 409, "X-Request-ID in use", "id in use");
    request.body_arriving = !complete;
    request.received_at_ms = received_at_ms;
    return open_request(connection, std::move(request));
  }
  if (complete && connection.active_request != 0)
    callbacks_.received_at_changed(connection.active_request, received_at_ms);
}

// The time limit for a body to arrive, which grows with the bytes received and does not include delays.
double Listener::body_due_at_ms(const Connection& connection) const {
  return connection.body_started_at_ms +
         connection.streamed_body->receive_timeout_ms(options_.request_timeout_ms);
}

// Limits the time for a body to arrive. While reading is delayed, the request's own deadline applies instead.
void Listener::start_body_timeout(Connection& connection) {
  timers_.cancel(connection.timer);
  connection.timer = timers_.run_at(body_due_at_ms(connection), [this, handle = connection.handle] {
    Connection* timed_out = connections_.find(handle);
    if (timed_out == nullptr || timed_out->streamed_body == nullptr) return;
    timed_out->timer = 0;
    if (timed_out->receive_clock.is_delayed()) return; // started again when the delay ends
    if (now_ms() < body_due_at_ms(*timed_out)) return start_body_timeout(*timed_out);
    reject(*timed_out, 408, "too slow", "request-timeout");
  });
}

} // namespace fernward::downstream
