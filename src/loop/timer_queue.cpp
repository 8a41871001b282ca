#include "loop/timer_queue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace fernward::loop {
namespace {

constexpr std::size_t kBranches = 4;

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

TimerQueue::TimerQueue(event_base* base) : timer_(event_new(base, -1, 0, &TimerQueue::fired, this)) {
  if (timer_ == nullptr) throw std::bad_alloc();
}

TimerQueue::TimerId TimerQueue::at(double when, std::function<void()> what) {
  std::uint32_t slot = 0;
  if (free_.empty()) {
    slot = static_cast<std::uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    slot = free_.back();
    free_.pop_back();
  }
  slots_[slot].what = std::move(what);
  heap_.push_back({});
  up(heap_.size() - 1, {when, ++last_, slot});
  arm();
  return TimerId{slots_[slot].generation} << 32 | slot;
}

TimerQueue::TimerId TimerQueue::within(double from, double until, std::function<void()> what) {
  const TimerId ticket = at(until, std::move(what));
  early_.push_back({from, ticket});
  return ticket;
}

bool TimerQueue::waits(TimerId ticket) const {
  const auto slot = static_cast<std::uint32_t>(ticket);
  return ticket >> 32 != 0 && slot < slots_.size() && slots_[slot].generation == ticket >> 32;
}

void TimerQueue::cancel(TimerId& ticket) {
  const TimerId which = std::exchange(ticket, 0); // an armed timer that finds nothing due arms itself anew
  if (waits(which)) remove(slots_[static_cast<std::uint32_t>(which)].place);
}

void TimerQueue::run() {
  armed_for_ = 0;
  const double now = now_ms();
  const std::uint64_t newest =
      last_; // what is added meanwhile waits for the next turn, lest the loop starves
  while (!heap_.empty() && heap_.front().when <= now && heap_.front().order <= newest) {
    remove(0)(); // out first: the call may change the heap
  }
  for (std::size_t i = early_.size(); i > 0; --i) { // from the end: what is added meanwhile waits, too
    const Early one = early_[i - 1];
    if (waits(one.ticket) && one.from > now) continue;
    early_.erase(early_.begin() + static_cast<std::ptrdiff_t>(i - 1));
    if (waits(one.ticket)) remove(slots_[static_cast<std::uint32_t>(one.ticket)].place)();
  }
  arm();
}

void TimerQueue::put(std::size_t place, Entry entry) {
  heap_[place] = entry;
  slots_[entry.slot].place = static_cast<std::uint32_t>(place);
}

void TimerQueue::up(std::size_t place, Entry entry) {
  while (place > 0) {
    const std::size_t parent = (place - 1) / kBranches;
    if (!(entry < heap_[parent])) break;
    put(place, heap_[parent]);
    place = parent;
  }
  put(place, entry);
}

void TimerQueue::down(std::size_t place, Entry entry) {
  for (;;) {
    const std::size_t first = kBranches * place + 1, end = std::min(first + kBranches, heap_.size());
    std::size_t least = first;
    for (std::size_t child = first + 1; child < end; ++child) {
      if (heap_[child] < heap_[least]) least = child;
    }
    if (first >= heap_.size() || !(heap_[least] < entry)) break;
    put(place, heap_[least]);
    place = least;
  }
  put(place, entry);
}

std::function<void()> TimerQueue::remove(std::size_t place) {
  Slot& slot = slots_[heap_[place].slot];
  std::function<void()> what = std::move(slot.what);
  slot.what = nullptr;
  if (++slot.generation == 0) slot.generation = 1; // 0 is no ticket's
  free_.push_back(heap_[place].slot);
  const Entry last = heap_.back();
  heap_.pop_back();
  if (place < heap_.size()) {
    // The last one takes its place, and finds its own from there.
    if (place > 0 && last < heap_[(place - 1) / kBranches]) {
      up(place, last);
    } else {
      down(place, last);
    }
  }
  return what;
}

void TimerQueue::arm() {
  if (heap_.empty()) return;
  const double when = heap_.front().when;
  if (armed_for_ != 0 && armed_for_ <= when) return;
  armed_for_ = when;
  const double wait = std::clamp(when - now_ms(), 0.0, 60000.0) * 1000;
  timeval delay{};
  delay.tv_sec = static_cast<time_t>(wait / 1e6);
  delay.tv_usec = static_cast<suseconds_t>(wait - static_cast<double>(delay.tv_sec) * 1e6);
  event_add(timer_.get(), &delay);
}

} // namespace fernward::loop
