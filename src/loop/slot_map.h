// A table of numbered slots. A handle names a slot and its generation: one that was kept too long finds nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace fernward::loop {

using Handle = std::uint64_t; // generation << 20 | slot: below 2^52, never 0

template <typename T>
class SlotMap {
 public:
  explicit SlotMap(std::size_t limit = kMost) : limit_(limit < kMost ? limit : kMost) {}

  bool full() const { return used_ >= limit_; }
  std::size_t size() const { return used_; }

  template <typename... Args>
  Handle add(Args&&... args) { // 0: the table is full
    if (full()) return 0;
    std::size_t at;
    if (free_.empty()) {
      at = entries_.size();
      entries_.emplace_back();
    } else {
      at = free_.back();
      free_.pop_back();
    }
    Entry& entry = entries_[at];
    ++entry.generation;
    entry.value = std::make_unique<T>(std::forward<Args>(args)...);
    ++used_;
    return static_cast<Handle>(entry.generation) << kBits | at;
  }
  T* find(Handle handle) {
    const std::size_t at = handle & (kMost - 1);
    if (at >= entries_.size() || entries_[at].generation != handle >> kBits) return nullptr;
    return entries_[at].value.get();
  }
  void remove(Handle handle) {
    if (find(handle) == nullptr) return;
    const std::size_t at = handle & (kMost - 1);
    const std::unique_ptr<T> gone = std::move(entries_[at].value); // its end may come back to this table
    free_.push_back(at);
    --used_;
  }
  template <typename Visit>
  void each(Visit visit) { // visit(handle, value); it may remove any slot
    for (std::size_t at = 0; at < entries_.size(); ++at) {
      if (entries_[at].value == nullptr) continue;
      visit(static_cast<Handle>(entries_[at].generation) << kBits | at, *entries_[at].value);
    }
  }

 private:
  static constexpr unsigned kBits = 20;
  static constexpr std::size_t kMost = std::size_t{1} << kBits;
  struct Entry {
    std::uint32_t generation = 0;
    std::unique_ptr<T> value;
  };
  std::vector<Entry> entries_;
  std::vector<std::size_t> free_;
  std::size_t limit_, used_ = 0;
};

} // namespace fernward::loop
