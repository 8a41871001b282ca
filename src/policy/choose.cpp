// A request arrives: which caches can be used, and the choice. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward {

constexpr double kOtherZoneScoreFactor = 3; // by which a cache in another zone than the node's scores worse
constexpr double kUnheldKeyScorePenalty = 1e9; // score of a cache that came lately and would have to fetch
constexpr double kPanicThreshold = 0.5;        // more ejected than this: the judgement is distrusted

// ---- which caches can be used now ----

// The share of its capacity that a started cache surely has: from the stated start evenly up to all of it.
double Balancer::Impl::slow_start_factor(const Replica& replica) const {
  if (!in_slow_start(replica)) return 1;
  const double age = std::max(0.0, now - replica.slow_start_began_at) / settings.slow_start_ms;
  return settings.slow_start_min_capacity + (1 - settings.slow_start_min_capacity) * age;
}

// Guards a cache in slow start against being overloaded: its own keys, cut to the capacity that it surely
// has, and popular ones to what one cache of this fleet can take of them. A draw for each request: the sum
// over all routers is the same for three of them and a thousand.
bool Balancer::Impl::slow_start_admits(const Replica& replica, const RequestState& request, bool first) {
  if (!in_slow_start(replica)) return true;
  const double draw = Random{request.params.id ^ mix(replica.entry.id)}.unit();
  const bool allowed = draw < (first ? 1 : 0.5) * request.slow_start_share * slow_start_factor(replica);
  slow_start_counts.denied += !allowed;
  return allowed;
}

bool Balancer::Impl::is_usable(const Replica& replica) const {
  if (replica.entry.state != ServerState::Ready) return false;
  // When most look bad the judgement itself is distrusted. Else half-open: without probes, one real request
  // at a time is the trial.
  const bool panic =
      static_cast<double>(ejected_servers) > kPanicThreshold * static_cast<double>(ready_caches);
  return !replica.outlier.is_ejected() || panic ||
         (!settings.may_health_check && replica.outlier.trial_due(now));
}

// ---- a request arrives ----

void Balancer::Impl::on_request(const Request& received) {
  if (received.class_index >= settings.classes.size() || requests.count(received.id) != 0) return;
  const ClassSettings& class_settings = settings.classes[received.class_index];
  RequestState& request = requests[received.id];
  request.params = sanitized(received, now + class_settings.client_timeout_ms);
  // Past the aim an answer may earn nothing more: then the request ends there.
  const double aim_at = std::max(now, request.params.body_complete_at) + latency_objective_ms(request);
  request.answer_by = std::min(request.params.deadline, class_settings.late_value_share > 0 ? 1e15 : aim_at) -
                      settings.event_interval_ms;
  const std::size_t priority = 2 * received.class_index + (over_quota(received.tenant) ? 1 : 0);
  request.value = admission.value[priority];
  admission.rate[priority] += 1;
  ++requests_this_tick;
  retry_budget.request(now, std::max(cache_slow_attempts.dead, origin_slow_attempts.dead));
  if (request.answer_by <= now || !admission.admit(priority, random.unit())) {
    retry_budget.ended(now, true);
    return give_up(request, GiveUpReason::Shed);
  }
  emit(SetTimer{request.answer_by - now, timer_token(Timer::GiveUp, received.id)});
  request.slow_start_share = demand.request(now, received.key, ready_caches, settings.overload_multiple);
  if (received.write && settings.origin_kind >= 0) return queue_for_origin(request);
  placement.read(now, received.key);
  if (!send_to_best_cache(request)) queue_for_origin(request); // which concludes where there is none
}

double Balancer::Impl::latency_objective_ms(const RequestState& request) const {
  const ClassSettings& class_settings = settings.classes[request.params.class_index];
  return class_settings.latency_objective_ms > 0
             ? class_settings.latency_objective_ms +
                   class_settings.objective_per_work * request.params.expected_work_ms
         : class_settings.client_timeout_ms > 0 ? class_settings.client_timeout_ms
                                                : 1e12;
}

bool Balancer::Impl::over_quota(std::uint32_t tenant) {
  if (tenant >= settings.tenants.size()) return false;
  tenant_rate[tenant] += 1 / 2000.0; // a mean over two seconds, see tick()
  const TenantSettings& tenant_settings = settings.tenants[tenant];
  return tenant_settings.quota_per_s > 0 &&
         tenant_rate[tenant] * 1000 > std::max(tenant_settings.quota_per_s / settings.router_count,
                                               tenant_settings.service_share * request_rate * 1000);
}

