#include "upstream/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "log/log.h"
#include "upstream/codec.h"

namespace fernward::upstream {

using fernward::AttemptResult;
using fernward::ServerState;
using loop::Handle;
using loop::now_ms;

namespace {

constexpr int kTurns = 8; // blocks read from one connection before others have their turn
constexpr std::size_t kMostAhead = 128 * 1024; // of a call's body that waits to be written
constexpr std::uint64_t kLongStretch = 128 * 1024;
constexpr std::size_t kMostSkipped = 64 * 1024; // of a body that nobody wants, to keep its connection

// With bytes behind an answer the next one could not be told apart.
const char* behind(std::size_t bytes) { return bytes > 0 ? "bytes-behind" : nullptr; }

} // namespace

ConnectionPool::ConnectionPool(event_base* base, loop::TimerQueue& deadlines,
                               descriptors::DescriptorBudget& account, body_buffers::BufferBudget& bytes,
                               figures::Figures& figures, const ConnectionPoolOptions& options,
                               proxy::AttemptCallbacks& attempts, Recall recall)
    : base_(base),
      deadlines_(deadlines),
      account_(account),
      bytes_(bytes),
      figures_(figures),
      options_(options),
      attempts_(attempts),
      recall_(std::move(recall)),
      connections_(account.total()),
      rests_(options.idle_ms) {}

bool ConnectionPool::in_service(fernward::ServerId target) const {
  const auto it = targets_.find(target);
  return it != targets_.end() && it->second.entry.state == ServerState::Ready;
}

// Does it lead to where the target is now?
bool ConnectionPool::leads_there(const UpstreamConnection& c) const {
  return in_service(c.target) && targets_.at(c.target).address == c.address;
}

void ConnectionPool::update(const std::map<fernward::ServerId, endpoints::Endpoint>& targets) {
  std::vector<fernward::ServerId> gone;
  for (const auto& [id, target] : targets_) {
    if (!targets.contains(id)) gone.push_back(id);
  }
  for (const fernward::ServerId id : gone) update(id, nullptr);
  for (const auto& [id, target] : targets) update(id, &target);
}

void ConnectionPool::update(fernward::ServerId id, const endpoints::Endpoint* now) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    if (now != nullptr) targets_.emplace(id, *now);
    return;
  }
  if (now == nullptr) {
    targets_.erase(found);
    close_free(id, "not-in-service");
    rests_.forget(id);
    return;
  }
  const endpoints::Endpoint was = std::exchange(found->second, *now);
  if (now->entry.state != ServerState::Ready) {
    close_free(id, "not-in-service");
  } else if (now->address != was.address || now->entry.started_at != was.entry.started_at) {
    close_free(id, "restarted"); // these lead to the process before
    rests_.forget(id);
  }
}

const endpoints::Endpoint* ConnectionPool::target(fernward::ServerId id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

// ---- an attempt ----

proxy::UpstreamConnections::StartResult ConnectionPool::start(Handle attempt, fernward::ServerId target,
                                                              const proxy::ClientRequestPtr& call,
                                                              double deadline) {
  if (!in_service(target)) return StartResult::NoEndpoint;
  UpstreamConnection* c = reusable(target);
  if (c == nullptr) {
    descriptors::DescriptorBudget::Place place = room();
    const int fd = place ? open_socket() : -1;
    if (fd < 0) return StartResult::LocalLimit; // this process's own want: no fault of the target's
    StartResult why = StartResult::NoEndpoint;
    c = open(targets_.at(target), std::move(place), fd, why);
    if (c == nullptr) return why;
  }
  assign(*c, attempt, call, deadline);
  return StartResult::Started;
}

// A place for a new connection: a free one, one that the clients have beyond their share, or one of our own.
descriptors::DescriptorBudget::Place ConnectionPool::room() {
  using Needs = descriptors::DescriptorBudget::Needs;
  const double now = now_ms();
  for (;;) { // each round lets one connection go
    const Needs needs = account_.needs(now, descriptors::Side::Targets);
    if (needs == Needs::Nothing) return account_.take(now, descriptors::Side::Targets);
    if (needs == Needs::Recall && recall_()) continue;
    if (!let_go("table-full")) return {};
  }
}

// -1: the system grants none, even after something was let go for it.
int ConnectionPool::open_socket() {
  for (int tries = 0;; ++tries) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0 || tries == 2) return fd;
    const double now = now_ms();
    if (account_.refused(now)) {
      log::line("descriptors-refused", {{"in_use", account_.usable(now)}, {"of", account_.total()}});
    }
    if (!let_go("table-full") && !recall_()) return -1;
  }
}

