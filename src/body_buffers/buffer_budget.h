// Budget of the bytes of bodies that this process buffers: responses to be sent to clients, and requests to
// be sent to servers. Each holder has a reserved part that no other holder can use, so that small bodies
// always pass. Beyond it, a holder may use a share of the bytes that are currently free (dynamic thresholds:
// Choudhury and Hahne, 1998, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches"). A holder
// whose window has fallen below its usage because of new holders stops acquiring until it is below the
// window. Units: bytes. Not thread-safe. The budget outlives its reservations.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <utility>

#include "memory_budget/memory_budget.h"

namespace fernward::body_buffers {

struct BufferBudgetOptions {
  std::size_t total_bytes = 24 << 20;
  std::size_t expected_holders = 1024;             // expected; at most half of the total is reserved for them
  std::size_t reserved_bytes_per_holder = 4 << 10; // not available to other holders
  std::size_t max_bytes_per_holder = 1 << 20;
  double max_share_of_free = 1.0 / 16; // of the free shared bytes, that one holder may use
};

class BufferBudget {
 public:
  // `memory`: the budget of the whole process, which outlives this one; null: none. Beyond the reserved parts,
  // bytes are free only as far as it admits them.
  explicit BufferBudget(const BufferBudgetOptions& options,
                        const memory_budget::MemoryBudget* memory = nullptr);
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  // The bytes of one holder, released on destruction. Movable, so that the bytes are released exactly once.
  class Reservation {
   public:
    Reservation() = default; // without a budget: holds no bytes and cannot acquire any
    explicit Reservation(BufferBudget& budget) : budget_(&budget) {}
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;
    ~Reservation() { release_all(); }

    bool acquire(std::size_t bytes); // false: exceeds the free bytes; nothing was acquired
    void release(std::size_t bytes); // bounded by the bytes held
    void merge(Reservation&& other); // moves the bytes of another reservation of the same budget to this one
    void release_all();              // also stops waiting
    std::size_t bytes() const { return bytes_; }

    std::size_t window_bytes() const;    // bytes that it may currently hold
    std::size_t available_bytes() const; // bytes that it may acquire now
    // Whether paused reading may resume: half of the window is free, so that reading does not pause again
    // immediately.
    bool may_resume() const;
    // Waits until next_resumable() returns `holder_id`, or until stop_waiting().
    void wait_for_bytes(std::uint64_t holder_id);
    void stop_waiting();

   private:
    friend class BufferBudget;
    std::size_t bytes_beyond_reserved() const {
      return budget_ != nullptr && bytes_ > budget_->options_.reserved_bytes_per_holder
                 ? bytes_ - budget_->options_.reserved_bytes_per_holder
                 : 0;
    }
    void set_bytes(std::size_t bytes);
    BufferBudget* budget_ = nullptr;
    std::size_t bytes_ = 0;
    std::optional<std::list<std::pair<std::uint64_t, Reservation*>>::iterator> wait_position_;
  };

  // Returns the longest waiting holder that may resume now, and removes it from the waiting list. Call it
  // until it returns nullopt.
  std::optional<std::uint64_t> next_resumable();

  // Changes the total. Bytes already held and the reserved part of each holder stay as they are; the total
  // does not fall below the sum of the reserved parts.
  void set_total_bytes(std::size_t total_bytes);

  std::size_t total_bytes() const { return options_.total_bytes; }
  std::size_t held_bytes() const { return held_bytes_; }
  std::size_t free_bytes() const {
    return options_.total_bytes - std::min(held_bytes_, options_.total_bytes);
  }
  std::size_t reserved_bytes_per_holder() const { return options_.reserved_bytes_per_holder; }
  std::size_t peak_held_bytes() const { return peak_held_bytes_; }
  std::size_t waiting_holders() const { return waiting_list_.size(); }

 private:
  std::size_t shared_free_bytes() const {
    const std::size_t free =
        shared_total_bytes_ > shared_held_bytes_ ? shared_total_bytes_ - shared_held_bytes_ : 0;
    return memory_ == nullptr ? free : std::min(free, memory_->free_bytes(memory_budget::Purpose::Transit));
  }

  BufferBudgetOptions options_;
  const memory_budget::MemoryBudget* memory_;
  std::size_t shared_total_bytes_ = 0; // total without the reserved parts
  // Shared bytes are those beyond the reserved parts.
  std::size_t held_bytes_ = 0, shared_held_bytes_ = 0, peak_held_bytes_ = 0;
  std::list<std::pair<std::uint64_t, Reservation*>> waiting_list_;
};

} // namespace fernward::body_buffers
