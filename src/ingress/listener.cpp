#include "ingress/listener.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <random>
#include <stdexcept>

#include "config/address.h"
#include "ingress/codec.h"
#include "log/log.h"

namespace fernward::ingress {

using loop::Handle;
using loop::now_ms;

namespace {

constexpr double kAcceptPauseMs = 50;            // out of descriptors: the loop must not spin on accept
constexpr std::size_t kMostInput = 16 * 1024;    // read ahead of the request that is worked on
constexpr std::size_t kMostDrained = 256 * 1024; // taken from a client whose request was turned away
constexpr unsigned kMostPipelined = 2;           // requests in a row that came before the last one's answer
constexpr double kLookMs = 50;         // an attempt begun 0.1 s after its client left is one too many
constexpr double kCrossingMs = 10;     // for what has come, or been read, to be worked on by the loop
constexpr double kWatchPlacesMs = 250; // while places are short, without an answer that asks
constexpr int kMostRelieved = 4;       // connections closed at once for want of places
constexpr int kBacklog = 512;
constexpr ev_ssize_t kMostWritten = 256 * 1024; // in one go

} // namespace

Listener::Listener(event_base* base, loop::Deadlines& deadlines, budget::Account& account,
                   budget::Buffers& buffers, bodies::Account& bytes, exchange::BodyStores& bodies,
                   figures::Figures& figures, const ListenerOptions& options, Rules rules,
                   ListenerCalls calls)
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
  // Ids of two lives of a router must not meet at a node that remembers them.
  std::random_device draw;
  char prefix[32];
  std::snprintf(prefix, sizeof prefix, "r%08x%08x-", draw(), draw());
  id_prefix_ = prefix;
}

Listener::~Listener() {
  if (!unix_path_.empty()) ::unlink(unix_path_.c_str());
}

namespace {

// A path that a crash left behind is nobody's: no one takes a connection there.
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
    throw std::runtime_error("listen: no address: " + options_.address);
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

// ---- connections come ----

void Listener::accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  static_cast<Listener*>(self)->accept(fd);
}

