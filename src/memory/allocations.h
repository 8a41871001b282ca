// Bytes that this process has allocated and not freed, by who allocated them. Exact and immediate: a decision
// that asks twice sees what was allocated in between.
//
// Counted are the blocks' usable sizes and the allocator's header. Only a process that links
// counting_operators.cpp and calls count_libevent_allocations() is counted; for any other one all values are 0.
#pragma once

#include <cstddef>

namespace fernward::memory {

enum class Allocator {
  Objects,     // operator new: connections, requests, strings, the decisions' state
  EventBuffers // libevent: input and output buffers, and bodies in transit
};

/// Bytes allocated now.
std::size_t allocated_bytes(Allocator allocator);
std::size_t allocated_bytes();
/// The greatest value of allocated_bytes() since the process started.
std::size_t peak_allocated_bytes();

/// From now on libevent's allocations are counted. Call it before any other function of libevent.
void count_libevent_allocations();

bool is_counting(); // whether it was called

/// Returns pages without an allocated block to the system.
void release_unused_pages();

/// For counting_operators.cpp: like malloc() and free(), and counted.
void* allocate(Allocator allocator, std::size_t bytes) noexcept;
void release(Allocator allocator, void* block) noexcept;

} // namespace fernward::memory
