// The slow store behind the caches: answers reads, executes writes, and completes even cancelled work.
#pragma once

#include "model/meter.h"
#include "model/repeats.h"
#include "model/station.h"

namespace fernward::model {

class Origin : public Station {
 public:
  Origin(const Spec& spec, const Machine& machine, Repeats& repeats);

  // Sets the capacity to this share of the configured one from now on; 0: the origin stalls.
  void slow(double now, double share, Acts& acts);
  void fall(double now, double down_ms, Acts& acts); // stops the origin, which recovers by itself

 private:
  void begin(double now, Held& held) override;
  bool repeated(double now, const Attempt& attempt);
  void on_arrival(double now, const Attempt& attempt, Acts& acts) override;
  double capacity(double now) const override;
  double next_change() const override { return back_at_; }
  void change(double now, Acts& acts) override;
  void go_down(double now, double down_ms, Acts& acts);

  const Spec& spec_;
  const Machine place_;
  Repeats& repeats_;
  double share_ = 1;
  double back_at_;
  Meter sent_;
  Engine times_;
};

} // namespace fernward::model