void ConnectionPool::assign(UpstreamConnection& c, Handle attempt, const proxy::ClientRequestPtr& call,
                            double deadline) {
  make_busy(c);
  c.attempt = attempt;
  c.call = call;
  c.deadline = deadline;
  c.paused_ms = 0;
  c.assigned_at = now_ms();
  c.first = c.served == 0;
  c.sent = true;
  by_attempt_[attempt] = c.self;
  if (c.up) write(c);
}

// The newest free connection that is not stale: the oldest are left to run out.
ConnectionPool::UpstreamConnection* ConnectionPool::reusable(fernward::ServerId target) {
  const double now = now_ms();
  drop_rested(target, now);
  auto& free = free_[target];
  for (const bool up : {true, false}) {
    for (std::size_t i = free.size(); i-- > 0;) {
      UpstreamConnection* c = connections_.find(free[i]);
      if (c == nullptr || c->up != up) continue;
      if (up && loop::peek(bufferevent_getfd(c->io.get())) != loop::Peek::Quiet) {
        close(*c, "stale"); // takes it out of `free`
        i = std::min(i, free.size());
        continue;
      }
      if (up) {
        using Use = idle_connections::IdleLifetimeEstimator::Use;
        const Use use = rests_.use(now, target, now - c->rested_at);
        if (use == Use::No) break; // those before it have rested longer
        c->rested_ms = now - c->rested_at;
        c->trial = use == Use::Trial;
      }
      free.erase(free.begin() + static_cast<std::ptrdiff_t>(i));
      if (up) deadlines_.cancel(c->ticket); // one that is coming up keeps its time-out
      return c;
    }
  }
  return nullptr;
}

// What has rested too long to be written to; of free connections, those that came up stand in the order of
// rest.
void ConnectionPool::drop_rested(fernward::ServerId target, double now) {
  const auto it = free_.find(target);
  if (it == free_.end() || it->second.empty()) return;
  const double hold = rests_.hold_ms(now, target);
  std::vector<Handle> late;
  for (const Handle handle : it->second) {
    const UpstreamConnection* c = connections_.find(handle);
    if (c == nullptr || !c->up) continue;
    if (now - c->rested_at < hold) break;
    late.push_back(handle);
  }
  for (const Handle handle : late) close(*connections_.find(handle), "rested");
}

// What its request came to, for the next ones that find a connection at rest.
void ConnectionPool::learn(const UpstreamConnection& c, bool reset) {
  if (targets_.count(c.target) == 0) return; // nothing stays of one that is gone
  if (c.rested_ms < 0) return rests_.first_use(now_ms(), c.target, reset);
  reset_after_rest_ += reset;
  rests_.used_again(now_ms(), c.target, c.rested_ms, c.trial, reset);
}

// `fd` is the connection's from here on.
ConnectionPool::UpstreamConnection* ConnectionPool::open(const endpoints::Endpoint& target,
                                                         descriptors::DescriptorBudget::Place place, int fd,
                                                         StartResult& why) {
  const Handle handle = connections_.add(options_.answers.max_body_bytes);
  UpstreamConnection& c = *connections_.find(handle);
  c.pool = this;
  c.self = handle;
  c.place = std::move(place);
  c.entry = c.seat.insert(c.seat.end(), handle);
  c.target = target.entry.id;
  c.name = target.name;
  c.address = target.address;
  c.booted_at = target.entry.started_at;
  c.opened_at = now_ms();
  c.io = loop::make_bufferevent(base_, fd);
  loop::set_nodelay(fd);
  if (options_.receive_bytes > 0) loop::limit_received(fd, options_.receive_bytes);
  bufferevent_setcb(c.io.get(), &ConnectionPool::readable, &ConnectionPool::written, &ConnectionPool::changed,
                    &c);
  if (bufferevent_socket_connect(c.io.get(), reinterpret_cast<const sockaddr*>(&target.where),
                                 sizeof target.where) != 0) {
    // No port or no memory for it on this machine: as little the target's fault as a want of descriptors.
    const bool ours = errno == EADDRNOTAVAIL || errno == ENOBUFS || errno == ENOMEM || errno == EAGAIN;
    if (ours) why = StartResult::LocalLimit;
    close(c, ours ? "not-from-here" : "connect-failed");
    return nullptr;
  }
  ++opened_;
  c.ticket = deadlines_.at(c.opened_at + options_.connect_timeout_ms, [this, handle] {
    if (UpstreamConnection* late = connections_.find(handle)) {
      late->ticket = 0;
      lose(*late, AttemptResult::ConnectFailed, "connect-timeout");
    }
  });
  return &c;
}

