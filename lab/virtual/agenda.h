// What is due when, and tables of numbered slots whose storage is used again.
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
    std::uint64_t; // generation << 20 | slot: below 2^52, never 0; one that is out of date finds nothing

template <typename T>
class Table {
 public:
  Handle add() { // a value as new
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
  // visit(handle, value) for each in use; it may remove, and must not add.
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

enum class Due : std::uint32_t { // `number` and `handle` as said
  Arrival,                       // the next request is drawn
  Clients,                       // a time of theirs has come
  Step,                          // number: of the plan's steps
  Station,                       // number: machine
  Discovery,
  Sample,
  RequestAtRouter,   // handle: try
  AnswerAtClient,    // handle: try
  GoneAtRouter,      // number: router, handle: try's exchange
  BrokenAtClient,    // handle: try
  RouterStart,       // number: router
  RouterTimer,       // number: router, handle: token, life
  RouterStops,       // number: router: it takes no more connections
  RouterDrains,      // number: router: it serves kept connections no more
  RouterEnds,        // number: router: its time is over
  LinkRested,        // number: router, handle: link, life: its rest; it has rested as long as it may
  Guard,             // handle: exchange
  AttemptTimeout,    // handle: attempt
  ConnectAtMachine,  // handle: link
  ConnectedAtRouter, // handle: link
  RefusedAtRouter,   // handle: link
  ConnectTimeout,    // handle: link
  AttemptAtMachine,  // handle: attempt
  AnswerAtRouter,    // handle: arrival
  CloseAtMachine,    // handle: link
  ResetAtRouter,     // handle: link
  MachineCloses,     // handle: link, which the machine closes if it has rested so long
  ClosedAtRouter,    // handle: link: the machine closed it in good order
  RouterRound,       // number: router, life: its next words to the others
  DatagramAtRouter,  // number: router, handle: datagram
};

// What comes soon lies in a heap; what comes within seconds in buckets, as most of it (time-outs of what is
// answered long before) has lost its meaning when its bucket is opened; the rest in a heap of its own.
class Agenda {
 public:
  struct Entry {
    double at;
    std::uint64_t order; // of those at one time: the first added goes first
    std::uint64_t handle;
    std::uint32_t number;
    std::uint32_t life : 26;
    std::uint32_t code : 6;
    Due what() const { return static_cast<Due>(code); }
  };

  // `at` is not negative and not before what was popped last.
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

  // The next of those that still mean something, as told by keep(entry). False: there is none.
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
      // As whole numbers: times are not negative, and this is most of what the loop does.
      const auto x = std::bit_cast<std::uint64_t>(a.at), y = std::bit_cast<std::uint64_t>(b.at);
      return x > y || (x == y && a.order > b.order);
    }
  };
  using Heap = boost::heap::d_ary_heap<Entry, boost::heap::arity<4>, boost::heap::compare<Later>>;

  static std::size_t bucket(double at) { return static_cast<std::size_t>(at / kBucketMs) % kBuckets; }

  // The one that begins at the horizon, which moves behind it.
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
  double horizon_ = 0; // a whole number of buckets; all before it lies in near_
  std::array<std::vector<Entry>, kBuckets> buckets_;
  std::size_t in_buckets_ = 0;
  std::uint64_t next_order_ = 0;
};

} // namespace fernward::lab
