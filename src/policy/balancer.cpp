// The Balancer: events, the endpoint list, timers. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace fernward {

constexpr double kHealthChecksPerRequest = 0.1; // if load reports come only from health checks
constexpr double kOriginDemandWeight = 0.05;    // weight of one tick in the moving average
constexpr double kMinLiveShare = 0.25;          // share of the configured routers
constexpr double kLogIntervalMs = 1000;

// Combines one handler per event type into a visitor for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

Balancer::Impl::Impl(const Settings& s, std::uint64_t seed)
    : settings(s), random{mix(seed)}, placement(s.origin_kind >= 0 ? s.resize : ResizeSettings{}) {
  apply_classes();
  live_routers = s.router_count;
  // Initial estimates until responses are measured.
  cache_slow_attempts.slow_threshold_ms = shortest_objective_ms / 3;
  origin_slow_attempts.slow_threshold_ms = cache_slow_attempts.slow_threshold_ms;
  cache_response_ms = cache_slow_attempts.slow_threshold_ms / 3;
}

void Balancer::Impl::start() {
  if (ticking) return;
  ticking = true;
  emit(SetTimer{kTickMs, timer_token(Timer::Tick)});
  poll_schedule.start(now, random.unit());
}

void Balancer::Impl::log(const char* what, double figure) {
  if (now - logged_at < kLogIntervalMs) return; // at most one line per interval
  logged_at = now;
  char text[120];
  std::snprintf(text, sizeof text, "%s %.0f", what, figure);
  emit(Log{text});
}

// ---- endpoint list ----

void Balancer::Impl::on_endpoint_list(const EndpointList& list) {
  if (list.kind == EndpointListKind::Failed) {
    poll_schedule.on_failure(now, random.unit());
    log("server list: call failed, next try in ms:", poll_schedule.next_at() - now);
    return;
  }
  poll_schedule.on_list(list.kind);
  std::vector<ServerId> changed;
  for (const Server& server : list.servers) changed.push_back(server.id);
  if (list.kind != EndpointListKind::Delta) {
    std::vector<ServerId> named = changed;
    std::sort(named.begin(), named.end());
    for (auto& [id, replica] : replicas) {
      if (replica.entry.state == ServerState::Gone || std::binary_search(named.begin(), named.end(), id))
        continue;
      Server gone = replica.entry;
      gone.state = ServerState::Gone;
      update_server(gone);
      changed.push_back(id);
    }
  }
  for (const Server& server : list.servers) update_server(server);
  place_servers(changed);
}

// The cost does not depend on the number of servers.
void Balancer::Impl::update_server(const Server& listed) {
  Server entry = listed;
  if (!usable_number(entry.weight) || entry.weight == 0) entry.weight = 1;
  if (!usable_number(entry.started_at)) entry.started_at = 0;
  const auto [it, added] = replicas.try_emplace(entry.id);
  Replica& replica = it->second;
  const bool was_gone = !added && replica.entry.state == ServerState::Gone;
  if (!added) ejection.count(replica, is_origin(replica), -1);
  const bool restarted = !added && entry.started_at > replica.entry.started_at;
  replica.entry = entry;
  if (restarted) replica.reset_for_restart();
  if (added || restarted) replica.limiter = concurrency::CacheConcurrencyLimiter(settings.router_count);
  if (is_origin(replica) && (added || restarted)) origin_dispatch.reset(settings.router_count);
  if (entry.started_at > 0)
    replica.slow_start_began_at = std::max(replica.slow_start_began_at, entry.started_at);
  ejection.count(replica, is_origin(replica), 1);
  if (is_origin(replica)) {
    listed_origins.insert(entry.id);
  } else {
    listed_origins.erase(entry.id);
  }
  if (entry.state == ServerState::Gone && !was_gone) leaving.push_back(entry.id);
}

void Balancer::Impl::place_servers(const std::vector<ServerId>& changed) {
  const bool settled = !placement.fill_rate_limiter().is_active(now);
  placement.arrange(now, replicas, changed, settings.weight_kind != WeightKind::Live,
                    [this](const Replica& r) { return !is_origin(r) && r.entry.state != ServerState::Gone; });
  if (const double most = placement.fill_rate_limiter().max_fetches_per_ms(now); settled && most > 0)
    log("fleet changed, origin reads a second at most", 1000 * most);
  origin = nullptr;
  for (const ServerId id : listed_origins) {
    Replica& replica = replicas.at(id);
    if (origin == nullptr || replica.entry.state == ServerState::Ready) origin = &replica;
  }
}

// Erases servers that are gone and have no attempt in flight.
void Balancer::Impl::drop_departed() {
  std::erase_if(leaving, [this](ServerId id) {
    const Replica* r = find_server(id);
    if (r == nullptr || r->entry.state != ServerState::Gone) return true; // listed again
    if (r->in_flight > 0 || r == origin) return false;
    listed_origins.erase(id);
    replicas.erase(id);
    return true;
  });
}

