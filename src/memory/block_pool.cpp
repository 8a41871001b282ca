#include "memory/block_pool.h"

#include <sys/mman.h>

#include <algorithm>

namespace fernward::memory {
namespace {

constexpr std::size_t kStepBytes = 256 * 1024; // made writable at once; a multiple of every page size

void* map(std::size_t bytes, int protection) {
  void* const memory = mmap(nullptr, bytes, protection, MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
  return memory == MAP_FAILED ? nullptr : memory;
}

} // namespace

bool BlockPool::reserve() noexcept {
  if (blocks_ != nullptr) return true;
  if (unavailable_) return false;
  const std::size_t bytes = max_blocks_ * block_bytes_;
  const std::size_t index_bytes = max_blocks_ * sizeof(std::uint32_t);
  auto* const blocks = static_cast<char*>(map(bytes, PROT_NONE));
  auto* const unused = static_cast<std::uint32_t*>(map(index_bytes, PROT_READ | PROT_WRITE));
  unavailable_ = blocks == nullptr || unused == nullptr;
  if (unavailable_) {
    if (blocks != nullptr) munmap(blocks, bytes);
    if (unused != nullptr) munmap(unused, index_bytes);
    return false;
  }
  blocks_ = blocks;
  unused_ = unused;
  return true;
}

// False: all blocks were used, or the system allows no more writable memory.
bool BlockPool::make_writable() noexcept {
  if (next_block_ == max_blocks_) return false;
  const std::size_t needed_bytes = (std::size_t{next_block_} + 1) * block_bytes_;
  if (needed_bytes <= writable_bytes_) return true;
  const std::size_t step_bytes = std::min(kStepBytes, max_blocks_ * block_bytes_ - writable_bytes_);
  if (mprotect(blocks_ + writable_bytes_, step_bytes, PROT_READ | PROT_WRITE) != 0) return false;
  writable_bytes_ += step_bytes;
  return true;
}

void* BlockPool::acquire() noexcept {
  if (!reserve()) return nullptr;
  if (unused_count_ == 0) {
    if (!make_writable()) return nullptr;
    return block(next_block_++);
  }
  without_memory_count_ = std::min(without_memory_count_, --unused_count_);
  return block(unused_[unused_count_]);
}

void BlockPool::release(void* released) noexcept {
  const auto offset = static_cast<std::size_t>(static_cast<char*>(released) - blocks_);
  unused_[unused_count_++] = static_cast<std::uint32_t>(offset / block_bytes_);
}

bool BlockPool::owns(const void* candidate) const noexcept {
  const auto* const address = static_cast<const char*>(candidate);
  return blocks_ != nullptr && address >= blocks_ && address < block(max_blocks_);
}

void BlockPool::release_unused() noexcept {
  std::uint32_t* const end = unused_ + unused_count_;
  for (std::uint32_t* first = unused_ + without_memory_count_; first != end; ++first)
    madvise(block(*first), block_bytes_, MADV_DONTNEED);
  without_memory_count_ = unused_count_;
}

} // namespace fernward::memory
