#include "model/cache_node.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace fernward::model {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kWarmUpSteps = 64; // number of steps in which a cold node's capacity rises
// WarmUpMode::Requests: a node is warm after this share of the work that it could do in warm_up_ms.
constexpr double kWarmUpWorkShare = 0.5;
// Random variation alone must not overload a node: this many standard deviations of the number of requests,
// and as many requests, are added to the limit.
constexpr double kOverloadDeviations = 3;
constexpr std::size_t kMaxLeases = 4096; // per node; the oldest is dropped for a new one

} // namespace

CacheNode::CacheNode(const FleetContext& context, const PlannedMachine& machine)
    : ServerModel(machine.id,
                  {.cores = context.spec.kinds[machine.kind].cores,
                   .speed = machine.speed,
                   .max_active = context.spec.kinds[machine.kind].max_active,
                   .max_queued = context.spec.kinds[machine.kind].max_queued,
                   .max_connections = context.spec.kinds[machine.kind].max_connections,
                   .handshake_work_ms = context.spec.kinds[machine.kind].handshake_work_ms,
                   .error_rate = context.spec.kinds[machine.kind].error_rate,
                   .drops_expired = context.spec.kinds[machine.kind].drops_expired,
                   .cancel_policy = context.spec.kinds[machine.kind].cancel_policy,
                   .report = context.spec.kinds[machine.kind].report},
                  context.spec.seed),
      kind_(context.spec.kinds[machine.kind]),
      context_(context),
      machine_plan_(machine),
      cache_(kind_.memory_bytes, kind_.eviction_policy, kind_.object_lifetime_ms,
             kind_.object_overhead_bytes),
      arrived_work_(kind_.overload_failure_ms),
      notified_work_(kind_.overload_failure_ms),
      pause_engine_(stream(context.spec.seed, "pauses", machine.id)) {
  double share_sum = 0;
  for (const ClassSpec& cls : context_.spec.classes) {
    mean_work_ms_ += cls.share * cls.work.mean;
    share_sum += cls.share;
  }
  mean_work_ms_ = share_sum > 0 ? mean_work_ms_ / share_sum : 1;
  next_pause_ms_ =
      kind_.pause_interval_ms > 0 ? draw_exponential(kind_.pause_interval_ms, pause_engine_) : kNever;
  if (machine.in_service_at_start) {
    phase_ = ServerPhase::Up;
    initial_bytes_left_ = kind_.memory_bytes;
    counted_as_initial_ = true;
    if (context_.initial_nodes != nullptr) ++context_.initial_nodes->nodes;
    update_rate(0);
  }
}

// ---- lifecycle ----

void CacheNode::start(double now, ServerActions& actions) {
  ServerModel::start(now, actions);
  cache_.clear();
  lose_initial_objects();
  started_at_ms_ = latest_ms();
  work_done_at_start_ = total_work_done();
  is_warm_ = !(kind_.warm_up_ms > 0);
  next_warm_up_step_ms_ = latest_ms() + kind_.warm_up_ms / kWarmUpSteps;
  paused_ = false;
  next_pause_ms_ = kind_.pause_interval_ms > 0
                       ? latest_ms() + draw_exponential(kind_.pause_interval_ms, pause_engine_)
                       : kNever;
  arrived_work_.clear();
  notified_work_.clear();
  update_rate(latest_ms());
}

void CacheNode::on_terminated() {
  cache_.clear();
  leases_.clear();
  lease_order_.clear();
  lose_initial_objects();
  is_warm_ = true;
}

void CacheNode::set_neighbour_share(double now, double share, ServerActions& actions) {
  advance(now, actions);
  neighbour_share_ = std::clamp(share, 0.0, 1.0);
  update_rate(latest_ms());
}

// ---- capacity ----