void Listener::accept_failed(evconnlistener*, void* self) {
  const int fault = EVUTIL_SOCKET_ERROR();
  auto* const listener = static_cast<Listener*>(self);
  if (fault == EMFILE || fault == ENFILE) { // others hold what the account reckoned with
    const double now = now_ms();
    if (listener->account_.refused(now)) {
      log::line("descriptors-refused",
                {{"in_use", listener->account_.usable(now)}, {"of", listener->account_.total()}});
    }
    if (listener->let_go("table-full")) return; // the loop accepts again
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

// Nothing is due on it: no request is on its way in the socket either.
bool Listener::spareable(Handle handle) {
  Connection* c = connections_.find(handle);
  if (c == nullptr) return false;
  if (c->state == Connection::State::Lingering) return true;
  return loop::pending_input(c->io.get()).empty() &&
         loop::peek(bufferevent_getfd(c->io.get())) != loop::Peek::Data;
}

bool Listener::let_go(const char* code) {
  const auto spare = clients_.spare(now_ms(), [this](Handle handle) { return spareable(handle); });
  if (!spare) return false;
  close(*connections_.find(*spare), code);
  return true;
}

// A place for a new connection: a free one, one that the egress side has beyond its share, or one of our own.
budget::Account::Place Listener::room() {
  using Needs = budget::Account::Needs;
  const double now = now_ms();
  for (;;) { // each round lets one connection go
    const Needs needs = account_.needs(now, budget::Side::Clients);
    if (needs == Needs::Nothing) return account_.take(now, budget::Side::Clients);
    if (needs == Needs::Recall && calls_.recall()) continue;
    if (!let_go("table-full")) return {};
  }
}

void Listener::accept(int fd) {
  budget::Account::Place place = room();
  if (!place) { // the listener is paused in time: only at the end it is not
    const std::string text = encode_shed(options_.shed_retry_ms, false);
    [[maybe_unused]] const auto sent = ::send(fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::close(fd);
    log::routine("ingress-ended", {{"code", "table-full"}, {"requests", 0}, {"ms", 0}});
    return pause(kAcceptPauseMs);
  }
  Connection& c = join(fd, std::move(place));
  limit(c, options_.request_ms, "silent");
  if (!may_accept()) pause(kAcceptPauseMs); // who comes next waits before the door
}

Listener::Connection& Listener::join(int fd, budget::Account::Place place) {
  const double now = now_ms();
  const Handle handle = connections_.add(buffers_, bytes_, bodies_.keeper.rules().ceiling);
  Connection& c = *connections_.find(handle);
  evutil_make_socket_nonblocking(fd);
  loop::set_nodelay(fd);
  loop::limit_unsent(fd, options_.unsent_bytes);
  c.listener = this;
  c.self = handle;
  c.place = std::move(place);
  c.io = loop::make_bufferevent(base_, fd);
  c.opened_at = now;
  clients_.came(now, handle);
  bufferevent_setcb(c.io.get(), &Listener::readable, &Listener::written, &Listener::changed, &c);
  bufferevent_setwatermark(c.io.get(), EV_READ, 0, kMostInput);
  bufferevent_set_max_single_write(c.io.get(), kMostWritten);
  bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
  return c;
}

bool Listener::may_accept() {
  const double now = now_ms();
  return account_.needs(now, budget::Side::Clients) != budget::Account::Needs::Own ||
         clients_.spare(now, [this](Handle handle) { return spareable(handle); });
}

// While places are short, those that have rested long and are not expected back are closed.
void Listener::relieve() {
  const double now = now_ms();
  for (int i = 0; i < kMostRelieved; ++i) {
    const auto id = clients_.overdue(now);
    if (!id || !spareable(*id)) break;
    close(*connections_.find(*id), "rested-long");
  }
  watch_places();
}

// Where clients hold all the places that they may, no request comes whose answer could end a connection.
void Listener::watch_places() {
  if (watch_ != 0 || stopped_ || !clients_.tight()) return;
  watch_ = deadlines_.at(now_ms() + kWatchPlacesMs, [this] {
    watch_ = 0;
    relieve();
  });
}

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
  connection->listener->event(*connection, what);
}

void Listener::read(Connection& c) {
  const std::string_view input = loop::pending_input(c.io.get());
  if (c.state == Connection::State::Lingering || c.state == Connection::State::Closing) {
    c.drained += input.size();
    if (c.drained > kMostDrained) bufferevent_disable(c.io.get(), EV_READ); // sixty megabytes are not read
    return loop::consume_input(c.io.get(), input.size());
  }
  if (c.inflow != nullptr) return read_body(c);
  // The next request waits its turn, and until the answer before it is out: else answers could pile up here.
  if (c.state != Connection::State::Reading || input.empty() || loop::pending_output(c.io.get()) > 0) {
    // Left as it is, libevent would tell of a full input again and again: a whole core for each such client.
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
    clients_.busy(now_ms(), c.self);
    c.head_at = 0;
    c.request.set(0);
    return handle(c, c.parser.take());
  }
  if (c.parser.wants_body() && std::max<std::uint64_t>(c.parser.body().length().value_or(0),
                                                       c.parser.body().come()) > options_.short_body) {
    return begin_body(c);
  }
  if (c.head_at == 0 && c.parser.wants_body()) c.head_at = now_ms();
  if (c.parser.begun()) clients_.begun(now_ms(), c.self);
  c.request.set(c.parser.held());
  if (buffers_.over()) {
    return reply(c, encode_shed(options_.shed_retry_ms, false), false, "buffers-full");
  }
  if (fresh && c.parser.begun() && c.requests > 0) limit(c, options_.request_ms, "request-timeout");
  go_ahead(c);
}

// Until there is room again: then the caller reads on, see read_on().
void Listener::pause_reading(Connection& c) {
  bufferevent_disable(c.io.get(), EV_READ);
  if (c.look == 0) look_for_end(c);
}

void Listener::read_on(Connection& c) {
  if ((bufferevent_get_enabled(c.io.get()) & EV_READ) == 0) bufferevent_enable(c.io.get(), EV_READ);
}

// Nothing tells of the end of a client whose bytes are not read: its end stands behind them, and a reset too would be
// found by a read only.
void Listener::look_for_end(Connection& c) {
  c.look = deadlines_.at(now_ms() + kLookMs, [this, handle = c.self] {
    Connection* paused = connections_.find(handle);
    if (paused == nullptr) return;
    paused->look = 0;
    if ((bufferevent_get_enabled(paused->io.get()) & EV_READ) != 0) return;
    if (loop::peer_ended(bufferevent_getfd(paused->io.get()))) return event(*paused, BEV_EVENT_EOF);
    look_for_end(*paused);
  });
}

// Who waits to be told before sending a body is told.
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
  Decoded decoded = ingress::decode(std::move(request), rules_);
  if (decoded.status == 0 && decoded.call.id.empty())
    decoded.call.id = id_prefix_ + std::to_string(++ids_made_);
  return decoded;
}

bool Listener::admit(Connection& c, Decoded& decoded, bool whole) {
  ++c.requests;
  if (decoded.status == 0) { // it has a class: it is counted, whatever becomes of it
    c.taken_request = figures_.take(decoded.call.category);
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

void Listener::open(Connection& c, exchange::Call call) {
  clients_.asked(now_ms(), c.self);
  c.state = Connection::State::Waiting;
  // The module gives it up in time by itself.
  if (ends_by_ > 0)
    call.timeout_ms = std::max(1.0, std::min(call.timeout_ms, ends_by_ - now_ms() - call.body_ms));
  const bool whole = call.body_ms == 0;
  c.exchange = calls_.open(c.self, std::move(call));
  if (c.exchange != 0) return;
  if (!whole) return turn_away(c, 503, "", "shed");
  c.taken_request.end(figures::Outcome::Deferred);
  reply(c, encode_shed(options_.shed_retry_ms, c.keep_alive), c.keep_alive, "shed");
}

// With an answer, where one can still be given, and with the connection's end. 503: shed.
void Listener::turn_away(Connection& c, int status, const char* text, const char* code) {
  const Handle exchange = std::exchange(c.exchange, 0);
  if (c.inflow != nullptr) c.inflow->cut();
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

// Its head has come, and perhaps a first part.
void Listener::begin_body(Connection& c) {
  const http::Message& head = c.parser.message();
  const std::string come = c.parser.take_body();
  c.keep_alive = head.keep_alive && !draining_;
  c.old = head.version_1_0;
  Decoded decoded = decode(http::Message(head));
  if (!admit(c, decoded, false)) return;
  c.request.set(c.parser.held());
  c.head_at = 0;
  clients_.busy(now_ms(), c.self);
  c.begun_at = now_ms();
  c.inflow = std::make_shared<exchange::Inflow>(bodies_, c.parser.body().length());
  c.inflow->on_room([this, handle = c.self] {
    Connection* again = connections_.find(handle);
    if (again == nullptr || again->inflow == nullptr) return;
    read_on(*again);
    bufferevent_trigger(again->io.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
  });
  c.call = std::move(decoded.call);
  c.call->inflow = c.inflow;
  for (std::string_view rest = come; !rest.empty();) {
    const std::size_t most = std::min(c.inflow->room(), rest.size());
    if (most == 0) return turn_away(c, 503, "", "buffers-full");
    if (!c.inflow->put(rest.substr(0, most), block_)) return turn_away(c, 413, "body", "body-too-large");
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
    const std::size_t room = c.inflow->room();
    if (room == 0) { // the target takes it slowly
      pause_reading(c);
      break;
    }
    const http::Framer::Piece piece = body.next(input.substr(0, room));
    const bool fits = c.inflow->put(piece.body, block_);
    loop::consume_input(c.io.get(), piece.used);
    if (body.fault() == http::Fault::Malformed) return turn_away(c, 400, "malformed", "malformed");
    if (body.fault() == http::Fault::HeaderTooLarge) return turn_away(c, 431, "header", "header-too-large");
    if (!fits || body.fault() != http::Fault::None) return turn_away(c, 413, "body", "body-too-large");
  }
  flow(c);
}

// The call goes on its way, whole or while its body comes.
void Listener::flow(Connection& c) {
  const bool whole = c.parser.body().done();
  if (whole) {
    c.taken_request.whole();
    c.inflow->end();
    c.parser.take();
    c.continued = false;
    deadlines_.cancel(c.ticket);
  }
  const auto inflow = c.inflow;
  if (whole) c.inflow.reset();
  if (c.call && inflow->may_flow()) {
    exchange::Call call = std::move(*c.call);
    c.call.reset();
    c.request.set(0);
    if (!whole) {
      call.body_ms = std::max(1.0, c.begun_at + inflow->due_ms(options_.request_ms) - now_ms());
    }
    return open(c, std::move(call));
  }
  if (whole && c.exchange != 0) calls_.whole(c.exchange);
}

// So long a body may take, and longer as more of it comes.
void Listener::limit_body(Connection& c) {
  deadlines_.cancel(c.ticket);
  c.ticket = deadlines_.at(c.begun_at + c.inflow->due_ms(options_.request_ms), [this, handle = c.self] {
    Connection* late = connections_.find(handle);
    if (late == nullptr || late->inflow == nullptr) return;
    late->ticket = 0;
    if (now_ms() < late->begun_at + late->inflow->due_ms(options_.request_ms)) return limit_body(*late);
    turn_away(*late, 408, "too slow", "request-timeout");
  });
}

// ---- answers ----

// Its answer is here before all of it: nobody reads the rest, and the connection ends.
void Listener::drop_body(Connection& c) {
  if (c.inflow == nullptr) return;
  c.inflow->cut();
  c.inflow.reset();
  c.keep_alive = false;
}

// Does the connection stay after the answer that is about to be written? To be asked once for each answer.
bool Listener::keeps(Connection& c, const char*& code) {
  code = "done";
  if (!c.keep_alive || draining_) return false;
  code = "made-room";
  // A request behind this one would be lost with the connection.
  return !(clients_.ends(now_ms(), c.self) && loop::pending_input(c.io.get()).empty());
}

bool Listener::present(Handle client) {
  const Connection* c = connections_.find(client);
  return c != nullptr && !c->peer_closed && !loop::peer_ended(bufferevent_getfd(c->io.get()));
}

void Listener::answer(Handle client, exchange::Answer answer) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Waiting) return;
  c->exchange = 0;
  drop_body(*c);
  const char* code = "";
  const bool keep = keeps(*c, code);
  c->taken_request.end(answer.kind == exchange::Answer::Kind::Served    ? figures::Outcome::Answered
                       : answer.kind == exchange::Answer::Kind::Refused ? figures::Outcome::Deferred
                                                                        : figures::Outcome::Errored);
  c->out.absorb(std::move(answer.body.hold));
  const std::string head = encode(answer, keep);
  const std::size_t waits = loop::write_or_wait(c->io.get(), head, std::move(answer.body.buffer));
  c->out.give(c->out.bytes() - std::min(c->out.bytes(), waits));
  replied(*c, keep, code);
  relieve();
}

void Listener::reply(Connection& c, const std::string& text, bool keep_alive, const char* code) {
  clients_.busy(now_ms(), c.self); // until it is out
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

bool Listener::begin(Handle client, exchange::Opening opening) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Waiting) return false;
  c->state = Connection::State::Passing;
  const char* code = "";
  c->stays = keeps(*c, code);
  c->code = code;
  c->framing = opening.length ? http::Framing::Length
               : c->old       ? http::Framing::UntilClose
                              : http::Framing::Chunks;
  if (c->framing == http::Framing::UntilClose) c->stays = false;
  c->out.absorb(std::move(opening.body.hold));
  std::string head = encode(opening, c->framing, c->stays);
  const std::size_t come = opening.body.buffer.size();
  const bool chunk = c->framing == http::Framing::Chunks && come > 0;
  if (chunk) head += http::chunk_line(come);
  loop::write_or_wait(c->io.get(), head, std::move(opening.body.buffer));
  if (chunk) loop::write_or_wait(c->io.get(), http::kChunkEnd);
  c->passed = come;
  c->taken = 0;
  c->taken_at = now_ms();
  settle(*c);
  limit_taking(*c);
  return true;
}

std::size_t Listener::room(Handle client) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Passing) return loop::Block::size(); // it goes nowhere
  settle(*c);
  const std::size_t room = c->out.room();
  if (room == 0) { // it is told once half of the window is free, or another has given back
    bufferevent_setwatermark(c->io.get(), EV_WRITE, c->out.window() / 2, 0);
    if (c->out.bytes() == 0) c->out.wait(c->exchange);
  }
  return room;
}