bool ConnectionPool::let_go(const char* code) {
  if (resting_.empty()) return false;
  close(*connections_.find(resting_.front()), code);
  return true;
}

void ConnectionPool::make_free(UpstreamConnection& c) {
  free_[c.target].push_back(c.self);
  resting_.splice(resting_.end(), c.seat);
}

void ConnectionPool::make_busy(UpstreamConnection& c) {
  if (c.seat.empty()) c.seat.splice(c.seat.begin(), resting_, c.entry);
}

// Head and body go out in one go; of a long body as much as has come.
void ConnectionPool::write(UpstreamConnection& c) {
  loop::write_or_wait(c.io.get(), encode(*c.call, targets_.at(c.target).address, c.deadline - now_ms()));
  c.counted = false;
  if (c.call->streamed_body == nullptr) return count_sent(c);
  c.sent = false;
  c.written_at = c.taken_at = now_ms();
  c.taken = 0;
  limit_taking(c);
  bufferevent_setwatermark(c.io.get(), EV_WRITE, kMostAhead / 2, 0);
  c.upload = c.call->streamed_body->add_reader([this, handle = c.self] {
    if (UpstreamConnection* more = connections_.find(handle)) send_body(*more);
  });
  send_body(c);
}

// Never ends the connection: it is called from within the client's.
void ConnectionPool::send_body(UpstreamConnection& c) {
  using Got = proxy::RequestBody::Reader::ReadResult;
  const bool chunks = !c.call->streamed_body->length();
  while (!c.sent && loop::pending_output(c.io.get()) < kMostAhead) {
    std::size_t bytes = 0;
    char* const into = block_.data();
    const Got got = c.upload->read(into, loop::IoBuffer::size(), bytes);
    if (got == Got::Pending) return;
    if (got == Got::Unavailable) {
      deadlines_.at(now_ms(), [this, handle = c.self] { // a request that is not whole has not run
        UpstreamConnection* cut = connections_.find(handle);
        if (cut != nullptr && !cut->sent) lose(*cut, AttemptResult::ConnectFailed, "body-lost");
      });
      return;
    }
    if (got == Got::End) {
      if (chunks) loop::write_or_wait(c.io.get(), http::kLastChunk);
      c.sent = true;
      c.paused_ms += now_ms() - c.written_at; // its target could not begin before
      return count_sent(c);
    }
    const std::string line = chunks ? http::chunk_line(bytes) : std::string();
    loop::write_or_wait(c.io.get(), line, {into, bytes}, chunks ? http::kChunkEnd : "", block_);
  }
}

// What waits in this process's buffers has not been sent: its connection may still break.
void ConnectionPool::count_sent(UpstreamConnection& c) {
  if (c.counted || unsent(c)) return;
  c.counted = true;
  figures_.sent();
}

bool ConnectionPool::unsent(const UpstreamConnection& c) {
  return !c.sent || loop::pending_output(c.io.get()) > 0;
}

proxy::UpstreamConnections::ClientPause ConnectionPool::cancel(Handle attempt) {
  const auto it = by_attempt_.find(attempt);
  if (it == by_attempt_.end()) return {};
  UpstreamConnection* c = connections_.find(it->second);
  by_attempt_.erase(it);
  if (c == nullptr) return {};
  c->attempt = 0;
  const double since = c->stopped ? c->stopped_at : c->written_at;
  const ClientPause pause{c->paused_ms + (c->stopped || !c->sent ? now_ms() - since : 0),
                          c->stopped || !c->sent};
  if (c->up) { // an answer is due on it: it never goes back to the pool
    close(*c, c->stopped ? "client-slow" : c->parser.begun() ? "never-ended" : "given-up");
  } else {
    c->call.reset();
    make_free(*c); // nothing was sent: the next attempt may have it
  }
  return pause;
}

