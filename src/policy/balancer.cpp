// The decision module: events, the server list, timers. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace fernward {

constexpr double kMaxAskMs = 8000;  // the longest wait between calls to discovery that failed
constexpr double kProbeShare = 0.1; // probes for each request where only probes bring reports

Balancer::Impl::Impl(const Settings& s, std::uint64_t seed)
    : set(s), random{mix(seed)}, places(s.origin_kind >= 0 ? s.resize : ResizeSettings{}) {
  take_classes();
  living = s.router_count;
  cache_late.slow_threshold_ms = origin_late.slow_threshold_ms = aim_ms / 3; // until answers tell
  fleet_ms = cache_late.slow_threshold_ms / 3;
}

void Balancer::Impl::start() {
  if (ticking) return;
  ticking = true;
  act(SetTimer{kTickMs, token(Timer::Tick)});
  // Restarted nodes come in crowds: the first call is spread, so that discovery is not flooded.
  ask_at = now + 1000 * random.unit();
}

void Balancer::Impl::log(const char* what, double figure) {
  if (now - logged_at < 1000) return; // few lines: the first of a second tells
  logged_at = now;
  char text[120];
  std::snprintf(text, sizeof text, "%s %.0f", what, figure);
  act(Log{text});
}

// ---- server list ----

void Balancer::Impl::take(const EndpointList& list) {
  if (list.kind == EndpointListKind::Failed) {
    subscribed = asked = false;
    ask_wait = std::clamp(2 * ask_wait, kMaxAskMs / 16, kMaxAskMs);
    ask_at = now + ask_wait * (0.5 + random.unit());
    log("server list: call failed, next try in ms:", ask_at - now);
    return;
  }
  if (list.kind != EndpointListKind::Cached && asked) subscribed = true, asked = false, ask_wait = 0;
  std::vector<ServerId> changed;
  for (const Server& server : list.servers) changed.push_back(server.id);
  if (list.kind != EndpointListKind::Delta) {
    std::vector<ServerId> named = changed;
    std::sort(named.begin(), named.end());
    for (auto& [id, r] : replicas) {
      if (r.entry.state == ServerState::Gone || std::binary_search(named.begin(), named.end(), id)) continue;
      Server gone = r.entry;
      gone.state = ServerState::Gone;
      update(gone);
      changed.push_back(id);
    }
  }
  for (const Server& server : list.servers) update(server);
  arrange(changed);
}

// Costs the same however many servers there are.
void Balancer::Impl::update(const Server& server) {
  Server s = server;
  if (!usable_number(s.weight) || s.weight == 0) s.weight = 1;
  if (!usable_number(s.started_at)) s.started_at = 0;
  const auto [it, added] = replicas.try_emplace(s.id);
  Replica& r = it->second;
  const bool was_gone = !added && r.entry.state == ServerState::Gone;
  if (!added) tally(r, -1);
  const bool restarted = !added && s.started_at > r.entry.started_at;
  r.entry = s;
  if (restarted) r.forget();
  if (added || restarted) r.gate = concurrency::CacheConcurrencyLimiter(set.router_count);
  if (is_origin(r) && (added || restarted))
    origin_limit = concurrency::OriginConcurrencyLimiter::for_router_count(set.router_count),
    origin_places = {};
  if (s.started_at > 0) r.cold_since = std::max(r.cold_since, s.started_at);
  tally(r, 1);
  if (is_origin(r)) {
    origins.insert(s.id);
  } else {
    origins.erase(s.id);
  }
  if (s.state == ServerState::Gone && !was_gone) leaving.push_back(s.id);
}

void Balancer::Impl::tally(const Replica& r, int sign) {
  if (r.entry.state != ServerState::Ready) return;
  caches += is_origin(r) ? 0 : sign;
  ejected += r.health.out() ? sign : 0;
}

void Balancer::Impl::arrange(const std::vector<ServerId>& changed) {
  const bool settled = !places.fill_rate_limiter().is_active(now);
  places.arrange(now, replicas, changed, set.weight_kind != WeightKind::Live,
                 [this](const Replica& r) { return !is_origin(r) && r.entry.state != ServerState::Gone; });
  if (const double most = places.fill_rate_limiter().max_fetches_per_ms(now); settled && most > 0)
    log("fleet changed, origin reads a second at most", 1000 * most);
  origin = nullptr;
  for (const ServerId id : origins) {
    Replica& r = replicas.at(id);
    if (origin == nullptr || r.entry.state == ServerState::Ready) origin = &r;
  }
}

