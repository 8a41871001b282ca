// The event queue of the simulation, and a table of numbered slots whose storage is reused.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <boost/heap/d_ary_heap.hpp>
#include <cmath>
#include <cstdint>
#include <vector>

namespace fernward::lab {

using Handle =
    std::uint64_t; // generation << 20 | slot: below 2^52, never 0; an outdated handle finds nothing

// Values in numbered slots, addressed by handles. add() may move the values; handles stay valid.
template <typename T>
class SlotTable {
 public:
  Handle add() { // the value is T{}
    std::uint32_t slot;
    if (free_slots_.empty()) {
      slot = static_cast<std::uint32_t>(entries_.size());
      entries_.emplace_back();
    } else {
      slot = free_slots_.back();
      free_slots_.pop_back();
    }
    Entry& entry = entries_[slot];
    ++entry.generation;
    entry.used = true;
    entry.value = T{};
    ++used_count_;
    return static_cast<Handle>(entry.generation) << kSlotBits | slot;
  }
  T* find(Handle handle) { // null: removed; valid until the next add()
    const std::size_t slot = handle & kSlotMask;
    if (slot >= entries_.size() || entries_[slot].generation != handle >> kSlotBits || !entries_[slot].used)
      return nullptr;
    return &entries_[slot].value;
  }
  void remove(Handle handle) {
    if (find(handle) == nullptr) return;
    const std::size_t slot = handle & kSlotMask;
    entries_[slot].used = false;
    free_slots_.push_back(static_cast<std::uint32_t>(slot));
    --used_count_;
  }
  std::size_t size() const { return used_count_; }
  // Calls visit(handle, value) for each slot in use. It may remove entries, but must not add any.
  template <typename Visit>
  void for_each(Visit visit) {
    for (std::size_t slot = 0; slot < entries_.size(); ++slot) {
      if (entries_[slot].used)
        visit(static_cast<Handle>(entries_[slot].generation) << kSlotBits | slot, entries_[slot].value);
    }
  }

 private:
  static constexpr unsigned kSlotBits = 20;
  static constexpr std::size_t kSlotMask = (std::size_t{1} << kSlotBits) - 1;
  struct Entry {
    std::uint32_t generation = 0;
    bool used = false;
    T value;
  };
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> free_slots_;
  std::size_t used_count_ = 0;
};

enum class EventKind : std::uint32_t { // with the meaning of an entry's members, where used
  Arrival,                             // the next request of the clients
  ClientTimer,                         // a timer of the client model
  PlanStep,                            // number: index into the plan's steps
  MachineTimer,                        // number: machine
  Discovery,
  Sample,
  RequestAtRouter,      // number: router, handle: try
  ResponseAtClient,     // handle: try
  DisconnectAtRouter,   // number: router, handle: the try's exchange, incarnation
  ResetAtClient,        // handle: try
  RouterStart,          // number: router
  RouterTimer,          // number: router, handle: token, incarnation
  RouterStopsAccepting, // number: router, incarnation: it accepts no more connections
  RouterDrains,         // number: router, incarnation: it no longer serves kept connections
  RouterTerminates,     // number: router, incarnation: its shutdown time is over
  LinkIdleTimeout, // number: router, handle: link, incarnation: its idle period; its idle timeout has expired
  RequestGuard,    // number: router, handle: exchange, incarnation
  AttemptTimeout,  // number: router, handle: attempt, incarnation
  ConnectAtMachine,   // handle: link
  ConnectedAtRouter,  // number: router, handle: link
  RefusedAtRouter,    // number: router, handle: link
  ConnectTimeout,     // number: router, handle: link, incarnation
  AttemptAtMachine,   // handle: attempt
  ResponseAtRouter,   // number: router, handle: machine attempt
  CloseAtMachine,     // handle: link
  ResetAtRouter,      // number: router, handle: link
  MachineIdleTimeout, // handle: link: the machine closes it if it is still idle
  ClosedAtRouter,     // number: router, handle: link: the machine closed it without an error
  GossipRound,        // number: router, incarnation: its next gossip round
  DatagramAtRouter,   // number: router, handle: datagram
};

// Events in order of time. Near events are in a heap. Events of the next seconds are in buckets, because most
// of them (timeouts of requests that are answered long before) are obsolete when their bucket is opened.
// Later events are in a second heap.
class EventQueue {
 public:
  struct Entry {
    double at;
    std::uint64_t order; // among events at the same time, in order of insertion
    std::uint64_t handle;
    std::uint32_t number;
    std::uint32_t incarnation : 26;
    std::uint32_t kind_code : 6;
    EventKind kind() const { return static_cast<EventKind>(kind_code); }
  };

