// The timers of an event loop, and the clock.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace fernward::loop {

/// Monotonic Unix time in milliseconds: the wall clock at the first call, advanced by the steady clock.
double now_ms();

struct EventFree {
  void operator()(event* e) const { event_free(e); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

/// All timers of an event loop in one heap, driven by one libevent timer for the earliest. Times are on the
/// now_ms() clock. Most timers are cancelled long before they are due: each slot stores its heap index for
/// fast removal, and nothing is allocated once the tables have grown.
class TimerQueue {
 public:
  using TimerId = std::uint64_t; // 0: none

  explicit TimerQueue(event_base* base);
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  /// Calls `callback` once, from the event loop. Timers due at the same time run in the order of their
  /// addition.
  TimerId run_at(double due_ms, std::function<void()> callback);
  /// For work that is not urgent: runs together with the first other timer due after `earliest_ms`, which
  /// saves a wake-up, or at `latest_ms` if there was none.
  TimerId run_within(double earliest_ms, double latest_ms, std::function<void()> callback);
  /// Sets `timer` to 0. No effect for a timer that has run.
  void cancel(TimerId& timer);
  std::size_t size() const { return heap_.size(); }

 private:
  struct HeapEntry {
    double due_ms;
    std::uint64_t sequence;
    std::uint32_t slot;
    bool operator<(const HeapEntry& other) const {
      return due_ms < other.due_ms || (due_ms == other.due_ms && sequence < other.sequence);
    }
  };
  struct Slot {
    std::function<void()> callback;
    std::uint32_t heap_index = 0;
    std::uint32_t generation = 1; // part of the timer ids; never 0
  };
  struct FlexibleTimer {
    double earliest_ms;
    TimerId timer;
  };

  static void on_timer(int, short, void* self) { static_cast<TimerQueue*>(self)->run_due(); }
  static std::uint32_t slot_of(TimerId timer) { return static_cast<std::uint32_t>(timer); }
  void run_due();
  void run_flexible(double now);
  bool is_pending(TimerId timer) const;
  void arm();
  void place_entry(std::size_t index, HeapEntry entry);
  void sift_up(std::size_t index, HeapEntry entry);
  void sift_down(std::size_t index, HeapEntry entry);
  std::function<void()> remove(std::size_t index);

  std::vector<HeapEntry> heap_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
  std::vector<FlexibleTimer> flexible_; // few: searched linearly at each wake-up
  std::uint64_t last_sequence_ = 0;
  double armed_for_ms_ = 0; // 0: not armed
  EventPtr event_;
};

} // namespace fernward::loop
