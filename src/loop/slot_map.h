// A slot map: values in numbered slots, addressed by handles with a generation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace fernward::loop {

using Handle = std::uint64_t; // generation << 20 | slot: below 2^52, never 0

/// A handle consists of a slot number and the slot's generation, so that a handle to a removed value finds
/// nothing, even if its slot is in use again.
template <typename T>
class SlotMap {
 public:
  /// `limit`: maximum number of values, at most 2^20.
  explicit SlotMap(std::size_t limit = kMaxSlots) : limit_(limit < kMaxSlots ? limit : kMaxSlots) {}

  bool full() const { return size_ >= limit_; }
  std::size_t size() const { return size_; }

  /// Returns 0 if the map is full.
  template <typename... Args>
  Handle add(Args&&... args) {
    if (full()) return 0;
    const std::size_t index = take_free_slot();
    Slot& slot = slots_[index];
    ++slot.generation;
    slot.value = std::make_unique<T>(std::forward<Args>(args)...);
    ++size_;
    return handle_of(index);
  }
  /// Null if the value has been removed.
  T* find(Handle handle) {
    const std::size_t index = index_of(handle);
    if (index >= slots_.size() || slots_[index].generation != handle >> kSlotBits) return nullptr;
    return slots_[index].value.get();
  }
  /// No effect if the value has already been removed.
  void remove(Handle handle) {
    if (find(handle) == nullptr) return;
    const std::size_t index = index_of(handle);
    const std::unique_ptr<T> removed = std::move(slots_[index].value); // its destructor may use this map
    free_.push_back(index);
    --size_;
  }
  /// Calls visit(handle, value) in slot order. `visit` may remove any value.
  template <typename Visit>
  void for_each(Visit visit) {
    for (std::size_t index = 0; index < slots_.size(); ++index) {
      if (slots_[index].value == nullptr) continue;
      visit(handle_of(index), *slots_[index].value);
    }
  }

 private:
  static constexpr unsigned kSlotBits = 20;
  static constexpr std::size_t kMaxSlots = std::size_t{1} << kSlotBits;
  struct Slot {
    std::uint32_t generation = 0;
    std::unique_ptr<T> value; // null: free
  };

  static std::size_t index_of(Handle handle) { return handle & (kMaxSlots - 1); }
  Handle handle_of(std::size_t index) const {
    return static_cast<Handle>(slots_[index].generation) << kSlotBits | index;
  }
  std::size_t take_free_slot() {
    if (free_.empty()) {
      slots_.emplace_back();
      return slots_.size() - 1;
    }
    const std::size_t index = free_.back();
    free_.pop_back();
    return index;
  }

  std::vector<Slot> slots_;
  std::vector<std::size_t> free_;
  std::size_t limit_;
  std::size_t size_ = 0;
};

} // namespace fernward::loop