// ---- what the socket tells ----

void ConnectionPool::readable(bufferevent*, void* c) {
  auto* connection = static_cast<UpstreamConnection*>(c);
  connection->pool->read(*connection);
}

void ConnectionPool::written(bufferevent*, void* c) {
  auto* connection = static_cast<UpstreamConnection*>(c);
  if (!connection->sent) connection->pool->send_body(*connection);
  connection->pool->count_sent(*connection);
}

void ConnectionPool::changed(bufferevent*, short what, void* c) {
  auto* connection = static_cast<UpstreamConnection*>(c);
  connection->pool->event(*connection, what);
}

void ConnectionPool::event(UpstreamConnection& c, short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) return came_up(c);
  if (!c.up) return lose(c, AttemptResult::ConnectFailed, "connect-failed");
  if (c.attempt == 0) return close(c, "peer-closed"); // seen in time: it costs no request
  const bool eof = (what & BEV_EVENT_EOF) != 0;
  if (eof && c.stopped) return; // what came before it has not been taken yet; it is found again
  if (eof && c.parser.end_of_input()) return answered(c, "peer-said-close");
  if (!c.parser.begun()) learn(c, true); // else it was alive after its rest
  // While its last byte waits here, the request can't have run.
  if (unsent(c)) return lose(c, AttemptResult::ConnectFailed, "broke-unsent");
  lose(c, AttemptResult::Reset, eof ? "cut-off" : "reset");
}

void ConnectionPool::came_up(UpstreamConnection& c) {
  if (const Handle late = c.attempt; late != 0 && !attempts_.may_write_request(late)) {
    cancel(late); // while it was not up: nothing of it goes out, and the connection rests
    proxy::AttemptCompletion ending;
    ending.result = AttemptResult::Abandoned;
    attempts_.on_attempt_complete(late, std::move(ending));
  }
  c.up = true;
  deadlines_.cancel(c.ticket);
  bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
  // Its target may have been withdrawn meanwhile, or have moved: nothing new goes there.
  if (!leads_there(c)) return lose(c, AttemptResult::ConnectFailed, "not-in-service");
  if (c.attempt != 0) return write(c);
  unpool(c);
  make_busy(c);
  rest(c);
}

void ConnectionPool::read(UpstreamConnection& c) {
  std::string_view input = loop::pending_input(c.io.get());
  if (c.attempt == 0) return close(c, input.empty() ? "peer-closed" : "unasked-bytes");
  if (c.stopped) return;
  if (!c.parser.head_done()) {
    loop::consume_input(c.io.get(), c.parser.feed_head(input));
    if (c.parser.fault() != http::Fault::None) return spoilt(c);
    if (!c.parser.head_done()) return;
    if (!head_came(c)) return;
    input = loop::pending_input(c.io.get());
  }
  while (!input.empty() || c.parser.done()) {
    const std::size_t most = std::min(input.size(), room(c));
    if (c.stopped) return;
    std::string_view part = input.substr(0, most);
    const Taken taken = take(c, part);
    if (taken == Taken::Gone) return;
    loop::consume_input(c.io.get(), most);
    if (taken == Taken::Whole) return answered(c, behind(part.size() + input.size() - most));
    input = loop::pending_input(c.io.get());
  }
  read_on(c);
}