// Of those that are gone, what nothing is out at any more.
void Balancer::Impl::drop_leaving() {
  std::erase_if(leaving, [this](ServerId id) {
    const Replica* r = find(id);
    if (r == nullptr || r->entry.state != ServerState::Gone) return true; // it is back
    if (r->open > 0 || r == origin) return false;
    origins.erase(id);
    replicas.erase(id);
    return true;
  });
}

// The configured number is a ceiling: to think oneself alone in a cut must not count for much.
void Balancer::Impl::take(const FleetState& e) {
  living = std::clamp(usable_number(e.live_routers) && e.live_routers > 0 ? e.live_routers : 1e9,
                      0.25 * set.router_count, 1.0 * set.router_count);
  origin_limit.set_fleet_latency(now, e.origin_response_ms, e.origin_response_age_ms);
  origin_limit.set_fleet_share(e.origin_limit_share);
}

// ---- timers ----

void Balancer::Impl::take(const TimerFired& e) {
  const auto kind = static_cast<Timer>(e.token >> 60);
  if (kind == Timer::Tick) return tick();
  RequestState* o = live(e.token & ((1ull << 52) - 1));
  if (o == nullptr || o->streaming) return;
  if (kind == Timer::End)
    conclude(*o, o->out > 0  ? GiveUpReason::ResponseTimeout
                 : o->queued ? GiveUpReason::QueueTimeout
                             : GiveUpReason::NotSent);
  if (kind == Timer::Again && o->out == 0) o->queued ? pump_origin() : to_origin(*o);
  if (kind == Timer::Overdue) overdue(*o, (e.token >> 52) & 0xff);
}

void Balancer::Impl::probe(Replica& r) {
  r.health.sent();
  r.probed_at = now;
  act(SendHealthCheck{r.entry.id});
}

void Balancer::Impl::tick() {
  act(SetTimer{kTickMs, token(Timer::Tick)});
  const double wanted = origin == nullptr ? 0 : origin->working() + static_cast<double>(origin_queue.size());
  smooth(ledger_demand, wanted, 0.05); // below 0 at first: not known yet
  smooth(request_rate, requests_now / kTickMs, 0.05);
  probes = std::min(1.0, probes + kProbeShare * requests_now);
  requests_now = 0;
  for (double& rate : tenant_rate) rate *= 0.95;
  shedder.on_tick();
  if (set.discovery == DiscoveryMode::Poll && !subscribed && now >= ask_at) {
    act(WatchEndpoints{});
    asked = true;
    ask_at =
        now + (set.poll_interval_ms > 0 ? set.poll_interval_ms : kMaxAskMs); // no answer at all: ask again
  }
  pump_origin();
  drop_leaving();
  if (set.may_health_check && (ejected > 0 || set.load_report_source == LoadReportSource::HealthChecks))
    probe_due();
}

// Walks all servers: only where the settings allow probes.
void Balancer::Impl::probe_due() {
  Replica* oldest = nullptr; // report
  for (auto& [id, r] : replicas) {
    if (r.entry.state != ServerState::Ready) continue;
    if (r.health.out() && r.health.trial_due(now)) probe(r);
    if (!r.health.out() && !is_origin(r) && (oldest == nullptr || r.probed_at < oldest->probed_at))
      oldest = &r;
  }
  if (set.load_report_source == LoadReportSource::HealthChecks && oldest != nullptr && probes >= 1)
    --probes, probe(*oldest);
}

Balancer::Balancer(const Settings& settings, std::uint64_t seed) {
  validate(settings);
  impl_ = std::make_unique<Impl>(settings, seed);
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

bool Balancer::is_ejected(ServerId server) const {
  const Replica* r = impl_->find(server);
  return r != nullptr && r->health.out();
}

Balancer::OriginBudget Balancer::origin_budget() const {
  return {impl_->ledger_demand, impl_->origin_limit.limit(),
          impl_->origin_limit.recent_latency_ms(impl_->now)};
}

Balancer::SlowStartCounts Balancer::slow_start_counts() const { return impl_->slow_start; }

void Balancer::on_event(double now, const Event& event, std::vector<Action>& actions) {
  impl_->now = now;
  impl_->actions = &actions;
  impl_->start();
  std::visit([this](const auto& e) { impl_->take(e); }, event);
  for (const RequestId id : impl_->done) impl_->open.erase(id);
  impl_->done.clear();
}

} // namespace fernward
