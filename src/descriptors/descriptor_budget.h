// One account of the descriptors that connections take, and one of the bytes that wait in their buffers.
//
// Two sides draw on the descriptors: clients and egress targets. What the process needs besides (the
// listening socket, discovery, the loop) is kept back before the account is opened. Each side has
//  - a floor, a quarter of all places, that is never lent;
//  - a share, a half, that is lent while it lies unused and is called back when its owner needs it.
// So a side may hold up to three quarters of the places while the other rests.
//
// Units: places are descriptors, times are milliseconds. One thread. An account outlives what it has granted.
#pragma once

#include <array>
#include <cstddef>
#include <utility>

namespace fernward::descriptors {

enum class Side { Downstream, Upstream };

class DescriptorBudget {
 public:
  explicit DescriptorBudget(std::size_t total) : total_(total), believed_total_(total) {}
  DescriptorBudget(const DescriptorBudget&) = delete;
  DescriptorBudget& operator=(const DescriptorBudget&) = delete;

  // A granted place. It goes back when it ends: once, whatever becomes of its holder.
  class Lease {
   public:
    Lease() = default;
    Lease(Lease&& other) noexcept : budget_(std::exchange(other.budget_, nullptr)), side_(other.side_) {}
    Lease& operator=(Lease&& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(side_, other.side_);
      return *this;
    }
    ~Lease() {
      if (budget_ != nullptr) --budget_->used_[index(side_)];
    }
    explicit operator bool() const { return budget_ != nullptr; }

   private:
    friend class DescriptorBudget;
    Lease(DescriptorBudget* account, Side side) : budget_(account), side_(side) {}
    DescriptorBudget* budget_ = nullptr;
    Side side_ = Side::Downstream;
  };

  // What a further place for `side` takes: nothing; a place that the other side holds beyond its share; or
  // one that `side` itself lets go, as it has its share or the other side has nothing to spare.
  enum class Eviction { None, OtherSide, OwnSide };
  Eviction required_eviction(double now, Side side) const;
  Lease acquire(double now, Side side); // empty unless needs() is Nothing

  // The system had no descriptor although the account had a place: something else holds them. The account
  // then reckons with what is in use, and with more again as time passes: one place after a second, then
  // twice as many in each second. True: that is news, a second or more after the last refusal.
  bool on_refused(double now);

  // From now on there are so many places; more than that may be taken still, and then none is granted.
  void set_total(std::size_t total) {
    if (believed_total_ >= total_) believed_total_ = total;
    total_ = total;
  }

  std::size_t used(Side side) const { return used_[index(side)]; }
  std::size_t total() const { return total_; }
  std::size_t usable(double now) const; // of the total, as far as the system is believed to grant them
  static std::size_t reserved_of(std::size_t usable) { return usable / 4; }
  static std::size_t fair_share_of(std::size_t usable, Side side) { // an odd place is the clients'
    return side == Side::Downstream ? usable - usable / 2 : usable / 2;
  }

 private:
  static std::size_t index(Side side) { return static_cast<std::size_t>(side); }

  std::size_t total_, believed_total_;
  std::array<std::size_t, 2> used_{};
  double refused_at_ = 0;
};

// The bytes of requests that have not come whole. Those of answers have an account of their own, see bodies/.
class RequestBufferBudget {
 public:
  explicit RequestBufferBudget(std::size_t total) : total_(total) {}
  RequestBufferBudget(const RequestBufferBudget&) = delete;
  RequestBufferBudget& operator=(const RequestBufferBudget&) = delete;

  // What one connection holds. It goes back when its holder ends.
  class Lease {
   public:
    explicit Lease(RequestBufferBudget& buffers) : buffers_(&buffers) {}
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    ~Lease() { set(0); }
    void set(std::size_t bytes) { buffers_->used_ += bytes - std::exchange(bytes_, bytes); }
    std::size_t bytes() const { return bytes_; }

   private:
    RequestBufferBudget* buffers_;
    std::size_t bytes_ = 0;
  };

  std::size_t used() const { return used_; }
  void set_total(std::size_t total) { total_ = total; } // what is held stays
  bool exceeded() const { return used_ > total_; }      // the next one that grows is refused

 private:
  std::size_t total_, used_ = 0;
};

} // namespace fernward::descriptors