// The paper's choice among the key's candidates; false when there is none to send to.
bool Balancer::Impl::send_to_best_cache(RequestState& request) {
  const std::uint64_t key = request.params.key != 0 ? request.params.key : mix(request.params.id);
  const auto may_be_asked = [&](const Replica& r) {
    return (now < r.overloaded_until || request.has_missed(r.entry.id) || !request.has_tried(r.entry.id)) &&
           may_attempt_at(request, r) && is_usable(r);
  };
  using Choice = decltype(placement)::Choice;
  const Choice candidates =
      ready_caches == 0 ? Choice{} : placement.candidates(now, key, may_be_asked); // all are walked past
  std::size_t best = candidates.size;
  double best_score = std::numeric_limits<double>::infinity();
  const double turn = origin_cost_ms();
  if (!request.cache_misses.empty()) best_score = turn; // or straight to the origin
  const auto fill = request.attempts.empty() ? placement.fill(now, request.params.key, candidates)
                                             : decltype(placement)::Filling{};
  for (std::size_t i = 0; i < candidates.size; ++i) {
    Replica& replica = *candidates.at[i];
    // Keeps its place all the same: the next is not the key's first cache.
    if (request.has_missed(replica.entry.id) || now < replica.overloaded_until ||
        !slow_start_admits(replica, request, i == 0) || !replica.limiter.room(now, replica.active()))
      continue;
    const bool likely = placement.likely(candidates, i, request.params.key);
    double score = replica.score(now, live_routers, cache_response_ms, cache_queue_length,
                                 likely ? (1 - slow_start_factor(replica)) * turn : turn);
    // A crossing is paid for and zones fail apart. In the cube 3 is a queue 1.44 times as long.
    if (settings.zone && replica.entry.zone != *settings.zone) score *= kOtherZoneScoreFactor;
    if (!likely && placement.lately(now, key, replica)) score += kUnheldKeyScorePenalty;
    if (&replica == fill.whom) score = -1, request.pending_fill = fill.what;
    if (score < best_score) best_score = score, best = i;
  }
  admission.seen += request.attempts.empty();
  admission.tight += request.attempts.empty() && best == candidates.size;
  if (best == candidates.size && request.cache_misses.empty()) retry_budget.ended(now, true);
  if (best == candidates.size) return false;
  for (std::size_t i = 0; i < candidates.size; ++i) candidates.at[i]->passed_over += i != best;
  if (candidates.at[best] == fill.whom) placement.pace().filled(fill.what);
  return send_attempt(request, *candidates.at[best]);
}

// A miss costs a turn at the origin, a price that the paper has not: its response time, cubed up like a
// cache's by how much of what this node lets it have at once is taken or waited for, and by how near its
// answers come to being late, which shows what the other nodes send it.
double Balancer::Impl::origin_cost_ms() const {
  if (origin == nullptr) return 0;
  const double wanted = origin->active() + static_cast<double>(origin_queue.size());
  const double pace = placement.pace().crowding(now, static_cast<double>(origin_queue.size()));
  const double use = 2 * std::max(origin_limit.crowding(now, wanted), pace);
  return origin->expected_response_ms(now, origin_limit.recent_ms()) * (1 + use * use * use);
}

bool Balancer::Impl::send_attempt(RequestState& request, Replica& replica) {
  if (request.finished || request.streaming ||
      request.attempts.size() >= settings.max_attempts_of(request.params.class_index) ||
      !may_attempt_at(request, replica))
    return false;
  if (replica.entry.state != ServerState::Ready || now >= request.answer_by) return false;
  replica.outlier.record_sent();
  emit(SetTimer{std::max(slow_attempts(replica).slow_ms, 2 * settings.event_interval_ms),
                timer_token(Timer::SlowAttempt, request.params.id, request.attempts.size() & 0xff)});
  if (!request.may_have_executed &&
      request.in_flight == 0) { // the group that a keyed request is bound to from now on
    request.bound_at = now;
    request.bound_zone = replica.entry.zone;
    request.bound_cell = replica.entry.cell;
  }
  request.attempts.push_back({replica.entry.id, now});
  slow_start_counts.attempts += !is_origin(replica) && in_slow_start(replica);
  ++request.in_flight;
  ++replica.in_flight;
  if (is_origin(replica)) origin_connections.sent(now, replica.active() - 1);
  is_origin(replica) ? origin_limit.sent(now) : replica.limiter.sent(now);
  if (is_origin(replica) && !request.params.write) placement.pace().fetched(now);
  emit(Send{request.params.id, replica.entry.id, 0});
  return true;
}

} // namespace fernward
