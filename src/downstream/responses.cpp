// Writing of responses, complete or streamed, and detection of clients that do not read them.
#include <algorithm>
#include <string>
#include <utility>

#include "downstream/codec.h"
#include "downstream/listener.h"

namespace fernward::downstream {

using loop::Handle;
using loop::now_ms;

// ---- complete responses ----

// The response is available before the request body is complete: the rest of the body is not needed, and the
// connection is closed after the response.
void Listener::abort_body(Connection& connection) {
  if (connection.streamed_body == nullptr) return;
  connection.streamed_body->abort();
  connection.streamed_body.reset();
  connection.keep_alive = false;
}

// Whether the connection stays open after the response that is about to be written. Call once per response.
bool Listener::decide_keep_alive(Connection& connection, const char*& close_code) {
  close_code = "done";
  if (!connection.keep_alive || draining_) return false;
  close_code = "made-room";
  // A pipelined request after this one would be lost with the connection.
  return !(admission_.should_close_after_response(now_ms(), connection.handle) &&
           loop::pending_input(connection.socket.get()).empty());
}

bool Listener::is_connected(Handle client) {
  const Connection* connection = connections_.find(client);
  return connection != nullptr && !connection->peer_closed &&
         !loop::peer_has_closed(bufferevent_getfd(connection->socket.get()));
}

void Listener::send_response(Handle client, proxy::ClientResponse response) {
  Connection* connection = connections_.find(client);
  if (connection == nullptr || connection->state != Connection::State::Waiting) return;
  connection->active_request = 0;
  abort_body(*connection);
  const char* close_code = "";
  const bool keep_alive = decide_keep_alive(*connection, close_code);
  connection->request_statistics.end(
      response.kind == proxy::ClientResponse::Kind::Served     ? figures::Outcome::Answered
      : response.kind == proxy::ClientResponse::Kind::Rejected ? figures::Outcome::Deferred
                                                               : figures::Outcome::Errored);
  connection->unsent_response.merge(std::move(response.body.reservation));
  const std::string head = encode(response, keep_alive);
  const std::size_t pending_bytes =
      loop::write_or_enqueue(connection->socket.get(), head, std::move(response.body.buffer));
  connection->unsent_response.release(connection->unsent_response.bytes() -
                                      std::min(connection->unsent_response.bytes(), pending_bytes));
  on_response_written(*connection, keep_alive, close_code);
  close_expired_idle();
}

void Listener::send_short_response(Connection& connection, const std::string& text, bool keep_alive,
                                   const char* close_code) {
  admission_.on_request_active(now_ms(), connection.handle); // until the response is sent
  loop::write_or_enqueue(connection.socket.get(), text);
  on_response_written(connection, keep_alive, close_code);
}

// The complete response has been written to the socket or the output buffer.
void Listener::on_response_written(Connection& connection, bool keep_alive, const char* close_code) {
  connection.responded_at_ms = connection.last_sent_at_ms = now_ms();
  connection.last_pending_bytes = loop::pending_output(connection.socket.get());
  connection.pipelined_requests =
      loop::pending_input(connection.socket.get()).empty() ? 0 : connection.pipelined_requests + 1;
  connection.request_buffer.set(0);
  resume_reading(connection);
  bufferevent_setwatermark(connection.socket.get(), EV_WRITE, 0, 0);
  // If the response is already sent, libevent does not call on_writable(). The callback is deferred because
  // the caller still uses this connection.
  if (loop::pending_output(connection.socket.get()) == 0)
    bufferevent_trigger(connection.socket.get(), EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
  if (!keep_alive) {
    connection.parser.take_message(); // discards the partial request
    connection.state = Connection::State::Closing;
    connection.close_code = close_code;
    return start_timeout(connection, options_.write_timeout_ms / 4, "stalled");
  }
  connection.state = Connection::State::Reading;
  start_idle_timeout(connection, connection.responded_at_ms + options_.write_timeout_ms / 4);
}

// ---- streamed responses ----

bool Listener::start_response(Handle client, proxy::ResponseHead response_head) {
  Connection* connection = connections_.find(client);
  if (connection == nullptr || connection->state != Connection::State::Waiting) return false;
  connection->state = Connection::State::Streaming;
  const char* close_code = "";
  connection->keep_alive_after_response = decide_keep_alive(*connection, close_code);
  connection->close_code = close_code;
  connection->framing = response_head.length      ? http::Framing::Length
                        : connection->is_http_1_0 ? http::Framing::UntilClose
                                                  : http::Framing::Chunked;
  if (connection->framing == http::Framing::UntilClose) connection->keep_alive_after_response = false;
  connection->unsent_response.merge(std::move(response_head.body.reservation));
  std::string head = encode(response_head, connection->framing, connection->keep_alive_after_response);
  const std::size_t received_bytes = response_head.body.buffer.size();
  const bool chunked = connection->framing == http::Framing::Chunked && received_bytes > 0;
  if (chunked) head += http::chunk_size_line(received_bytes);
  loop::write_or_enqueue(connection->socket.get(), head, std::move(response_head.body.buffer));
  if (chunked) loop::write_or_enqueue(connection->socket.get(), http::kChunkEnd);
  connection->streamed_bytes = received_bytes;
  connection->sent_bytes = 0;
  connection->last_sent_at_ms = now_ms();
  release_sent_bytes(*connection);
  start_write_timeout(*connection);
  return true;
}

std::size_t Listener::writable_bytes(Handle client) {
  Connection* connection = connections_.find(client);
  if (connection == nullptr || connection->state != Connection::State::Streaming)
    return loop::IoBuffer::size(); // the bytes will be discarded
  release_sent_bytes(*connection);
  const std::size_t available_bytes = connection->unsent_response.available_bytes();
  if (available_bytes == 0) { // resumed when half of the window is free, or budget was released
    bufferevent_setwatermark(connection->socket.get(), EV_WRITE,
                             connection->unsent_response.window_bytes() / 2, 0);
    if (connection->unsent_response.bytes() == 0)
      connection->unsent_response.wait_for_bytes(connection->active_request);
  }
  return available_bytes;
}

void Listener::write(Handle client, std::string_view bytes) {
  Connection* connection = connections_.find(client);
  if (connection == nullptr || connection->state != Connection::State::Streaming || bytes.empty()) return;
  connection->streamed_bytes += bytes.size();
  const bool chunked = connection->framing == http::Framing::Chunked;
  const std::string size_line = chunked ? http::chunk_size_line(bytes.size()) : std::string();
  connection->unsent_response.acquire(
      loop::write_or_enqueue(connection->socket.get(), size_line, bytes, chunked ? http::kChunkEnd : ""));
}

bool Listener::splice_from(Handle client, int socket, std::size_t max_bytes, loop::IoBuffer& io_buffer,
                           loop::ReceiveResult& received, std::size_t& bytes) {
  Connection* connection = connections_.find(client);
  if (connection == nullptr || connection->state != Connection::State::Streaming ||
      connection->framing == http::Framing::Chunked)
    return false;
  if (!pipe_.usable() || loop::pending_output(connection->socket.get()) > 0) return false;
  std::string_view unsent;
  if (!pipe_.transfer(socket, connection->socket.get(), max_bytes, io_buffer, received, bytes, unsent))
    return false;
  if (received != loop::ReceiveResult::Bytes) return true;
  connection->streamed_bytes += bytes;
  if (!unsent.empty())
    connection->unsent_response.acquire(loop::write_or_enqueue(connection->socket.get(), "", unsent, ""));
  return true;
}

void Listener::end_response(Handle client, bool complete) {
  Connection* connection = connections_.find(client);
  if (connection == nullptr || connection->state != Connection::State::Streaming) return;
  connection->active_request = 0;
  connection->request_statistics.end(complete ? figures::Outcome::Answered : figures::Outcome::Errored);
  connection->unsent_response.stop_waiting();
  if (connection->streamed_body != nullptr) connection->keep_alive_after_response = false;
  abort_body(*connection);
  if (!complete) {
    // If the end of the connection ends the response, only a reset shows that the response is incomplete.
    if (connection->framing == http::Framing::UntilClose)
      loop::reset_on_close(bufferevent_getfd(connection->socket.get()));
    return close(*connection, "answer-broken");
  }
  if (connection->framing == http::Framing::Chunked)
    loop::write_or_enqueue(connection->socket.get(), http::kLastChunk);
  // The head is already sent, so it cannot announce that a drain closes the connection.
  on_response_written(*connection, connection->keep_alive_after_response && !draining_,
                      connection->close_code);
  close_expired_idle();
}

// Releases the budget of bytes that have left the output buffer.
void Listener::release_sent_bytes(Connection& connection) {
  const std::size_t pending_bytes = loop::pending_output(connection.socket.get());
  connection.unsent_response.release(connection.unsent_response.bytes() -
                                     std::min(connection.unsent_response.bytes(), pending_bytes));
}

// A client that reads nothing for write_timeout_ms occupies buffers that others need, and is closed. A client
// that waits for the server is not affected.
void Listener::start_write_timeout(Connection& connection) {
  timers_.cancel(connection.timer);
  connection.timer =
      timers_.run_at(now_ms() + options_.write_timeout_ms / 4, [this, handle = connection.handle] {
        Connection* timed_out = connections_.find(handle);
        if (timed_out == nullptr) return;
        timed_out->timer = 0;
        const std::size_t pending_bytes = loop::pending_output(timed_out->socket.get());
        const std::uint64_t sent_bytes =
            timed_out->streamed_bytes - std::min<std::uint64_t>(timed_out->streamed_bytes, pending_bytes);
        if (pending_bytes == 0 || std::exchange(timed_out->sent_bytes, sent_bytes) < sent_bytes)
          timed_out->last_sent_at_ms = now_ms();
        if (now_ms() - timed_out->last_sent_at_ms < options_.write_timeout_ms)
          return start_write_timeout(*timed_out);
        const Handle active_request = std::exchange(timed_out->active_request, 0);
        close(*timed_out, "stalled");
        callbacks_.client_disconnected(active_request);
      });
}

// Whether the client has recently read some of a complete response in the output buffer, however slowly.
bool Listener::client_is_reading(Connection& connection) {
  const std::size_t pending_bytes = loop::pending_output(connection.socket.get());
  if (pending_bytes < std::exchange(connection.last_pending_bytes, pending_bytes))
    connection.last_sent_at_ms = now_ms();
  return pending_bytes == 0 || now_ms() - connection.last_sent_at_ms < options_.write_timeout_ms;
}

// Called when the output buffer is empty, or below its watermark while a response is streamed. A connection
// to be closed lingers first: closing with unread input would make the kernel reset the connection, and the
// client could lose the response.
void Listener::on_output_drained(Connection& connection) {
  release_sent_bytes(connection);
  if (connection.state == Connection::State::Streaming) {
    if (connection.unsent_response.may_resume()) {
      connection.unsent_response.stop_waiting();
      callbacks_.response_drained(connection.active_request);
    } else if (connection.unsent_response.bytes() == 0) {
      connection.unsent_response.wait_for_bytes(connection.active_request);
    }
    return;
  }
  if (loop::pending_output(connection.socket.get()) > 0) return;
  if (connection.state == Connection::State::Reading && !connection.parser.has_started()) {
    resume_reading(connection);
    if (pass_connection_ && try_pass_connection(connection)) return;
    admission_.on_idle(now_ms(), connection.handle);
    return read_input(connection); // input received meanwhile
  }
  if (connection.state != Connection::State::Closing) return;
  if (connection.peer_closed) return close(connection, connection.close_code);
  start_lingering(connection, connection.close_code);
}

} // namespace fernward::downstream
