#include "lab/virtual/router.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "model/rng.h"

namespace fernward::lab {

using fernward::AttemptResult;
using fernward::ServerState;

namespace {

constexpr std::size_t kReserved = 24; // descriptors for other uses than client and upstream connections
constexpr double kIdleShare = 0.7;    // share of the machine's configured idle timeout
constexpr double kUnixMs = 1.7e12;    // wall clock at the start of the run
constexpr std::uint64_t kSpins = ~std::uint64_t{0}; // token of the timer of PlantedDefect::TimerLoop
constexpr std::uint64_t kTimedShare = 16;           // one in this many decisions is timed

std::size_t places(const model::Spec& spec) {
  return std::max<std::size_t>(spec.routers.sockets, kReserved + 16) - kReserved;
}

} // namespace

double router_idle_ms(const model::Spec& spec) { return kIdleShare * spec.routers.conn_idle_ms; }

Router::Router(const model::Spec& spec, const model::RouterPlace& place, const Machines& machines,
               std::size_t routers, Surroundings& world, Planted planted)
    : spec_(spec),
      place_(place),
      machines_(machines),
      world_(world),
      settings_(model::router_settings(spec, place.zone)),
      defect_(planted),
      routers_(routers),
      known_(machines.entries.size()),
      free_(machines.entries.size()),
      rests_(router_idle_ms(spec)),
      account_(places(spec)) {
  defect_.settings(settings_);
  const model::SharingSpec& sharing = spec.routers.sharing;
  uses_ = {sharing.ledger, sharing.count, sharing.findings};
}

bool Router::ready() const {
  return runs() && !stopping_ && std::any_of(known_.begin(), known_.end(), [](const Known& k) {
           return k.state == ServerState::Ready;
         });
}

// ---- life cycle ----

void Router::start() {
  ++life_;
  defect_.restart();
  stopping_ = stopped_ = drained_ = false;
  list_index_ = 0;
  const std::uint64_t seed = model::mix(spec_.seed, place_.id, life_);
  balancer_ = std::make_unique<fernward::Balancer>(settings_, seed);
  const model::SharingSpec& sharing = spec_.routers.sharing;
  if (!sharing.on) return;
  heard_ = false;
  fleet_ = std::make_unique<gossip::Fleet>(
      static_cast<gossip::Id>(place_.id), routers_, gossip::incarnation_at(kUnixMs + now()),
      membership::Rules{sharing.period_ms, sharing.asked}, seed, static_cast<std::uint8_t>(place_.zone));
  // Processes that start at the beginning of the run have different round phases, as if they had started
  // independently.
  const double first = life_ > 1 ? 0 : sharing.period_ms * static_cast<double>(seed % 1024) / 1024;
  world_.at(now() + first, Due::RouterRound, place_.id, 0, life_);
}

void Router::wind_down() {
  stopping_ = true;
  if (fleet_ == nullptr) return;
  fleet_->leave(clock(), out_);
  speak();
  fleet_.reset();
}

void Router::die() {
  balancer_.reset();
  fleet_.reset();
  events_.clear();
  door_.clear();
  stopping_ = stopped_ = drained_ = false;
  unanswered_ = open_ = 0;
  places_.clear();
  rests_ = idle_connections::IdleLifetimeEstimator(router_idle_ms(spec_));
  for (auto& free : free_) free.clear();
  resting_.clear();
  list_index_ = 0;
}

double Router::clock() const { return now() + kRouterEpoch; }

void Router::stop_accepting() { stopped_ = true; }

void Router::drain() { drained_ = true; }

// ---- events: other routers (as src/gossip_transport/link.cpp) ----

void Router::round() {
  if (fleet_ == nullptr) return;
  fleet_->tick(clock(), gossip::own_of(*balancer_, uses_), out_);
  speak();
  word();
  world_.at(fleet_->next() - kRouterEpoch, Due::RouterRound, place_.id, 0, life_);
}

void Router::datagram(model::RouterId from, const std::string& bytes) {
  if (fleet_ == nullptr) return;
  fleet_->take(clock(), static_cast<gossip::Id>(from), bytes, out_);
  speak();
  if (heard_) return;
  heard_ = fleet_->view(clock()).heard > 0;
  if (heard_) word(); // a returning router does not wait for the next round
}

void Router::speak() {
  for (gossip::Fleet::Out& out : out_) world_.datagram(place_.id, out.to, std::move(out.bytes));
  out_.clear();
}

void Router::word() {
  std::vector<fernward::Event> events;
  gossip::advise(clock(), view(), *fleet_, uses_, events);
  for (auto& event : events) enqueue(std::move(event));
  pump();
}

std::optional<model::Shared> Router::shared() {
  if (fleet_ == nullptr) return std::nullopt;
  const gossip::View said = view();
  const fernward::Balancer::OriginBudget ledger = balancer_->origin_budget();
  return model::Shared{now(),         place_.id,    said.living,     said.heard,
                       ledger.demand, ledger.limit, said.ledger_part};
}

gossip::View Router::view() {
  gossip::View said = fleet_->view(clock());
  if (defect_.is(Planted::DoublePart)) said.ledger_part *= 2;
  return said;
}

// ---- events: clients ----

void Router::request(Handle client, const model::TryStart& start) {
  const Waiting waiting{client, start};
  descriptors::DescriptorBudget::Lease place = room(descriptors::Side::Downstream);
  if (!place) return door_.push_back(waiting);
  open(waiting, std::move(place));
  pump();
}

void Router::open(const Waiting& waiting, descriptors::DescriptorBudget::Lease place) {
  if (open_ >= spec_.routers.open_cap) return world_.answer(waiting.client, model::Heard::Refused, 0);
  const model::TryStart& start = waiting.start;
  const Handle id = world_.exchanges().add();
  places_[id << 1] = std::move(place);
  Exchange& x = *world_.exchanges().find(id);
  x.router = place_.id;
  x.client = waiting.client;
  x.start = start;
  // X-Timeout-Ms is an integer of milliseconds, and counts from here.
  x.deadline = now() + std::max(1.0, std::floor(start.deadline - start.due));
  world_.at(x.deadline + spec_.routers.grace_to_answer_ms / 2, Due::Guard, place_.id, id, life_);
  ++unanswered_;
  ++open_;
  world_.taken(waiting.client, id);
  fernward::Request request;
  request.id = id;
  request.class_index = start.drawn.cls;
  request.tenant = start.drawn.tenant;
  request.key = model::mix(start.drawn.key, 0) | 1; // in place of the hash of its name
  request.deadline = x.deadline + kRouterEpoch;
  request.expected_work_ms = start.drawn.hint_ms;
  request.write = start.drawn.write;
  if (defect_.refuses(request, open_, settings_.classes.size())) {
    finish(id, model::Heard::Refused, 0);
    return drop_if_done(id);
  }
  enqueue(request);
}

void Router::client_gone(Handle exchange) {
  const Exchange* x = world_.exchanges().find(exchange);
  if (x == nullptr || x->over) return;
  finish(exchange, std::nullopt, 0);
  enqueue(fernward::ClientDisconnected{exchange});
  drop_if_done(exchange);
  pump();
}

// The final guard against a missing response. The balancer normally answers earlier.
void Router::guard(Handle exchange) {
  if (defect_.is(Planted::SilentEnd)) return;
  const Exchange* x = world_.exchanges().find(exchange);
  if (x == nullptr || x->over) return;
  finish(exchange, model::Heard::Failed, 0);
  enqueue(fernward::ClientDisconnected{exchange});
  drop_if_done(exchange);
  pump();
}

// ---- events: discovery ----

void Router::list(const model::Discovery::List& list, bool cached) {
  fernward::EndpointList told;
  told.kind = cached       ? fernward::EndpointListKind::Cached
              : list.whole ? fernward::EndpointListKind::Full
                           : fernward::EndpointListKind::Delta;
  if (!cached) list_index_ = list.index;
  std::vector<Known> before;
  if (list.whole) {
    before.resize(known_.size());
    std::swap(before, known_);
  } else {
    before = known_;
  }
  for (const auto& entry : list.entries) {
    const bool goes = entry.state != ServerState::Ready;
    if (goes && defect_.is(Planted::DeafToDrains)) continue;
    if (goes && defect_.is(Planted::Spins)) world_.at(now(), Due::RouterTimer, place_.id, kSpins, life_);
    known_[entry.machine] = {entry.state, entry.started_at};
    fernward::Server server = machines_.entries[entry.machine];
    server.state = entry.state;
    server.started_at = entry.started_at >= 0 ? entry.started_at + kRouterEpoch : 0;
    told.servers.push_back(server);
  }
  for (model::MachineId m = 0; m < known_.size(); ++m) {
    if (before[m].state == ServerState::Gone) continue;
    // Idle links to a restarted machine belong to its previous process.
    const bool again = known_[m].started_at != before[m].started_at;
    if (!free_[m].empty() && (!in_service(m) || again)) close_free(m);
    if (known_[m].state == ServerState::Gone || again) rests_.forget(m);
  }
  if (told.kind == fernward::EndpointListKind::Delta && told.servers.empty()) return;
  enqueue(std::move(told));
  pump();
}

// ---- events: links ----

void Router::linked(Handle link) {
  Link* l = world_.links().find(link);
  if (l == nullptr || l->closed) return;
  l->up = true;
  if (!in_service(l->machine)) return lost(link, true); // withdrawn meanwhile: no new attempts are sent there
  if (const Handle attempt = l->attempt; attempt != 0) {
    RouterAttempt& a = *world_.attempts().find(attempt);
    const Exchange* x = world_.exchanges().find(a.exchange);
    if (x == nullptr || x->over) { // already answered, possibly as not executed: it must not be sent
      l->attempt = 0;
      rest(link, *l);
      end_attempt(attempt, AttemptResult::Abandoned, {});
      return pump();
    }
    a.written = true;
    world_.write(l->attempt);
    return;
  }
  std::erase(free_[l->machine], link);
  rest(link, *l);
}

void Router::lost(Handle link, bool refused) {
  Link* l = world_.links().find(link);
  if (l == nullptr || l->closed) return;
  const Handle attempt = std::exchange(l->attempt, 0);
  const RouterAttempt* a = world_.attempts().find(attempt);
  const bool unsent = refused || !l->up || (a != nullptr && !a->written);
  if (attempt != 0 && !unsent) learn(*l, true);
  const bool rested = l->rested_ms >= 0;
  close_link(link, *l);
  if (attempt != 0)
    end_attempt(attempt, unsent ? AttemptResult::ConnectFailed : AttemptResult::Reset, {}, rested);
  pump();
}

void Router::connect_timeout(Handle link) {
  const Link* l = world_.links().find(link);
  if (l != nullptr && !l->closed && !l->up) lost(link, true);
}

void Router::closed_by_machine(Handle link) {
  Link* l = world_.links().find(link);
  if (l == nullptr || l->closed) return;
  if (l->attempt != 0) return lost(link, false); // the close crossed a request
  close_link(link, *l);
}

void Router::answered(Handle attempt, AttemptResult result, std::vector<float> report, Ends how) {
  const RouterAttempt* a = world_.attempts().find(attempt);
  if (a == nullptr) return;
  const Handle link = a->link;
  Link* l = world_.links().find(link);
  l->attempt = 0;
  if (how == Ends::Unbegun || result != AttemptResult::Reset) learn(*l, how == Ends::Unbegun);
  if (how == Ends::KeepsLink && in_service(l->machine) && !defect_.is(Planted::NoReuse)) {
    rest(link, *l);
  } else {
    close_link(link, *l);
  }
  end_attempt(attempt, result, std::move(report));
  pump();
}

void Router::rest(Handle link, Link& l) {
  l.rests_since = now();
  ++l.rest;
  free_[l.machine].push_back(link);
  while (!resting_.empty() && !at_rest(resting_.front())) resting_.pop_front();
  resting_.push_back({l.rests_since, link});
  world_.at(now() + rests_.keep_ms(now(), l.machine), Due::LinkRested, place_.id, link, l.rest);
}

bool Router::at_rest(const Rest& rest) {
  const Link* l = world_.links().find(rest.link);
  return l != nullptr && !l->closed && l->attempt == 0 && l->up && l->rests_since == rest.since;
}

void Router::rested(Handle link, std::uint32_t rest) {
  Link* l = world_.links().find(link);
  if (l != nullptr && !l->closed && l->attempt == 0 && l->rest == rest) close_link(link, *l);
}

// Records whether reuse after the idle time succeeded, for the estimate of safe idle times.
void Router::learn(const Link& l, bool reset) {
  if (known_[l.machine].state == ServerState::Gone) return;
  if (l.rested_ms < 0) return rests_.on_first_use(now(), l.machine, reset);
  rests_.on_reuse(now(), l.machine, l.rested_ms, l.trial, reset);
}

void Router::close_link(Handle link, Link& l) {
  std::erase(free_[l.machine], link);
  l.closed = true;
  places_.erase(link << 1 | 1);
  world_.close(link);
}

void Router::close_free(model::MachineId machine) {
  const auto links = free_[machine];
  for (const Handle link : links) close_link(link, *world_.links().find(link));
}

// Returns the most recent idle link that is established and not idle for too long, else one that is still
// connecting; 0: none.
Handle Router::reusable(model::MachineId machine) {
  using Use = idle_connections::IdleLifetimeEstimator::Reuse;
  auto& free = free_[machine];
  for (const bool up : {true, false}) {
    for (std::size_t i = free.size(); i-- > 0;) {
      Link& l = *world_.links().find(free[i]);
      if (l.up != up) continue;
      if (up) {
        const Use use = rests_.decide_reuse(now(), machine, now() - l.rests_since);
        if (use == Use::Refused) break; // earlier entries have been idle longer
        l.rested_ms = now() - l.rests_since;
        l.trial = use == Use::Trial;
      }
      const Handle link = free[i];
      free.erase(free.begin() + static_cast<std::ptrdiff_t>(i));
      return link;
    }
  }
  return 0;
}

// Acquires a descriptor for a connection. Idle client connections give way at once and are not counted; idle
// links are closed when needed.
descriptors::DescriptorBudget::Lease Router::room(descriptors::Side side) {
  using Needs = descriptors::DescriptorBudget::Eviction;
  for (;;) {
    const Needs needs = account_.required_eviction(now(), side);
    if (needs == Needs::None) return account_.acquire(now(), side);
    if (side == descriptors::Side::Downstream && needs == Needs::OwnSide) return {};
    if (!let_go()) return {};
  }
}

bool Router::let_go() {
  for (; !resting_.empty(); resting_.pop_front()) {
    const Rest rest = resting_.front();
    if (!at_rest(rest)) continue;
    close_link(rest.link, *world_.links().find(rest.link));
    return true;
  }
  return false;
}

// ---- the balancer ----

void Router::pump() {
  if (pumping_) return;
  pumping_ = true;
  while (!events_.empty()) {
    fernward::Event event = std::move(events_.front());
    events_.pop_front();
    if (defect_.any() && !defect_.tell(event, settings_.origin_kind)) continue;
    decide(event);
    for (const fernward::Action& action : actions_) carry_out(action);
  }
  pumping_ = false;
}

void Router::decide(const fernward::Event& event) {
  actions_.clear();
  if (++decisions_ % kTimedShare != 0) return balancer_->on_event(now() + kRouterEpoch, event, actions_);
  const auto begin = std::chrono::steady_clock::now();
  balancer_->on_event(now() + kRouterEpoch, event, actions_);
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
  cpu_s_ += took.count() * static_cast<double>(kTimedShare);
}

void Router::timer(std::uint64_t token) {
  if (token == kSpins && defect_.is(Planted::Spins)) {
    return world_.at(now(), Due::RouterTimer, place_.id, kSpins, life_);
  }
  enqueue(fernward::TimerFired{token});
  pump();
}

void Router::carry_out(const fernward::Action& action) {
  if (const auto* out = std::get_if<fernward::Send>(&action)) {
    send(*out);
  } else if (const auto* refuse = std::get_if<fernward::Reject>(&action)) {
    if (defect_.is(Planted::SilentEnd) && refuse->reason == fernward::GiveUpReason::NoEndpoint) return;
    finish(refuse->id, model::Heard::Refused, refuse->retry_after_ms);
    drop_if_done(refuse->id);
  } else if (const auto* fail = std::get_if<fernward::Fail>(&action)) {
    finish(fail->id, model::Heard::Failed, 0);
    drop_if_done(fail->id);
  } else if (const auto* cancelled = std::get_if<fernward::Cancel>(&action)) {
    const Exchange* x = world_.exchanges().find(cancelled->id);
    if (x != nullptr && cancelled->attempt < x->attempts.size()) {
      stop(x->attempts[cancelled->attempt], AttemptResult::Cancelled);
    }
  } else if (const auto* timer = std::get_if<fernward::SetTimer>(&action)) {
    world_.at(now() + timer->delay_ms, Due::RouterTimer, place_.id, timer->token, life_);
  } else if (const auto* said = std::get_if<fernward::Log>(&action)) {
    world_.log(place_.id, said->text.c_str());
  } else if (std::get_if<fernward::WatchEndpoints>(&action) != nullptr) {
    enqueue(fernward::EndpointList{fernward::EndpointListKind::Delta, {}});
  } else if (const auto* probe = std::get_if<fernward::SendHealthCheck>(&action)) {
    enqueue(fernward::HealthCheckResult{probe->server, 0, false, {}});
  }
}

void Router::send(const fernward::Send& send) {
  Exchange* x = world_.exchanges().find(send.id);
  if (x == nullptr) return;
  const auto found = machines_.by_id.find(send.server);
  const auto machine = found == machines_.by_id.end() ? 0 : found->second;
  const auto number = static_cast<std::uint32_t>(x->attempts.size());
  const double deadline = send.timeout_ms == 0 ? x->deadline : std::min(x->deadline, now() + send.timeout_ms);
  ++x->out;
  x->attempts.push_back(0);
  AttemptResult result = AttemptResult::Abandoned;
  if (found == machines_.by_id.end()) {
    result = AttemptResult::ConnectFailed;
  } else if (!x->over && number < spec_.routers.max_attempts && now() < deadline) {
    const Handle handle = world_.attempts().add();
    RouterAttempt& a = *world_.attempts().find(handle);
    a.router = place_.id;
    a.exchange = send.id;
    a.number = number;
    a.machine = machine;
    a.sent_at = now();
    a.deadline = deadline;
    x->attempts.back() = handle;
    const Start start = start_attempt(handle, machine);
    if (start == Start::Begun) {
      world_.at(deadline, Due::AttemptTimeout, place_.id, handle, life_);
      return;
    }
    if (start == Start::NoTarget) result = AttemptResult::ConnectFailed;
    x->attempts.back() = 0;
    world_.attempts().remove(handle);
  }
  --x->out;
  outcome(send.id, number, machine, 0, result, {});
}

Router::Start Router::start_attempt(Handle attempt, model::MachineId machine) {
  if (!in_service(machine)) return Start::NoTarget;
  Handle link = reusable(machine);
  const bool opens = link == 0;
  if (opens) {
    descriptors::DescriptorBudget::Lease place = room(descriptors::Side::Upstream);
    if (!place) return Start::Full;
    link = world_.links().add();
    places_[link << 1 | 1] = std::move(place);
    Link& l = *world_.links().find(link);
    l.router = place_.id;
    l.machine = machine;
    l.opened_at = now();
    peak_links_ = std::max(peak_links_, account_.used(descriptors::Side::Upstream));
  }
  Link& l = *world_.links().find(link);
  l.attempt = attempt;
  RouterAttempt& a = *world_.attempts().find(attempt);
  a.link = link;
  if (opens) {
    world_.at(now() + spec_.routers.connect_timeout_ms, Due::ConnectTimeout, place_.id, link, life_);
    world_.connect(link);
  } else if (l.up) {
    a.written = true;
    world_.write(attempt);
  }
  return Start::Begun;
}

void Router::attempt_timeout(Handle attempt) {
  stop(attempt, AttemptResult::TimedOut);
  pump();
}

// Stops waiting for an attempt. Its link is closed, because a response is outstanding on it, unless the link
// was not established yet.
void Router::stop(Handle attempt, AttemptResult result) {
  const RouterAttempt* a = world_.attempts().find(attempt);
  if (a == nullptr) return;
  const Handle link = a->link;
  Link& l = *world_.links().find(link);
  l.attempt = 0;
  if (l.up) {
    close_link(link, l);
  } else {
    free_[l.machine].push_back(link);
  }
  end_attempt(attempt, result, {});
}

void Router::end_attempt(Handle attempt, AttemptResult result, std::vector<float> report, bool rested) {
  const RouterAttempt* found = world_.attempts().find(attempt);
  if (found == nullptr) return;
  const RouterAttempt a = *found;
  world_.attempts().remove(attempt);
  Exchange* x = world_.exchanges().find(a.exchange);
  if (x == nullptr) return;
  if (defect_.is(Planted::UncountedRetry) && send_again(a, result)) return;
  x->attempts[a.number] = 0;
  --x->out;
  if (result == AttemptResult::Ok) finish(a.exchange, model::Heard::Served, 0);
  const Link* l = world_.links().find(a.link);
  const bool first = l != nullptr && l->rested_ms < 0;
  outcome(a.exchange, a.number, a.machine, now() - a.sent_at, result, std::move(report), rested, first);
  drop_if_done(a.exchange);
}

// PlantedDefect::UncountedRetry: resends the attempt without the balancer.
bool Router::send_again(const RouterAttempt& a, AttemptResult result) {
  constexpr std::uint32_t kMost = 4;
  Exchange* x = world_.exchanges().find(a.exchange);
  const bool failed = result == AttemptResult::Error || result == AttemptResult::Reset ||
                      result == AttemptResult::Overloaded || result == AttemptResult::ConnectFailed ||
                      result == AttemptResult::TimedOut;
  if (!failed || x->over || a.again >= kMost || now() >= x->deadline) return false;
  const Handle handle = world_.attempts().add();
  RouterAttempt& next = *world_.attempts().find(handle);
  next = a;
  next.again = a.again + 1;
  next.written = false;
  next.deadline = x->deadline;
  x->attempts[a.number] = handle;
  if (start_attempt(handle, a.machine) != Start::Begun) {
    x->attempts[a.number] = 0;
    world_.attempts().remove(handle);
    return false;
  }
  world_.at(x->deadline, Due::AttemptTimeout, place_.id, handle, life_);
  return true;
}

void Router::outcome(Handle exchange, std::uint32_t number, model::MachineId machine, double elapsed,
                     AttemptResult result, std::vector<float> report, bool rested, bool first) {
  const Exchange* x = world_.exchanges().find(exchange);
  fernward::AttemptOutcome told;
  told.id = exchange;
  told.attempt = number;
  told.server = machines_.entries[machine].id;
  told.result = result;
  told.elapsed_ms = elapsed;
  told.request_ended = x == nullptr || x->over;
  told.load_report = std::move(report);
  told.on_reused_connection = rested;
  told.first_on_connection = first;
  enqueue(std::move(told));
}

void Router::finish(Handle exchange, std::optional<model::Heard> heard, double retry_after_ms) {
  Exchange* x = world_.exchanges().find(exchange);
  if (x == nullptr || x->over) return;
  x->over = true;
  --unanswered_;
  if (heard) world_.answer(x->client, *heard, retry_after_ms);
  places_.erase(exchange << 1);
  while (!door_.empty()) {
    descriptors::DescriptorBudget::Lease place = room(descriptors::Side::Downstream);
    if (!place) return;
    const Waiting next = door_.front();
    door_.pop_front();
    if (world_.waits(next.client)) open(next, std::move(place));
  }
}

void Router::drop_if_done(Handle exchange) {
  const Exchange* x = world_.exchanges().find(exchange);
  if (x == nullptr || !x->over || x->out != 0) return;
  world_.exchanges().remove(exchange);
  --open_;
}

} // namespace fernward::lab
