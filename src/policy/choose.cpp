// A request arrives: which caches can be used, and the choice. Interface: include/fernward/balancer.h
#include "policy/balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward {

constexpr double kOtherZone = 3;    // by which a cache in another zone than the node's scores worse
constexpr double kUnheld = 1e9;     // score of a cache that came lately and would have to fetch
constexpr double kPanicShare = 0.5; // more ejected than this: the judgement is distrusted

// ---- which caches can be used now ----

// The share of its capacity that a started cache surely has: from the stated start evenly up to all of it.
double Balancer::Impl::warmth(const Replica& r) const {
  if (!cold(r)) return 1;
  const double age = std::max(0.0, now - r.cold_since) / set.slow_start_ms;
  return set.slow_start_min_capacity + (1 - set.slow_start_min_capacity) * age;
}

// Guards a cache in slow start against being overloaded: its own keys, cut to the capacity that it surely
// has, and popular ones to what one cache of this fleet can take of them. A draw for each request: the sum
// over all routers is the same for three of them and a thousand.
bool Balancer::Impl::start_allows(const Replica& r, const RequestState& o, bool first) {
  if (!cold(r)) return true;
  const double draw = Random{o.in.id ^ mix(r.entry.id)}.unit();
  const bool allowed = draw < (first ? 1 : 0.5) * o.slow_start_share * warmth(r);
  slow_start.denied += !allowed;
  return allowed;
}

bool Balancer::Impl::usable(const Replica& r) const {
  if (r.entry.state != ServerState::Ready) return false;
  // When most look bad the judgement itself is distrusted. Else half-open: without probes, one real request
  // at a time is the trial.
  const bool panic = static_cast<double>(ejected) > kPanicShare * static_cast<double>(caches);
  return !r.health.out() || panic || (!set.may_health_check && r.health.trial_due(now));
}

// ---- a request arrives ----

void Balancer::Impl::take(const Request& in) {
  if (in.class_index >= set.classes.size() || open.count(in.id) != 0) return;
  const ClassSettings& c = set.classes[in.class_index];
  RequestState& o = open[in.id];
  o.in = cleaned(in, now + c.client_timeout_ms);
  // Past the aim an answer may earn nothing more: then the request ends there.
  const double aim_at = std::max(now, o.in.body_complete_at) + aim_of(o);
  o.end_at = std::min(o.in.deadline, c.late_value_share > 0 ? 1e15 : aim_at) - set.event_interval_ms;
  const std::size_t priority = 2 * in.class_index + (over_quota(in.tenant) ? 1 : 0);
  o.value = shedder.priority_values[priority];
  shedder.priority_rates[priority] += 1;
  ++requests_now;
  allowance.on_request(now, std::max(cache_late.never_answered_share, origin_late.never_answered_share));
  if (o.end_at <= now || !shedder.admits(priority, random.unit())) {
    allowance.on_attempt_ended(now, true);
    return conclude(o, GiveUpReason::Shed);
  }
  act(SetTimer{o.end_at - now, token(Timer::End, in.id)});
  o.slow_start_share = demand.on_request(now, in.key, caches, set.overload_multiple);
  if (in.write && set.origin_kind >= 0) return to_origin(o);
  places.on_read(now, in.key);
  if (!choose(o)) to_origin(o); // which concludes where there is none
}

double Balancer::Impl::aim_of(const RequestState& o) const {
  const ClassSettings& c = set.classes[o.in.class_index];
  return c.latency_objective_ms > 0 ? c.latency_objective_ms + c.objective_per_work * o.in.expected_work_ms
         : c.client_timeout_ms > 0  ? c.client_timeout_ms
                                    : 1e12;
}

bool Balancer::Impl::over_quota(std::uint32_t tenant) {
  if (tenant >= set.tenants.size()) return false;
  tenant_rate[tenant] += 1 / 2000.0; // a mean over two seconds, see tick()
  const TenantSettings& t = set.tenants[tenant];
  return t.quota_per_s > 0 && tenant_rate[tenant] * 1000 > std::max(t.quota_per_s / set.router_count,
                                                                    t.service_share * request_rate * 1000);
}

