// A cache node: stores objects, answers reads of objects that it has and reports a miss for others. In a
// fleet without an origin it stores nothing and serves every request.
#pragma once

#include <unordered_map>
#include <vector>

#include "model/idempotency_cache.h"
#include "model/key_space.h"
#include "model/object_cache.h"
#include "model/server_model.h"
#include "model/sliding_sum.h"

namespace fernward::model {

class CacheNode : public ServerModel {
 public:
  // Counts the nodes that had full memories when the run began, and those of them that have terminated since.
  // A key that nobody has requested yet is lost with the corresponding probability.
  struct InitialNodes {
    std::uint32_t nodes = 0, terminated = 0;
  };
  // Shared by the nodes of a fleet; outlives them.
  struct FleetContext {
    const Spec& spec;
    const KeySpace& keys;
    IdempotencyCache& idempotency_cache;
    InitialNodes* initial_nodes = nullptr; // null: no unrequested key is lost when nodes terminate
  };
  // A machine with `in_service_at_start` is initially Up, warm and filled with recently requested objects;
  // any other is Off.
  CacheNode(const FleetContext& context, const PlannedMachine& machine);

  void start(double now, ServerActions& actions) override; // cold and empty
  // A neighbour uses this share of the node's capacity from now on; 0: none does.
  void set_neighbour_share(double now, double share, ServerActions& actions);

  // Stores the object after the origin has answered a read that was a miss here.
  void store(double now, std::uint64_t key);
  void invalidate(std::uint64_t key) { cache_.remove(key); }

  bool cold(double now) const { return warm_share(now) < 1; }
  const ObjectCache& cache() const { return cache_; }
  // Work per millisecond that the node can do now, without regard to congestion.
  double current_capacity(double now) const;

 private:
  struct Lease {
    double expires_at;
    std::uint64_t key;
  };

  void on_work_start(double now, WorkItem& item) override;
  bool is_duplicate(double now, const ServerAttempt& attempt);
  void on_arrival(double now, const ServerAttempt& attempt, ServerActions& actions) override;
  double capacity_share(double now) const override;
  double next_capacity_change_ms() const override;
  void on_capacity_change(double now, ServerActions& actions) override;
  void on_terminated() override;
  double other_report_value(double now) override;
  double memory_bytes() const override { return cache_.bytes(); }

  bool has_object(double now, std::uint64_t key);
  void lose_initial_objects();
  ServerOutcome on_miss(double now, std::uint64_t key);
  double warm_share(double now) const;        // 0: just started, 1: warm
  double expected_capacity(double now) const; // current_capacity() without the effect of a neighbour
  double full_capacity() const { return limits_.cores * limits_.speed; }

  const NodeKind& kind_;
  const FleetContext context_;
  const PlannedMachine machine_plan_;
  ObjectCache cache_;
  std::unordered_map<std::uint64_t, double> leases_; // expiry time by key; see NodeKind::lease_ms
  std::deque<Lease> lease_order_;
  // Part of the memory that holds recently requested objects whose keys are not determined yet: each is
  // stored when it is requested for the first time in the run.
  double initial_bytes_left_ = 0;
  bool counted_as_initial_ = false; // counted in InitialNodes::nodes and not yet in terminated
  bool is_warm_ = true;
  double started_at_ms_ = 0, work_done_at_start_ = 0, next_warm_up_step_ms_ = 0;
  double neighbour_share_ = 0;
  double mean_work_ms_ = 0; // work of a request, averaged over all classes
  bool paused_ = false;
  double next_pause_ms_ = 0;
  SlidingSum arrived_work_, notified_work_;
  Engine pause_engine_;
};

} // namespace fernward::model