void Listener::pass(Handle client, std::string_view bytes, loop::Block& block) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Passing || bytes.empty()) return;
  c->passed += bytes.size();
  const bool chunk = c->framing == http::Framing::Chunks;
  const std::string line = chunk ? http::chunk_line(bytes.size()) : std::string();
  c->out.take(loop::write_or_wait(c->io.get(), line, bytes, chunk ? http::kChunkEnd : "", block));
}

bool Listener::pass_from(Handle client, int socket, std::size_t most, loop::Block& block,
                         loop::Received& received, std::size_t& bytes) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Passing || c->framing == http::Framing::Chunks)
    return false;
  if (!pipe_.usable() || loop::pending_output(c->io.get()) > 0) return false;
  std::string_view rest;
  if (!pipe_.move(socket, c->io.get(), most, block, received, bytes, rest)) return false;
  if (received != loop::Received::Bytes) return true;
  c->passed += bytes;
  if (!rest.empty()) c->out.take(loop::write_or_wait(c->io.get(), "", rest, "", block));
  return true;
}

void Listener::end(Handle client, bool whole) {
  Connection* c = connections_.find(client);
  if (c == nullptr || c->state != Connection::State::Passing) return;
  c->exchange = 0;
  c->taken_request.end(whole ? figures::Outcome::Answered : figures::Outcome::Errored);
  c->out.go_on();
  if (c->inflow != nullptr) c->stays = false;
  drop_body(*c);
  if (!whole) {
    // Where the end of the connection is the end of the answer, only a reset tells that it is not whole.
    if (c->framing == http::Framing::UntilClose) loop::reset_on_close(bufferevent_getfd(c->io.get()));
    return close(*c, "answer-broken");
  }
  if (c->framing == http::Framing::Chunks) loop::write_or_wait(c->io.get(), http::kLastChunk);
  replied(*c, c->stays && !draining_, c->code); // its head is out: that the connection ends shows by itself
  relieve();
}