double CacheNode::warm_share(double now) const {
  if (is_warm_) return 1;
  double share = (now - started_at_ms_) / kind_.warm_up_ms;
  if (kind_.warm_up_mode == WarmUpMode::Requests) {
    share = std::max(share, (total_work_done() - work_done_at_start_) /
                                (kWarmUpWorkShare * full_capacity() * kind_.warm_up_ms));
  }
  return std::clamp(share, 0.0, 1.0);
}

double CacheNode::expected_capacity(double now) const {
  return full_capacity() * (kind_.start_capacity + (1 - kind_.start_capacity) * warm_share(now));
}

double CacheNode::current_capacity(double now) const {
  return expected_capacity(now) * (1 - neighbour_share_);
}

double CacheNode::capacity_share(double now) const {
  if (paused_) return 0;
  const double table_fill =
      static_cast<double>(connections()) / std::max(1.0, static_cast<double>(kind_.max_connections));
  const double per_core = static_cast<double>(active() + queued()) / kind_.cores;
  const double slowdown = 1 + kind_.congestion_slowdown * std::max(0.0, per_core - kind_.congested_at);
  return current_capacity(now) / full_capacity() *
         (1 - kind_.full_table_capacity_loss * std::min(1.0, table_fill)) / slowdown;
}

double CacheNode::next_capacity_change_ms() const {
  if (phase_ == ServerPhase::Off) return kNever;
  return std::min(next_pause_ms_, is_warm_ ? kNever : next_warm_up_step_ms_);
}

void CacheNode::on_capacity_change(double now, ServerActions& actions) {
  if (!is_warm_ && now >= next_warm_up_step_ms_) {
    next_warm_up_step_ms_ = now + kind_.warm_up_ms / kWarmUpSteps;
    if (warm_share(now) >= 1) {
      is_warm_ = true;
      actions.push_back({.at = now, .what = ServerAction::What::Warm});
    }
  }
  if (now >= next_pause_ms_) {
    paused_ = !paused_;
    next_pause_ms_ =
        now + draw_exponential(paused_ ? kind_.pause_duration_ms : kind_.pause_interval_ms, pause_engine_);
  }
}

// All work that reaches a cold node counts, including rejected work. The limit is the capacity that the
// routers' settings imply for a node of its age. A neighbour does not lower it, because routers are not
// notified of neighbours.
void CacheNode::on_arrival(double now, const ServerAttempt& attempt, ServerActions& actions) {
  if (is_warm_ || !(kind_.overload_failure_ms > 0)) return;
  arrived_work_.add(now, attempt.work_ms);
  if (attempt.notified) notified_work_.add(now, attempt.work_ms);
  const double arrived_work = arrived_work_.sum(now);
  const double max_requests =
      kind_.overload_multiple * expected_capacity(now) * kind_.overload_failure_ms / mean_work_ms_;
  if (arrived_work <=
      (max_requests + kOverloadDeviations * std::sqrt(max_requests) + kOverloadDeviations) * mean_work_ms_)
    return;
  const double notified_share = notified_work_.sum(now) / arrived_work;
  lose_all(now, actions);
  actions.push_back(
      {.at = now, .what = ServerAction::What::Overloaded, .cold = true, .notified_share = notified_share});
}

// ---- work ----

// Recorded when work starts, not on arrival: a rejected write has had no effect and may be repeated.
bool CacheNode::is_duplicate(double now, const ServerAttempt& attempt) {
  if (!attempt.write || attempt.idempotency_key == 0 || attempt.cls >= context_.spec.classes.size())
    return false;
  const ClassSpec& cls = context_.spec.classes[attempt.cls];
  if (cls.idempotency != Idempotency::WithKey) return false;
  const double window_ms =
      kind_.idempotency_window_ms >= 0 ? kind_.idempotency_window_ms : cls.idempotency_window_ms;
  return context_.idempotency_cache.check_and_add(now, duplicate_group(cls.idempotency_scope, machine_plan_),
                                                  attempt.idempotency_key, window_ms);
}

