// The time of a run on sockets: milliseconds since requests began to arrive, the same for all threads.
#pragma once

#include <algorithm>
#include <atomic>

#include "loop/timer_queue.h"

namespace fernward::rig {

// Started once, when requests begin to arrive; read from any thread.
class RunClock {
 public:
  void start() { started_at_ = loop::now_ms(); }
  bool started() const { return started_at_ > 0; }
  double now() const { // 0 until it starts
    const double started_at = started_at_;
    return started_at > 0 ? std::max(0.0, loop::now_ms() - started_at) : 0;
  }
  // Converts a time of a started run to wall clock time (Unix milliseconds).
  double wall_ms(double run_time_ms) const { return started_at_ + run_time_ms; }

 private:
  std::atomic<double> started_at_ = 0;
};

} // namespace fernward::rig
