#include "memory/allocations.h"

#include <event2/event.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <cstring>

#include "memory/block_pool.h"

namespace fernward::memory {
namespace {

constexpr std::size_t kBlockHeaderBytes = sizeof(std::size_t);

// Atomic, as libraries may start threads; zero-initialized, as allocations precede main().
std::array<std::atomic<std::size_t>, 2> allocated;
std::atomic<std::size_t> peak;
bool counting = false;

std::atomic<std::size_t>& counter_of(Allocator allocator) {
  return allocated[static_cast<std::size_t>(allocator)];
}

std::size_t bytes_of(void* block) { return malloc_usable_size(block) + kBlockHeaderBytes; }

void count(Allocator allocator, std::size_t bytes) {
  counter_of(allocator).fetch_add(bytes, std::memory_order_relaxed);
  const std::size_t now_allocated = allocated_bytes();
  if (now_allocated > peak.load(std::memory_order_relaxed))
    peak.store(now_allocated, std::memory_order_relaxed);
}

void discount(Allocator allocator, std::size_t bytes) {
  counter_of(allocator).fetch_sub(bytes, std::memory_order_relaxed);
}

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kUsePools = false; // the sanitizer would not see a use after the release of a block
#else
constexpr bool kUsePools = true;
#endif

BlockPool pieces(4096, 64 * 1024); // of buffers, see loop/buffer.h
// libevent keeps a small block for each descriptor that was ever in use.
BlockPool small_blocks(32, 64 * 1024);

BlockPool* pool_for(std::size_t bytes) {
  if (!kUsePools) return nullptr;
  if (bytes == pieces.block_bytes()) return &pieces;
  return bytes <= small_blocks.block_bytes() ? &small_blocks : nullptr;
}

BlockPool* pool_of(const void* block) {
  if (pieces.owns(block)) return &pieces;
  return small_blocks.owns(block) ? &small_blocks : nullptr;
}

void* allocate_for_libevent(std::size_t bytes) {
  BlockPool* const pool = pool_for(bytes);
  void* const block = pool == nullptr ? nullptr : pool->acquire();
  if (block == nullptr) return allocate(Allocator::EventBuffers, bytes);
  count(Allocator::EventBuffers, pool->block_bytes());
  return block;
}

void release_for_libevent(void* block) {
  BlockPool* const pool = pool_of(block);
  if (pool == nullptr) return release(Allocator::EventBuffers, block);
  discount(Allocator::EventBuffers, pool->block_bytes());
  pool->release(block);
}

void* reallocate_for_libevent(void* block, std::size_t bytes) {
  if (block == nullptr) return allocate_for_libevent(bytes);
  const BlockPool* const pool = pool_of(block);
  const std::size_t previous_bytes = pool != nullptr ? pool->block_bytes() : malloc_usable_size(block);
  void* const moved = allocate_for_libevent(bytes);
  if (moved == nullptr) return nullptr; // the block is unchanged
  std::memcpy(moved, block, std::min(bytes, previous_bytes));
  release_for_libevent(block);
  return moved;
}

} // namespace

std::size_t allocated_bytes(Allocator allocator) {
  return counter_of(allocator).load(std::memory_order_relaxed);
}

std::size_t allocated_bytes() {
  return allocated_bytes(Allocator::Objects) + allocated_bytes(Allocator::EventBuffers);
}

std::size_t peak_allocated_bytes() { return peak.load(std::memory_order_relaxed); }

void count_libevent_allocations() {
  event_set_mem_functions(&allocate_for_libevent, &reallocate_for_libevent, &release_for_libevent);
  counting = true;
}

void release_unused_pages() {
  pieces.release_unused();
  malloc_trim(0);
}

bool is_counting() { return counting; }

void* allocate(Allocator allocator, std::size_t bytes) noexcept {
  void* const block = std::malloc(bytes == 0 ? 1 : bytes);
  if (block != nullptr) count(allocator, bytes_of(block));
  return block;
}

void release(Allocator allocator, void* block) noexcept {
  if (block == nullptr) return;
  discount(allocator, bytes_of(block));
  std::free(block);
}

} // namespace fernward::memory
