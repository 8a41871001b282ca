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

constexpr double kMaxWaitMs = 60000;     // limit for one call
constexpr double kWatchGapMs = 200;      // a watch continues if the next call arrives within this time
constexpr double kExpireIntervalMs = 25; // interval between checks of notified_at_latest()
constexpr int kBacklog = 64;

std::string_view status_text(ServerState state) {
  switch (state) {
    case ServerState::Ready: return "in_service";
    case ServerState::Draining: return "terminating";
    case ServerState::Gone: return "terminated";
  }
  return "terminated";
}

std::optional<std::uint64_t> query_parameter(std::string_view query, std::string_view name) {
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

DiscoveryAgents::DiscoveryAgents(const RunContext& context, RunLoop& loop, model::Network& network)
    : context_(context),
      loop_(loop),
      network_(network),
      discovery_(context.spec, context.plan),
      views_(context.plan.routers.size()),
      response_queue_(context.spec.discovery.congestion, loop, *this) {
  for (RouterId router = 0; router < views_.size(); ++router) {
    RouterView& view = views_[router];
    view.congestion_engine = model::stream(context.spec.seed, "discovery congestion", router);
    view.delivered.resize(context.plan.machines.size());
    view.notified.resize(context.plan.machines.size());
    apply_list(view.delivered, discovery_.list(0, std::nullopt)); // the list before the run
  }
}

DiscoveryAgents::~DiscoveryAgents() {
  for (const auto& listener : listeners_) {
    listener->accept_event.reset();
    if (listener->fd >= 0) close(listener->fd);
  }
}

// ---- connections ----

void DiscoveryAgents::open() {
  for (RouterId router = 0; router < views_.size(); ++router) listen(router, address_version_);
}

void DiscoveryAgents::listen(RouterId router, std::uint32_t address_version) {
  auto listener = std::make_unique<Listener>();
  listener->agents = this;
  listener->router = router;
  listener->address_version = address_version;
  const sockaddr_in address = context_.addresses.discovery(router, address_version);
  listener->fd = listen_at(address, kBacklog);
  if (listener->fd < 0) {
    const std::string error = "cannot listen on " + address_text(address) + ": " + std::strerror(errno);
    if (!context_.clock.started()) throw std::runtime_error(error);
    return context_.void_reasons.add(error);
  }
  listener->accept_event.reset(event_new(loop_.base(), listener->fd, EV_READ | EV_PERSIST,
                                         &DiscoveryAgents::on_acceptable, listener.get()));
  event_add(listener->accept_event.get(), nullptr);
  listeners_.push_back(std::move(listener));
}

void DiscoveryAgents::on_acceptable(int, short, void* listener) {
  const auto* found = static_cast<const Listener*>(listener);
  found->agents->accept(*found);
}

void DiscoveryAgents::accept(const Listener& listener) {
  const int fd = accept4(listener.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  const Handle handle = calls_.add();
  DiscoveryCall& call = *calls_.find(handle);
  call.agents = this;
  call.self = handle;
  call.router = listener.router;
  call.address_version = listener.address_version;
  call.stream = std::make_unique<Stream>(loop_.base(), fd, call);
}

void DiscoveryAgents::on_data(DiscoveryCall& call, std::string_view data) {
  call.buffered.append(data);
  read_call(call);
}

void DiscoveryAgents::read_call(DiscoveryCall& call) {
  if (call.pending || call.buffered.empty()) return;
  call.buffered.erase(0, call.parser.feed(call.buffered));
  if (call.parser.error() != http::ParseError::None) return calls_.remove(call.self);
  if (!call.parser.done()) return;
  const http::Message message = call.parser.take_message();
  const std::string_view target = message.target;
  const auto query_position = target.find('?');
  if (message.method != "GET" || target.substr(0, query_position) != "/v1/endpoints") {
    call.stream->send(http::write_response(404, {}, "", true));
    return;
  }
  const std::string_view query =
      query_position == std::string_view::npos ? std::string_view() : target.substr(query_position + 1);
  PendingRequest request;
  request.since = query_parameter(query, "since");
  const auto timeout_ms = query_parameter(query, "timeout_ms");
  request.deadline =
      loop::now_ms() + std::min(kMaxWaitMs, timeout_ms ? static_cast<double>(*timeout_ms) : 0.0);
  if (fail_by_congestion(call)) return;
  const bool is_waiting = request.since && *request.since == discovery_.index(call.router);
  if (is_waiting && model::draw_with_probability(context_.spec.discovery.congestion.silent_share,
                                                 views_[call.router].congestion_engine))
    request.progress = Progress::NeverAnswered;
  call.pending = request;
  if (request.since) {
    call.watch_timer = loop_.timers().run_at(request.deadline, [this, handle = call.self] {
      if (DiscoveryCall* waiting_call = calls_.find(handle)) serve(*waiting_call);
    });
  }
  serve(call);
}

bool DiscoveryAgents::fail_by_congestion(DiscoveryCall& call) {
  if (is_silent(call.router)) return false;
  model::Engine& engine = views_[call.router].congestion_engine;
  if (!model::draw_with_probability(context_.spec.discovery.congestion.refused_share, engine)) return false;
  if (model::draw_with_probability(0.5, engine)) {
    call.stream->send(http::write_response(503, {}, "", true));
  } else {
    calls_.remove(call.self);
  }
  return true;
}

// Responds to a call, unless it has to wait for a change or the router's agent is silent.
void DiscoveryAgents::serve(DiscoveryCall& call) {
  if (!call.pending || call.pending->progress != Progress::Waiting || is_silent(call.router)) return;
  const std::uint64_t index = discovery_.index(call.router);
  const auto since = call.pending->since;
  if (since && *since == index && loop::now_ms() < call.pending->deadline) return;
  loop_.timers().cancel(call.watch_timer);
  call.pending->progress = Progress::Queued;
  if (context_.spec.discovery.congestion.enabled()) return response_queue_.add(call.self);
  call.stream->send(response_bytes(call));
  response_sent(call);
}

std::string DiscoveryAgents::response_bytes(DiscoveryCall& call) {
  call.pending->response = discovery_.list(call.router, call.pending->since);
  const std::string body = list_json(call.router, call.pending->response).dump();
  return http::write_response(200, {{"Content-Type", "application/json"}}, body, true);
}

// The response has been written completely.
void DiscoveryAgents::response_sent(DiscoveryCall& call) {
  RouterView& view = views_[call.router];
  if (call.pending->since) view.watch_ended_at = now();
  const Discovery::List list = std::move(call.pending->response);
  call.pending.reset();
  if (list.index >= view.delivered_index) {
    view.delivered_index = list.index;
    apply_list(view.delivered, list);
  }
  record_notified(call.router, list, false, false);
  read_call(call);
}

// ---- the congested server ----

ResponseQueue::PendingCalls::State DiscoveryAgents::state(Handle handle) {
  const DiscoveryCall* call = calls_.find(handle);
  if (call == nullptr) return State::Closed;
  return is_silent(call->router) ? State::Silent : State::Open;
}

std::optional<std::string> DiscoveryAgents::make_response(Handle handle) {
  DiscoveryCall* call = calls_.find(handle);
  if (call == nullptr) return std::nullopt;
  if (is_silent(call->router)) { // served again when discovery has recovered
    call->pending->progress = Progress::Waiting;
    return std::nullopt;
  }
  return response_bytes(*call);
}

void DiscoveryAgents::send_piece(Handle handle, std::string_view piece, bool is_last) {
  DiscoveryCall& call = *calls_.find(handle);
  call.stream->send(piece);
  if (is_last) response_sent(call);
}

// ---- notifications ----

void DiscoveryAgents::apply_list(std::vector<EndpointState>& states, const Discovery::List& list) const {
  if (list.complete) std::fill(states.begin(), states.end(), EndpointState());
  for (const auto& entry : list.entries) states[entry.machine] = {entry.state, entry.started_at};
}

void DiscoveryAgents::record_notified(RouterId router, const Discovery::List& list, bool cached,
                                      bool assumed) {
  RouterView& view = views_[router];
  if (!cached) {
    if (list.index <= view.notified_index) return;
    view.notified_index = list.index;
    drop_notified(view);
  }
  const std::vector<EndpointState> previous = view.notified;
  apply_list(view.notified, list);
  if (list.complete && !cached) { // endpoints that a snapshot omits are gone
    std::vector<char> listed(previous.size());
    for (const auto& entry : list.entries) listed[entry.machine] = 1;
    for (MachineId machine = 0; machine < listed.size(); ++machine) {
      if (listed[machine] || previous[machine].state == ServerState::Gone) continue;
      context_.records.add(model::EndpointNotified{now(), router, machine, ServerState::Gone,
                                                   previous[machine].started_at, false, assumed});
    }
  }
  for (const auto& entry : list.entries) {
    context_.records.add(model::EndpointNotified{now(), router, entry.machine, entry.state, entry.started_at,
                                                 cached, assumed});
  }
}

void DiscoveryAgents::drop_notified(RouterView& view) {
  while (!view.pending_versions.empty() && view.pending_versions.front().index <= view.notified_index)
    view.pending_versions.pop_front();
}

json DiscoveryAgents::endpoint(RouterId router, const Discovery::Entry& entry) const {
  const model::PlannedMachine& machine = context_.plan.machines[entry.machine];
  const bool is_origin = machine.kind >= context_.spec.kinds.size();
  const double since = entry.started_at < 0 ? 0 : std::round(context_.clock.wall_ms(entry.started_at));
  return {{"name", machine.name},
          {"address", address_text(context_.addresses.machine(router, machine.address_of))},
          {"zone", context_.spec.zones[machine.zone].name},
          {"type", is_origin ? model::kOriginKindName : context_.spec.kinds[machine.kind].name},
          {"group", machine.cell},
          {"status", status_text(entry.state)},
          {"weight", machine.weight},
          {"since_ms", static_cast<std::int64_t>(since)}};
}

json DiscoveryAgents::list_json(RouterId router, const Discovery::List& list) const {
  json endpoints = json::array();
  for (const auto& entry : list.entries) endpoints.push_back(endpoint(router, entry));
  return {{"index", list.index}, {"snapshot", list.complete}, {"endpoints", std::move(endpoints)}};
}

json DiscoveryAgents::router_started(RouterId router) {
  RouterView& view = views_[router];
  view.running = true;
  view.notified_index = 0;
  view.pending_versions.clear();
  view.last_pending_index = 0; // a new process knows no version yet
  add_pending_version(router);
  view.address_version = address_version_;
  view.reloaded_at = -kNever;
  view.reachable_since = kNever;
  update_reachability(router);
  view.watch_ended_at = -1e9;
  Discovery::List known;
  known.index = 0; // any version from discovery is newer
  for (MachineId machine = 0; machine < view.delivered.size(); ++machine) {
    if (view.delivered[machine].state != ServerState::Gone) {
      known.entries.push_back(
          {machine, view.delivered[machine].state, view.delivered[machine].started_at, 0});
    }
  }
  std::fill(view.notified.begin(), view.notified.end(), EndpointState());
  record_notified(router, known, true, false);
  return list_json(router, known);
}

void DiscoveryAgents::router_ended(RouterId router) {
  views_[router].running = false;
  update_reachability(router);
}

// ---- changes and steps ----

void DiscoveryAgents::start_run() {
  advance();
  expire_pending_versions();
}

void DiscoveryAgents::endpoint_changed(MachineId machine, ServerState state, double started_at,
                                       Discovery::Cause reason) {
  discovery_.change(now(), machine, state, started_at, reason);
  advance();
}

void DiscoveryAgents::apply(const model::Step& step) {
  if (const auto* router = std::get_if<model::RouterStep>(&step.what)) {
    if (router->what == model::RouterStep::What::Return) serve_waiting_calls();
    if (router->what == model::RouterStep::What::Reload) router_reloaded(router->router);
    return;
  }
  const auto* discovery_step = std::get_if<model::DiscoveryStep>(&step.what);
  if (discovery_step == nullptr) return;
  using What = model::DiscoveryStep::What;
  switch (discovery_step->what) {
    case What::Down:
    case What::Up:
      discovery_down_ = discovery_step->what == What::Down;
      discovery_.set_outage(now(), discovery_down_);
      advance();
      return serve_waiting_calls();
    case What::MoveBegins:
      ++address_version_;
      for (RouterId router_id = 0; router_id < views_.size(); ++router_id)
        listen(router_id, address_version_);
      return;
    case What::OldEnds:
      oldest_served_version_ = address_version_;
      std::erase_if(listeners_, [this](const auto& listener) {
        if (listener->address_version >= address_version_) return false;
        listener->accept_event.reset();
        close(listener->fd);
        return true;
      });
      calls_.for_each([this](Handle handle, DiscoveryCall& call) {
        if (call.address_version >= address_version_) return;
        call.stream->reset_on_close();
        calls_.remove(handle);
      });
      return;
  }
}

// After SIGHUP a router reads its configuration file again, including discovery's address.
void DiscoveryAgents::router_reloaded(RouterId router) {
  RouterView& view = views_[router];
  if (!view.running || view.address_version == address_version_) return;
  view.address_version = address_version_;
  update_reachability(router); // sets reachable_since before reloaded_at, see notified_at_latest()
  view.reloaded_at = now();
}

void DiscoveryAgents::advance() {
  discovery_.advance(now());
  for (RouterId router = 0; router < views_.size(); ++router) notify_watches(router);
  const double next = discovery_.next_due_ms();
  loop_.timers().cancel(advance_timer_);
  if (next < std::numeric_limits<double>::infinity()) {
    advance_timer_ = loop_.run_at(next, [this] {
      advance_timer_ = 0;
      advance();
    });
  }
}

// Serves the waiting calls of a router whose agent has received a new version.
void DiscoveryAgents::notify_watches(RouterId router) {
  RouterView& view = views_[router];
  add_pending_version(router);
  if (discovery_.index(router) <= view.notified_index) return;
  calls_.for_each([&](Handle, DiscoveryCall& call) {
    if (call.router == router) serve(call);
  });
  const bool between_watches = now() - view.watch_ended_at <= kWatchGapMs && !is_silent(router) &&
                               view.running && !context_.spec.discovery.congestion.enabled();
  if (between_watches) record_notified(router, discovery_.list(router, view.notified_index), false, false);
}

void DiscoveryAgents::serve_waiting_calls() {
  calls_.for_each([&](Handle, DiscoveryCall& call) { serve(call); });
}

void DiscoveryAgents::add_pending_version(RouterId router) {
  RouterView& view = views_[router];
  const std::uint64_t index = discovery_.index(router);
  if (index <= view.last_pending_index) return;
  view.last_pending_index = index;
  view.pending_versions.push_back({index, now()});
  drop_notified(view);
}

bool DiscoveryAgents::reachable(RouterId router) const {
  const RouterView& view = views_[router];
  return view.running && !is_silent(router) && view.address_version >= oldest_served_version_;
}

void DiscoveryAgents::update_reachability(RouterId router) {
  RouterView& view = views_[router];
  if (!reachable(router)) {
    view.reachable_since = kNever;
  } else if (view.reachable_since == kNever) {
    view.reachable_since = now();
  }
}

// The latest time at which the router counts as notified of the version.
double DiscoveryAgents::notified_at_latest(const RouterView& view, const PendingVersion& version) const {
  const model::DiscoverySpec& spec = context_.spec.discovery;
  const double at_latest = std::max(version.available_at, view.reachable_since) + spec.notified_at_latest_ms;
  const bool covered_by_reload =
      version.available_at <= view.reloaded_at && view.reachable_since <= view.reloaded_at;
  return covered_by_reload ? std::min(at_latest, view.reloaded_at + spec.reload_notified_at_latest_ms)
                           : at_latest;
}

// A router that sends no call, or receives no response, counts as notified once the limit has passed.
void DiscoveryAgents::expire_pending_versions() {
  const double now_ms = now();
  for (RouterId router = 0; router < views_.size(); ++router) {
    RouterView& view = views_[router];
    update_reachability(router);
    while (!view.pending_versions.empty() &&
           notified_at_latest(view, view.pending_versions.front()) <= now_ms) {
      record_notified(router, discovery_.list_at(view.pending_versions.front().index), false, true);
    }
  }
  loop_.run_after(kExpireIntervalMs, [this] { expire_pending_versions(); });
}

} // namespace fernward::rig