// What the client has taken goes back to the account.
void Listener::settle(Connection& c) {
  const std::size_t waits = loop::pending_output(c.io.get());
  c.out.give(c.out.bytes() - std::min(c.out.bytes(), waits));
}

// A client that takes nothing for so long holds what others could have. One that waits for its target is not at
// fault.
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
bool Listener::takes(Connection& c) {
  const std::size_t waits = loop::pending_output(c.io.get());
  if (waits < std::exchange(c.left, waits)) c.taken_at = now_ms();
  return waits == 0 || now_ms() - c.taken_at < options_.write_ms;
}

// All that was to be said is with the kernel. Closed at once, bytes still unread here would make the kernel
// reset the connection, and the client could lose the answer.
void Listener::flushed(Connection& c) {
  settle(c);
  if (c.state == Connection::State::Passing) {
    if (c.out.may_go_on()) {
      c.out.go_on();
      calls_.drained(c.exchange);
    } else if (c.out.bytes() == 0) {
      c.out.wait(c.exchange);
    }
    return;
  }
  if (loop::pending_output(c.io.get()) > 0) return;
  if (c.state == Connection::State::Reading && !c.parser.begun()) {
    read_on(c);
    if (pass_ && pass_on(c)) return;
    clients_.rests(now_ms(), c.self);
    return read(c); // what the client has sent meanwhile
  }
  if (c.state != Connection::State::Closing) return;
  if (c.peer_closed) return close(c, c.code);
  linger(c, c.code);
}

