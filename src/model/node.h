// A cache node: stores objects, answers reads of objects that it has and reports a miss for others. In a
// fleet without an origin it stores nothing and serves every request.
#pragma once

#include <unordered_map>
#include <vector>

#include "model/keys.h"
#include "model/memory.h"
#include "model/meter.h"
#include "model/repeats.h"
#include "model/station.h"

namespace fernward::model {

class Node : public Station {
 public:
  // Counts the nodes that had full memories when the run began, and those of them that have terminated since.
  // A key that nobody has requested yet is lost with the corresponding probability.
  struct Beginning {
    std::uint32_t nodes = 0, lost = 0;
  };
  // Shared by the nodes of a fleet; outlives them.
  struct World {
    const Spec& spec;
    const Keys& keys;
    Repeats& repeats;
    Beginning* beginning = nullptr; // null: no unrequested key is lost when nodes terminate
  };
  // A machine with `at_start` is initially Up, warm and filled with recently requested objects; any other is
  // Off.
  Node(const World& world, const Machine& machine);

  void start(double now, Acts& acts) override; // cold and empty
  void neighbour(double now, double share, Acts& acts);

  // Stores the object after the origin has answered a read that was a miss here.
  void store(double now, std::uint64_t key);
  void make_void(std::uint64_t key) { memory_.drop(key); }

  bool cold(double now) const { return warmth(now) < 1; }
  const Memory& memory() const { return memory_; }
  // Work per millisecond that the node can do now, without regard to congestion.
  double present_capacity(double now) const;

 private:
  struct Lease {
    double until;
    std::uint64_t key;
  };

  void begin(double now, Held& held) override;
  bool repeated(double now, const Attempt& attempt);
  void on_arrival(double now, const Attempt& attempt, Acts& acts) override;
  double capacity(double now) const override;
  double next_change() const override;
  void change(double now, Acts& acts) override;
  void ended() override;
  double other_report(double now) override;
  double memory_bytes() const override { return memory_.bytes(); }

  bool holds(double now, std::uint64_t key);
  void lose_beginning();
  Ending missed(double now, std::uint64_t key);
  double warmth(double now) const;            // 0: just started, 1: warm
  double promised_capacity(double now) const; // current_capacity() without the effect of a neighbour
  double whole() const { return limits_.cores * limits_.speed; }

  const NodeKind& kind_;
  const World world_;
  const Machine place_;
  Memory memory_;
  std::unordered_map<std::uint64_t, double> leases_; // expiry time by key
  std::deque<Lease> lease_order_;
  // Part of the memory that holds recently requested objects whose keys are not determined yet: each is
  // stored when it is requested for the first time in the run.
  double unfilled_ = 0;
  bool began_ = false; // counted in InitialNodes::nodes and not yet in terminated
  bool warm_ = true;
  double started_at_ = 0, started_done_ = 0, next_warmth_ = 0;
  double neighbour_ = 0;
  double mean_work_ms_ = 0; // work of a request, averaged over all classes
  bool paused_ = false;
  double next_pause_ = 0;
  Meter work_, told_work_;
  Engine pauses_;
};

} // namespace fernward::model
