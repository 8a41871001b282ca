#include "lab/load/load.h"

#include <pthread.h>
#include <sys/socket.h>

#include <algorithm>
#include <ctime>
#include <limits>

namespace fernward::rig {

using loop::Handle;
using model::RouterId;
using model::TryId;

namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kWakeMs = 1;        // client timeouts are processed no more often than this
constexpr double kReadyEveryMs = 20; // interval between readiness probes of a starting router
constexpr double kReadyWaitMs = 1000;
constexpr double kRestAgainMs = 500; // until a closed idle connection is opened again
constexpr double kAtOnceMs = 0.02;

double thread_cpu_s() {
  timespec at{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) * 1e-9;
}

// Whether a reset followed the end of the peer's data: the peer had closed before it read the request.
bool reset_behind(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
}

} // namespace

Load::Load(const Stage& stage, Calls calls, std::vector<char> ready_by_connect)
    : stage_(stage),
      calls_(std::move(calls)),
      ready_by_connect_(std::move(ready_by_connect)),
      loop_(stage.clock),
      network_(stage.spec, stage.plan),
      keys_(stage.spec),
      arrivals_(stage.spec, stage.plan, keys_),
      clients_(stage.spec),
      front_(stage.spec, stage.plan),
      sides_(stage.plan.routers.size()),
      wakes_at_(kForever) {
  ready_by_connect_.resize(sides_.size());
}

Load::~Load() { stop(); }

void Load::open() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), "lab-load");
    loop_.run();
    info_.cpu_s = thread_cpu_s();
  });
}

LoadInfo Load::stop() {
  if (thread_.joinable()) {
    loop_.stop();
    thread_.join();
    info_.lateness_ms = lateness_.quantiles();
  }
  return info_;
}

void Load::begin() {
  loop_.post([this] {
    for (const model::Step& step : stage_.plan.steps) loop_.at(step.at_ms, [this, &step] { apply(step); });
    for (RouterId r = 0; r < sides_.size(); ++r) {
      if (!sides_[r].ready) front_.down(0, r);
    }
    next_ = arrivals_.next();
    draw();
    check_done();
  });
}

void Load::finish() {
  loop_.post([this] {
    finishing_ = true;
    check_done();
  });
}

// ---- requests ----

void Load::draw() {
  while (next_ && !finishing_) {
    if (next_->at > now() + kAtOnceMs) {
      loop_.at(next_->at, [this] { draw(); });
      return;
    }
    const model::Drawn drawn = *next_;
    next_ = arrivals_.next();
    stage_.tape.add(drawn);
    clients_.open(drawn.at, drawn, acts_);
    acts();
  }
  check_done();
}

void Load::check_done() {
  const bool drawn = finishing_ || (!next_ && now() >= stage_.spec.duration_ms);
  if (!drawn && !next_) return later(stage_.spec.duration_ms - now() + 1, [this] { check_done(); });
  if (done_ || !drawn || clients_.open_requests() > 0) return;
  done_ = true;
  calls_.done();
}

void Load::wake_clients() {
  const double next = std::max(clients_.next(), now() + kWakeMs);
  if (next >= wakes_at_) return;
  loop_.deadlines().cancel(wake_);
  wakes_at_ = next;
  wake_ = loop_.at(wakes_at_, [this] {
    wake_ = 0;
    wakes_at_ = kForever;
    clients_.advance(now(), acts_);
    acts();
  });
}

// Processing an action may append further actions, which are processed in the same pass.
void Load::acts() {
  if (acting_) return;
  acting_ = true;
  for (std::size_t i = 0; i < acts_.size(); ++i) {
    const model::ClientAct act = acts_[i];
    if (const auto* start = std::get_if<model::TryStart>(&act.what)) start_try(*start);
    if (const auto* ended = std::get_if<model::TryOver>(&act.what)) over(*ended);
    if (const auto* closed = std::get_if<model::Closed>(&act.what)) stage_.tape.add(*closed);
  }
  acts_.clear();
  acting_ = false;
  wake_clients();
  if (clients_.open_requests() == 0 && (finishing_ || !next_)) check_done();
}

double Load::way(const Try& t) {
  return network_.with_client(t.start.drawn.zone, stage_.plan.routers[t.router].zone);
}