// The end of a connection on which nothing more is to be said. What comes from now on is read and dropped until the
// client ends it too: closed over unread bytes, a request that crosses the end would become a reset, which may take
// with it what the client has not read yet. Only a place that is needed at once is taken without this, see let_go().
void Listener::linger(Connection& c, const char* code) {
  c.state = Connection::State::Lingering;
  c.code = code;
  clients_.lingers(now_ms(), c.self);
  shutdown(bufferevent_getfd(c.io.get()), SHUT_WR);
  limit(c, options_.linger_ms, code);
}

void Listener::event(Connection& c, short what) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  const bool reset = (what & BEV_EVENT_ERROR) != 0;
  c.peer_closed = true;
  switch (c.state) {
    case Connection::State::Waiting:
    case Connection::State::Passing: {
      const Handle exchange = std::exchange(c.exchange, 0);
      if (c.inflow != nullptr) c.inflow->cut(); // in the middle of a body that already flows
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
    if (late->state == Connection::State::Closing && takes(*late))
      return limit(*late, options_.write_ms / 4, code);
    if (late->state == Connection::State::Reading && late->parser.begun()) {
      // A body may take its time as long as it comes.
      const double come = static_cast<double>(late->parser.message().body.size());
      const double due = late->head_at + options_.body_ms + come / options_.body_rate;
      if (late->head_at > 0 && now_ms() < due) return limit(*late, due - now_ms(), code);
      return reply(*late, encode_fault(408, "too slow"), false, "request-timeout");
    }
    if (late->state != Connection::State::Reading) return close(*late, code);
    spareable(handle) ? linger(*late, code) : limit(*late, kCrossingMs, code);
  });
}

