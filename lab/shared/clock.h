// The time of a run on sockets: milliseconds since requests began to arrive, the same for all threads.
#pragma once

#include <algorithm>
#include <atomic>

#include "loop/timer_queue.h"

namespace fernward::rig {

class Clock {
 public:
  void begin() { begun_at_ = loop::now_ms(); }
  bool begun() const { return begun_at_ > 0; }
  double now() const { // 0 until it starts
    const double begun_at = begun_at_;
    return begun_at > 0 ? std::max(0.0, loop::now_ms() - begun_at) : 0;
  }
  // Converts a time of a started run to wall clock time (Unix milliseconds).
  double wall(double at) const { return begun_at_ + at; }

 private:
  std::atomic<double> begun_at_ = 0;
};

} // namespace fernward::rig
