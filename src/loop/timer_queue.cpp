#include "loop/timer_queue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace fernward::loop {
namespace {

constexpr std::size_t kChildren = 4;   // per heap node
constexpr double kMaxWaitMs = 60000.0; // of the libevent timer, which is then armed again

double steady_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

} // namespace

double now_ms() {
  static const double offset =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count() -
      steady_ms();
  return offset + steady_ms();
}

TimerQueue::TimerQueue(event_base* base) : event_(event_new(base, -1, 0, &TimerQueue::on_timer, this)) {
  if (event_ == nullptr) throw std::bad_alloc();
}

TimerQueue::TimerId TimerQueue::run_at(double due_ms, std::function<void()> callback) {
  std::uint32_t slot = 0;
  if (free_slots_.empty()) {
    slot = static_cast<std::uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
  }
  slots_[slot].callback = std::move(callback);
  heap_.push_back({});
  sift_up(heap_.size() - 1, {due_ms, ++last_sequence_, slot});
  arm();
  return TimerId{slots_[slot].generation} << 32 | slot;
}

TimerQueue::TimerId TimerQueue::run_within(double earliest_ms, double latest_ms,
                                           std::function<void()> callback) {
  const TimerId timer = run_at(latest_ms, std::move(callback));
  flexible_.push_back({earliest_ms, timer});
  return timer;
}

bool TimerQueue::is_pending(TimerId timer) const {
  const std::uint32_t slot = slot_of(timer);
  return timer >> 32 != 0 && slot < slots_.size() && slots_[slot].generation == timer >> 32;
}

void TimerQueue::cancel(TimerId& timer) {
  const TimerId cancelled = std::exchange(timer, 0);
  if (!is_pending(cancelled)) return;
  // The event stays armed: if it fires with nothing due, it is armed again.
  remove(slots_[slot_of(cancelled)].heap_index);
}

void TimerQueue::run_due() {
  armed_for_ms_ = 0;
  const double now = now_ms();
  // Timers added by callbacks wait: the event loop must not starve.
  const std::uint64_t newest_sequence = last_sequence_;
  while (!heap_.empty() && heap_.front().due_ms <= now && heap_.front().sequence <= newest_sequence) {
    remove(0)(); // removed first: the callback may change the heap
  }
  run_flexible(now);
  arm();
}

// Iterates from the end, so that timers added by callbacks wait for the next wake-up.
void TimerQueue::run_flexible(double now) {
  for (std::size_t i = flexible_.size(); i > 0; --i) {
    const FlexibleTimer flexible = flexible_[i - 1];
    if (is_pending(flexible.timer) && flexible.earliest_ms > now) continue;
    flexible_.erase(flexible_.begin() + static_cast<std::ptrdiff_t>(i - 1));
    if (is_pending(flexible.timer)) remove(slots_[slot_of(flexible.timer)].heap_index)();
  }
}

void TimerQueue::place_entry(std::size_t index, HeapEntry entry) {
  heap_[index] = entry;
  slots_[entry.slot].heap_index = static_cast<std::uint32_t>(index);
}

void TimerQueue::sift_up(std::size_t index, HeapEntry entry) {
  while (index > 0) {
    const std::size_t parent = (index - 1) / kChildren;
    if (!(entry < heap_[parent])) break;
    place_entry(index, heap_[parent]);
    index = parent;
  }
  place_entry(index, entry);
}

void TimerQueue::sift_down(std::size_t index, HeapEntry entry) {
  for (;;) {
    const std::size_t first_child = kChildren * index + 1;
    const std::size_t children_end = std::min(first_child + kChildren, heap_.size());
    std::size_t smallest = first_child;
    for (std::size_t child = first_child + 1; child < children_end; ++child) {
      if (heap_[child] < heap_[smallest]) smallest = child;
    }
    if (first_child >= heap_.size() || !(heap_[smallest] < entry)) break;
    place_entry(index, heap_[smallest]);
    index = smallest;
  }
  place_entry(index, entry);
}

// Removes the entry at `index` and returns its callback.
std::function<void()> TimerQueue::remove(std::size_t index) {
  const std::uint32_t slot_number = heap_[index].slot;
  Slot& slot = slots_[slot_number];
  std::function<void()> callback = std::move(slot.callback);
  slot.callback = nullptr;
  if (++slot.generation == 0) slot.generation = 1;
  free_slots_.push_back(slot_number);
  const HeapEntry last = heap_.back();
  heap_.pop_back();
  if (index == heap_.size()) return callback;
  // The last entry fills the gap and is then moved to its position.
  if (index > 0 && last < heap_[(index - 1) / kChildren]) {
    sift_up(index, last);
  } else {
    sift_down(index, last);
  }
  return callback;
}

void TimerQueue::arm() {
  if (heap_.empty()) return;
  const double due_ms = heap_.front().due_ms;
  if (armed_for_ms_ != 0 && armed_for_ms_ <= due_ms) return;
  armed_for_ms_ = due_ms;
  const double wait_us = std::clamp(due_ms - now_ms(), 0.0, kMaxWaitMs) * 1000;
  timeval delay{};
  delay.tv_sec = static_cast<time_t>(wait_us / 1e6);
  delay.tv_usec = static_cast<suseconds_t>(wait_us - static_cast<double>(delay.tv_sec) * 1e6);
  event_add(event_.get(), &delay);
}

} // namespace fernward::loop
