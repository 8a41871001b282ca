#include "model/object_cache.h"

namespace fernward::model {

ObjectCache::ObjectCache(double max_bytes, EvictionPolicy eviction_policy, double lifetime_ms,
                         double overhead_bytes)
    : capacity_bytes_(max_bytes),
      eviction_policy_(eviction_policy),
      lifetime_ms_(lifetime_ms),
      overhead_bytes_(overhead_bytes) {}

std::optional<double> ObjectCache::find(double now, std::uint64_t key) {
  auto& by_key = objects_.get<ByKey>();
  const auto it = by_key.find(key);
  if (it == by_key.end()) return std::nullopt;
  if (lifetime_ms_ > 0 && now - it->stored_at >= lifetime_ms_) {
    used_bytes_ -= it->bytes;
    by_key.erase(it);
    return std::nullopt;
  }
  auto& by_eviction_order = objects_.get<ByEvictionOrder>();
  if (eviction_policy_ == EvictionPolicy::Lru)
    by_eviction_order.relocate(by_eviction_order.end(), objects_.project<ByEvictionOrder>(it));
  return it->stored_at;
}

void ObjectCache::store(double now, std::uint64_t key, double bytes) {
  remove(key); // the new object may have another size, and it becomes the newest
  const double total_bytes = bytes + overhead_bytes_;
  if (!(total_bytes <= capacity_bytes_)) return;
  auto& by_eviction_order = objects_.get<ByEvictionOrder>();
  while (used_bytes_ + total_bytes > capacity_bytes_ && !by_eviction_order.empty()) {
    used_bytes_ -= by_eviction_order.front().bytes;
    by_eviction_order.pop_front();
  }
  if (by_eviction_order.empty()) used_bytes_ = 0; // discards accumulated rounding errors
  by_eviction_order.push_back({key, now, total_bytes});
  used_bytes_ += total_bytes;
}

void ObjectCache::remove(std::uint64_t key) {
  auto& by_key = objects_.get<ByKey>();
  const auto it = by_key.find(key);
  if (it == by_key.end()) return;
  used_bytes_ -= it->bytes;
  by_key.erase(it);
}

void ObjectCache::clear() {
  objects_.clear();
  used_bytes_ = 0;
}

} // namespace fernward::model
