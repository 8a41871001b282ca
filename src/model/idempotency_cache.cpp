#include "model/idempotency_cache.h"

#include "model/rng.h"

namespace fernward::model {

bool IdempotencyCache::check_and_add(double now, std::uint64_t group, std::uint64_t idempotency_key,
                                     double window_ms) {
  while (!expiry_order_.empty() &&
         (expiry_order_.front().expires_at <= now || expiry_order_.size() >= max_keys_)) {
    const auto found = expires_at_.find(expiry_order_.front().key);
    // A later entry of the same key has its own position in the order.
    if (found != expires_at_.end() && found->second <= expiry_order_.front().expires_at)
      expires_at_.erase(found);
    expiry_order_.pop_front();
  }
  const std::uint64_t key = hash_numbers(group, idempotency_key);
  const auto found = expires_at_.find(key);
  if (found != expires_at_.end() && now < found->second) return true;
  const double expires_at = now + window_ms;
  expires_at_[key] = expires_at;
  expiry_order_.push_back({expires_at, key});
  return false;
}

std::uint64_t duplicate_group(IdempotencyScope scope, const PlannedMachine& machine) {
  switch (scope) {
    case IdempotencyScope::All: return 0;
    case IdempotencyScope::Zone: return 1ull << 32 | machine.zone;
    case IdempotencyScope::Cell: return 2ull << 32 | machine.cell;
  }
  return 0;
}

} // namespace fernward::model