// Straight from the socket, block by block: libevent would take 4 KB at a time.
void ConnectionPool::read_on(UpstreamConnection& c) {
  for (int turn = 0; turn < kTurns; ++turn) { // then others have theirs
    const std::size_t most = std::min(loop::IoBuffer::size(), room(c));
    if (c.stopped) return;
    const int socket = bufferevent_getfd(c.io.get());
    std::size_t bytes = 0;
    loop::Received received = loop::Received::Nothing;
    const bool moved = c.way == UpstreamConnection::Way::Pass && c.parser.body().straight() >= most &&
                       attempts_.splice_from(c.attempt, socket, most, block_, received, bytes);
    if (!moved) received = loop::receive(socket, block_.data(), most, bytes);
    if (received == loop::Received::Broken) return event(c, BEV_EVENT_ERROR | BEV_EVENT_READING);
    if (received == loop::Received::Ended && c.direct != nullptr)
      return event(c, BEV_EVENT_EOF | BEV_EVENT_READING);
    if (received != loop::Received::Bytes) break; // an end is found again by libevent
    if (moved) {
      c.parser.body().skipped(bytes);
      c.given_at = now_ms();
      if (c.parser.done()) return answered(c, nullptr);
    } else {
      std::string_view part(block_.data(), bytes);
      const Taken taken = take(c, part);
      if (taken == Taken::Gone) return;
      if (taken == Taken::Whole) return answered(c, behind(part.size()));
    }
    if (bytes < most) break;
  }
  read_directly(c, c.parser.body().straight() > kLongStretch);
}

// Past libevent's buffer while a long stretch of body is due, by it else.
void ConnectionPool::read_directly(UpstreamConnection& c, bool directly) {
  if (directly == (c.direct != nullptr)) return;
  if (directly) {
    bufferevent_disable(c.io.get(), EV_READ);
    c.direct.reset(
        event_new(base_, bufferevent_getfd(c.io.get()), EV_READ | EV_PERSIST, &ConnectionPool::directly, &c));
    if (c.direct == nullptr || event_add(c.direct.get(), nullptr) != 0) throw std::bad_alloc();
  } else {
    c.direct.reset();
    bufferevent_enable(c.io.get(), EV_READ);
  }
}

void ConnectionPool::directly(int, short, void* c) {
  auto* connection = static_cast<UpstreamConnection*>(c);
  connection->pool->read_on(*connection);
}

// Its head says what it means and what becomes of its body.
bool ConnectionPool::head_came(UpstreamConnection& c) {
  count_sent(c);
  const http::Message& head = c.parser.message();
  // Before the request is out nothing can have been made for it: these are the leavings of the one before.
  if (head.status == 200 && unsent(c)) {
    lose(c, AttemptResult::ConnectFailed, "early-answer");
    return false;
  }
  learn(c, false);
  c.ending = decode(head, options_.report_fields);
  c.waiting = {{}, body_buffers::BufferBudget::Reservation(bytes_)};
  c.way =
      c.ending.result == AttemptResult::Ok ? UpstreamConnection::Way::Wait : UpstreamConnection::Way::Skip;
  if (c.way == UpstreamConnection::Way::Wait) c.wait_until = attempts_.buffer_until(c.attempt);
  const auto length = c.parser.body().length();
  if (c.way == UpstreamConnection::Way::Wait && (!length || *length > options_.answers.min_start_bytes)) {
    // Whoever gives nothing more for a while is found here, not by what comes next.
    deadlines_.cancel(c.ticket);
    c.ticket = deadlines_.at(c.wait_until, [this, handle = c.self] {
      UpstreamConnection* late = connections_.find(handle);
      if (late == nullptr) return;
      late->ticket = 0;
      if (late->way == UpstreamConnection::Way::Wait) step(*late);
    });
  }
  return step(c);
}

// How many bytes may be read now. None: reading stops until the client has taken some.
std::size_t ConnectionPool::room(UpstreamConnection& c) {
  if (c.way == UpstreamConnection::Way::Wait) {
    if (const std::size_t room = c.waiting.reservation.available(); room > 0) return room;
    begin(c);
  }
  if (c.way == UpstreamConnection::Way::Skip) return loop::IoBuffer::size();
  const std::size_t room = attempts_.writable_bytes(c.attempt);
  if (room == 0) {
    bufferevent_disable(c.io.get(), EV_READ);
    if (c.direct != nullptr) event_del(c.direct.get());
    c.stopped = true;
    c.stopped_at = now_ms();
  }
  return room;
}