  // `at` must not be negative, nor earlier than the event popped last.
  void add(double at, EventKind kind, std::uint32_t number, std::uint64_t handle, std::uint32_t incarnation) {
    const Entry entry{at,
                      next_order_++,
                      handle,
                      number,
                      incarnation & kMaxIncarnation,
                      static_cast<std::uint32_t>(kind) & 63};
    if (at < bucket_horizon_) {
      near_events_.push(entry);
    } else if (at < bucket_horizon_ + (kBuckets - 1) * kBucketMs) {
      buckets_[bucket_index(at)].push_back(entry);
      ++bucketed_count_;
    } else {
      far_events_.push(entry);
    }
  }

  // Removes the next event. False: there is none. Events for which is_current(entry) is false when their
  // bucket is opened are dropped; an event may become obsolete later, and is then returned.
  template <typename IsCurrent>
  bool pop(Entry& entry, IsCurrent is_current) {
    while (near_events_.empty()) {
      if (bucketed_count_ == 0) {
        if (far_events_.empty()) return false;
        bucket_horizon_ = std::max(bucket_horizon_, kBucketMs * std::floor(far_events_.top().at / kBucketMs));
      }
      open_bucket(is_current);
    }
    entry = near_events_.top();
    near_events_.pop();
    return true;
  }

  static constexpr std::uint32_t kMaxIncarnation = (1u << 26) - 1;

 private:
  static constexpr double kBucketMs = 16;
  static constexpr std::size_t kBuckets = 1024;
  struct OrderedAfter {
    bool operator()(const Entry& a, const Entry& b) const {
      // Compared as integers, which is valid for non-negative times, as this is most of the loop's work.
      const auto a_bits = std::bit_cast<std::uint64_t>(a.at), b_bits = std::bit_cast<std::uint64_t>(b.at);
      return a_bits > b_bits || (a_bits == b_bits && a.order > b.order);
    }
  };
  using Heap = boost::heap::d_ary_heap<Entry, boost::heap::arity<4>, boost::heap::compare<OrderedAfter>>;

  static std::size_t bucket_index(double at) { return static_cast<std::size_t>(at / kBucketMs) % kBuckets; }

  // Opens the bucket that begins at the horizon, and moves the horizon to its end.
  template <typename IsCurrent>
  void open_bucket(IsCurrent is_current) {
    auto& entries = buckets_[bucket_index(bucket_horizon_)];
    for (const Entry& entry : entries) {
      if (is_current(entry)) near_events_.push(entry);
    }
    bucketed_count_ -= entries.size();
    entries.clear();
    bucket_horizon_ += kBucketMs;
    for (; !far_events_.empty() && far_events_.top().at < bucket_horizon_; far_events_.pop()) {
      if (is_current(far_events_.top())) near_events_.push(far_events_.top());
    }
  }

  Heap near_events_, far_events_;
  double bucket_horizon_ = 0; // a multiple of kBucketMs; all earlier events are in near_events_
  std::array<std::vector<Entry>, kBuckets> buckets_;
  std::size_t bucketed_count_ = 0;
  std::uint64_t next_order_ = 0;
};

} // namespace fernward::lab
