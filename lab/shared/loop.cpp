#include "lab/shared/loop.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <stdexcept>

namespace fernward::rig {

Loop::Loop(const Clock& clock) : clock_(clock) {
  event_config* config = event_config_new();
  // The rig's lateness is measured in fractions of a millisecond.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  base_.reset(event_base_new_with_config(config));
  event_config_free(config);
  wake_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (base_ == nullptr || wake_fd_ < 0) throw std::runtime_error("the lab cannot create an event loop");
  deadlines_ = std::make_unique<loop::TimerQueue>(base_.get());
  wake_.reset(event_new(base_.get(), wake_fd_, EV_READ | EV_PERSIST, &Loop::woken, this));
  event_add(wake_.get(), nullptr);
}

Loop::~Loop() {
  wake_.reset();
  deadlines_.reset();
  if (wake_fd_ >= 0) close(wake_fd_);
}

void Loop::run() { event_base_dispatch(base_.get()); }

void Loop::post(std::function<void()> what) {
  {
    const std::lock_guard lock(mutex_);
    posted_.push_back(std::move(what));
  }
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(wake_fd_, &one, sizeof one);
}

void Loop::stop() {
  post([this] { event_base_loopbreak(base_.get()); });
}

void Loop::woken(int fd, short, void* self) {
  auto* loop = static_cast<Loop*>(self);
  std::uint64_t count = 0;
  [[maybe_unused]] const auto got = read(fd, &count, sizeof count);
  std::vector<std::function<void()>> todo;
  {
    const std::lock_guard lock(loop->mutex_);
    todo.swap(loop->posted_);
  }
  for (const auto& what : todo) what();
}

} // namespace fernward::rig
