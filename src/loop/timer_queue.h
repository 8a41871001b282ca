// The program's timers and its clock.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace fernward::loop {

/// Unix time in milliseconds that only advances: the wall clock at the start, steady from there.
double now_ms();

struct EventFree {
  void operator()(event* e) const { event_free(e); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

/// All timers of a loop in one heap, with one libevent timer for the first of them. Times are those of
/// now_ms(). Most timers are cancelled long before they are due: the heap's slots know their place in it, and
/// nothing is allocated once the tables have grown.
class TimerQueue {
 public:
  using TimerId = std::uint64_t; // 0: none

  explicit TimerQueue(event_base* base);
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  /// Calls `callback` once, from the loop. Timers of the same time run in the order in which they were added.
  TimerId at(double due_ms, std::function<void()> callback);
  /// For what is not urgent: runs with the first other timer due after `earliest_ms`, without a wake-up of
  /// its own, and at `latest_ms` if there was none.
  TimerId within(double earliest_ms, double latest_ms, std::function<void()> callback);
  /// Sets `timer` to 0. Harmless for a timer that has run.
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
    std::uint32_t generation = 1; // of its timer ids; never 0
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
  void place(std::size_t index, HeapEntry entry);
  void sift_up(std::size_t index, HeapEntry entry);
  void sift_down(std::size_t index, HeapEntry entry);
  std::function<void()> remove(std::size_t index);

  std::vector<HeapEntry> heap_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
  std::vector<FlexibleTimer> flexible_; // few: searched at each wake-up
  std::uint64_t last_sequence_ = 0;
  double armed_for_ms_ = 0; // 0: not armed
  EventPtr event_;
};

} // namespace fernward::loop
