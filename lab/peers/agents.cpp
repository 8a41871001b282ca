#include "lab/peers/agents.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstring>
#include <limits>
#include <stdexcept>

namespace fernward::rig {

using loop::Handle;
using model::Discovery;
using model::MachineId;
using model::RouterId;
using nlohmann::json;

namespace {

constexpr double kMostWaitMs = 60000; // limit for one call
constexpr double kGoesOnMs = 200;     // a watch continues if the next call arrives within this time
constexpr double kSweepMs = 25;
constexpr int kBacklog = 64;

std::string_view word(ServerState state) {
  switch (state) {
    case ServerState::Ready: return "in_service";
    case ServerState::Draining: return "terminating";
    case ServerState::Gone: return "terminated";
  }
  return "terminated";
}

std::optional<std::uint64_t> parameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto next = query.find('&');
    const std::string_view item = query.substr(0, next);
    query = next == std::string_view::npos ? std::string_view() : query.substr(next + 1);
    if (item.substr(0, name.size()) != name || item.size() <= name.size() || item[name.size()] != '=')
      continue;
    const std::string_view digits = item.substr(name.size() + 1);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error == std::errc() && end == digits.data() + digits.size()) return value;
  }
  return std::nullopt;
}

} // namespace

Agents::Agents(const Stage& stage, Loop& loop, model::Network& network)
    : stage_(stage),
      loop_(loop),
      network_(network),
      discovery_(stage.spec, stage.plan),
      sides_(stage.plan.routers.size()),
      queue_(stage.spec.discovery.congestion, loop, *this) {
  for (RouterId r = 0; r < sides_.size(); ++r) {
    Side& side = sides_[r];
    side.congestion = model::stream(stage.spec.seed, "discovery congestion", r);
    side.had.resize(stage.plan.machines.size());
    side.counted.resize(stage.plan.machines.size());
    note(side.had, discovery_.list(0, std::nullopt)); // the list before the run
  }
}

Agents::~Agents() {
  for (const auto& door : doors_) {
    door->accepts.reset();
    if (door->fd >= 0) close(door->fd);
  }
}

// ---- connections ----

void Agents::open() {
  for (RouterId r = 0; r < sides_.size(); ++r) listen(r, moves_);
}

void Agents::listen(RouterId router, std::uint32_t moves) {
  auto door = std::make_unique<Door>();
  door->all = this;
  door->router = router;
  door->moves = moves;
  const sockaddr_in where = stage_.addresses.agent(router, moves);
  door->fd = listen_at(where, kBacklog);
  if (door->fd < 0) {
    const std::string why = "cannot listen on " + text_of(where) + ": " + std::strerror(errno);
    if (!stage_.clock.begun()) throw std::runtime_error(why);
    return stage_.voids.add(why);
  }
  door->accepts.reset(
      event_new(loop_.base(), door->fd, EV_READ | EV_PERSIST, &Agents::acceptable, door.get()));
  event_add(door->accepts.get(), nullptr);
  doors_.push_back(std::move(door));
}

void Agents::acceptable(int, short, void* door) {
  const auto* found = static_cast<const Door*>(door);
  found->all->accept(*found);
}

