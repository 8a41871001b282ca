// The Balancer: events, the endpoint list, timers. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace fernward {

constexpr double kHealthChecksPerRequest = 0.1;    // if load reports come only from health checks
constexpr double kOriginDemandSampleWeight = 0.05; // weight of one tick in the moving average
constexpr double kMinLiveRouterShare = 0.25;       // share of the configured routers
constexpr double kLogIntervalMs = 1000;

// Combines one handler per event type into a visitor for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

Balancer::Impl::Impl(const Settings& initial_settings, std::uint64_t seed)
    : settings(initial_settings),
      random{mix_bits(seed)},
      placement(initial_settings.origin_kind >= 0 ? initial_settings.resize : ResizeSettings{}) {
  apply_classes();
  live_routers = initial_settings.router_count;
  // Initial estimates until responses are measured.
  cache_slow_attempts.slow_threshold_ms = shortest_objective_ms / 3;
  origin_slow_attempts.slow_threshold_ms = cache_slow_attempts.slow_threshold_ms;
  mean_cache_response_ms = cache_slow_attempts.slow_threshold_ms / 3;
}

void Balancer::Impl::start_timers_once() {
  if (tick_timer_started) return;
  tick_timer_started = true;
  emit(SetTimer{kTickMs, timer_token(TimerKind::Tick)});
  poll_schedule.start(now, random.next_unit());
}

void Balancer::Impl::log(const char* message, double value) {
  if (now - last_log_at < kLogIntervalMs) return; // at most one line per interval
  last_log_at = now;
  char text[120];
  std::snprintf(text, sizeof text, "%s %.0f", message, value);
  emit(Log{text});
}

// ---- endpoint list ----

void Balancer::Impl::on_endpoint_list(const EndpointList& list) {
  if (list.kind == EndpointListKind::Failed) {
    poll_schedule.on_failure(now, random.next_unit());
    log("server list: call failed, next try in ms:", poll_schedule.next_poll_at() - now);
    return;
  }
  poll_schedule.on_list(list.kind);
  std::vector<ServerId> changed_ids;
  for (const Server& server : list.servers) changed_ids.push_back(server.id);
  if (list.kind != EndpointListKind::Delta) {
    std::vector<ServerId> listed_ids = changed_ids;
    std::sort(listed_ids.begin(), listed_ids.end());
    for (auto& [id, replica] : replicas) {
      if (replica.entry.state == ServerState::Gone ||
          std::binary_search(listed_ids.begin(), listed_ids.end(), id))
        continue;
      Server gone_server = replica.entry;
      gone_server.state = ServerState::Gone;
      update_server(gone_server);
      changed_ids.push_back(id);
    }
  }
  for (const Server& server : list.servers) update_server(server);
  update_placement(changed_ids);
}

// The cost does not depend on the number of servers.
void Balancer::Impl::update_server(const Server& listed_server) {
  Server entry = listed_server;
  if (!is_finite_non_negative(entry.weight) || entry.weight == 0) entry.weight = 1;
  if (!is_finite_non_negative(entry.started_at)) entry.started_at = 0;
  const auto [it, added] = replicas.try_emplace(entry.id);
  Replica& replica = it->second;
  const bool was_gone = !added && replica.entry.state == ServerState::Gone;
  if (!added) outlier_ejection.update_counts(replica, is_origin(replica), -1);
  const bool restarted = !added && entry.started_at > replica.entry.started_at;
  replica.entry = entry;
  if (restarted) replica.reset_for_restart();
  if (added || restarted) replica.limiter = concurrency::CacheConcurrencyLimiter(settings.router_count);
  if (is_origin(replica) && (added || restarted)) origin_dispatch.reset(settings.router_count);
  if (entry.started_at > 0)
    replica.slow_start_began_at = std::max(replica.slow_start_began_at, entry.started_at);
  outlier_ejection.update_counts(replica, is_origin(replica), 1);
  if (is_origin(replica)) {
    listed_origin_ids.insert(entry.id);
  } else {
    listed_origin_ids.erase(entry.id);
  }
  if (entry.state == ServerState::Gone && !was_gone) departed_server_ids.push_back(entry.id);
}

void Balancer::Impl::update_placement(const std::vector<ServerId>& changed_ids) {
  const bool limiter_was_inactive = !placement.fill_rate_limiter().is_active(now);
  placement.update_members(now, replicas, changed_ids, settings.weight_kind != WeightKind::Live,
                           [this](const Replica& replica) {
                             return !is_origin(replica) && replica.entry.state != ServerState::Gone;
                           });
  if (const double fetch_limit_per_ms = placement.fill_rate_limiter().max_fetches_per_ms(now);
      limiter_was_inactive && fetch_limit_per_ms > 0)
    log("fleet changed, origin reads a second at most", 1000 * fetch_limit_per_ms);
  origin = nullptr;
  for (const ServerId id : listed_origin_ids) {
    Replica& replica = replicas.at(id);
    if (origin == nullptr || replica.entry.state == ServerState::Ready) origin = &replica;
  }
}

