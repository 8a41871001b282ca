// The budget of bytes that this process holds of bodies: of responses on their way to clients, and of
// requests on their way to servers. Each holder has a reserved part that nobody else can take, so that small
// bodies always pass; beyond that it may take a share of what is free at the moment (dynamic thresholds:
// Choudhury and Hahne, 1998, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches"). A holder
// above its window, as others have come, stops until it is below. Units: bytes. One thread. The budget
// outlives its reservations.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <utility>

namespace fernward::body_buffers {

struct BufferBudgetOptions {
  std::size_t total_bytes = 24 << 20;
  std::size_t max_holders = 1024; // expected at most; at most half of the total is reserved for them
  std::size_t reserved_per_holder = 4 << 10; // that nobody else can take
  std::size_t max_per_holder = 1 << 20;      // for one holder
  double share_of_free = 1.0 / 16;           // of what is free of the shared part, for one holder
};

class BufferBudget {
 public:
  explicit BufferBudget(const BufferBudgetOptions& options);
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  // What one holder has; released when it is destroyed. Movable, so that the bytes are released exactly once.
  class Reservation {
   public:
    Reservation() = default; // of no budget: holds nothing, may acquire nothing
    explicit Reservation(BufferBudget& account) : budget_(&account) {}
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;
    ~Reservation() { release_all(); }

    bool acquire(std::size_t bytes); // false: more than is free; nothing was acquired
    void release(std::size_t bytes); // at most what it holds
    void merge(Reservation&& other); // takes over the bytes of another of the same budget
    void release_all();              // and stops waiting
    std::size_t bytes() const { return bytes_; }

    std::size_t window() const;    // bytes that it may hold at the moment
    std::size_t available() const; // bytes that it may acquire now
    // Paused reading may resume: half of the window is free, so that it does not pause again at once.
    bool may_resume() const;
    void wait_for_bytes(std::uint64_t who); // until next_resumable() returns `who`, or stop_waiting()
    void stop_waiting();

   private:
    friend class BufferBudget;
    std::size_t beyond_reserved() const {
      return budget_ != nullptr && bytes_ > budget_->options_.reserved_per_holder
                 ? bytes_ - budget_->options_.reserved_per_holder
                 : 0;
    }
    void set(std::size_t bytes);
    BufferBudget* budget_ = nullptr;
    std::size_t bytes_ = 0;
    std::optional<std::list<std::pair<std::uint64_t, Reservation*>>::iterator> wait_position_;
  };

  // The longest waiting holder that may resume now; it waits no more. To be called until there is none.
  std::optional<std::uint64_t> next_resumable();

  // Changes the total; what is held stays, and what is reserved for each holder. No less than the latter.
  void set_total(std::size_t total);

  std::size_t total() const { return options_.total_bytes; }
  std::size_t held() const { return held_; }
  std::size_t free() const { return options_.total_bytes - std::min(held_, options_.total_bytes); }
  std::size_t reserved_per_holder() const { return options_.reserved_per_holder; }
  std::size_t peak_held() const { return peak_held_; } // so far
  std::size_t waiting() const { return waiting_.size(); }

 private:
  std::size_t shared_free() const { return shared_total_ > shared_held_ ? shared_total_ - shared_held_ : 0; }

  BufferBudgetOptions options_;
  std::size_t shared_total_ = 0;                           // the total without the reserved parts
  std::size_t held_ = 0, shared_held_ = 0, peak_held_ = 0; // shared_held_: held beyond the reserved parts
  std::list<std::pair<std::uint64_t, Reservation*>> waiting_;
};

} // namespace fernward::body_buffers