// Between requests, from an answer on: first the client has to take that answer.
void Listener::limit_rest(Connection& c, double when) {
  deadlines_.cancel(c.ticket);
  c.ticket = deadlines_.at(when, [this, handle = c.self] {
    Connection* late = connections_.find(handle);
    if (late == nullptr) return;
    late->ticket = 0;
    if (loop::pending_output(late->io.get()) > 0) {
      return takes(*late) ? limit_rest(*late, now_ms() + options_.write_ms / 4) : close(*late, "stalled");
    }
    const double idle_at = late->answered_at + options_.idle_ms;
    if (now_ms() < idle_at) return limit_rest(*late, idle_at);
    // A request that has come in this very moment is worked on before its connection ends.
    spareable(handle) ? linger(*late, "idle") : limit_rest(*late, now_ms() + kCrossingMs);
  });
}

void Listener::close(Connection& c, const char* code) {
  log::routine("ingress-ended", {{"code", code}, {"requests", c.requests}, {"ms", now_ms() - c.opened_at}});
  deadlines_.cancel(c.ticket);
  deadlines_.cancel(c.look);
  // A client that leaves, or asked for the end, makes room of itself.
  const bool left = c.peer_closed || !c.keep_alive;
  clients_.gone(now_ms(), c.self, left ? budget::Clients::Gone::Left : budget::Clients::Gone::Closed);
  connections_.remove(c.self);
  resume();
  if (stopped_ && connections_.size() == 0) calls_.emptied();
}

// ---- replacing the process ----

void Listener::hold(bool held) {
  held_ = held;
  if (listener_ == nullptr || paused_) return;
  held ? evconnlistener_disable(listener_.get()) : evconnlistener_enable(listener_.get());
}

// Nothing of a request has been read, and nothing of an answer waits: all that there is of it is in the socket.
bool Listener::rests(Connection& c) {
  return c.state == Connection::State::Reading && !c.parser.begun() &&
         loop::pending_input(c.io.get()).empty() && loop::pending_output(c.io.get()) == 0;
}

bool Listener::pass_on(Connection& c) {
  if (!rests(c)) return false;
  const int fd = bufferevent_getfd(c.io.get());
  bufferevent_disable(c.io.get(), EV_READ | EV_WRITE); // else its event would outlive the descriptor here
  if (!pass_(fd, c.requests)) {
    bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
    return false;
  }
  bufferevent_setfd(c.io.get(), -1);
  close(c, "passed-on");
  return true;
}

void Listener::hand_over(Pass pass) {
  pass_ = std::move(pass);
  stopped_ = true;
  deadlines_.cancel(resume_);
  deadlines_.cancel(watch_);
  listener_.reset(); // whoever shares it goes on accepting
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
  budget::Account::Place place = room();
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
  clients_.asked(c.answered_at, c.self);
  clients_.rests(c.answered_at, c.self);
  limit_rest(c, c.answered_at + options_.idle_ms);
  return true;
}

// ---- the end ----

void Listener::drain() { draining_ = true; }

void Listener::stop_accepting() {
  if (listener_ == nullptr) return;
  // What the kernel has taken for this router is taken: closing the socket would reset it.
  const int listening = evconnlistener_get_fd(listener_.get());
  for (;;) {
    const int fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      accept(fd);
    } else if ((errno != EMFILE && errno != ENFILE) || !let_go("table-full")) {
      break; // with descriptors short, who rests gives way as before
    }
  }
  deadlines_.cancel(resume_);
  deadlines_.cancel(watch_);
  listener_.reset();
  if (!unix_path_.empty()) ::unlink(unix_path_.c_str());
  unix_path_.clear();
  stopped_ = true; // who leaves last from now on ends it all
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

} // namespace fernward::ingress