void Load::start_try(const model::TryStart& start) {
  const auto router = front_.pick(now(), start.drawn.zone);
  const Handle handle = tries_.add();
  if (handle == 0) return stage_.voids.add("too many open tries: the lab's table is full");
  Try& t = *tries_.find(handle);
  t.start = start;
  by_try_[start.try_id] = handle;
  if (!router) return told(t, false, false, 0); // no router is available: the client receives no response
  ++info_.tries;
  t.router = *router;
  t.routed = true;
  stage_.tries.note(now(), start.try_id, facts_of(start));
  Connection* c = kept(*router);
  t.planned = start.due + way(t);
  if (c == nullptr) {
    t.planned += 2 * way(t); // the round trip of the TCP handshake
    c = connect(*router);
  }
  if (c == nullptr) return; // out of descriptors, which makes the run void
  t.connection = c->self;
  c->request = handle;
  c->due = c->written = false;
  if (t.planned <= now() + kAtOnceMs) return send(handle);
  loop_.at(t.planned, [this, handle] { send(handle); });
}

// Sends a try that is due. If its connection is not established yet, the delay does not count as lateness of
// the rig.
void Load::send(Handle handle) {
  Try* t = tries_.find(handle);
  if (t == nullptr || t->over) return;
  Connection* c = connections_.find(t->connection);
  if (c == nullptr) return;
  c->due = true;
  if (c->frozen) return; // held back: the client receives no response
  if (c->requests > 0 && !c->stream->quiet()) {
    // The router closed the idle connection while this request was on its way: the client sends it again.
    c->request = 0;
    drop(*c);
    c = connect(t->router);
    if (c == nullptr) return;
    t->connection = c->self;
    t->resent = true;
    c->request = handle;
    c->due = true;
    return;
  }
  if (c->stream->is_up()) write(*c, *t);
}

void Load::write(Connection& c, Try& t) {
  const double due = std::max(t.planned, c.up_at);
  const double wait = t.start.deadline - t.start.due;
  const std::string text = request_text(stage_.spec, stage_.tries, t.start, wait);
  const bool fresh = c.requests++ == 0;
  c.written = true;
  c.some_came = false;
  c.before = std::exchange(c.last, t.start.try_id);
  const double late = std::max(0.0, now() - due);
  if (!t.told) lateness_.add(late);
  // On a broken connection nothing was accepted; the close is processed by on_closed().
  const bool taken = c.stream->send(text);
  if (!t.told) told(t, taken, fresh, late);
}

void Load::told(Try& t, bool taken, bool new_connection, double late) {
  t.told = true;
  model::Tried tried;
  tried.at = now();
  tried.due = t.start.due;
  tried.late_ms = late;
  tried.request = t.start.drawn.request;
  tried.try_id = t.start.try_id;
  tried.number = t.start.number;
  tried.router = t.router;
  tried.taken = taken;
  tried.new_connection = new_connection;
  tried.deadline = t.start.deadline;
  tried.repeat_key = t.start.repeat_key;
  stage_.tape.add(tried);
}

// The client no longer waits: it closes its connection, which the router sees after the one-way delay.
void Load::over(const model::TryOver& over) {
  const auto found = by_try_.find(over.try_id);
  if (found == by_try_.end()) return;
  const Handle handle = found->second;
  by_try_.erase(found);
  Try& t = *tries_.find(handle);
  t.over = true;
  if (!t.told) told(t, false, false, 0);
  model::Answered answered;
  answered.at = now();
  answered.request = over.request;
  answered.try_id = over.try_id;
  answered.router = t.router;
  answered.heard = over.heard;
  stage_.tape.add(answered);
  if (!t.routed) return tries_.remove(handle);
  later(way(t), [this, handle] {
    const Try* gone = tries_.find(handle);
    if (gone == nullptr) return;
    if (Connection* c = connections_.find(gone->connection)) {
      c->request = 0;
      c->abandoned = c->frozen;
      if (!c->frozen) drop(*c);
    }
    tries_.remove(handle);
  });
}

// The response has left the router: the client receives it after the one-way delay.
void Load::answered(Handle handle, const Heard& heard) {
  Try* t = tries_.find(handle);
  if (t == nullptr || t->answered) return;
  t->answered = true;
  later(way(*t), [this, handle, heard] { end_try(handle, heard); });
}

void Load::end_try(Handle handle, const Heard& heard) {
  Try* t = tries_.find(handle);
  if (t == nullptr || t->over) return;     // its client no longer waits: cancel_try() removes the try
  if (!t->told) told(*t, false, false, 0); // it was held back and never sent
  by_try_.erase(t->start.try_id);
  model::Answered answered;
  answered.at = now();
  answered.request = t->start.drawn.request;
  answered.try_id = t->start.try_id;
  answered.router = t->router;
  answered.heard = heard.heard;
  answered.retry_after_ms = heard.retry_after_ms;
  answered.genuine = heard.genuine;
  const TryId try_id = t->start.try_id;
  Connection* c = connections_.find(t->connection);
  tries_.remove(handle);
  if (c != nullptr) {
    c->request = 0;
    rest(*c);
  }
  answered.surplus = !clients_.heard(now(), try_id, heard.heard, heard.retry_after_ms, acts_);
  stage_.tape.add(answered);
  acts();
}

