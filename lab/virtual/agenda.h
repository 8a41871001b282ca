// The event queue of the simulation, and tables of numbered slots whose storage is reused.
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

template <typename T>
class Table {
 public:
  Handle add() { // default-initializes the value
    std::uint32_t at;
    if (free_.empty()) {
      at = static_cast<std::uint32_t>(entries_.size());
      entries_.emplace_back();
    } else {
      at = free_.back();
      free_.pop_back();
    }
    Entry& entry = entries_[at];
    ++entry.generation;
    entry.used = true;
    entry.value = T{};
    ++used_;
    return static_cast<Handle>(entry.generation) << kBits | at;
  }
  T* find(Handle handle) {
    const std::size_t at = handle & kMask;
    if (at >= entries_.size() || entries_[at].generation != handle >> kBits || !entries_[at].used)
      return nullptr;
    return &entries_[at].value;
  }
  void remove(Handle handle) {
    if (find(handle) == nullptr) return;
    const std::size_t at = handle & kMask;
    entries_[at].used = false;
    free_.push_back(static_cast<std::uint32_t>(at));
    --used_;
  }
  std::size_t size() const { return used_; }
  // Calls visit(handle, value) for each slot in use. It may remove entries, but must not add any.
  template <typename Visit>
  void each(Visit visit) {
    for (std::size_t at = 0; at < entries_.size(); ++at) {
      if (entries_[at].used)
        visit(static_cast<Handle>(entries_[at].generation) << kBits | at, entries_[at].value);
    }
  }

 private:
  static constexpr unsigned kBits = 20;
  static constexpr std::size_t kMask = (std::size_t{1} << kBits) - 1;
  struct Entry {
    std::uint32_t generation = 0;
    bool used = false;
    T value;
  };
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> free_;
  std::size_t used_ = 0;
};

enum class Due : std::uint32_t { // with the meaning of `number` and `handle`, where used
  Arrival,                       // the next request of the clients
  Clients,                       // a timer of the client model
  Step,                          // number: index into the plan's steps
  Station,                       // number: machine
  Discovery,
  Sample,
  RequestAtRouter, // handle: try
  AnswerAtClient,  // handle: try
  GoneAtRouter,    // number: router, handle: try's exchange
  BrokenAtClient,  // handle: try
  RouterStart,     // number: router
  RouterTimer,     // number: router, handle: token, incarnation
  RouterStops,     // number: router: it accepts no more connections
  RouterDrains,    // number: router: it no longer serves kept connections
  RouterEnds,      // number: router: its shutdown time is over
  LinkRested,      // number: router, handle: link, incarnation: its idle period; its idle timeout has expired
  Guard,           // handle: exchange
  AttemptTimeout,  // handle: attempt
  ConnectAtMachine,  // handle: link
  ConnectedAtRouter, // handle: link
  RefusedAtRouter,   // handle: link
  ConnectTimeout,    // handle: link
  AttemptAtMachine,  // handle: attempt
  AnswerAtRouter,    // handle: arrival
  CloseAtMachine,    // handle: link
  ResetAtRouter,     // handle: link
  MachineCloses,     // handle: link: the machine closes it if it is still idle
  ClosedAtRouter,    // handle: link: the machine closed it without an error
  RouterRound,       // number: router, incarnation: its next gossip round
  DatagramAtRouter,  // number: router, handle: datagram
};

// Near events are in a heap. Events within seconds are in buckets, because most of them (timeouts of requests
// that are answered long before) are obsolete when their bucket is opened. Later events are in a second heap.
class Agenda {
 public:
  struct Entry {
    double at;
    std::uint64_t order; // among events at the same time, in order of insertion
    std::uint64_t handle;
    std::uint32_t number;
    std::uint32_t life : 26;
    std::uint32_t code : 6;
    Due what() const { return static_cast<Due>(code); }
  };

  // `at` must not be negative, nor earlier than the event popped last.
  void add(double at, Due what, std::uint32_t number, std::uint64_t handle, std::uint32_t life) {
    const Entry entry{at,     next_order_++,    handle,
                      number, life & kMostLife, static_cast<std::uint32_t>(what) & 63};
    if (at < horizon_) {
      near_.push(entry);
    } else if (at < horizon_ + (kBuckets - 1) * kBucketMs) {
      buckets_[bucket(at)].push_back(entry);
      ++in_buckets_;
    } else {
      far_.push(entry);
    }
  }

  // Removes the next event for which is_current(entry) is true. False: there is none.
  template <typename Keep>
  bool pop(Entry& entry, Keep keep) {
    while (near_.empty()) {
      if (in_buckets_ == 0) {
        if (far_.empty()) return false;
        horizon_ = std::max(horizon_, kBucketMs * std::floor(far_.top().at / kBucketMs));
      }
      open_bucket(keep);
    }
    entry = near_.top();
    near_.pop();
    return true;
  }

  static constexpr std::uint32_t kMostLife = (1u << 26) - 1;

 private:
  static constexpr double kBucketMs = 16;
  static constexpr std::size_t kBuckets = 1024;
  struct Later {
    bool operator()(const Entry& a, const Entry& b) const {
      // Compared as integers, which is valid for non-negative times, as this is most of the loop's work.
      const auto x = std::bit_cast<std::uint64_t>(a.at), y = std::bit_cast<std::uint64_t>(b.at);
      return x > y || (x == y && a.order > b.order);
    }
  };
  using Heap = boost::heap::d_ary_heap<Entry, boost::heap::arity<4>, boost::heap::compare<Later>>;

  static std::size_t bucket(double at) { return static_cast<std::size_t>(at / kBucketMs) % kBuckets; }

  // Opens the bucket that begins at the horizon, and moves the horizon to its end.
  template <typename Keep>
  void open_bucket(Keep keep) {
    auto& entries = buckets_[bucket(horizon_)];
    for (const Entry& entry : entries) {
      if (keep(entry)) near_.push(entry);
    }
    in_buckets_ -= entries.size();
    entries.clear();
    horizon_ += kBucketMs;
    for (; !far_.empty() && far_.top().at < horizon_; far_.pop()) {
      if (keep(far_.top())) near_.push(far_.top());
    }
  }

  Heap near_, far_;
  double horizon_ = 0; // a multiple of kBucketMs; all earlier events are in near_events_
  std::array<std::vector<Entry>, kBuckets> buckets_;
  std::size_t in_buckets_ = 0;
  std::uint64_t next_order_ = 0;
};

} // namespace fernward::lab
