// A cache node: keeps objects, answers reads that it holds and tells of those that it lacks. In a fleet
// without an origin it keeps nothing and serves whatever comes.
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
  // What the nodes of a fleet share; it outlives them.
  struct
      Beginning { // of the run: who held keys then that nobody has asked for since, and who of them has ended
    std::uint32_t nodes = 0, lost = 0;
  };
  struct World {
    const Spec& spec;
    const Keys& keys;
    Repeats& repeats;
    Beginning* beginning = nullptr; // without it no such key is ever lost
  };
  // A machine `at_start` begins Up, warm and with what it was asked for lately; others are Off.
  Node(const World& world, const Machine& machine);

  void start(double now, Acts& acts) override; // cold and empty
  void neighbour(double now, double share, Acts& acts);

  // The origin has answered a read that missed here.
  void store(double now, std::uint64_t key);
  void make_void(std::uint64_t key) { memory_.drop(key); }

  bool cold(double now) const { return warmth(now) < 1; }
  const Memory& memory() const { return memory_; }
  // Work in a millisecond that it can do at present, crowding aside.
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
  double promised_capacity(double now) const; // present_capacity() but for a neighbour
  double whole() const { return limits_.cores * limits_.speed; }

  const NodeKind& kind_;
  const World world_;
  const Machine place_;
  Memory memory_;
  std::unordered_map<std::uint64_t, double> leases_; // until when
  std::deque<Lease> lease_order_;
  // Bytes that are taken to be full of what was asked for lately, until it is asked for again.
  double unfilled_ = 0;
  bool began_ = false; // it counts among those of the beginning that are left
  bool warm_ = true;
  double started_at_ = 0, started_done_ = 0, next_warmth_ = 0;
  double neighbour_ = 0;
  double mean_work_ms_ = 0; // of a request, over all classes
  bool paused_ = false;
  double next_pause_ = 0;
  Meter work_, told_work_;
  Engine pauses_;
};

} // namespace fernward::model
