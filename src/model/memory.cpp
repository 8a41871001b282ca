#include "model/memory.h"

namespace fernward::model {

Memory::Memory(double bytes, Evict evict, double expire_ms, double overhead_bytes)
    : capacity_(bytes), evict_(evict), expire_ms_(expire_ms), overhead_(overhead_bytes) {}

std::optional<double> Memory::find(double now, std::uint64_t key) {
  auto& by_key = objects_.get<ByKey>();
  const auto it = by_key.find(key);
  if (it == by_key.end()) return std::nullopt;
  if (expire_ms_ > 0 && now - it->stored_at >= expire_ms_) {
    held_ -= it->bytes;
    by_key.erase(it);
    return std::nullopt;
  }
  auto& by_use = objects_.get<ByUse>();
  if (evict_ == Evict::Lru) by_use.relocate(by_use.end(), objects_.project<ByUse>(it));
  return it->stored_at;
}

void Memory::store(double now, std::uint64_t key, double bytes) {
  drop(key); // the new object may have another size, and it becomes the newest
  const double size = bytes + overhead_;
  if (!(size <= capacity_)) return;
  auto& by_use = objects_.get<ByUse>();
  while (held_ + size > capacity_ && !by_use.empty()) {
    held_ -= by_use.front().bytes;
    by_use.pop_front();
  }
  if (by_use.empty()) held_ = 0; // discards accumulated rounding errors
  by_use.push_back({key, now, size});
  held_ += size;
}

void Memory::drop(std::uint64_t key) {
  auto& by_key = objects_.get<ByKey>();
  const auto it = by_key.find(key);
  if (it == by_key.end()) return;
  held_ -= it->bytes;
  by_key.erase(it);
}

void Memory::clear() {
  objects_.clear();
  held_ = 0;
}

} // namespace fernward::model