void Agents::accept(const Door& door) {
  const int fd = accept4(door.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  const Handle handle = calls_.add();
  Call& call = *calls_.find(handle);
  call.all = this;
  call.self = handle;
  call.router = door.router;
  call.moves = door.moves;
  call.stream = std::make_unique<Stream>(loop_.base(), fd, call);
}

void Agents::read(Call& call, std::string_view got) {
  call.behind.append(got);
  read_call(call);
}

void Agents::read_call(Call& call) {
  if (call.ask || call.behind.empty()) return;
  call.behind.erase(0, call.parser.feed(call.behind));
  if (call.parser.fault() != http::Fault::None) return calls_.remove(call.self);
  if (!call.parser.done()) return;
  const http::Message message = call.parser.take();
  const std::string_view target = message.target;
  const auto mark = target.find('?');
  if (message.method != "GET" || target.substr(0, mark) != "/v1/endpoints") {
    call.stream->send(http::write_response(404, {}, "", true));
    return;
  }
  const std::string_view query =
      mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
  Ask ask;
  ask.since = parameter(query, "since");
  const auto wait = parameter(query, "timeout_ms");
  ask.until = loop::now_ms() + std::min(kMostWaitMs, wait ? static_cast<double>(*wait) : 0.0);
  if (refuse(call)) return;
  const bool is_held = ask.since && *ask.since == discovery_.index(call.router);
  if (is_held &&
      model::draw_chance(stage_.spec.discovery.congestion.silent_share, sides_[call.router].congestion))
    ask.progress = Progress::NeverAnswered;
  call.ask = ask;
  if (ask.since) {
    call.ticket = loop_.deadlines().at(ask.until, [this, handle = call.self] {
      if (Call* waits = calls_.find(handle)) serve(*waits);
    });
  }
  serve(call);
}

bool Agents::refuse(Call& call) {
  if (silent(call.router)) return false;
  model::Engine& engine = sides_[call.router].congestion;
  if (!model::draw_chance(stage_.spec.discovery.congestion.refused_share, engine)) return false;
  if (model::draw_chance(0.5, engine)) {
    call.stream->send(http::write_response(503, {}, "", true));
  } else {
    calls_.remove(call.self);
  }
  return true;
}

// Responds to a call, unless it has to wait for a change or the router's agent is silent.
void Agents::serve(Call& call) {
  if (!call.ask || call.ask->progress != Progress::Held || silent(call.router)) return;
  const std::uint64_t index = discovery_.index(call.router);
  const auto since = call.ask->since;
  if (since && *since == index && loop::now_ms() < call.ask->until) return;
  loop_.deadlines().cancel(call.ticket);
  call.ask->progress = Progress::Queued;
  if (stage_.spec.discovery.congestion.on()) return queue_.add(call.self);
  call.stream->send(answer_text(call));
  answered(call);
}

std::string Agents::answer_text(Call& call) {
  call.ask->answer = discovery_.list(call.router, call.ask->since);
  const std::string body = list_json(call.router, call.ask->answer).dump();
  return http::write_response(200, {{"Content-Type", "application/json"}}, body, true);
}

// The response has been written completely.
void Agents::answered(Call& call) {
  Side& side = sides_[call.router];
  if (call.ask->since) side.watch_ended_at = now();
  const Discovery::List list = std::move(call.ask->answer);
  call.ask.reset();
  if (list.index >= side.had_index) {
    side.had_index = list.index;
    note(side.had, list);
  }
  count(call.router, list, false, false);
  read_call(call);
}

// ---- the congested server ----

AnswerQueue::Calls::State Agents::state(Handle handle) {
  const Call* call = calls_.find(handle);
  if (call == nullptr) return State::Closed;
  return silent(call->router) ? State::Silent : State::Open;
}

std::optional<std::string> Agents::make_answer(Handle handle) {
  Call* call = calls_.find(handle);
  if (call == nullptr) return std::nullopt;
  if (silent(call->router)) { // served again when discovery has recovered
    call->ask->progress = Progress::Held;
    return std::nullopt;
  }
  return answer_text(*call);
}

void Agents::send_piece(Handle handle, std::string_view piece, bool is_last) {
  Call& call = *calls_.find(handle);
  call.stream->send(piece);
  if (is_last) answered(call);
}

// ---- notifications ----

void Agents::note(std::vector<Known>& into, const Discovery::List& list) const {
  if (list.whole) std::fill(into.begin(), into.end(), Known());
  for (const auto& entry : list.entries) into[entry.machine] = {entry.state, entry.started_at};
}

void Agents::count(RouterId router, const Discovery::List& list, bool cached, bool deemed) {
  Side& side = sides_[router];
  if (!cached) {
    if (list.index <= side.counted_index) return;
    side.counted_index = list.index;
    drop_told(side);
  }
  const std::vector<Known> before = side.counted;
  note(side.counted, list);
  if (list.whole && !cached) { // endpoints that a snapshot omits are gone
    std::vector<char> listed(before.size());
    for (const auto& entry : list.entries) listed[entry.machine] = 1;
    for (MachineId m = 0; m < listed.size(); ++m) {
      if (listed[m] || before[m].state == ServerState::Gone) continue;
      stage_.tape.add(model::Told{now(), router, m, ServerState::Gone, before[m].started_at, false, deemed});
    }
  }
  for (const auto& entry : list.entries) {
    stage_.tape.add(model::Told{now(), router, entry.machine, entry.state, entry.started_at, cached, deemed});
  }
}

void Agents::drop_told(Side& side) {
  while (!side.news.empty() && side.news.front().index <= side.counted_index) side.news.pop_front();
}

json Agents::endpoint(RouterId router, const Discovery::Entry& entry) const {
  const model::Machine& m = stage_.plan.machines[entry.machine];
  const bool origin = m.kind >= stage_.spec.kinds.size();
  const double since = entry.started_at < 0 ? 0 : std::round(stage_.clock.wall(entry.started_at));
  return {{"name", m.name},
          {"address", text_of(stage_.addresses.machine(router, m.address_of))},
          {"zone", stage_.spec.zones[m.zone].name},
          {"type", origin ? model::kOriginKindName : stage_.spec.kinds[m.kind].name},
          {"group", m.cell},
          {"status", word(entry.state)},
          {"weight", m.weight},
          {"since_ms", static_cast<std::int64_t>(since)}};
}

json Agents::list_json(RouterId router, const Discovery::List& list) const {
  json endpoints = json::array();
  for (const auto& entry : list.entries) endpoints.push_back(endpoint(router, entry));
  return {{"index", list.index}, {"snapshot", list.whole}, {"endpoints", std::move(endpoints)}};
}

json Agents::router_starts(RouterId router) {
  Side& side = sides_[router];
  side.runs = true;
  side.counted_index = 0;
  side.news.clear();
  side.news_index = 0; // a new process knows no version yet
  note_news(router);
  side.moves = moves_;
  side.reloaded_at = -kNever;
  side.reachable_since = kNever;
  note_reach(router);
  side.watch_ended_at = -1e9;
  Discovery::List known;
  known.index = 0; // any version from discovery is newer
  for (MachineId m = 0; m < side.had.size(); ++m) {
    if (side.had[m].state != ServerState::Gone) {
      known.entries.push_back({m, side.had[m].state, side.had[m].started_at, 0});
    }
  }
  std::fill(side.counted.begin(), side.counted.end(), Known());
  count(router, known, true, false);
  return list_json(router, known);
}

void Agents::router_ended(RouterId router) {
  sides_[router].runs = false;
  note_reach(router);
}

// ---- changes and steps ----

void Agents::begin() {
  advance();
  sweep();
}

void Agents::change(MachineId machine, ServerState state, double started_at, Discovery::Why why) {
  discovery_.change(now(), machine, state, started_at, why);
  advance();
}

void Agents::apply(const model::Step& step) {
  if (const auto* router = std::get_if<model::RouterStep>(&step.what)) {
    if (router->what == model::RouterStep::What::Return) serve_all();
    if (router->what == model::RouterStep::What::Reload) reloaded(router->router);
    return;
  }
  const auto* found = std::get_if<model::DiscoveryStep>(&step.what);
  if (found == nullptr) return;
  using What = model::DiscoveryStep::What;
  switch (found->what) {
    case What::Down:
    case What::Up:
      down_ = found->what == What::Down;
      discovery_.outage(now(), down_);
      advance();
      return serve_all();
    case What::MoveBegins:
      ++moves_;
      for (RouterId r = 0; r < sides_.size(); ++r) listen(r, moves_);
      return;
    case What::OldEnds:
      oldest_moves_ = moves_;
      std::erase_if(doors_, [this](const auto& door) {
        if (door->moves >= moves_) return false;
        door->accepts.reset();
        close(door->fd);
        return true;
      });
      calls_.each([this](Handle handle, Call& call) {
        if (call.moves >= moves_) return;
        call.stream->reset_on_close();
        calls_.remove(handle);
      });
      return;
  }
}

// After SIGHUP a router reads its configuration file again, including discovery's address.
void Agents::reloaded(RouterId router) {
  Side& side = sides_[router];
  if (!side.runs || side.moves == moves_) return;
  side.moves = moves_;
  note_reach(router); // discovery is reachable again by the reload at the latest
  side.reloaded_at = now();
}

void Agents::advance() {
  discovery_.advance(now());
  for (RouterId r = 0; r < sides_.size(); ++r) spread(r);
  const double next = discovery_.next();
  loop_.deadlines().cancel(wake_);
  if (next < std::numeric_limits<double>::infinity()) {
    wake_ = loop_.at(next, [this] {
      wake_ = 0;
      advance();
    });
  }
}

// Serves the waiting calls of a router whose agent has received a new version.
void Agents::spread(RouterId router) {
  Side& side = sides_[router];
  note_news(router);
  if (discovery_.index(router) <= side.counted_index) return;
  calls_.each([&](Handle, Call& call) {
    if (call.router == router) serve(call);
  });
  const bool between = now() - side.watch_ended_at <= kGoesOnMs && !silent(router) && side.runs &&
                       !stage_.spec.discovery.congestion.on();
  if (between) count(router, discovery_.list(router, side.counted_index), false, false);
}

void Agents::serve_all() {
  calls_.each([&](Handle, Call& call) { serve(call); });
}

void Agents::note_news(RouterId router) {
  Side& side = sides_[router];
  const std::uint64_t index = discovery_.index(router);
  if (index <= side.news_index) return;
  side.news_index = index;
  side.news.push_back({index, now()});
  drop_told(side);
}

bool Agents::reachable(RouterId router) const {
  const Side& side = sides_[router];
  return side.runs && !silent(router) && side.moves >= oldest_moves_;
}

void Agents::note_reach(RouterId router) {
  Side& side = sides_[router];
  if (!reachable(router)) {
    side.reachable_since = kNever;
  } else if (side.reachable_since == kNever) {
    side.reachable_since = now();
  }
}

// The latest time at which the router counts as notified of the version.
double Agents::counts_at(const Side& side, const News& news) const {
  const model::DiscoverySpec& spec = stage_.spec.discovery;
  const double at_latest = std::max(news.came_at, side.reachable_since) + spec.at_latest_ms;
  const bool was_to_be_read_anew =
      news.came_at <= side.reloaded_at && side.reachable_since <= side.reloaded_at;
  return was_to_be_read_anew ? std::min(at_latest, side.reloaded_at + spec.reload_at_latest_ms) : at_latest;
}

// A router that sends no call, or receives no response, counts as notified once the limit has passed.
void Agents::sweep() {
  const double at = now();
  for (RouterId r = 0; r < sides_.size(); ++r) {
    Side& side = sides_[r];
    note_reach(r);
    while (!side.news.empty() && counts_at(side, side.news.front()) <= at) {
      count(r, discovery_.list_at(side.news.front().index), false, true);
    }
  }
  loop_.after(kSweepMs, [this] { sweep(); });
}

} // namespace fernward::rig