void CacheNode::on_work_start(double now, WorkItem& item) {
  const ServerAttempt& attempt = item.attempt;
  if (!context_.spec.origin.enabled) {
    const bool duplicate = is_duplicate(now, attempt);
    item.outcome = duplicate       ? ServerOutcome::Duplicate
                   : attempt.write ? ServerOutcome::Written
                                   : ServerOutcome::Hit;
    item.work = duplicate ? 0 : attempt.work_ms;
  } else if (!attempt.write && has_object(now, attempt.key)) {
    item.outcome = ServerOutcome::Hit;
    item.work = kind_.hit_share_of_work * attempt.work_ms;
  } else {
    item.outcome = attempt.write ? ServerOutcome::Miss : on_miss(now, attempt.key);
    item.work = kind_.miss_share_of_work * attempt.work_ms;
  }
}

void CacheNode::lose_initial_objects() {
  initial_bytes_left_ = 0;
  if (std::exchange(counted_as_initial_, false) && context_.initial_nodes != nullptr)
    ++context_.initial_nodes->terminated;
}

bool CacheNode::has_object(double now, std::uint64_t key) {
  if (const auto stored_at = cache_.find(now, key)) {
    if (!context_.keys.changed_between(key, *stored_at, now)) return true;
    cache_.remove(key);
    return false;
  }
  // The node that the routers ask for a key is assumed to be the one that they asked before the run, so it is
  // the one that held the key. The memory is filled as keys are requested for the first time, until full.
  if (!(initial_bytes_left_ > 0) || !context_.keys.cached_at_start(key)) return false;
  if (kind_.object_lifetime_ms > 0 &&
      now >=
          kind_.object_lifetime_ms * unit_interval(hash_numbers(context_.spec.seed, key, machine_plan_.id)))
    return false;
  if (context_.keys.changed_between(key, 0, now)) return false;
  // The lost share of the unrequested keys equals the share of initial nodes that have terminated, and the
  // same keys are lost whichever node is asked. Otherwise a shrinking fleet would lose only requested keys.
  if (const InitialNodes* initial = context_.initial_nodes;
      initial != nullptr &&
      unit_interval(hash_numbers(context_.spec.seed, key, 0x6c6f7374)) * initial->nodes < initial->terminated)
    return false;
  const double size_bytes = context_.keys.size_bytes(key) + kind_.object_overhead_bytes;
  initial_bytes_left_ -= size_bytes;
  cache_.store(0, key, context_.keys.size_bytes(key));
  return true;
}

// The first miss of a key takes a lease: its router fetches the object. Further misses are Pending until the
// lease expires or the object is stored.
ServerOutcome CacheNode::on_miss(double now, std::uint64_t key) {
  while (!lease_order_.empty() &&
         (lease_order_.front().expires_at <= now || lease_order_.size() >= kMaxLeases)) {
    const auto found = leases_.find(lease_order_.front().key);
    if (found != leases_.end() && found->second <= lease_order_.front().expires_at) leases_.erase(found);
    lease_order_.pop_front();
  }
  if (!(kind_.lease_ms > 0)) return ServerOutcome::Miss;
  const auto [it, inserted] = leases_.try_emplace(key, 0);
  if (!inserted && now < it->second) return ServerOutcome::Pending;
  it->second = now + kind_.lease_ms;
  lease_order_.push_back({it->second, key});
  return ServerOutcome::Miss;
}

void CacheNode::store(double now, std::uint64_t key) {
  if (phase_ == ServerPhase::Off) return;
  leases_.erase(key);
  cache_.store(now, key, context_.keys.size_bytes(key));
}

double CacheNode::other_report_value(double now) {
  while (!lease_order_.empty() && lease_order_.front().expires_at <= now) {
    const auto found = leases_.find(lease_order_.front().key);
    if (found != leases_.end() && found->second <= lease_order_.front().expires_at) leases_.erase(found);
    lease_order_.pop_front();
  }
  return static_cast<double>(leases_.size());
}

} // namespace fernward::model
