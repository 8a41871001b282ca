// All deadlines of the program in one ordered structure, with one libevent timer for its head; and the clock.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace fernward::loop {

// Unix time in milliseconds that only advances: the wall clock at the start, and steady from there.
double now_ms();

struct EventFree {
  void operator()(event* e) const { event_free(e); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

class TimerQueue {
 public:
  using TimerId = std::uint64_t; // 0: none

  explicit TimerQueue(event_base* base);
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  TimerId at(double when, std::function<void()> what);
  // For what nothing waits for: with the first other deadline from `from` on, so that it needs no wake of its own, and at
  // `until` without one.
  TimerId within(double from, double until, std::function<void()> what);
  void cancel(TimerId& ticket); // sets it to 0; harmless for one that has passed
  std::size_t size() const { return heap_.size(); }

 private:
  // A heap of four branches over slots that know their place in it: most deadlines are cancelled long before they are
  // due, and a request sets half a dozen. Nothing is allocated once the tables have grown.
  struct Entry {
    double when;
    std::uint64_t order; // equal times in the order of their making
    std::uint32_t slot;
    bool operator<(const Entry& other) const {
      return when < other.when || (when == other.when && order < other.order);
    }
  };
  struct Slot {
    std::function<void()> what;
    std::uint32_t place = 0;      // in the heap
    std::uint32_t generation = 1; // of its tickets
  };

  struct Early {
    double from;
    TimerId ticket;
  };

  static void fired(int, short, void* self) { static_cast<TimerQueue*>(self)->run(); }
  void run();
  bool waits(TimerId ticket) const;
  void arm();
  void put(std::size_t place, Entry entry);
  void up(std::size_t place, Entry entry);
  void down(std::size_t place, Entry entry);
  std::function<void()> remove(std::size_t place); // what was due there

  std::vector<Entry> heap_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::vector<Early> early_; // few: looked through at each wake
  std::uint64_t last_ = 0;
  double armed_for_ = 0; // 0: not armed
  EventPtr timer_;
};

} // namespace fernward::loop
