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

// Created by any thread, then run by one.
class RunLoop {
 public:
  explicit RunLoop(const RunClock& clock); // throws std::runtime_error
  ~RunLoop();
  RunLoop(const RunLoop&) = delete;
  RunLoop& operator=(const RunLoop&) = delete;

  void run(); // until stop()

  // From any thread: runs the task in the loop, in the order of the calls. A task added after stop() may
  // never run.
  void run_in_loop(std::function<void()> task);
  void stop();

  // From the loop's own thread.
  event_base* base() { return base_.get(); }
  loop::TimerQueue& timers() { return *timers_; }
  loop::TimerQueue::TimerId run_at(double run_time_ms, std::function<void()> task) {
    return timers_->run_at(round_up(clock_.wall_ms(run_time_ms)), std::move(task));
  }
  loop::TimerQueue::TimerId run_after(double ms, std::function<void()> task) {
    return timers_->run_at(round_up(loop::now_ms() + ms), std::move(task));
  }
  double now() const { return clock_.now(); } // run time, ms
  const RunClock& clock() const { return clock_; }

 private:
  struct BaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
  };
  // Under load thousands of timers expire within a millisecond. Those within a tenth of a millisecond run in
  // one iteration of the loop, as an iteration costs as much as the work in it.
  static double round_up(double wall_ms) { return std::ceil(wall_ms * kTimerStepsPerMs) / kTimerStepsPerMs; }
  static constexpr double kTimerStepsPerMs = 10;
  static void on_wakeup(int fd, short, void* self);

  const RunClock& clock_;
  std::unique_ptr<event_base, BaseDeleter> base_;
  std::unique_ptr<loop::TimerQueue> timers_;
  int wakeup_fd_ = -1;
  loop::EventPtr wakeup_event_;
  std::mutex mutex_;
  std::vector<std::function<void()>> pending_tasks_;
};

} // namespace fernward::rig