void ConnectionPool::resume_reading(Handle attempt) {
  const auto it = by_attempt_.find(attempt);
  UpstreamConnection* c = it == by_attempt_.end() ? nullptr : connections_.find(it->second);
  if (c == nullptr || !c->stopped) return;
  c->stopped = false;
  c->paused_ms += now_ms() - c->stopped_at;
  // From the loop: the client's connection that has room now is still in use by the caller.
  if (c->direct != nullptr) {
    event_add(c->direct.get(), nullptr);
    event_active(c->direct.get(), EV_READ, 0);
    return;
  }
  bufferevent_enable(c->io.get(), EV_READ);
  bufferevent_trigger(c->io.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
}

// Takes from `bytes`, no more than there is room for, up to the end of the answer.
ConnectionPool::Taken ConnectionPool::take(UpstreamConnection& c, std::string_view& bytes) {
  http::Framer& body = c.parser.body();
  c.given_at = now_ms();
  while (!bytes.empty() && !body.done()) {
    const http::Framer::Piece piece = body.next(bytes);
    bytes.remove_prefix(piece.used);
    if (c.way == UpstreamConnection::Way::Wait && !c.waiting.reservation.acquire(piece.body.size())) begin(c);
    if (c.way == UpstreamConnection::Way::Wait) {
      c.waiting.buffer.add(piece.body, block_);
    } else if (c.way == UpstreamConnection::Way::Pass) {
      attempts_.write(c.attempt, piece.body, block_);
    }
    if (body.fault() != http::Fault::None) {
      spoilt(c);
      return Taken::Gone;
    }
    if (!step(c)) return Taken::Gone;
  }
  return body.done() ? Taken::Whole : Taken::More;
}

// Does the answer that waits begin? False: the attempt has ended.
bool ConnectionPool::step(UpstreamConnection& c) {
  const http::Framer& body = c.parser.body();
  if (c.way == UpstreamConnection::Way::Skip) {
    if (std::max(body.come(), body.length().value_or(0)) <= kMostSkipped) return true;
    answered(c, "long-remains"); // a new connection is cheaper than reading that
    return false;
  }
  if (c.way == UpstreamConnection::Way::Pass) return true;
  body_buffers::ResponseProgress facts;
  facts.announced_length = body.length();
  facts.received_bytes = body.come();
  facts.complete = body.done();
  facts.may_wait = now_ms() < c.wait_until;
  facts.window = c.waiting.reservation.window();
  facts.available = c.waiting.reservation.available();
  switch (body_buffers::next_step(options_.answers, facts)) {
    case body_buffers::ResponseStep::Buffer: break;
    case body_buffers::ResponseStep::Start:
      if (!facts.complete) begin(c);
      break;
    case body_buffers::ResponseStep::TooLarge: lose(c, AttemptResult::Error, "too-large"); return false;
  }
  return true;
}

void ConnectionPool::begin(UpstreamConnection& c) {
  proxy::ResponseHead opening;
  opening.content_type = c.ending.content_type;
  opening.length = c.parser.body().length();
  opening.body = std::move(c.waiting);
  c.way = attempts_.start_response(c.attempt, std::move(opening)) ? UpstreamConnection::Way::Pass
                                                                  : UpstreamConnection::Way::Skip;
  c.given_at = now_ms();
  limit_silence(c);
}

// An answer on its way has no deadline but this: its node must go on giving, while its client goes on taking.
void ConnectionPool::limit_silence(UpstreamConnection& c) {
  deadlines_.cancel(c.ticket);
  c.ticket = deadlines_.at(now_ms() + options_.silent_ms / 4, [this, handle = c.self] {
    UpstreamConnection* late = connections_.find(handle);
    if (late == nullptr) return;
    late->ticket = 0;
    if (late->stopped) late->given_at = now_ms();
    if (now_ms() - late->given_at < options_.silent_ms) return limit_silence(*late);
    lose(*late, AttemptResult::TimedOut, "fell-silent");
  });
}

// A body on its way has no deadline but its client's pace: its target must go on taking what has come. One that has not
// had the last byte has not run it.
void ConnectionPool::limit_taking(UpstreamConnection& c) {
  deadlines_.cancel(c.ticket);
  c.ticket = deadlines_.at(now_ms() + options_.silent_ms / 4, [this, handle = c.self] {
    UpstreamConnection* late = connections_.find(handle);
    if (late == nullptr) return;
    late->ticket = 0;
    if (late->upload == nullptr || !unsent(*late) || late->parser.head_done()) return;
    const std::size_t waits = loop::pending_output(late->io.get());
    const std::uint64_t taken =
        late->upload->offset() - std::min<std::uint64_t>(late->upload->offset(), waits);
    if (waits == 0 || std::exchange(late->taken, taken) < taken) late->taken_at = now_ms();
    if (now_ms() - late->taken_at < options_.silent_ms) return limit_taking(*late);
    lose(*late, AttemptResult::ConnectFailed, "takes-nothing");
  });
}

// The target is up and has answered, as by a 500: what it did is not known, its connection is of no use.
void ConnectionPool::spoilt(UpstreamConnection& c) {
  if (!c.parser.head_done()) learn(c, false);
  lose(c, AttemptResult::Error, c.parser.fault() == http::Fault::Malformed ? "malformed" : "too-large");
}

void ConnectionPool::answered(UpstreamConnection& c, const char* end) {
  const http::Message head = c.parser.take();
  if (end == nullptr && !head.keep_alive) end = "peer-said-close";
  if (end == nullptr && unsent(c)) end = "early-answer";
  c.upload.reset();
  deadlines_.cancel(c.ticket);
  ++c.served;
  by_attempt_.erase(c.attempt);
  proxy::AttemptCompletion ending = std::move(c.ending);
  if (c.way == UpstreamConnection::Way::Wait) ending.body = std::move(c.waiting);
  tell(c, std::move(ending));
  c.call.reset();
  if (end != nullptr) return close(c, end);
  if (!in_service(c.target)) return close(c, "not-in-service");
  // The process that answered may have gone, or live on under another name.
  if (!leads_there(c) || targets_.at(c.target).entry.started_at != c.booted_at) return close(c, "restarted");
  read_directly(c, false);
  rest(c);
}

void ConnectionPool::tell(UpstreamConnection& c, proxy::AttemptCompletion ending) {
  ending.paused_ms = c.paused_ms;
  ending.on_reused_connection = c.rested_ms >= 0;
  ending.idle_ms = std::max(0.0, c.rested_ms);
  ending.first_on_connection = c.first;
  attempts_.on_attempt_complete(std::exchange(c.attempt, 0), std::move(ending));
}

void ConnectionPool::rest(UpstreamConnection& c) {
  make_free(c);
  c.rested_at = now_ms();
  const double hold = rests_.hold_ms(c.rested_at, c.target);
  // Its place is one that other routers may want, and this one has another that rests.
  const bool scarce = static_cast<std::int64_t>(targets_.at(c.target).entry.kind) == options_.scarce_kind;
  const double used = c.rested_at - c.assigned_at;
  const bool spare = scarce && free_[c.target].size() > 1 && used < hold;
  c.ticket = deadlines_.at(c.rested_at + (spare ? used : hold), [this, handle = c.self, hold, spare] {
    UpstreamConnection* idle = connections_.find(handle);
    if (idle == nullptr) return;
    idle->ticket = 0;
    close(*idle, spare ? "spare" : hold < options_.idle_ms ? "rested" : "idle");
  });
}

void ConnectionPool::lose(UpstreamConnection& c, AttemptResult result, const char* code) {
  if (c.attempt != 0) {
    by_attempt_.erase(c.attempt);
    proxy::AttemptCompletion ending;
    ending.result = result;
    tell(c, std::move(ending));
  }
  close(c, code);
}

// The connection is gone on return.
void ConnectionPool::close(UpstreamConnection& c, const char* code) {
  log::routine("egress-ended",
               {{"target", c.name}, {"code", code}, {"answers", c.served}, {"ms", now_ms() - c.opened_at}});
  deadlines_.cancel(c.ticket);
  unpool(c);
  make_busy(c);
  connections_.remove(c.self);
}

void ConnectionPool::unpool(const UpstreamConnection& c) {
  const auto it = free_.find(c.target);
  if (it == free_.end()) return;
  std::erase(it->second, c.self);
  if (it->second.empty() && targets_.count(c.target) == 0)
    free_.erase(it); // nothing stays of one that is gone
}

void ConnectionPool::close_free(fernward::ServerId target, const char* code) {
  const auto free = free_.find(target);
  if (free == free_.end()) return;
  const auto handles = free->second;
  for (const Handle handle : handles) {
    if (UpstreamConnection* c = connections_.find(handle)) close(*c, code);
  }
  free_.erase(target);
}

} // namespace fernward::upstream