// Erases servers that are gone and have no attempt in flight.
void Balancer::Impl::remove_departed_servers() {
  std::erase_if(departed_server_ids, [this](ServerId id) {
    const Replica* replica = find_server(id);
    if (replica == nullptr || replica->entry.state != ServerState::Gone) return true; // listed again
    if (replica->in_flight > 0 || replica == origin) return false;
    listed_origin_ids.erase(id);
    replicas.erase(id);
    return true;
  });
}

// The number of live routers is bounded on both sides by the configured number: an isolated router must not
// assume that it is the only one.
void Balancer::Impl::on_fleet_state(const FleetState& fleet) {
  live_routers = std::clamp(
      is_finite_non_negative(fleet.live_routers) && fleet.live_routers > 0 ? fleet.live_routers : 1e9,
      kMinLiveRouterShare * settings.router_count, 1.0 * settings.router_count);
  origin_dispatch.limiter.set_fleet_latency(now, fleet.origin_response_ms, fleet.origin_response_age_ms);
  origin_dispatch.limiter.set_fleet_share(fleet.origin_limit_share);
}

// ---- timers ----

void Balancer::Impl::on_timer(const TimerFired& timer) {
  const TimerKind kind = timer_kind(timer.token);
  if (kind == TimerKind::Tick) return tick();
  RequestState* request = find_request(timer_request(timer.token));
  if (request == nullptr || request->streaming) return;
  if (kind == TimerKind::GiveUp) return on_give_up_timer(*request);
  if (kind == TimerKind::RetryOrigin && request->in_flight == 0) {
    if (request->queued_for_origin) {
      dispatch_to_origin();
    } else {
      queue_for_origin(*request);
    }
  }
  if (kind == TimerKind::SlowAttempt) on_slow_attempt(*request, timer_attempt(timer.token));
}

void Balancer::Impl::send_health_check(Replica& replica) {
  replica.outlier.record_attempt_sent();
  replica.health_checked_at = now;
  emit(SendHealthCheck{replica.entry.id});
}

void Balancer::Impl::tick() {
  emit(SetTimer{kTickMs, timer_token(TimerKind::Tick)});
  const double current_demand = origin == nullptr ? 0 : origin_dispatch.demand(origin->active_attempts());
  update_moving_average(mean_origin_demand, current_demand, kOriginDemandSampleWeight);
  health_check_credit =
      std::min(1.0, health_check_credit + kHealthChecksPerRequest * tenant_quotas.requests_this_tick());
  tenant_quotas.tick();
  admission.on_tick();
  if (settings.discovery == DiscoveryMode::Poll && poll_schedule.is_due(now)) {
    emit(WatchEndpoints{});
    poll_schedule.record_poll_sent(now, settings.poll_interval_ms);
  }
  dispatch_to_origin();
  remove_departed_servers();
  if (settings.may_health_check &&
      (outlier_ejection.ejected_count() > 0 || settings.load_report_source == LoadReportSource::HealthChecks))
    send_due_health_checks();
}

// Iterates over all servers, so it is called only if the settings allow health checks.
void Balancer::Impl::send_due_health_checks() {
  Replica* least_recently_checked = nullptr; // only caches in service that are not ejected
  for (auto& [id, replica] : replicas) {
    if (replica.entry.state != ServerState::Ready) continue;
    if (replica.outlier.is_ejected() && replica.outlier.trial_due(now)) send_health_check(replica);
    if (!replica.outlier.is_ejected() && !is_origin(replica) &&
        (least_recently_checked == nullptr ||
         replica.health_checked_at < least_recently_checked->health_checked_at))
      least_recently_checked = &replica;
  }
  if (settings.load_report_source == LoadReportSource::HealthChecks && least_recently_checked != nullptr &&
      health_check_credit >= 1) {
    --health_check_credit;
    send_health_check(*least_recently_checked);
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
  return {impl_->mean_origin_demand, impl_->origin_dispatch.limiter.limit(),
          impl_->origin_dispatch.limiter.recent_latency_ms(impl_->now)};
}

Balancer::SlowStartCounts Balancer::slow_start_counts() const { return impl_->slow_start.counts(); }

void Balancer::Impl::dispatch_event(const Event& event) {
  std::visit(Overloaded{
                 [this](const EndpointList& list) { on_endpoint_list(list); },
                 [this](const Request& received) { on_request(received); },
                 [this](const DeadlineChanged& changed) { on_deadline_changed(changed); },
                 [this](const AttemptOutcome& outcome) { on_attempt_outcome(outcome); },
                 [this](const ResponseStarted& started) { on_response_started(started); },
                 [this](const ClientDisconnected& disconnected) { on_client_disconnected(disconnected); },
                 [this](const TimerFired& timer) { on_timer(timer); },
                 [this](const HealthCheckResult& result) { on_health_check_result(result); },
                 [this](const FleetState& fleet) { on_fleet_state(fleet); },
                 [this](const OutlierReport& report) { on_outlier_report(report); },
                 [this](const ResponseHeadReceived& head) { on_response_head_received(head); },
             },
             event);
}

void Balancer::on_event(double now, const Event& event, std::vector<Action>& actions) {
  impl_->now = now;
  impl_->actions = &actions;
  impl_->start_timers_once();
  impl_->dispatch_event(event);
  for (const RequestId id : impl_->finished_request_ids) impl_->requests.erase(id);
  impl_->finished_request_ids.clear();
}

} // namespace fernward
