// One budget of all memory that this process allocates. Every holder asks it first, whatever else it counts by
// itself: budgets of payload bytes can't tell what the allocator, libevent and small objects add.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace fernward::memory_budget {

/// What memory is for, in the order in which it is refused as the budget fills up. Each purpose may use the
/// whole budget up to its share, so what is refused later always finds room that the earlier ones leave.
enum class Purpose {
  Transit,           // bodies in transit and retained ones beyond what each request has reserved
  CompleteBody,      // of a short request, by the weight of its class
  IncompleteRequest, // the request is rejected with its connection
  Connection,        // new clients wait in the kernel's queue
  Count
};

/// Owned by the router. Not thread-safe. Units: bytes.
class MemoryBudget {
 public:
  /// Returns the bytes that the process has allocated now.
  using Measure = std::size_t (*)();

  /// `allocated_bytes`: null where allocations are not counted; everything is admitted then.
  MemoryBudget(std::size_t total_bytes, Measure allocated_bytes)
      : total_bytes_(total_bytes), allocated_bytes_(allocated_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Whether `bytes` more may be allocated; 0 asks for memory that is allocated already. A refusal is counted. `weight_share`: the weight of the request's class
  /// relative to the greatest weight of all classes, from 0 to 1; only used for complete bodies.
  bool admits(Purpose purpose, std::size_t bytes, double weight_share = 1);
  /// The bytes that may still be allocated. SIZE_MAX where allocations are not counted.
  std::size_t free_bytes(Purpose purpose, double weight_share = 1) const;
  /// Bytes in use beyond the total, for example after it was reduced.
  std::size_t excess_bytes() const;

  /// Allocated bytes, and those that are resident without being allocated.
  std::size_t used_bytes() const;
  std::size_t total_bytes() const { return total_bytes_; }
  void set_total_bytes(std::size_t bytes) { total_bytes_ = bytes; }
  /// Resident bytes that are not allocated, as measured last.
  void set_overhead_bytes(std::size_t bytes) { overhead_bytes_ = bytes; }
  std::uint64_t refusals(Purpose purpose) const { return refusals_[static_cast<std::size_t>(purpose)]; }

 private:
  std::size_t total_bytes_;
  Measure allocated_bytes_;
  std::size_t overhead_bytes_ = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(Purpose::Count)> refusals_{};
};

} // namespace fernward::memory_budget
