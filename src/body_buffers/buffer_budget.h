// One account of the bytes of bodies that this process holds: of answers on their way to clients, and of requests
// on their way to targets. It says how much each holder may take more, and so when reading stops and goes on.
//
// Each holder has a little of its own, which nobody else can take: small answers pass whatever others do. Beyond
// that it may have up to a share of what is free in common at the moment (dynamic thresholds: Choudhury and Hahne,
// 1998, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches"). Few holders get large windows, many
// get small ones. No constant has to be right for both. Who has more than its window, as others have come since,
// stops until it has less.
//
// Units: bytes. One thread. An account outlives its holders.
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
  std::size_t max_holders =
      1024; // at most; half of the total, at most, is set aside for what each has of its own
  std::size_t reserved_per_holder = 4 << 10; // that a holder has of its own
  std::size_t max_per_holder = 1 << 20;      // for one holder
  double share_of_free = 1.0 / 16;           // of what is free in common, for one holder
};

class BufferBudget {
 public:
  explicit BufferBudget(const BufferBudgetOptions& options);
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  // What one holder has. It goes back when the holder ends: once, whatever becomes of it.
  class Reservation {
   public:
    Reservation() = default; // holds nothing, may take nothing
    explicit Reservation(BufferBudget& account) : budget_(&account) {}
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;
    ~Reservation() { release_all(); }

    bool acquire(std::size_t bytes); // false: more than is free in all; nothing is taken
    void release(std::size_t bytes); // no more than it has goes back
    void merge(Reservation&& other); // takes over what another has, of the same account; that one ends
    void release_all();              // gives all back, and waits no more
    std::size_t bytes() const { return bytes_; }

    std::size_t window() const;    // it may hold this much at the moment
    std::size_t available() const; // and take this much more
    // Reading that has stopped goes on: half of the window is empty, so that it does not stop at once again.
    bool may_resume() const;
    void wait_for_bytes(
        std::uint64_t who); // until Account::next() names `who`; or until this holder goes on by itself
    void stop_waiting();    // waits no more

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

  // One that waits and may go on now, the longest waiting first; it waits no more. Ask until there is none.
  std::optional<std::uint64_t> next_resumable();

  // From now on so much may be held in all; what is held stays, and what each holder has of its own. No less than that.
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
  std::size_t shared_total_ = 0;                           // of the total, what is nobody's own
  std::size_t held_ = 0, shared_held_ = 0, peak_held_ = 0; // beyond: what holders have that is not their own
  std::list<std::pair<std::uint64_t, Reservation*>> waiting_;
};

} // namespace fernward::body_buffers
