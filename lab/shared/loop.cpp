#include "lab/shared/loop.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <stdexcept>

namespace fernward::rig {

RunLoop::RunLoop(const RunClock& clock) : clock_(clock) {
  event_config* config = event_config_new();
  // The rig's lateness is measured in fractions of a millisecond.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  base_.reset(event_base_new_with_config(config));
  event_config_free(config);
  wakeup_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (base_ == nullptr || wakeup_fd_ < 0) throw std::runtime_error("the lab cannot create an event loop");
  timers_ = std::make_unique<loop::TimerQueue>(base_.get());
  wakeup_event_.reset(event_new(base_.get(), wakeup_fd_, EV_READ | EV_PERSIST, &RunLoop::on_wakeup, this));
  event_add(wakeup_event_.get(), nullptr);
}

RunLoop::~RunLoop() {
  wakeup_event_.reset();
  timers_.reset();
  if (wakeup_fd_ >= 0) close(wakeup_fd_);
}

void RunLoop::run() { event_base_dispatch(base_.get()); }

void RunLoop::run_in_loop(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    pending_tasks_.push_back(std::move(task));
  }
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto ignored_size = write(wakeup_fd_, &one, sizeof one);
}

void RunLoop::stop() {
  run_in_loop([this] { event_base_loopbreak(base_.get()); });
}

void RunLoop::on_wakeup(int fd, short, void* self) {
  auto* loop = static_cast<RunLoop*>(self);
  std::uint64_t count = 0;
  [[maybe_unused]] const auto ignored_size = read(fd, &count, sizeof count);
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard lock(loop->mutex_);
    tasks.swap(loop->pending_tasks_);
  }
  for (const auto& task : tasks) task();
}

} // namespace fernward::rig
