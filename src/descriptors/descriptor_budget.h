// Budgets of the process: file descriptors of connections, and bytes of partial requests. Pure decisions: no
// I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <utility>

#include "memory_budget/memory_budget.h"

namespace fernward::descriptors {

enum class Side { Downstream, Upstream };

// Descriptors of client connections (downstream) and server connections (upstream). Each side has a reserve
// of a quarter that the other side never uses, and a fair share of a half that the other side may borrow
// while it is unused and must return when its owner needs it. So one side may hold up to three quarters.
// Other descriptors of the process are not part of the budget. Times are milliseconds. A budget outlives its
// leases.
class DescriptorBudget {
 public:
  explicit DescriptorBudget(std::size_t total) : total_(total), expected_total_(total) {}
  DescriptorBudget(const DescriptorBudget&) = delete;
  DescriptorBudget& operator=(const DescriptorBudget&) = delete;

  // One descriptor of the budget; returned on destruction.
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
    Lease(DescriptorBudget* budget, Side side) : budget_(budget), side_(side) {}
    DescriptorBudget* budget_ = nullptr;
    Side side_ = Side::Downstream;
  };

  // Which side must close a connection before `side` can acquire one more descriptor: none; the other side,
  // which holds more than its fair share; or its own, because it holds its fair share or the other side does
  // not exceed its own.
  enum class Eviction { None, OtherSide, OwnSide };
  Eviction required_eviction(double now, Side side) const;
  // Empty unless required_eviction() is None.
  Lease acquire(double now, Side side);

  // The system refused a descriptor that the budget allowed, because other parts of the system hold them. The
  // usable total falls to the number in use and recovers with time: by one descriptor after a second, then by
  // twice as many in each further second. Returns true for the first refusal, or if the last one was at least
  // a second ago.
  bool on_descriptor_refused(double now);

  // May be less than the number in use; then no descriptor is granted.
  void set_total(std::size_t total_bytes) {
    if (expected_total_ >= total_) expected_total_ = total_bytes;
    total_ = total_bytes;
  }

  std::size_t used(Side side) const { return used_[index(side)]; }
  std::size_t total() const { return total_; }
  std::size_t usable(double now) const; // part of the total that the system is expected to grant
  static std::size_t reserved_descriptors(std::size_t usable) { return usable / 4; }
  static std::size_t fair_share(std::size_t usable, Side side) { // an odd one belongs to downstream
    return side == Side::Downstream ? usable - usable / 2 : usable / 2;
  }

 private:
  static std::size_t index(Side side) { return static_cast<std::size_t>(side); }

  std::size_t total_;
  std::size_t expected_total_;
  std::array<std::size_t, 2> used_{};
  double refused_at_ = 0;
};

// Budget of the bytes of requests: of incomplete ones, and of complete short bodies until their request ends.
// Response bytes and long bodies have a separate budget, see body_buffers/.
//
// Complete bodies may use kMaxCompleteShare of it, and the classes of less weight a smaller part, so that
// they are rejected first and incomplete requests find room. A request of up to kSmallRequestBytes is never
// rejected: the descriptors bound their number.
class RequestBufferBudget {
 public:
  static constexpr double kMaxCompleteShare = 0.75;
  static constexpr std::size_t kSmallRequestBytes = 2048;

  // `memory`: the budget of the whole process, which outlives this one; null: none. What it refuses is rejected.
  explicit RequestBufferBudget(std::size_t total_bytes, memory_budget::MemoryBudget* memory = nullptr)
      : total_bytes_(total_bytes), memory_(memory) {}
  RequestBufferBudget(const RequestBufferBudget&) = delete;
  RequestBufferBudget& operator=(const RequestBufferBudget&) = delete;

  // Bytes of one request; returned on destruction.
  class Lease {
   public:
    Lease() = default; // without a budget: holds no bytes
    explicit Lease(RequestBufferBudget& budget) : budget_(&budget) {}
    Lease(Lease&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    Lease& operator=(Lease&& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    ~Lease() { set(0); }
    void set(std::size_t bytes) {
      if (budget_ != nullptr) budget_->used_bytes_ += bytes - std::exchange(bytes_, bytes);
    }
    std::size_t bytes() const { return bytes_; }

   private:
    RequestBufferBudget* budget_ = nullptr;
    std::size_t bytes_ = 0;
  };

  std::size_t used_bytes() const { return used_bytes_; }
  void set_total_bytes(std::size_t total_bytes) {
    total_bytes_ = total_bytes;
  } // existing leases are unchanged
  // Whether an incomplete request that holds `bytes` must be rejected.
  bool must_reject_incomplete(std::size_t bytes) {
    if (bytes <= kSmallRequestBytes) return false;
    return used_bytes_ > total_bytes_ ||
           (memory_ != nullptr && !memory_->admits(memory_budget::Purpose::IncompleteRequest, 0));
  }
  // Whether a complete body of `bytes` may be held. `weight_share`: the weight of its class relative to the
  // greatest weight of all classes, from 0 to 1; half of the part for complete bodies is open to every class.
  bool admits_complete(std::size_t bytes, double weight_share) {
    if (bytes <= kSmallRequestBytes) return true;
    const double share = kMaxCompleteShare * (0.5 + 0.5 * weight_share);
    if (static_cast<double>(used_bytes_ + bytes) > share * static_cast<double>(total_bytes_)) return false;
    // The bytes of the body are allocated already.
    return memory_ == nullptr || memory_->admits(memory_budget::Purpose::CompleteBody, 0, weight_share);
  }

 private:
  std::size_t total_bytes_;
  memory_budget::MemoryBudget* memory_;
  std::size_t used_bytes_ = 0;
};

} // namespace fernward::descriptors
