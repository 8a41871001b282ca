#include "lab/virtual/virtual_router.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "model/rng.h"

namespace fernward::lab {

using fernward::AttemptResult;
using fernward::ServerState;

namespace {

constexpr std::size_t kReservedDescriptors =
    24; // descriptors for other uses than client and upstream connections
// Part of the idle timeout setting for which links are kept, as in src/router/router_options.cpp.
constexpr double kIdleTimeoutFraction = 0.7;
constexpr double kWallClockStartMs = 1.7e12;                 // wall clock at the start of the run
constexpr std::uint64_t kTimerLoopToken = ~std::uint64_t{0}; // token of the timer of PlantedDefect::TimerLoop
constexpr std::uint64_t kTimedDecisionInterval = 16;         // one in this many decisions is timed

std::size_t descriptor_limit(const model::Spec& spec) {
  return std::max<std::size_t>(spec.routers.max_sockets, kReservedDescriptors + 16) - kReservedDescriptors;
}

} // namespace

double max_link_idle_ms(const model::Spec& spec) {
  return kIdleTimeoutFraction * spec.routers.connection_idle_ms;
}

VirtualRouter::VirtualRouter(const model::Spec& spec, const model::PlannedRouter& router_plan,
                             const MachineTable& machines, std::size_t router_count,
                             RouterEnvironment& environment, PlantedDefect planted_defect)
    : spec_(spec),
      router_plan_(router_plan),
      machines_(machines),
      environment_(environment),
      settings_(model::router_settings(spec, router_plan.zone)),
      defect_injector_(planted_defect),
      router_count_(router_count),
      known_states_(machines.entries.size()),
      idle_links_(machines.entries.size()),
      idle_lifetimes_(max_link_idle_ms(spec)),
      descriptor_budget_(descriptor_limit(spec)) {
  defect_injector_.apply_to_settings(settings_);
  const model::SharingSpec& sharing = spec.routers.sharing;
  gossip_features_ = {sharing.share_origin_limit, sharing.count_living_routers, sharing.share_findings};
}

bool VirtualRouter::is_ready() const {
  return is_running() && !shutting_down_ &&
         std::any_of(known_states_.begin(), known_states_.end(),
                     [](const KnownState& known) { return known.state == ServerState::Ready; });
}

// ---- life cycle ----

void VirtualRouter::start() {
  ++incarnation_;
  defect_injector_.on_restart();
  shutting_down_ = not_accepting_ = drained_ = false;
  list_index_ = 0;
  const std::uint64_t seed = model::hash_numbers(spec_.seed, router_plan_.id, incarnation_);
  balancer_ = std::make_unique<fernward::Balancer>(settings_, seed);
  const model::SharingSpec& sharing = spec_.routers.sharing;
  if (!sharing.enabled) return;
  heard_from_peer_ = false;
  gossip_node_ = std::make_unique<gossip::GossipNode>(
      static_cast<gossip::MemberId>(router_plan_.id), router_count_,
      gossip::incarnation_at(kWallClockStartMs + now()),
      membership::Settings{sharing.ping_period_ms, sharing.indirect_probes}, seed,
      static_cast<std::uint8_t>(router_plan_.zone));
  // Routers that start with the run have their first rounds at different times, as if they had been started
  // independently.
  const double first_round_delay_ms =
      incarnation_ > 1 ? 0 : sharing.ping_period_ms * static_cast<double>(seed % 1024) / 1024;
  environment_.schedule(now() + first_round_delay_ms, EventKind::GossipRound, router_plan_.id, 0,
                        incarnation_);
}

void VirtualRouter::begin_shutdown() {
  shutting_down_ = true;
  if (gossip_node_ == nullptr) return;
  gossip_node_->leave(router_clock(), pending_datagrams_);
  send_pending_datagrams();
  gossip_node_.reset();
}

void VirtualRouter::terminate() {
  balancer_.reset();
  gossip_node_.reset();
  events_.clear();
  waiting_requests_.clear();
  shutting_down_ = not_accepting_ = drained_ = false;
  unanswered_requests_ = open_requests_ = 0;
  descriptor_leases_.clear();
  idle_lifetimes_ = idle_connections::IdleLifetimeEstimator(max_link_idle_ms(spec_));
  for (auto& links : idle_links_) links.clear();
  idle_periods_.clear();
  list_index_ = 0;
}

double VirtualRouter::router_clock() const { return now() + kRouterClockOffsetMs; }

void VirtualRouter::stop_accepting() { not_accepting_ = true; }

void VirtualRouter::drain() { drained_ = true; }

// ---- events: other routers (as src/gossip_transport/transport.cpp) ----

void VirtualRouter::run_gossip_round() {
  if (gossip_node_ == nullptr) return;
  gossip_node_->tick(router_clock(), gossip::local_reports(*balancer_, gossip_features_), pending_datagrams_);
  send_pending_datagrams();
  apply_gossip_view();
  environment_.schedule(gossip_node_->next_tick_at() - kRouterClockOffsetMs, EventKind::GossipRound,
                        router_plan_.id, 0, incarnation_);
}

void VirtualRouter::on_datagram(model::RouterId from, const std::string& bytes) {
  if (gossip_node_ == nullptr) return;
  gossip_node_->receive(router_clock(), static_cast<gossip::MemberId>(from), bytes, pending_datagrams_);
  send_pending_datagrams();
  if (heard_from_peer_) return;
  heard_from_peer_ = gossip_node_->view(router_clock()).fresh_reports > 0;
  if (heard_from_peer_) apply_gossip_view(); // a returning router does not wait for the next round
}

void VirtualRouter::send_pending_datagrams() {
  for (gossip::GossipNode::OutgoingDatagram& out : pending_datagrams_)
    environment_.send_datagram(router_plan_.id, out.to, std::move(out.bytes));
  pending_datagrams_.clear();
}

void VirtualRouter::apply_gossip_view() {
  std::vector<fernward::Event> events;
  gossip::append_fleet_events(router_clock(), gossip_view(), *gossip_node_, gossip_features_, events);
  for (auto& event : events) enqueue(std::move(event));
  process_events();
}

std::optional<model::SharingSample> VirtualRouter::shared_state() {
  if (gossip_node_ == nullptr) return std::nullopt;
  const gossip::FleetView fleet_view = gossip_view();
  const fernward::Balancer::OriginBudget origin_budget = balancer_->origin_budget();
  return model::SharingSample{now(),
                              router_plan_.id,
                              fleet_view.router_count,
                              fleet_view.fresh_reports,
                              origin_budget.demand,
                              origin_budget.limit,
                              fleet_view.origin_limit_share};
}

gossip::FleetView VirtualRouter::gossip_view() {
  gossip::FleetView fleet_view = gossip_node_->view(router_clock());
  if (defect_injector_.injects(PlantedDefect::DoublesSharedPart)) fleet_view.origin_limit_share *= 2;
  return fleet_view;
}

// ---- events: clients ----

void VirtualRouter::on_request(Handle client, const model::TryStart& start) {
  const WaitingRequest waiting{client, start};
  descriptors::DescriptorBudget::Lease descriptor = acquire_descriptor(descriptors::Side::Downstream);
  if (!descriptor) return waiting_requests_.push_back(waiting);
  open_request(waiting, std::move(descriptor));
  process_events();
}

void VirtualRouter::open_request(const WaitingRequest& waiting,
                                 descriptors::DescriptorBudget::Lease descriptor) {
  if (open_requests_ >= spec_.routers.max_open_requests)
    return environment_.respond(waiting.client_try, model::TryOutcome::Rejected, 0);
  const model::TryStart& start = waiting.start;
  const Handle exchange_id = environment_.exchanges().add();
  descriptor_leases_[exchange_id << 1] = std::move(descriptor);
  Exchange& exchange = *environment_.exchanges().find(exchange_id);
  exchange.router = router_plan_.id;
  exchange.client_try = waiting.client_try;
  exchange.start = start;
  // X-Timeout-Ms is an integer of milliseconds, and counts from here.
  exchange.deadline = now() + std::max(1.0, std::floor(start.deadline - start.scheduled_at));
  environment_.schedule(exchange.deadline + spec_.routers.response_grace_ms / 2, EventKind::RequestGuard,
                        router_plan_.id, exchange_id, incarnation_);
  ++unanswered_requests_;
  ++open_requests_;
  environment_.on_accepted(waiting.client_try, exchange_id);
  fernward::Request request;
  request.id = exchange_id;
  request.class_index = start.drawn.cls;
  request.tenant = start.drawn.tenant;
  request.key = model::hash_numbers(start.drawn.key, 0) | 1; // in place of a hash of the key's text
  request.deadline = exchange.deadline + kRouterClockOffsetMs;
  request.expected_work_ms = start.drawn.hint_ms;
  request.write = start.drawn.write;
  if (defect_injector_.rejects_request(request, open_requests_, settings_.classes.size())) {
    answer_client(exchange_id, model::TryOutcome::Rejected, 0);
    return remove_if_complete(exchange_id);
  }
  enqueue(request);
}

void VirtualRouter::on_client_disconnected(Handle exchange) {
  const Exchange* state = environment_.exchanges().find(exchange);
  if (state == nullptr || state->answered) return;
  answer_client(exchange, std::nullopt, 0);
  enqueue(fernward::ClientDisconnected{exchange});
  remove_if_complete(exchange);
  process_events();
}

// The final guard against a missing response. The balancer normally answers earlier.
void VirtualRouter::on_request_guard(Handle exchange) {
  if (defect_injector_.injects(PlantedDefect::NoFinalResponse)) return;
  const Exchange* state = environment_.exchanges().find(exchange);
  if (state == nullptr || state->answered) return;
  answer_client(exchange, model::TryOutcome::Failed, 0);
  enqueue(fernward::ClientDisconnected{exchange});
  remove_if_complete(exchange);
  process_events();
}

// ---- events: discovery ----

void VirtualRouter::on_endpoint_list(const model::Discovery::List& update, bool cached) {
  fernward::EndpointList endpoint_list;
  endpoint_list.kind = cached            ? fernward::EndpointListKind::Cached
                       : update.complete ? fernward::EndpointListKind::Full
                                         : fernward::EndpointListKind::Delta;
  if (!cached) list_index_ = update.index;
  std::vector<KnownState> previous_states;
  if (update.complete) {
    previous_states.resize(known_states_.size());
    std::swap(previous_states, known_states_);
  } else {
    previous_states = known_states_;
  }
  for (const auto& entry : update.entries) {
    const bool withdrawn = entry.state != ServerState::Ready;
    if (withdrawn && defect_injector_.injects(PlantedDefect::IgnoresDraining)) continue;
    if (withdrawn && defect_injector_.injects(PlantedDefect::TimerLoop))
      environment_.schedule(now(), EventKind::RouterTimer, router_plan_.id, kTimerLoopToken, incarnation_);
    known_states_[entry.machine] = {entry.state, entry.started_at};
    fernward::Server server = machines_.entries[entry.machine];
    server.state = entry.state;
    server.started_at = entry.started_at >= 0 ? entry.started_at + kRouterClockOffsetMs : 0;
    endpoint_list.servers.push_back(server);
  }
  for (model::MachineId machine = 0; machine < known_states_.size(); ++machine) {
    if (previous_states[machine].state == ServerState::Gone) continue;
    // Idle links to a restarted machine belong to its previous process.
    const bool restarted = known_states_[machine].started_at != previous_states[machine].started_at;
    if (!idle_links_[machine].empty() && (!in_service(machine) || restarted)) close_idle_links(machine);
    if (known_states_[machine].state == ServerState::Gone || restarted) idle_lifetimes_.forget(machine);
  }
  if (endpoint_list.kind == fernward::EndpointListKind::Delta && endpoint_list.servers.empty()) return;
  enqueue(std::move(endpoint_list));
  process_events();
}

// ---- events: links ----

void VirtualRouter::on_connected(Handle link) {
  Link* state = environment_.links().find(link);
  if (state == nullptr || state->closed_by_router) return;
  state->established = true;
  if (!in_service(state->machine))
    return on_connection_lost(link, true); // withdrawn meanwhile: no new attempts are sent there
  if (const Handle attempt = state->attempt; attempt != 0) {
    RouterAttempt& attempt_state = *environment_.attempts().find(attempt);
    const Exchange* exchange = environment_.exchanges().find(attempt_state.exchange);
    if (exchange == nullptr ||
        exchange->answered) { // already answered, possibly as not executed: it must not be sent
      state->attempt = 0;
      make_idle(link, *state);
      end_attempt(attempt, AttemptResult::Abandoned, {});
      return process_events();
    }
    attempt_state.written = true;
    environment_.write(state->attempt);
    return;
  }
  std::erase(idle_links_[state->machine], link);
  make_idle(link, *state);
}

void VirtualRouter::on_connection_lost(Handle link, bool refused) {
  Link* state = environment_.links().find(link);
  if (state == nullptr || state->closed_by_router) return;
  const Handle attempt = std::exchange(state->attempt, 0);
  const RouterAttempt* attempt_state = environment_.attempts().find(attempt);
  const bool not_sent =
      refused || !state->established || (attempt_state != nullptr && !attempt_state->written);
  if (attempt != 0 && !not_sent) record_idle_outcome(*state, true);
  const bool reused_connection = state->idle_before_request_ms >= 0;
  close_link(link, *state);
  if (attempt != 0)
    end_attempt(attempt, not_sent ? AttemptResult::ConnectFailed : AttemptResult::Reset, {},
                reused_connection);
  process_events();
}

void VirtualRouter::on_connect_timeout(Handle link) {
  const Link* state = environment_.links().find(link);
  if (state != nullptr && !state->closed_by_router && !state->established) on_connection_lost(link, true);
}

void VirtualRouter::on_closed_by_machine(Handle link) {
  Link* state = environment_.links().find(link);
  if (state == nullptr || state->closed_by_router) return;
  if (state->attempt != 0) return on_connection_lost(link, false); // the close crossed a request
  close_link(link, *state);
}

void VirtualRouter::on_response(Handle attempt, AttemptResult result, std::vector<float> report,
                                ConnectionEnd connection_end) {
  const RouterAttempt* attempt_state = environment_.attempts().find(attempt);
  if (attempt_state == nullptr) return;
  const Handle link = attempt_state->link;
  Link* state = environment_.links().find(link);
  state->attempt = 0;
  if (connection_end == ConnectionEnd::ClosedUnanswered || result != AttemptResult::Reset)
    record_idle_outcome(*state, connection_end == ConnectionEnd::ClosedUnanswered);
  if (connection_end == ConnectionEnd::Kept && in_service(state->machine) &&
      !defect_injector_.injects(PlantedDefect::NoConnectionReuse)) {
    make_idle(link, *state);
  } else {
    close_link(link, *state);
  }
  end_attempt(attempt, result, std::move(report));
  process_events();
}

void VirtualRouter::make_idle(Handle link, Link& link_state) {
  link_state.idle_since = now();
  ++link_state.idle_period;
  idle_links_[link_state.machine].push_back(link);
  while (!idle_periods_.empty() && !is_idle(idle_periods_.front())) idle_periods_.pop_front();
  idle_periods_.push_back({link_state.idle_since, link});
  environment_.schedule(now() + idle_lifetimes_.max_keep_ms(now(), link_state.machine),
                        EventKind::LinkIdleTimeout, router_plan_.id, link, link_state.idle_period);
}

bool VirtualRouter::is_idle(const IdlePeriod& period) {
  const Link* state = environment_.links().find(period.link);
  return state != nullptr && !state->closed_by_router && state->attempt == 0 && state->established &&
         state->idle_since == period.since;
}

void VirtualRouter::on_idle_timeout(Handle link, std::uint32_t idle_period) {
  Link* state = environment_.links().find(link);
  if (state != nullptr && !state->closed_by_router && state->attempt == 0 &&
      state->idle_period == idle_period)
    close_link(link, *state);
}

// Records whether reuse after the idle time succeeded, for the estimate of safe idle times.
void VirtualRouter::record_idle_outcome(const Link& link, bool reset) {
  if (known_states_[link.machine].state == ServerState::Gone) return;
  if (link.idle_before_request_ms < 0) return idle_lifetimes_.on_first_use(now(), link.machine, reset);
  idle_lifetimes_.on_reuse(now(), link.machine, link.idle_before_request_ms, link.idle_trial, reset);
}

void VirtualRouter::close_link(Handle link, Link& link_state) {
  std::erase(idle_links_[link_state.machine], link);
  link_state.closed_by_router = true;
  descriptor_leases_.erase(link << 1 | 1);
  environment_.close(link);
}

void VirtualRouter::close_idle_links(model::MachineId machine) {
  const auto links = idle_links_[machine];
  for (const Handle link : links) close_link(link, *environment_.links().find(link));
}

// Returns the most recent idle link that is established and not idle for too long, else one that is still
// connecting; 0: none.
Handle VirtualRouter::take_idle_link(model::MachineId machine) {
  using Reuse = idle_connections::IdleLifetimeEstimator::Reuse;
  auto& idle_links = idle_links_[machine];
  for (const bool established : {true, false}) {
    for (std::size_t i = idle_links.size(); i-- > 0;) {
      Link& state = *environment_.links().find(idle_links[i]);
      if (state.established != established) continue;
      if (established) {
        const Reuse reuse = idle_lifetimes_.decide_reuse(now(), machine, now() - state.idle_since);
        if (reuse == Reuse::Refused) break; // earlier entries have been idle for longer
        state.idle_before_request_ms = now() - state.idle_since;
        state.idle_trial = reuse == Reuse::Trial;
      }
      const Handle link = idle_links[i];
      idle_links.erase(idle_links.begin() + static_cast<std::ptrdiff_t>(i));
      return link;
    }
  }
  return 0;
}

// Acquires a descriptor for a connection. Idle client connections give way at once and are not counted; idle
// links are closed when needed.
descriptors::DescriptorBudget::Lease VirtualRouter::acquire_descriptor(descriptors::Side side) {
  using Eviction = descriptors::DescriptorBudget::Eviction;
  for (;;) {
    const Eviction eviction = descriptor_budget_.required_eviction(now(), side);
    if (eviction == Eviction::None) return descriptor_budget_.acquire(now(), side);
    if (side == descriptors::Side::Downstream && eviction == Eviction::OwnSide) return {};
    if (!close_oldest_idle_link()) return {};
  }
}

bool VirtualRouter::close_oldest_idle_link() {
  for (; !idle_periods_.empty(); idle_periods_.pop_front()) {
    const IdlePeriod period = idle_periods_.front();
    if (!is_idle(period)) continue;
    close_link(period.link, *environment_.links().find(period.link));
    return true;
  }
  return false;
}

// ---- the balancer ----

void VirtualRouter::process_events() {
  if (processing_) return;
  processing_ = true;
  while (!events_.empty()) {
    fernward::Event event = std::move(events_.front());
    events_.pop_front();
    if (defect_injector_.active() && !defect_injector_.filter_event(event, settings_.origin_kind)) continue;
    decide(event);
    for (const fernward::Action& action : actions_) execute(action);
  }
  processing_ = false;
}

void VirtualRouter::decide(const fernward::Event& event) {
  actions_.clear();
  if (++decisions_ % kTimedDecisionInterval != 0)
    return balancer_->on_event(now() + kRouterClockOffsetMs, event, actions_);
  const auto begin = std::chrono::steady_clock::now();
  balancer_->on_event(now() + kRouterClockOffsetMs, event, actions_);
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
  cpu_s_ += took.count() * static_cast<double>(kTimedDecisionInterval);
}

void VirtualRouter::on_timer(std::uint64_t token) {
  if (token == kTimerLoopToken && defect_injector_.injects(PlantedDefect::TimerLoop)) {
    return environment_.schedule(now(), EventKind::RouterTimer, router_plan_.id, kTimerLoopToken,
                                 incarnation_);
  }
  enqueue(fernward::TimerFired{token});
  process_events();
}

void VirtualRouter::execute(const fernward::Action& action) {
  if (const auto* send_action = std::get_if<fernward::Send>(&action)) {
    send(*send_action);
  } else if (const auto* reject = std::get_if<fernward::Reject>(&action)) {
    if (defect_injector_.injects(PlantedDefect::NoFinalResponse) &&
        reject->reason == fernward::GiveUpReason::NoEndpoint)
      return;
    answer_client(reject->id, model::TryOutcome::Rejected, reject->retry_after_ms);
    remove_if_complete(reject->id);
  } else if (const auto* fail = std::get_if<fernward::Fail>(&action)) {
    answer_client(fail->id, model::TryOutcome::Failed, 0);
    remove_if_complete(fail->id);
  } else if (const auto* cancelled = std::get_if<fernward::Cancel>(&action)) {
    const Exchange* exchange = environment_.exchanges().find(cancelled->id);
    if (exchange != nullptr && cancelled->attempt < exchange->attempts.size()) {
      cancel_attempt(exchange->attempts[cancelled->attempt], AttemptResult::Cancelled);
    }
  } else if (const auto* timer = std::get_if<fernward::SetTimer>(&action)) {
    environment_.schedule(now() + timer->delay_ms, EventKind::RouterTimer, router_plan_.id, timer->token,
                          incarnation_);
  } else if (const auto* log_line = std::get_if<fernward::Log>(&action)) {
    environment_.log(router_plan_.id, log_line->text.c_str());
  } else if (std::get_if<fernward::WatchEndpoints>(&action) != nullptr) {
    enqueue(fernward::EndpointList{fernward::EndpointListKind::Delta, {}});
  } else if (const auto* health_check = std::get_if<fernward::SendHealthCheck>(&action)) {
    enqueue(fernward::HealthCheckResult{health_check->server, 0, false, {}});
  }
}

void VirtualRouter::send(const fernward::Send& send) {
  Exchange* exchange = environment_.exchanges().find(send.id);
  if (exchange == nullptr) return;
  const auto found = machines_.by_id.find(send.server);
  const auto machine = found == machines_.by_id.end() ? 0 : found->second;
  const auto number = static_cast<std::uint32_t>(exchange->attempts.size());
  const double deadline =
      send.timeout_ms == 0 ? exchange->deadline : std::min(exchange->deadline, now() + send.timeout_ms);
  ++exchange->active_attempts;
  exchange->attempts.push_back(0);
  AttemptResult result = AttemptResult::Abandoned;
  if (found == machines_.by_id.end()) {
    result = AttemptResult::ConnectFailed;
  } else if (!exchange->answered && number < spec_.routers.max_attempts && now() < deadline) {
    const Handle handle = environment_.attempts().add();
    RouterAttempt& attempt = *environment_.attempts().find(handle);
    attempt.router = router_plan_.id;
    attempt.exchange = send.id;
    attempt.number = number;
    attempt.machine = machine;
    attempt.sent_at = now();
    attempt.deadline = deadline;
    exchange->attempts.back() = handle;
    const StartResult start = start_attempt(handle, machine);
    if (start == StartResult::Started) {
      environment_.schedule(deadline, EventKind::AttemptTimeout, router_plan_.id, handle, incarnation_);
      return;
    }
    if (start == StartResult::NotInService) result = AttemptResult::ConnectFailed;
    exchange->attempts.back() = 0;
    environment_.attempts().remove(handle);
  }
  --exchange->active_attempts;
  report_outcome(send.id, number, machine, 0, result, {});
}

VirtualRouter::StartResult VirtualRouter::start_attempt(Handle attempt, model::MachineId machine) {
  if (!in_service(machine)) return StartResult::NotInService;
  Handle link = take_idle_link(machine);
  const bool new_link = link == 0;
  if (new_link) {
    descriptors::DescriptorBudget::Lease descriptor = acquire_descriptor(descriptors::Side::Upstream);
    if (!descriptor) return StartResult::NoDescriptor;
    link = environment_.links().add();
    descriptor_leases_[link << 1 | 1] = std::move(descriptor);
    Link& link_state = *environment_.links().find(link);
    link_state.router = router_plan_.id;
    link_state.machine = machine;
    link_state.opened_at = now();
    peak_links_ = std::max(peak_links_, descriptor_budget_.used(descriptors::Side::Upstream));
  }
  Link& link_state = *environment_.links().find(link);
  link_state.attempt = attempt;
  RouterAttempt& attempt_state = *environment_.attempts().find(attempt);
  attempt_state.link = link;
  if (new_link) {
    environment_.schedule(now() + spec_.routers.connect_timeout_ms, EventKind::ConnectTimeout,
                          router_plan_.id, link, incarnation_);
    environment_.connect(link);
  } else if (link_state.established) {
    attempt_state.written = true;
    environment_.write(attempt);
  }
  return StartResult::Started;
}

void VirtualRouter::on_attempt_timeout(Handle attempt) {
  cancel_attempt(attempt, AttemptResult::TimedOut);
  process_events();
}

// Stops waiting for an attempt. Its link is closed, because a response is outstanding on it, unless the link
// was not established yet.
void VirtualRouter::cancel_attempt(Handle attempt, AttemptResult result) {
  const RouterAttempt* attempt_state = environment_.attempts().find(attempt);
  if (attempt_state == nullptr) return;
  const Handle link = attempt_state->link;
  Link& link_state = *environment_.links().find(link);
  link_state.attempt = 0;
  if (link_state.established) {
    close_link(link, link_state);
  } else {
    idle_links_[link_state.machine].push_back(link);
  }
  end_attempt(attempt, result, {});
}

void VirtualRouter::end_attempt(Handle attempt, AttemptResult result, std::vector<float> report,
                                bool reused_connection) {
  const RouterAttempt* stored_attempt = environment_.attempts().find(attempt);
  if (stored_attempt == nullptr) return;
  const RouterAttempt ended_attempt = *stored_attempt;
  environment_.attempts().remove(attempt);
  Exchange* exchange = environment_.exchanges().find(ended_attempt.exchange);
  if (exchange == nullptr) return;
  if (defect_injector_.injects(PlantedDefect::UncountedRetry) && resend_planted(ended_attempt, result))
    return;
  exchange->attempts[ended_attempt.number] = 0;
  --exchange->active_attempts;
  if (result == AttemptResult::Ok) answer_client(ended_attempt.exchange, model::TryOutcome::Served, 0);
  const Link* link = environment_.links().find(ended_attempt.link);
  const bool first_on_connection = link != nullptr && link->idle_before_request_ms < 0;
  report_outcome(ended_attempt.exchange, ended_attempt.number, ended_attempt.machine,
                 now() - ended_attempt.sent_at, result, std::move(report), reused_connection,
                 first_on_connection);
  remove_if_complete(ended_attempt.exchange);
}

// PlantedDefect::UncountedRetry: resends the attempt without the balancer.
bool VirtualRouter::resend_planted(const RouterAttempt& attempt, AttemptResult result) {
  constexpr std::uint32_t kMaxResends = 4;
  Exchange* exchange = environment_.exchanges().find(attempt.exchange);
  const bool failed = result == AttemptResult::Error || result == AttemptResult::Reset ||
                      result == AttemptResult::Overloaded || result == AttemptResult::ConnectFailed ||
                      result == AttemptResult::TimedOut;
  if (!failed || exchange->answered || attempt.planted_resends >= kMaxResends || now() >= exchange->deadline)
    return false;
  const Handle handle = environment_.attempts().add();
  RouterAttempt& resent = *environment_.attempts().find(handle);
  resent = attempt;
  resent.planted_resends = attempt.planted_resends + 1;
  resent.written = false;
  resent.deadline = exchange->deadline;
  exchange->attempts[attempt.number] = handle;
  if (start_attempt(handle, attempt.machine) != StartResult::Started) {
    exchange->attempts[attempt.number] = 0;
    environment_.attempts().remove(handle);
    return false;
  }
  environment_.schedule(exchange->deadline, EventKind::AttemptTimeout, router_plan_.id, handle, incarnation_);
  return true;
}

void VirtualRouter::report_outcome(Handle exchange, std::uint32_t number, model::MachineId machine,
                                   double elapsed_ms, AttemptResult result, std::vector<float> report,
                                   bool reused_connection, bool first_on_connection) {
  const Exchange* exchange_state = environment_.exchanges().find(exchange);
  fernward::AttemptOutcome event;
  event.id = exchange;
  event.attempt = number;
  event.server = machines_.entries[machine].id;
  event.result = result;
  event.elapsed_ms = elapsed_ms;
  event.request_ended = exchange_state == nullptr || exchange_state->answered;
  event.load_report = std::move(report);
  event.on_reused_connection = reused_connection;
  event.first_on_connection = first_on_connection;
  enqueue(std::move(event));
}

void VirtualRouter::answer_client(Handle exchange, std::optional<model::TryOutcome> outcome,
                                  double retry_after_ms) {
  Exchange* state = environment_.exchanges().find(exchange);
  if (state == nullptr || state->answered) return;
  state->answered = true;
  --unanswered_requests_;
  if (outcome) environment_.respond(state->client_try, *outcome, retry_after_ms);
  descriptor_leases_.erase(exchange << 1);
  while (!waiting_requests_.empty()) {
    descriptors::DescriptorBudget::Lease descriptor = acquire_descriptor(descriptors::Side::Downstream);
    if (!descriptor) return;
    const WaitingRequest next = waiting_requests_.front();
    waiting_requests_.pop_front();
    if (environment_.client_waits(next.client_try)) open_request(next, std::move(descriptor));
  }
}

void VirtualRouter::remove_if_complete(Handle exchange) {
  const Exchange* state = environment_.exchanges().find(exchange);
  if (state == nullptr || !state->answered || state->active_attempts != 0) return;
  environment_.exchanges().remove(exchange);
  --open_requests_;
}

} // namespace fernward::lab