// The paper's choice among the key's candidates; false when there is none to send to.
bool Balancer::Impl::choose(RequestState& o) {
  const std::uint64_t key = o.in.key != 0 ? o.in.key : mix(o.in.id);
  const auto may_be_asked = [&](const Replica& r) {
    return (now < r.full_until || o.missed_at(r.entry.id) || !o.tried(r.entry.id)) && repeatable(o, r) &&
           usable(r);
  };
  using Choice = decltype(places)::Choice;
  const Choice c = caches == 0 ? Choice{} : places.candidates(now, key, may_be_asked); // all are walked past
  std::size_t best = c.size;
  double best_score = std::numeric_limits<double>::infinity();
  const double turn = origin_turn_ms();
  if (!o.missed.empty()) best_score = turn; // or straight to the origin
  const auto fill = o.attempts.empty() ? places.choose_fill(now, o.in.key, c) : decltype(places)::Filling{};
  for (std::size_t i = 0; i < c.size; ++i) {
    Replica& r = *c.at[i];
    // Keeps its place all the same: the next is not the key's first cache.
    if (o.missed_at(r.entry.id) || now < r.full_until || !start_allows(r, o, i == 0) ||
        !r.gate.has_capacity(now, r.working()))
      continue;
    const bool likely = places.likely_holds(c, i, o.in.key);
    double score = r.score(now, living, fleet_ms, fleet_queue, likely ? (1 - warmth(r)) * turn : turn);
    // A crossing is paid for and zones fail apart. In the cube 3 is a queue 1.44 times as long.
    if (set.zone && r.entry.zone != *set.zone) score *= kOtherZone;
    if (!likely && places.lately(now, key, r)) score += kUnheld;
    if (&r == fill.whom) score = -1, o.filling = fill.what;
    if (score < best_score) best_score = score, best = i;
  }
  shedder.choices += o.attempts.empty();
  shedder.choices_without_capacity += o.attempts.empty() && best == c.size;
  if (best == c.size && o.missed.empty()) allowance.on_attempt_ended(now, true);
  if (best == c.size) return false;
  for (std::size_t i = 0; i < c.size; ++i) c.at[i]->passed_over += i != best;
  if (c.at[best] == fill.whom) places.fill_rate_limiter().on_filled(fill.what);
  return send(o, *c.at[best]);
}

// A miss costs a turn at the origin, a price that the paper has not: its response time, cubed up like a
// cache's by how much of what this node lets it have at once is taken or waited for, and by how near its
// answers come to being late, which shows what the other nodes send it.
double Balancer::Impl::origin_turn_ms() const {
  if (origin == nullptr) return 0;
  const double wanted = origin->working() + static_cast<double>(origin_queue.size());
  const double pace = places.fill_rate_limiter().utilization(now, static_cast<double>(origin_queue.size()));
  const double use = 2 * std::max(origin_limit.utilization(now, wanted), pace);
  return origin->response(now, origin_limit.latency_ms()) * (1 + use * use * use);
}

bool Balancer::Impl::send(RequestState& o, Replica& r) {
  if (o.over || o.streaming || o.attempts.size() >= set.max_attempts_of(o.in.class_index) ||
      !repeatable(o, r))
    return false;
  if (r.entry.state != ServerState::Ready || now >= o.end_at) return false;
  r.health.sent();
  act(SetTimer{std::max(lateness(r).slow_threshold_ms, 2 * set.event_interval_ms),
               token(Timer::Overdue, o.in.id, o.attempts.size() & 0xff)});
  if (!o.maybe_ran && o.out == 0) { // the group that a keyed request is bound to from now on
    o.ran_at = now;
    o.ran_zone = r.entry.zone;
    o.ran_cell = r.entry.cell;
  }
  o.attempts.push_back({r.entry.id, now});
  slow_start.attempts += !is_origin(r) && cold(r);
  ++o.out;
  ++r.open;
  if (is_origin(r)) origin_places.on_attempt_sent(now, r.working() - 1);
  is_origin(r) ? origin_limit.on_attempt_sent(now) : r.gate.on_attempt_sent(now);
  if (is_origin(r) && !o.in.write) places.fill_rate_limiter().on_fetch(now);
  act(Send{o.in.id, r.entry.id, 0});
  return true;
}

} // namespace fernward