// ---- connections ----

Load::Connection* Load::kept(RouterId router) {
  if (!stage_.spec.clients.keep_connections) return nullptr;
  auto& kept = sides_[router].kept;
  while (!kept.empty()) {
    Connection* c = connections_.find(kept.back());
    kept.pop_back();
    if (c != nullptr && c->request == 0) return c;
  }
  return nullptr;
}

Load::Connection* Load::connect(RouterId router) {
  const Handle handle = connections_.add();
  Connection* c = connections_.find(handle);
  if (c != nullptr) {
    c->load = this;
    c->self = handle;
    c->router = router;
    c->frozen = !network_.reachable(router);
    c->stream = Stream::connect(loop_.base(), stage_.addresses.router(router), *c);
    ++info_.connections;
    if (c->stream != nullptr) return c;
    connections_.remove(handle);
  }
  stage_.voids.add("the lab is out of descriptors");
  return nullptr;
}

void Load::came_up(Connection& c) {
  c.up_at = now();
  if (c.frozen) return c.stream->pause(); // the machine is silent: the connection counts as not established
  if (c.asks_ready) {
    if (ready_by_connect_[c.router]) {
      const RouterId router = c.router;
      drop(c);
      return is_ready(router);
    }
    c.stream->send("GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
    return;
  }
  Try* t = tries_.find(c.request);
  if (t != nullptr && c.due && !t->over) write(c, *t);
}

void Load::read(Connection& c, std::string_view got) {
  const Handle self = c.self;
  while (!got.empty()) {
    got.remove_prefix(c.parser.feed(got));
    c.some_came = true;
    if (c.parser.fault() != http::Fault::None) return ended(c, 0);
    if (!c.parser.done()) return;
    const http::Message answer = c.parser.take();
    c.some_came = false;
    if (c.asks_ready) {
      const RouterId router = c.router;
      drop(c);
      if (answer.status == 200) is_ready(router);
      return;
    }
    Try* t = tries_.find(c.request);
    const bool asked = t != nullptr && c.written;
    const Heard heard = hear(stage_.bodies, answer, asked ? t->start.try_id : c.last);
    if (!asked || (heard.made_for != 0 && heard.made_for == c.before)) {
      // A response without a request, or one to the previous request: it is surplus.
      surplus(c, heard);
      if (!asked) return drop(c);
      continue;
    }
    const Handle request = c.request;
    c.written = false;
    const bool more = !got.empty();
    answered(request, heard);
    if (!answer.keep_alive || more) {
      if (more) {
        c.parser.feed(got);
        if (c.parser.done()) surplus(c, hear(stage_.bodies, c.parser.take(), c.last));
      }
      Connection* still = connections_.find(self);
      if (still == nullptr) return;
      still->request = 0;
      return drop(*still);
    }
  }
}

void Load::surplus(const Connection& c, const Heard& heard) {
  const TryId try_id = heard.made_for != 0 ? heard.made_for : c.last;
  if (try_id == 0) return;
  model::Answered answered;
  answered.at = now();
  answered.request = model::Clients::request_of(try_id);
  answered.try_id = try_id;
  answered.router = c.router;
  answered.heard = heard.heard;
  answered.retry_after_ms = heard.retry_after_ms;
  answered.genuine = heard.genuine;
  answered.surplus = true;
  stage_.tape.add(answered);
}

void Load::ended(Connection& c, int error) {
  const Handle handle = c.request;
  Try* t = tries_.find(handle);
  if (t == nullptr || t->over || t->answered) {
    c.request = 0;
    return drop(c);
  }
  // A response without a Content-Length ends with the connection.
  const bool whole = error == 0 && c.written && c.parser.end_of_input();
  if (whole) {
    const Heard heard = hear(stage_.bodies, c.parser.take(), t->start.try_id);
    answered(handle, heard);
  } else if (!c.stream->is_up()) {
    // What was sent on the first connection was not accepted after all.
    if (!t->told || t->resent) told(*t, false, true, 0);
    answered(handle, {model::Heard::Unreachable, 0, true, 0});
  } else if (!c.written && t->planned > now()) {
    // The connection closed while the request was on its way: send() uses the replacement.
    t->connection = 0;
    Connection* next = connect(t->router);
    c.request = 0;
    if (next != nullptr) {
      t->connection = next->self;
      t->resent = true;
      next->request = handle;
    }
  } else {
    const bool crossed = !c.some_came && (error != 0 || reset_behind(c.stream->fd()));
    if (crossed && !t->resent && c.written && c.requests > 1) {
      // The router closed the idle connection without having read this request: the client sends it again.
      Connection* next = connect(t->router);
      c.request = 0;
      if (next != nullptr) {
        t->connection = next->self;
        t->resent = true;
        next->request = handle;
        next->due = true;
      }
    } else {
      answered(handle, {model::Heard::Broken, 0, true, 0});
    }
  }
  c.request = 0;
  drop(c);
}

void Load::drop(Connection& c) {
  const RouterId router = c.router;
  const bool rested = c.resting;
  connections_.remove(c.self);
  if (!rested) return;
  --sides_[router].resting;
  later(kRestAgainMs, [this, router] { keep_resting(router); });
}

// Makes the connection available for another request, or closes it.
void Load::rest(Connection& c) {
  if (!stage_.spec.clients.keep_connections || c.frozen) return drop(c);
  c.due = c.written = false;
  auto& kept = sides_[c.router].kept;
  if (kept.size() > 64 && kept.size() > 2 * connections_.size()) { // most of the older entries are closed
    std::erase_if(kept, [this](Handle h) { return connections_.find(h) == nullptr; });
  }
  kept.push_back(c.self);
}

// ---- routers ----

void Load::router_started(RouterId router) {
  loop_.post([this, router] {
    Side& side = sides_[router];
    side.runs = true;
    side.ready = false;
    ++side.life;
    ask_ready(router);
  });
}

void Load::router_stopping(RouterId router) {
  loop_.post([this, router] { front_.stopping(now(), router); });
}

void Load::router_down(RouterId router) {
  loop_.post([this, router] {
    Side& side = sides_[router];
    side.runs = side.ready = false;
    side.kept.clear();
    ++side.life;
    if (stage_.clock.begun()) front_.down(now(), router);
  });
}

void Load::router_pauses(RouterId router, bool on) {
  loop_.post([this, router, on] {
    if (!stage_.clock.begun()) return;
    if (on) return front_.down(now(), router);
    if (sides_[router].ready && network_.reachable(router)) front_.up(now(), router);
  });
}

void Load::ask_ready(RouterId router) {
  Side& side = sides_[router];
  if (!side.runs || side.ready) return;
  Connection* c = connect(router);
  if (c == nullptr) return;
  c->asks_ready = true;
  c->frozen = false;
  const Handle handle = c->self;
  const std::uint32_t life = side.life;
  later(kReadyWaitMs, [this, handle] {
    if (Connection* slow = connections_.find(handle)) drop(*slow);
  });
  later(kReadyEveryMs, [this, router, life] {
    if (sides_[router].life == life) ask_ready(router);
  });
}

void Load::is_ready(RouterId router) {
  Side& side = sides_[router];
  if (!side.runs || side.ready) return;
  side.ready = true;
  stage_.tape.add(model::RouterEvent{now(), router, model::RouterEvent::What::Ready});
  if (network_.reachable(router)) front_.up(now(), router);
  keep_resting(router);
  calls_.ready(router);
}

// Opens the connections that clients hold open idle to a router.
void Load::keep_resting(RouterId router) {
  Side& side = sides_[router];
  while (side.ready && side.resting < stage_.spec.clients.resting) {
    Connection* c = connect(router);
    if (c == nullptr) return;
    c->resting = true;
    ++side.resting;
  }
}

void Load::apply(const model::Step& step) {
  network_.apply(step);
  if (const auto* zone = std::get_if<model::ZoneStep>(&step.what)) front_.zone(zone->zone, zone->what);
  if (const auto* router = std::get_if<model::RouterStep>(&step.what)) {
    using What = model::RouterStep::What;
    if (router->what == What::Silence || router->what == What::Return) {
      silence(router->router, router->what == What::Silence);
    }
  }
}

// Starts or ends a silence: nothing passes between clients and the router's machine. Connections on which
// data was lost are reset when the machine is reachable again.
void Load::silence(RouterId router, bool on) {
  using What = model::RouterEvent::What;
  stage_.tape.add(model::RouterEvent{now(), router, on ? What::Silent : What::Returned});
  if (on) {
    front_.down(now(), router);
  } else if (sides_[router].ready) {
    front_.up(now(), router);
  }
  connections_.each([&](Handle, Connection& c) {
    if (c.router != router || c.frozen == on) return;
    c.frozen = on;
    if (on) return c.stream->pause();
    if (c.request != 0 || c.abandoned || !c.stream->quiet()) {
      const Handle request = std::exchange(c.request, 0);
      drop(c);
      if (request != 0) answered(request, {model::Heard::Broken, 0, true, 0});
      return;
    }
    c.stream->resume();
  });
}

} // namespace fernward::rig