// Bounded on both sides by the configured number: an isolated router must not assume that it is the only one.
void Balancer::Impl::on_fleet_state(const FleetState& fleet) {
  live_routers =
      std::clamp(usable_number(fleet.live_routers) && fleet.live_routers > 0 ? fleet.live_routers : 1e9,
                 kMinLiveShare * settings.router_count, 1.0 * settings.router_count);
  origin_dispatch.limiter.set_fleet_latency(now, fleet.origin_response_ms, fleet.origin_response_age_ms);
  origin_dispatch.limiter.set_fleet_share(fleet.origin_limit_share);
}

// ---- timers ----

void Balancer::Impl::on_timer(const TimerFired& timer) {
  const Timer kind = timer_kind(timer.token);
  if (kind == Timer::Tick) return tick();
  RequestState* request = find_request(timer_request(timer.token));
  if (request == nullptr || request->streaming) return;
  if (kind == Timer::GiveUp)
    give_up(*request, request->in_flight > 0       ? GiveUpReason::ResponseTimeout
                      : request->queued_for_origin ? GiveUpReason::QueueTimeout
                                                   : GiveUpReason::NotSent);
  if (kind == Timer::RetryOrigin && request->in_flight == 0) {
    if (request->queued_for_origin) {
      dispatch_to_origin();
    } else {
      queue_for_origin(*request);
    }
  }
  if (kind == Timer::SlowAttempt) on_slow_attempt(*request, timer_attempt(timer.token));
}

void Balancer::Impl::send_health_check(Replica& replica) {
  replica.outlier.record_sent();
  replica.health_checked_at = now;
  emit(SendHealthCheck{replica.entry.id});
}

void Balancer::Impl::tick() {
  emit(SetTimer{kTickMs, timer_token(Timer::Tick)});
  const double wanted = origin == nullptr ? 0 : origin_dispatch.demand(origin->active());
  smooth(origin_demand, wanted, kOriginDemandWeight);
  health_check_credit =
      std::min(1.0, health_check_credit + kHealthChecksPerRequest * quotas.requests_this_tick());
  quotas.tick();
  admission.on_tick();
  if (settings.discovery == DiscoveryMode::Poll && poll_schedule.is_due(now)) {
    emit(WatchEndpoints{});
    poll_schedule.record_sent(now, settings.poll_interval_ms);
  }
  dispatch_to_origin();
  drop_departed();
  if (settings.may_health_check &&
      (ejection.ejected() > 0 || settings.load_report_source == LoadReportSource::HealthChecks))
    send_due_health_checks();
}

// Iterates over all servers, so it is called only if the settings allow health checks.
void Balancer::Impl::send_due_health_checks() {
  Replica* oldest = nullptr; // least recently checked cache
  for (auto& [id, replica] : replicas) {
    if (replica.entry.state != ServerState::Ready) continue;
    if (replica.outlier.is_ejected() && replica.outlier.trial_due(now)) send_health_check(replica);
    if (!replica.outlier.is_ejected() && !is_origin(replica) &&
        (oldest == nullptr || replica.health_checked_at < oldest->health_checked_at))
      oldest = &replica;
  }
  if (settings.load_report_source == LoadReportSource::HealthChecks && oldest != nullptr &&
      health_check_credit >= 1) {
    --health_check_credit;
    send_health_check(*oldest);
  }
}

Balancer::Balancer(const Settings& settings, std::uint64_t seed) {
  validate(settings);
  impl_ = std::make_unique<Impl>(settings, seed);
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

bool Balancer::is_ejected(ServerId server) const {
  const Replica* replica = impl_->find_server(server);
  return replica != nullptr && replica->outlier.is_ejected();
}

Balancer::OriginBudget Balancer::origin_budget() const {
  return {impl_->origin_demand, impl_->origin_dispatch.limiter.limit(),
          impl_->origin_dispatch.limiter.recent_latency_ms(impl_->now)};
}

Balancer::SlowStartCounts Balancer::slow_start_counts() const { return impl_->slow_start.counts(); }

void Balancer::Impl::dispatch(const Event& event) {
  std::visit(Overloaded{
                 [this](const EndpointList& list) { on_endpoint_list(list); },
                 [this](const Request& received) { on_request(received); },
                 [this](const AttemptOutcome& outcome) { on_attempt_outcome(outcome); },
                 [this](const ResponseStarted& started) { on_response_started(started); },
                 [this](const ClientDisconnected& disconnected) { on_client_disconnected(disconnected); },
                 [this](const TimerFired& timer) { on_timer(timer); },
                 [this](const HealthCheckResult& result) { on_health_check_result(result); },
                 [this](const FleetState& fleet) { on_fleet_state(fleet); },
                 [this](const OutlierReport& report) { on_outlier_report(report); },
             },
             event);
}

void Balancer::on_event(double now, const Event& event, std::vector<Action>& actions) {
  impl_->now = now;
  impl_->actions = &actions;
  impl_->start();
  impl_->dispatch(event);
  for (const RequestId id : impl_->finished) impl_->requests.erase(id);
  impl_->finished.clear();
}

} // namespace fernward
