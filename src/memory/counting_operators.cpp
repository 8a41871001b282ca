// Replaces the global operators new and delete of a program by ones that count, see allocations.h.
#include <cstddef>
#include <new>

#include "memory/allocations.h"

namespace {

using fernward::memory::Allocator;

void* allocate_object(std::size_t bytes) {
  for (;;) {
    if (void* const block = fernward::memory::allocate(Allocator::Objects, bytes)) return block;
    const std::new_handler handler = std::get_new_handler();
    if (handler == nullptr) throw std::bad_alloc();
    handler();
  }
}

void release_object(void* block) noexcept { fernward::memory::release(Allocator::Objects, block); }

} // namespace

void* operator new(std::size_t bytes) { return allocate_object(bytes); }
void* operator new[](std::size_t bytes) { return allocate_object(bytes); }
void* operator new(std::size_t bytes, const std::nothrow_t&) noexcept {
  return fernward::memory::allocate(Allocator::Objects, bytes);
}
void* operator new[](std::size_t bytes, const std::nothrow_t&) noexcept {
  return fernward::memory::allocate(Allocator::Objects, bytes);
}
void operator delete(void* block) noexcept { release_object(block); }
void operator delete[](void* block) noexcept { release_object(block); }
void operator delete(void* block, std::size_t) noexcept { release_object(block); }
void operator delete[](void* block, std::size_t) noexcept { release_object(block); }
