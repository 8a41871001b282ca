#include "model/origin.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward::model {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

// Capacity times service time (Little's law) gives the number of cores; it may have a fraction.
double core_count(const OriginSpec& origin) { return origin.capacity_per_s * origin.service_time_ms / 1000; }

} // namespace

Origin::Origin(const Spec& spec, const PlannedMachine& machine, IdempotencyCache& idempotency_cache)
    : ServerModel(
          machine.id,
          {.cores = core_count(spec.origin),
           .speed = 1,
           .max_active = static_cast<std::uint32_t>(std::ceil(std::max(1.0, core_count(spec.origin)))),
           .max_queued = static_cast<std::uint32_t>(
               std::ceil(spec.origin.capacity_per_s * spec.origin.queue_limit_ms / 1000)),
           .max_connections = spec.origin.max_connections,
           .handshake_work_ms = 0, // its front end does the handshakes: they cost time but no capacity
           .error_rate = spec.origin.error_rate,
           .drops_expired = spec.origin.drops_expired,
           .cancel_policy = CancelPolicy::Keep,
           .report = spec.origin.report},
          spec.seed),
      spec_(spec),
      machine_plan_(machine),
      idempotency_cache_(idempotency_cache),
      recovers_at_ms_(kNever),
      recent_requests_(spec.origin.overload_failure_ms),
      service_time_engine_(stream(spec.seed, "origin")) {
  phase_ = ServerPhase::Up;
  update_rate(0);
}

void Origin::set_capacity_share(double now, double share, ServerActions& actions) {
  advance(now, actions);
  configured_share_ = std::max(0.0, share);
  update_rate(latest_ms());
}

void Origin::fail(double now, double down_ms, ServerActions& actions) {
  advance(now, actions);
  if (phase_ != ServerPhase::Off) stop(latest_ms(), down_ms, actions);
}

void Origin::stop(double now, double down_ms, ServerActions& actions) {
  lose_all(now, actions);
  recent_requests_.clear();
  recovers_at_ms_ = now + down_ms;
  actions.push_back({.at = now, .what = ServerAction::What::OriginFailed});
}

void Origin::on_capacity_change(double now, ServerActions& actions) {
  recovers_at_ms_ = kNever;
  phase_ = ServerPhase::Up;
  actions.push_back({.at = now, .what = ServerAction::What::OriginRecovered});
}

void Origin::on_arrival(double now, const ServerAttempt& attempt, ServerActions& actions) {
  const OriginSpec& origin = spec_.origin;
  if (!(origin.overload_multiple > 0)) return;
  recent_requests_.add(now, attempt.write ? origin.write_multiple : 1);
  if (recent_requests_.sum(now) >
      origin.overload_multiple * origin.capacity_per_s * origin.overload_failure_ms / 1000)
    stop(now, origin.down_ms, actions);
}

bool Origin::is_duplicate(double now, const ServerAttempt& attempt) {
  if (!attempt.write || attempt.idempotency_key == 0 || attempt.cls >= spec_.classes.size()) return false;
  const ClassSpec& cls = spec_.classes[attempt.cls];
  return cls.idempotency == Idempotency::WithKey &&
         idempotency_cache_.check_and_add(now, duplicate_group(cls.idempotency_scope, machine_plan_),
                                          attempt.idempotency_key, cls.idempotency_window_ms);
}

void Origin::on_work_start(double now, WorkItem& item) {
  const OriginSpec& origin = spec_.origin;
  if (is_duplicate(now, item.attempt)) {
    item.outcome = ServerOutcome::Duplicate;
    item.work = 0;
    return;
  }
  item.outcome = item.attempt.write ? ServerOutcome::Written : ServerOutcome::Fetched;
  const DistributionShape shape =
      origin.service_time_cv > 0 ? DistributionShape::LogNormal : DistributionShape::Fixed;
  item.work = draw({shape, origin.service_time_ms, origin.service_time_cv}, service_time_engine_) *
              (item.attempt.write ? origin.write_multiple : 1);
}

double Origin::capacity_share(double) const {
  const OriginSpec& origin = spec_.origin;
  const double queue_fill = limits_.max_queued > 0 ? static_cast<double>(queued()) / limits_.max_queued : 0;
  const double congestion = origin.congested_at < 1
                                ? std::max(0.0, queue_fill - origin.congested_at) / (1 - origin.congested_at)
                                : 0;
  return configured_share_ / (1 + origin.congestion_slowdown * congestion);
}

} // namespace fernward::model
