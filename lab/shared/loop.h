// The event loop of one thread with its timers. Other threads can run tasks in it.
#pragma once

#include <event2/event.h>

#include <cmath>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "lab/shared/clock.h"
#include "loop/timer_queue.h"

namespace fernward::rig {

class Loop {
 public:
  explicit Loop(const Clock& clock); // throws std::runtime_error
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void run(); // until stop()

  // From any thread: runs the task in the loop, in the order of the calls. A task added after stop() is not
  // run.
  void post(std::function<void()> what);
  void stop();

  // From the loop's own thread.
  event_base* base() { return base_.get(); }
  loop::TimerQueue& deadlines() { return *deadlines_; }
  loop::TimerQueue::TimerId at(double run_time, std::function<void()> what) {
    return deadlines_->at(on_grid(clock_.wall(run_time)), std::move(what));
  }
  loop::TimerQueue::TimerId after(double ms, std::function<void()> what) {
    return deadlines_->at(on_grid(loop::now_ms() + ms), std::move(what));
  }
  double now() const { return clock_.now(); }
  const Clock& clock() const { return clock_; }

 private:
  struct BaseFree {
    void operator()(event_base* base) const { event_base_free(base); }
  };
  // Under load thousands of timers expire within a millisecond. Those within a tenth of a millisecond run in
  // one iteration of the loop, as an iteration costs as much as the work in it.
  static double on_grid(double wall) { return std::ceil(wall * kTurnsPerMs) / kTurnsPerMs; }
  static constexpr double kTurnsPerMs = 10;
  static void woken(int fd, short, void* self);

  const Clock& clock_;
  std::unique_ptr<event_base, BaseFree> base_;
  std::unique_ptr<loop::TimerQueue> deadlines_;
  int wake_fd_ = -1;
  loop::EventPtr wake_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
};

} // namespace fernward::rig
