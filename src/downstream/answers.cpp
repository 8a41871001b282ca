// Answers as they are written, whole or while they pass through, and what clients have taken of them.
#include <algorithm>
#include <string>
#include <utility>

#include "downstream/codec.h"
#include "downstream/listener.h"

namespace fernward::downstream {

using loop::Handle;
using loop::now_ms;

// ---- answers ----

// Its answer is here before all of it: nobody reads the rest, and the connection ends.
void Listener::drop_body(Connection& c) {
  if (c.inflow == nullptr) return;
  c.inflow->abort();
  c.inflow.reset();
  c.keep_alive = false;
}

// Does the connection stay after the answer that is about to be written? To be asked once for each answer.
bool Listener::connection_stays(Connection& c, const char*& code) {
  code = "done";
  if (!c.keep_alive || draining_) return false;
  code = "made-room";
  // A request behind this one would be lost with the connection.
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
  clients_.on_request_active(now_ms(), c.self); // until it is out
  loop::write_or_wait(c.io.get(), text);
  replied(c, keep_alive, code);
}

// All of an answer has been written, or waits in the output.
void Listener::replied(Connection& c, bool keep_alive, const char* code) {
  c.answered_at = c.taken_at = now_ms();
  c.left = loop::pending_output(c.io.get());
  c.pipelined = loop::pending_input(c.io.get()).empty() ? 0 : c.pipelined + 1;
  c.request.set(0);
  read_on(c);
  bufferevent_setwatermark(c.io.get(), EV_WRITE, 0, 0);
  // Where it is out already, libevent will not tell so; and the caller still uses this connection.
  if (loop::pending_output(c.io.get()) == 0)
    bufferevent_trigger(c.io.get(), EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
  if (!keep_alive) {
    c.parser.take(); // what it holds is of no more use
    c.state = Connection::State::Closing;
    c.code = code;
    return limit(c, options_.write_ms / 4, "stalled");
  }
  c.state = Connection::State::Reading;
  limit_rest(c, c.answered_at + options_.write_ms / 4);
}

// ---- answers that pass through ----

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
    return loop::IoBuffer::size(); // it goes nowhere
  settle_output(*c);
  const std::size_t room = c->out.available();
  if (room == 0) { // it is told once half of the window is free, or another has given back
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
    // Where the end of the connection is the end of the answer, only a reset tells that it is not whole.
    if (c->framing == http::Framing::UntilClose) loop::reset_on_close(bufferevent_getfd(c->io.get()));
    return close(*c, "answer-broken");
  }
  if (c->framing == http::Framing::Chunks) loop::write_or_wait(c->io.get(), http::kLastChunk);
  replied(*c, c->stays && !draining_, c->code); // its head is out: that the connection ends shows by itself
  close_rested();
}

// What the client has taken goes back to the account.
void Listener::settle_output(Connection& c) {
  const std::size_t waits = loop::pending_output(c.io.get());
  c.out.release(c.out.bytes() - std::min(c.out.bytes(), waits));
}

// A client that takes nothing for so long holds what others could have. One that waits for its target is not
// at fault.
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

// Of a whole answer that waits: its client has taken some of it lately, however slowly.
bool Listener::client_takes(Connection& c) {
  const std::size_t waits = loop::pending_output(c.io.get());
  if (waits < std::exchange(c.left, waits)) c.taken_at = now_ms();
  return waits == 0 || now_ms() - c.taken_at < options_.write_ms;
}

// All that was to be said is with the kernel. Closed at once, bytes still unread here would make the kernel
// reset the connection, and the client could lose the answer.
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
    return read(c); // what the client has sent meanwhile
  }
  if (c.state != Connection::State::Closing) return;
  if (c.peer_closed) return close(c, c.code);
  linger(c, c.code);
}

} // namespace fernward::downstream
