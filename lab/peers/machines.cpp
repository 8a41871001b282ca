#include "lab/peers/machines.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <limits>
#include <stdexcept>

namespace fernward::rig {

using loop::Handle;
using model::Act;
using model::Ending;
using model::MachineId;
using model::NodeEvent;
using model::RouterId;

namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kSampleMs = 1000;
constexpr double kSweepMs = 250;   // interval between checks for expired idle connections
constexpr double kAtOnceMs = 0.02; // actions due within this time are performed at once
constexpr int kBacklog = 512;
constexpr std::size_t kMostBehind = 128 * 1024; // from a router that does not wait for responses

void reset_fd(int fd) {
  const linger at_once{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close(fd);
}

} // namespace

Machines::Machines(const Stage& stage, Loop& loop, model::Network& network, MachineCalls calls)
    : stage_(stage),
      loop_(loop),
      network_(network),
      calls_(std::move(calls)),
      keys_(stage.spec),
      aside_(2 * longest_give_up(stage.spec) + 1000),
      noise_(model::stream(stage.spec.seed, "attempt noise")),
      bad_(model::stream(stage.spec.seed, "bad answers")),
      places_(stage.plan.machines.size()) {
  const model::Node::World shared{stage_.spec, keys_, repeats_, &beginning_};
  for (const model::Machine& m : stage_.plan.machines) {
    if (is_origin(m.id)) {
      stations_.push_back(std::make_unique<model::Origin>(stage_.spec, m, repeats_));
    } else {
      stations_.push_back(std::make_unique<model::Node>(shared, m));
    }
    places_[m.id].wakes_at = kForever;
    owner_.push_back(m.id);
  }
}

Machines::~Machines() {
  for (Door& d : doors_) set_door(d, Door::State::Closed);
}

// ---- listeners ----

void Machines::open() {
  const std::size_t places = stage_.plan.machines.size();
  doors_ = std::vector<Door>(stage_.plan.routers.size() * places);
  for (std::size_t i = 0; i < doors_.size(); ++i) {
    doors_[i].all = this;
    doors_[i].router = static_cast<RouterId>(i / places);
    doors_[i].place = static_cast<MachineId>(i % places);
  }
  for (const model::Machine& m : stage_.plan.machines) {
    if (m.at_start) set_doors(m.id);
  }
}

Machines::Door& Machines::door(RouterId router, MachineId place) {
  return doors_[std::size_t{router} * stage_.plan.machines.size() + place];
}

void Machines::set_doors(MachineId machine) {
  const MachineId place = stage_.plan.machines[machine].address_of;
  if (owner_[place] != machine) return; // another machine owns the address now
  for (RouterId r = 0; r < stage_.plan.routers.size(); ++r) {
    const bool off = stations_[machine]->phase() == model::Phase::Off;
    set_door(door(r, place), !network_.passes(r, machine) ? Door::State::Plugged
                             : off                        ? Door::State::Closed
                                                          : Door::State::Open);
  }
}

void Machines::set_door(Door& d, Door::State state) {
  if (d.state == state) return;
  d.state = state;
  d.accepts.reset();
  // Connections queued while none were accepted are reset: the peer regards them as established.
  for (int fd = -1; d.fd >= 0 && (fd = accept4(d.fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) reset_fd(fd);
  for (const int fd : d.plugs) close(fd);
  d.plugs.clear();
  if (state == Door::State::Closed) {
    if (d.fd >= 0) close(d.fd);
    d.fd = -1;
    return;
  }
  const sockaddr_in where = stage_.addresses.machine(d.router, d.place);
  if (d.fd < 0) d.fd = listen_at(where, kBacklog);
  if (d.fd < 0) {
    const std::string why = "cannot listen on " + text_of(where) + ": " + std::strerror(errno);
    if (!stage_.clock.begun()) throw std::runtime_error(why);
    return stage_.voids.add(why);
  }
  if (state == Door::State::Plugged) return plug(d);
  listen(d.fd, kBacklog);
  d.accepts.reset(event_new(loop_.base(), d.fd, EV_READ | EV_PERSIST, &Machines::acceptable, &d));
  event_add(d.accepts.get(), nullptr);
}

// Fills the backlog of a listener. A full backlog drops connection requests without a response, as an
// unreachable machine does.
void Machines::plug(Door& d) {
  listen(d.fd, 0);
  const sockaddr_in where = stage_.addresses.machine(d.router, d.place);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return stage_.voids.add("out of descriptors");
  [[maybe_unused]] const int said = ::connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where);
  d.plugs.push_back(fd);
}

void Machines::acceptable(int, short, void* d) {
  auto* found = static_cast<Door*>(d);
  found->all->accept(*found);
}

void Machines::accept(Door& d) {
  const int fd = accept4(d.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    if (errno == EMFILE || errno == ENFILE) stage_.voids.add("the lab is out of descriptors");
    return;
  }
  const Handle handle = connections_.add();
  if (handle == 0) return reset_fd(fd);
  Connection& c = *connections_.find(handle);
  c.all = this;
  c.self = handle;
  c.router = d.router;
  c.machine = owner_[d.place];
  c.life = places_[c.machine].life;
  c.rested_at = now();
  c.stream = std::make_unique<Stream>(loop_.base(), fd, c);
  loop_.at(to_machine(c, now()), [this, handle] { connect_at_machine(handle); });
}

// ---- connections ----

double Machines::to_machine(Connection& c, double from) {
  const double way = network_.between(stage_.plan.routers[c.router].zone, zone_of(c.machine));
  return c.to_machine_at = std::max(c.to_machine_at, from + way);
}

double Machines::to_router(Connection& c, double from) {
  const double way = network_.between(zone_of(c.machine), stage_.plan.routers[c.router].zone);
  return c.to_router_at = std::max(c.to_router_at, from + way);
}

void Machines::connect_at_machine(Handle connection) {
  Connection* c = connections_.find(connection);
  if (c == nullptr || c->stream == nullptr || !of_this_life(*c)) return;
  if (!passes(*c)) {
    c->stuck = true;
    return;
  }
  const MachineId machine = c->machine;
  if (stations_[machine]->connect(now(), connection, acts_)) {
    c->accepted = true;
  } else { // its connection table is full, or it has just ended
    c->turned_away = c->up = true;
    c->up_at = to_router(*c, now());
    send_on(*c);
  }
  acts(machine);
}

void Machines::read(Connection& c, std::string_view got) {
  if (c.first_byte_at < 0 && !c.request && c.arrival == 0) c.first_byte_at = now();
  c.behind.append(got);
  if (c.behind.size() > kMostBehind) {
    stage_.voids.add("router " + stage_.plan.routers[c.router].name +
                     " pipelines requests without waiting for responses");
    c.behind.clear();
  }
  read_request(c);
}

void Machines::read_request(Connection& c) {
  if (c.request || c.arrival != 0 || c.answering || c.behind.empty() || c.stream == nullptr) return;
  if (c.first_byte_at < 0) c.first_byte_at = now();
  c.behind.erase(0, c.parser.feed(c.behind));
  if (c.parser.fault() != http::Fault::None) {
    c.parser = http::Parser(http::Kind::Request);
    c.behind.clear();
    stage_.voids.add("router " + stage_.plan.routers[c.router].name + " sent a malformed HTTP request to " +
                     stage_.plan.machines[c.machine].name);
    return refuse(c, 400);
  }
  if (!c.parser.done()) return;
  int status = 0;
  c.request = take(c, c.parser.take(), status);
  c.first_byte_at = -1;
  if (!c.request) return refuse(c, status);
  send_on(c);
}

// Returns the request, or none: then the response is the error `status`.
std::optional<Machines::Request> Machines::take(const Connection& c, const http::Message& message,
                                                int& status) {
  Request request;
  request.sent_at = c.first_byte_at;
  request.read_at = now();
  request.wait_ms = 0;
  const std::string_view wait = message.header("x-timeout-ms");
  std::from_chars(wait.data(), wait.data() + wait.size(), request.wait_ms);
  const std::string_view id = message.header("x-request-id");
  if (id.empty()) {
    status = 404;
    return std::nullopt;
  }
  const auto number = stage_.tries.number(id);
  const auto known = number ? stage_.tries.find(*number) : std::nullopt;
  if (known) {
    const std::string repeat = known->repeat_key != 0 ? repeat_text(known->repeat_key) : "";
    const bool same = message.method == (known->write ? "PUT" : "GET") &&
                      message.target == path_of(known->key) && message.header("idempotency-key") == repeat &&
                      message.body.size() == known->body_bytes &&
                      (message.body.empty() || hash_of(message.body) == known->body_hash);
    request.try_id = *number;
    request.facts = *known;
    if (same) return request;
  } else if (stage_.visitors) {
    request.try_id = hash_of(id) | 1ull << 63; // not a try of the lab's clients
    request.facts.write = message.method == "PUT";
    request.facts.key = hash_of(message.target) >> 8;
    request.facts.work_ms = stage_.spec.classes.front().work.mean;
    request.facts.size_bytes = keys_.size_bytes(request.facts.key);
    return request;
  }
  stage_.voids.add("router " + stage_.plan.routers[c.router].name +
                   " sent a request that no client sent: " + message.method + " " +
                   message.target.substr(0, 64) + " id " + std::string(id.substr(0, 32)));
  status = 400;
  return std::nullopt;
}

// Schedules the arrival of the request once the router sees the connection as established.
void Machines::send_on(Connection& c) {
  if (!c.request || !c.up || c.on_its_way) return;
  c.on_its_way = true;
  const double at = to_machine(c, std::max(c.request->read_at, c.up_at));
  if (at <= now() + kAtOnceMs) return arrive(c.self);
  loop_.at(at, [this, handle = c.self] { arrive(handle); });
}

void Machines::arrive(Handle connection) {
  Connection* c = connections_.find(connection);
  if (c == nullptr || !c->request || !of_this_life(*c)) return;
  if (!passes(*c)) {
    c->stuck = true;
    return;
  }
  c->on_its_way = false;
  const Request request = *std::exchange(c->request, std::nullopt);
  if (c->turned_away) {
    Reply full;
    full.ending = Ending::Full;
    Script script = reply(stage_.bodies, full, {});
    script.close = true;
    c->answering = true;
    return say(*c, now(), std::move(script));
  }
  const MachineId machine = c->machine;
  const Handle handle = arrivals_.add();
  if (handle == 0) return stage_.voids.add("too many active attempts: the lab's table is full");
  Arrival& arrival = *arrivals_.find(handle);
  arrival.number = ++arrived_;
  arrival.machine = machine;
  arrival.connection = connection;
  arrival.try_id = request.try_id;
  arrival.key = request.facts.key;
  arrival.write = request.facts.write;
  arrival.size_bytes = request.facts.size_bytes;
  c->arrival = handle;
  model::Attempt work;
  work.id = handle;
  work.cls = request.facts.cls;
  work.key = request.facts.key;
  work.repeat_key = request.facts.repeat_key;
  work.write = request.facts.write;
  const double started_at = places_[machine].started_at;
  work.told = started_at < 0 || calls_.told_start(c->router, machine) >= started_at;
  work.work_ms = request.facts.work_ms *
                 model::draw_factor(stage_.spec.classes[request.facts.cls].attempt_noise, noise_);
  work.size_bytes = request.facts.size_bytes;
  work.deadline = request.wait_ms > 0 ? request.read_at + request.wait_ms : 0;
  model::Arrived record;
  record.at = now();
  record.sent_at = request.sent_at;
  record.attempt = arrival.number;
  record.machine = machine;
  record.try_id = request.try_id;
  record.router = c->router;
  record.cls = work.cls;
  record.key = work.key;
  record.repeat_key = work.repeat_key;
  record.write = work.write;
  record.told = work.told;
  record.work_ms = work.work_ms;
  stage_.tape.add(record);
  stations_[machine]->arrive(now(), work, acts_);
  acts(machine);
}

// The router has closed the connection, or its sending side: this cancels the active request.
void Machines::closed(Connection& c) {
  const Handle handle = c.self;
  // A request that would not have been sent yet, had the handshake taken its simulated time, is never sent.
  if (c.request && (!c.up || c.up_at > now())) c.request.reset();
  c.stream.reset();
  loop_.at(to_machine(c, now()), [this, handle] { gone_at_machine(handle); });
}

void Machines::gone_at_machine(Handle connection) {
  const Connection* c = connections_.find(connection);
  if (c == nullptr) return;
  const MachineId machine = c->machine;
  if (c->accepted && of_this_life(*c)) {
    stations_[machine]->disconnect(now());
    if (c->arrival != 0) stations_[machine]->cancel(now(), c->arrival, acts_);
  }
  connections_.remove(connection);
  acts(machine);
}

void Machines::reset(Handle connection) {
  Connection* c = connections_.find(connection);
  if (c == nullptr) return;
  if (c->stream != nullptr) c->stream->reset_on_close();
  connections_.remove(connection);
}

// Closes the machine's side of its connections. Routers that messages reach are notified with a reset.
void Machines::reset_links(MachineId machine, bool only_stuck) {
  connections_.each([&](Handle handle, Connection& c) {
    if (c.machine != machine || (only_stuck && !c.stuck)) return;
    if (only_stuck && c.accepted && of_this_life(c)) {
      stations_[machine]->disconnect(now());
      if (c.arrival != 0) stations_[machine]->cancel(now(), c.arrival, acts_);
    }
    c.accepted = false;
    c.life = std::numeric_limits<std::uint32_t>::max(); // of no incarnation any more
    if (!passes(c)) {
      c.stuck = true;
      return;
    }
    c.stuck = false;
    loop_.at(to_router(c, now()), [this, handle] { reset(handle); });
  });
  acts(machine);
}

// A silence or cut has started or ended: connections over a cut path are not read, and those on which a
// message was lost are reset once the path is restored.
void Machines::ways_changed() {
  for (MachineId m = 0; m < stations_.size(); ++m) set_doors(m);
  connections_.each([&](Handle, Connection& c) {
    if (c.stream == nullptr) return;
    const bool frozen = !passes(c);
    if (frozen == c.frozen) return;
    c.frozen = frozen;
    if (frozen) return c.stream->pause();
    if (!c.stream->quiet()) c.stuck = true; // data written to it meanwhile is lost and stays unread
    if (!c.stuck) c.stream->resume();
  });
  for (MachineId m = 0; m < stations_.size(); ++m) reset_links(m, true);
}

void Machines::close_resting() {
  const double at = now();
  connections_.each([&](Handle handle, Connection& c) {
    if (c.stream == nullptr || c.request || c.arrival != 0 || c.answering || !c.up) return;
    if (c.rested_at + stage_.idle_ms(c.machine) > at) return;
    if (c.accepted && of_this_life(c)) stations_[c.machine]->disconnect(at);
    c.accepted = false;
    if (passes(c)) return connections_.remove(handle);
    c.stuck = true;
    c.rested_at = kForever;
  });
  loop_.after(kSweepMs, [this] { close_resting(); });
}

// ---- responses ----

void Machines::refuse(Connection& c, int status) {
  Script script;
  script.pieces.push_back({0, http::write_response(status, {}, "", true)});
  c.answering = true;
  say(c, now(), std::move(script));
}

void Machines::say(Connection& c, double due, Script script) {
  if (c.stream == nullptr) return;
  if (!passes(c)) {
    c.stuck = true;
    return;
  }
  c.answering = true;
  const auto shared = std::make_shared<const Script>(std::move(script));
  write(c.self, shared, 0, to_router(c, due));
}

void Machines::write(Handle connection, const std::shared_ptr<const Script>& script, std::size_t piece,
                     double due) {
  for (; piece < script->pieces.size() || script->close; ++piece) {
    const bool over = piece >= script->pieces.size();
    const double at = due + (!over       ? script->pieces[piece].after_ms
                             : piece > 0 ? script->pieces.back().after_ms
                                         : 0);
    if (at > now() + kAtOnceMs) {
      loop_.at(at, [this, connection, script, piece, due] { write(connection, script, piece, due); });
      return;
    }
    Connection* c = connections_.find(connection);
    if (c == nullptr || c->stream == nullptr || !of_this_life(*c)) return;
    if (!passes(*c)) {
      c->stuck = true;
      return;
    }
    if (over) { // a truncated response, or one after which the connection closes
      if (c->accepted) stations_[c->machine]->disconnect(now());
      return connections_.remove(connection);
    }
    lateness_.add(now() - at);
    c->stream->send(script->pieces[piece].bytes);
  }
  Connection* c = connections_.find(connection);
  if (c == nullptr || c->stream == nullptr || !script->stays) return;
  c->answering = false;
  c->rested_at = now();
  read_request(*c);
}

// ---- server models ----

void Machines::begin() {
  sample();
  close_resting();
  for (MachineId m = 0; m < stations_.size(); ++m) wake(m);
}

void Machines::sample() {
  for (MachineId m = 0; m < stations_.size(); ++m) {
    stations_[m]->advance(now(), acts_);
    acts(m);
    if (stations_[m]->phase() != model::Phase::Off) stage_.tape.add(stations_[m]->sample(now()));
  }
  loop_.after(kSampleMs, [this] { sample(); });
}

void Machines::event(MachineId machine, NodeEvent::What what, bool cold, double told_share) {
  stage_.tape.add(NodeEvent{now(), machine, what, cold, told_share});
}

model::Node* Machines::node(MachineId machine) {
  return is_origin(machine) ? nullptr : static_cast<model::Node*>(stations_[machine].get());
}

void Machines::wake(MachineId machine) {
  Place& place = places_[machine];
  const double next = stations_[machine]->next();
  if (next >= place.wakes_at) return;
  loop_.deadlines().cancel(place.wake);
  place.wakes_at = next;
  place.wake = loop_.at(next, [this, machine] {
    places_[machine].wakes_at = kForever;
    places_[machine].wake = 0;
    stations_[machine]->advance(now(), acts_);
    acts(machine);
  });
}

void Machines::apply(const model::Step& step) {
  if (const auto* which = std::get_if<model::NodeStep>(&step.what)) {
    node_step(*which);
  } else if (const auto* origin = std::get_if<model::OriginStep>(&step.what)) {
    if (!stage_.spec.origin.on) return;
    auto& station = static_cast<model::Origin&>(*stations_[stage_.plan.origin]);
    if (origin->what == model::OriginStep::What::Fall) {
      station.fall(now(), origin->down_ms, acts_);
    } else {
      station.slow(now(), origin->factor, acts_);
    }
    acts(stage_.plan.origin);
  } else if (std::get_if<model::CutStep>(&step.what) != nullptr) {
    ways_changed();
  } else if (const auto* router = std::get_if<model::RouterStep>(&step.what)) {
    using What = model::RouterStep::What;
    if (router->what == What::Silence || router->what == What::Return) ways_changed();
  }
}

void Machines::node_step(const model::NodeStep& step) {
  using What = model::NodeStep::What;
  using Why = model::Discovery::Why;
  const MachineId m = step.machine;
  model::Station& station = *stations_[m];
  Place& place = places_[m];
  const bool runs = station.phase() != model::Phase::Off;
  switch (step.what) {
    case What::Start:
      if (runs) return;
      ++place.life;
      place.started_at = now();
      owner_[stage_.plan.machines[m].address_of] = m;
      station.start(now(), acts_);
      event(m, NodeEvent::What::Started, true);
      set_doors(m);
      calls_.changed(m, ServerState::Ready, place.started_at, Why::Added);
      break;
    case What::Drain:
      if (!runs) return;
      station.drain(now(), acts_);
      event(m, NodeEvent::What::Draining);
      calls_.changed(m, ServerState::Draining, place.started_at, Why::Left);
      break;
    case What::End:
      if (!runs) return;
      station.end(now(), acts_);
      event(m, NodeEvent::What::Ended);
      acts(m);
      set_doors(m);
      reset_links(m, false);
      ++place.life;
      calls_.changed(m, ServerState::Gone, place.started_at, Why::Left);
      break;
    case What::Silence:
      event(m, NodeEvent::What::Silent);
      ways_changed();
      calls_.changed(m, ServerState::Gone, place.started_at, Why::Silent);
      break;
    case What::Return:
      event(m, NodeEvent::What::Returned);
      ways_changed();
      // An origin that has failed meanwhile stays on the list, and recovers without a change of the list.
      if (runs || is_origin(m)) calls_.changed(m, ServerState::Ready, place.started_at, Why::Added);
      break;
    case What::Neighbour:
      if (model::Node* n = node(m)) n->neighbour(now(), step.share, acts_);
      event(m, step.share > 0 ? NodeEvent::What::NeighbourOn : NodeEvent::What::NeighbourOff);
      break;
    case What::Bad:
      place.bad_share = step.share;
      place.bad = step.kind;
      return;
  }
  acts(m);
}

// Performs the actions that a server model requests. An action may append others, which are performed in the
// same pass.
void Machines::acts(MachineId machine) {
  if (acting_) return;
  acting_ = true;
  for (std::size_t i = 0; i < acts_.size(); ++i) {
    const Act act = acts_[i];
    switch (act.what) {
      case Act::What::Began:
        if (const Arrival* a = arrivals_.find(act.id))
          stage_.tape.add(model::Begun{act.at, a->number, machine});
        break;
      case Act::What::Answered: attempt_ended(machine, act); break;
      case Act::What::Connected:
        if (Connection* c = connections_.find(act.id)) {
          const double trips = stage_.handshake_trips(machine);
          const double way = network_.between(zone_of(machine), stage_.plan.routers[c->router].zone);
          c->up = true;
          c->up_at = c->to_router_at = std::max(c->to_router_at, act.at + way * (1 + 2 * trips));
          send_on(*c);
        }
        break;
      case Act::What::Warm: event(machine, NodeEvent::What::Warm); break;
      case Act::What::TippedOver:
        event(machine, NodeEvent::What::TippedOver, act.cold, act.told_share);
        set_doors(machine);
        reset_links(machine, false);
        ++places_[machine].life;
        calls_.changed(machine, ServerState::Gone, places_[machine].started_at, model::Discovery::Why::Left);
        break;
      case Act::What::Fell: // stays on the list, as it recovers under the same name
        event(machine, NodeEvent::What::Ended);
        set_doors(machine);
        reset_links(machine, false);
        ++places_[machine].life;
        break;
      case Act::What::Returned:
        event(machine, NodeEvent::What::Started);
        set_doors(machine);
        break;
    }
  }
  acts_.clear();
  acting_ = false;
  wake(machine);
}

void Machines::attempt_ended(MachineId machine, const Act& act) {
  const Arrival* found = arrivals_.find(act.id);
  if (found == nullptr) return;
  const Arrival a = *found;
  arrivals_.remove(act.id);
  model::AttemptEnded record;
  record.at = act.at;
  record.attempt = a.number;
  record.machine = machine;
  record.ending = act.ending;
  record.begun = act.begun;
  record.wanted = act.wanted;
  record.waited_ms = act.waited_ms;
  record.worked_ms = act.worked_ms;
  stage_.tape.add(record);

  switch (act.ending) {
    case Ending::Miss:
    case Ending::Pending: aside_.missed(now(), a.try_id, machine); break;
    case Ending::Fetched:
      if (act.wanted) {
        const auto places = aside_.fetched(now(), a.try_id);
        for (std::uint32_t i = 0; i < places.count; ++i) {
          if (model::Node* n = node(places.machines[i])) n->store(now(), a.key);
        }
      }
      break;
    default: break;
  }
  const bool written = act.ending == Ending::Written || (act.ending == Ending::Error && act.begun);
  if (a.write && written && is_origin(machine)) { // a write at the origin invalidates the cached copies
    for (const auto& m : stage_.plan.machines) {
      if (model::Node* n = node(m.id)) n->make_void(a.key);
    }
  }

  Connection* c = connections_.find(a.connection);
  if (c == nullptr || c->arrival != act.id) return;
  c->arrival = 0;
  if (act.ending == Ending::Lost || act.ending == Ending::Dropped || !of_this_life(*c)) return;
  Reply answer;
  answer.ending = act.ending;
  answer.write = a.write;
  answer.made_for = {a.try_id, a.number, machine, a.key};
  answer.size_bytes = a.size_bytes;
  stations_[machine]->report(act.at, answer.report);
  const auto& fields = stage_.report_of(machine).fields;
  const Place& place = places_[machine];
  say(*c, act.at,
      model::draw_chance(place.bad_share, bad_) ? bad_reply(stage_.bodies, answer, fields, place.bad)
                                                : reply(stage_.bodies, answer, fields));
}

} // namespace fernward::rig
