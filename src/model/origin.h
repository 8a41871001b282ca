// The slow store behind the caches: answers reads and executes writes. It completes work even after the
// router has cancelled it.
#pragma once

#include "model/idempotency_cache.h"
#include "model/server_model.h"
#include "model/sliding_sum.h"

namespace fernward::model {

class Origin : public ServerModel {
 public:
  Origin(const Spec& spec, const PlannedMachine& machine, IdempotencyCache& idempotency_cache);

  // Sets the capacity to this share of the configured one from now on; 0: the origin stalls.
  void set_capacity_share(double now, double share, ServerActions& actions);
  // Stops the origin, which recovers by itself after `down_ms`.
  void fail(double now, double down_ms, ServerActions& actions);

 private:
  void on_work_start(double now, WorkItem& item) override;
  bool is_duplicate(double now, const ServerAttempt& attempt);
  void on_arrival(double now, const ServerAttempt& attempt, ServerActions& actions) override;
  double capacity_share(double now) const override;
  double next_capacity_change_ms() const override { return recovers_at_ms_; }
  void on_capacity_change(double now, ServerActions& actions) override;
  void stop(double now, double down_ms, ServerActions& actions);

  const Spec& spec_;
  const PlannedMachine machine_plan_;
  IdempotencyCache& idempotency_cache_;
  double configured_share_ = 1; // see set_capacity_share()
  double recovers_at_ms_;       // infinity: it has not failed
  SlidingSum recent_requests_;  // a write counts as OriginSpec::write_multiple
  Engine service_time_engine_;
};

} // namespace fernward::model
