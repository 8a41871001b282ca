// The slow store behind the caches: answers reads, executes writes, and completes even cancelled work.
#pragma once

#include "model/idempotency_cache.h"
#include "model/server_model.h"
#include "model/sliding_sum.h"

namespace fernward::model {

class Origin : public ServerModel {
 public:
  Origin(const Spec& spec, const PlannedMachine& machine, IdempotencyCache& idempotency_cache);

  // Sets the capacity to this share of the configured one from now on; 0: the origin stalls.
  void set_capacity_share(double now, double share, ServerActions& acts);
  void fail(double now, double down_ms, ServerActions& acts); // stops the origin, which recovers by itself

 private:
  void on_work_start(double now, WorkItem& item) override;
  bool is_duplicate(double now, const ServerAttempt& attempt);
  void on_arrival(double now, const ServerAttempt& attempt, ServerActions& acts) override;
  double capacity_share(double now) const override;
  double next_capacity_change_ms() const override { return recovers_at_ms_; }
  void on_capacity_change(double now, ServerActions& acts) override;
  void stop(double now, double down_ms, ServerActions& acts);

  const Spec& spec_;
  const PlannedMachine machine_plan_;
  IdempotencyCache& idempotency_cache_;
  double configured_share_ = 1;
  double recovers_at_ms_;
  SlidingSum recent_requests_;
  Engine service_times_;
};

} // namespace fernward::model
