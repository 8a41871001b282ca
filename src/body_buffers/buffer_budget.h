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
  std::size_t total = 24 << 20;
  std::size_t holders =
      1024; // at most; half of the total, at most, is set aside for what each has of its own
  std::size_t least = 4 << 10; // that a holder has of its own
  std::size_t most = 1 << 20;  // for one holder
  double share = 1.0 / 16;     // of what is free in common, for one holder
};

class BufferBudget {
 public:
  explicit BufferBudget(const BufferBudgetOptions& options);
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  // What one holder has. It goes back when the holder ends: once, whatever becomes of it.
  class Hold {
   public:
    Hold() = default; // holds nothing, may take nothing
    explicit Hold(BufferBudget& account) : account_(&account) {}
    Hold(Hold&& other) noexcept;
    Hold& operator=(Hold&& other) noexcept;
    ~Hold() { reset(); }

    bool take(std::size_t bytes); // false: more than is free in all; nothing is taken
    void give(std::size_t bytes); // no more than it has goes back
    void absorb(Hold&& other);    // takes over what another has, of the same account; that one ends
    void reset();                 // gives all back, and waits no more
    std::size_t bytes() const { return bytes_; }

    std::size_t window() const; // it may hold this much at the moment
    std::size_t room() const;   // and take this much more
    // Reading that has stopped goes on: half of the window is empty, so that it does not stop at once again.
    bool may_go_on() const;
    void wait(std::uint64_t who); // until Account::next() names `who`; or until this holder goes on by itself
    void go_on();                 // waits no more

   private:
    friend class BufferBudget;
    std::size_t beyond() const {
      return account_ != nullptr && bytes_ > account_->options_.least ? bytes_ - account_->options_.least : 0;
    }
    void set(std::size_t bytes);
    BufferBudget* account_ = nullptr;
    std::size_t bytes_ = 0;
    std::optional<std::list<std::pair<std::uint64_t, Hold*>>::iterator> waits_;
  };

  // One that waits and may go on now, the longest waiting first; it waits no more. Ask until there is none.
  std::optional<std::uint64_t> next();

  // From now on so much may be held in all; what is held stays, and what each holder has of its own. No less than that.
  void limit(std::size_t total);

  std::size_t total() const { return options_.total; }
  std::size_t held() const { return held_; }
  std::size_t free() const { return options_.total - std::min(held_, options_.total); }
  std::size_t least() const { return options_.least; }
  std::size_t most_held() const { return most_held_; } // so far
  std::size_t waiting() const { return waiting_.size(); }

 private:
  std::size_t common_free() const { return common_ > beyond_ ? common_ - beyond_ : 0; }

  BufferBudgetOptions options_;
  std::size_t common_ = 0;                            // of the total, what is nobody's own
  std::size_t held_ = 0, beyond_ = 0, most_held_ = 0; // beyond: what holders have that is not their own
  std::list<std::pair<std::uint64_t, Hold*>> waiting_;
};

} // namespace fernward::body_buffers
