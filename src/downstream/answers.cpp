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
void Listener::drop_body(Connection& c) {
  if (c.inflow == nullptr) return;
  c.inflow->abort();
  c.inflow.reset();
  c.keep_alive = false;
}

// Whether the connection stays open after the response that is about to be written. Call once per response.
bool Listener::connection_stays(Connection& c, const char*& code) {
  code = "done";
  if (!c.keep_alive || draining_) return false;
  code = "made-room";
  // A pipelined request after this one would be lost with the connection.
  return !(clients_.should_close_after_response(now_ms(), c.self) && loop::pending_input(c.io.get()).empty());
}

bool Listener::is_connected(Handle client) {
  const Connection* c = connections_.find(client);
  return c != nullptr && !c->peer_closed && !loop::peer_ended(bufferevent_getfd(c->io.get()));
}

void Listener::send_response(Handle client, proxy::ClientResponse answer) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Waiting) return;
  c->exchange = 0;
  drop_body(*c);
  const char* code = "";
  const bool keep = connection_stays(*c, code);
  c->taken_request.end(answer.kind == proxy::ClientResponse::Kind::Served     ? figures::Outcome::Answered
                       : answer.kind == proxy::ClientResponse::Kind::Rejected ? figures::Outcome::Deferred
                                                                              : figures::Outcome::Errored);
  c->out.merge(std::move(answer.body.reservation));
  const std::string head = encode(answer, keep);
  const std::size_t waits = loop::write_or_wait(c->io.get(), head, std::move(answer.body.buffer));
  c->out.release(c->out.bytes() - std::min(c->out.bytes(), waits));
  replied(*c, keep, code);
  close_rested();
}

void Listener::reply(Connection& c, const std::string& text, bool keep_alive, const char* code) {
  clients_.on_request_active(now_ms(), c.self); // until the response is sent
  loop::write_or_wait(c.io.get(), text);
  replied(c, keep_alive, code);
}

// The complete response has been written to the socket or the output buffer.
void Listener::replied(Connection& c, bool keep_alive, const char* code) {
  c.answered_at = c.taken_at = now_ms();
  c.left = loop::pending_output(c.io.get());
  c.pipelined = loop::pending_input(c.io.get()).empty() ? 0 : c.pipelined + 1;
  c.request.set(0);
  read_on(c);
  bufferevent_setwatermark(c.io.get(), EV_WRITE, 0, 0);
  // If the response is already sent, libevent does not call on_writable(). The callback is deferred because
  // the caller still uses this connection.
  if (loop::pending_output(c.io.get()) == 0)
    bufferevent_trigger(c.io.get(), EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
  if (!keep_alive) {
    c.parser.take(); // discards the partial request
    c.state = Connection::State::Closing;
    c.code = code;
    return limit(c, options_.write_ms / 4, "stalled");
  }
  c.state = Connection::State::Reading;
  limit_rest(c, c.answered_at + options_.write_ms / 4);
}

// ---- streamed responses ----

bool Listener::start_response(Handle client, proxy::ResponseHead opening) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Waiting) return false;
  c->state = Connection::State::Passing;
  const char* code = "";
  c->stays = connection_stays(*c, code);
  c->code = code;
  c->framing = opening.length ? http::Framing::Length
               : c->old       ? http::Framing::UntilClose
                              : http::Framing::Chunks;
  if (c->framing == http::Framing::UntilClose) c->stays = false;
  c->out.merge(std::move(opening.body.reservation));
  std::string head = encode(opening, c->framing, c->stays);
  const std::size_t come = opening.body.buffer.size();
  const bool chunk = c->framing == http::Framing::Chunks && come > 0;
  if (chunk) head += http::chunk_line(come);
  loop::write_or_wait(c->io.get(), head, std::move(opening.body.buffer));
  if (chunk) loop::write_or_wait(c->io.get(), http::kChunkEnd);
  c->passed = come;
  c->taken = 0;
  c->taken_at = now_ms();
  settle_output(*c);
  limit_taking(*c);
  return true;
}

std::size_t Listener::writable_bytes(Handle client) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Passing)
    return loop::IoBuffer::size(); // the bytes will be discarded
  settle_output(*c);
  const std::size_t room = c->out.available();
  if (room == 0) { // resumed when half of the window is free, or budget was released
    bufferevent_setwatermark(c->io.get(), EV_WRITE, c->out.window() / 2, 0);
    if (c->out.bytes() == 0) c->out.wait_for_bytes(c->exchange);
  }
  return room;
}

