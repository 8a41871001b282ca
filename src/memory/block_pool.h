// Blocks of one size, apart from the heap: small blocks that live long can't keep the pages of others around them.
#pragma once

#include <cstddef>
#include <cstdint>

namespace fernward::memory {

/// Not thread-safe: for libevent's allocations only, in the thread of the event loop. Without address space for it, it
/// has no block to give, and its user takes memory from the heap.
class BlockPool {
 public:
  constexpr BlockPool(std::size_t block_bytes, std::uint32_t max_blocks)
      : block_bytes_(block_bytes), max_blocks_(max_blocks) {}
  BlockPool(const BlockPool&) = delete;
  BlockPool& operator=(const BlockPool&) = delete;

  std::size_t block_bytes() const { return block_bytes_; }
  /// Null: no block is left.
  void* acquire() noexcept;
  void release(void* released) noexcept;
  bool owns(const void* candidate) const noexcept;
  /// Returns the memory of the unused blocks to the system. Blocks are whole pages.
  void release_unused() noexcept;

 private:
  bool reserve() noexcept;
  bool make_writable() noexcept; // the next block that was never used
  char* block(std::uint32_t index) const noexcept { return blocks_ + std::size_t{index} * block_bytes_; }

  std::size_t block_bytes_;
  std::uint32_t max_blocks_;
  // Address space only, of which the first bytes are writable; a block takes memory once it is used.
  char* blocks_ = nullptr;
  std::size_t writable_bytes_ = 0;
  std::uint32_t next_block_ = 0; // blocks from here on were never used
  // Indexes of the unused blocks: first those without memory, then those with it, which are acquired first.
  std::uint32_t* unused_ = nullptr;
  std::uint32_t unused_count_ = 0, without_memory_count_ = 0;
  bool unavailable_ = false;
};

} // namespace fernward::memory