void Listener::write(Handle client, std::string_view bytes, loop::IoBuffer& block) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Passing || bytes.empty()) return;
  c->passed += bytes.size();
  const bool chunk = c->framing == http::Framing::Chunks;
  const std::string line = chunk ? http::chunk_line(bytes.size()) : std::string();
  c->out.acquire(loop::write_or_wait(c->io.get(), line, bytes, chunk ? http::kChunkEnd : "", block));
}

bool Listener::splice_from(Handle client, int socket, std::size_t most, loop::IoBuffer& block,
                           loop::Received& received, std::size_t& bytes) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Passing || c->framing == http::Framing::Chunks)
    return false;
  if (!pipe_.usable() || loop::pending_output(c->io.get()) > 0) return false;
  std::string_view rest;
  if (!pipe_.move(socket, c->io.get(), most, block, received, bytes, rest)) return false;
  if (received != loop::Received::Bytes) return true;
  c->passed += bytes;
  if (!rest.empty()) c->out.acquire(loop::write_or_wait(c->io.get(), "", rest, "", block));
  return true;
}

void Listener::end_response(Handle client, bool whole) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Passing) return;
  c->exchange = 0;
  c->taken_request.end(whole ? figures::Outcome::Answered : figures::Outcome::Errored);
  c->out.stop_waiting();
  if (c->inflow != nullptr) c->stays = false;
  drop_body(*c);
  if (!whole) {
    // If the end of the connection ends the response, only a reset shows that the response is incomplete.
    if (c->framing == http::Framing::UntilClose) loop::reset_on_close(bufferevent_getfd(c->io.get()));
    return close(*c, "answer-broken");
  }
  if (c->framing == http::Framing::Chunks) loop::write_or_wait(c->io.get(), http::kLastChunk);
  // The head is already sent, so it cannot announce that a drain closes the connection.
  replied(*c, c->stays && !draining_, c->code);
  close_rested();
}

// Releases the budget of bytes that have left the output buffer.
void Listener::settle_output(Connection& c) {
  const std::size_t waits = loop::pending_output(c.io.get());
  c.out.release(c.out.bytes() - std::min(c.out.bytes(), waits));
}

// A client that reads nothing for write_timeout_ms occupies buffers that others need, and is closed. A client
// that waits for the server is not affected.
void Listener::limit_taking(Connection& c) {
  deadlines_.cancel(c.ticket);
  c.ticket = deadlines_.at(now_ms() + options_.write_ms / 4, [this, handle = c.self] {
    Connection* late = connections_.find(handle);
    if (late == nullptr) return;
    late->ticket = 0;
    const std::size_t waits = loop::pending_output(late->io.get());
    const std::uint64_t taken = late->passed - std::min<std::uint64_t>(late->passed, waits);
    if (waits == 0 || std::exchange(late->taken, taken) < taken) late->taken_at = now_ms();
    if (now_ms() - late->taken_at < options_.write_ms) return limit_taking(*late);
    const Handle exchange = std::exchange(late->exchange, 0);
    close(*late, "stalled");
    calls_.gone(exchange);
  });
}

// Whether the client has recently read some of a complete response in the output buffer, however slowly.
bool Listener::client_takes(Connection& c) {
  const std::size_t waits = loop::pending_output(c.io.get());
  if (waits < std::exchange(c.left, waits)) c.taken_at = now_ms();
  return waits == 0 || now_ms() - c.taken_at < options_.write_ms;
}

// Called when the response has been passed to the kernel. A connection to be closed lingers first: closing
// with unread input would make the kernel reset the connection, and the client could lose the response.
void Listener::flushed(Connection& c) {
  settle_output(c);
  if (c.state == Connection::State::Passing) {
    if (c.out.may_resume()) {
      c.out.stop_waiting();
      calls_.drained(c.exchange);
    } else if (c.out.bytes() == 0) {
      c.out.wait_for_bytes(c.exchange);
    }
    return;
  }
  if (loop::pending_output(c.io.get()) > 0) return;
  if (c.state == Connection::State::Reading && !c.parser.begun()) {
    read_on(c);
    if (pass_ && pass_on(c)) return;
    clients_.on_idle(now_ms(), c.self);
    return read(c); // input received meanwhile
  }
  if (c.state != Connection::State::Closing) return;
  if (c.peer_closed) return close(c, c.code);
  linger(c, c.code);
}

} // namespace fernward::downstream
