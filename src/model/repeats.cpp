#include "model/repeats.h"

#include "model/rng.h"

namespace fernward::model {

bool Repeats::seen(double now, std::uint64_t group, std::uint64_t repeat_key, double window_ms) {
  while (!order_.empty() && (order_.front().until <= now || order_.size() >= most_)) {
    const auto found = until_.find(order_.front().key);
    // A later entry of the same key has its own position in the order.
    if (found != until_.end() && found->second <= order_.front().until) until_.erase(found);
    order_.pop_front();
  }
  const std::uint64_t key = mix(group, repeat_key);
  const auto found = until_.find(key);
  if (found != until_.end() && now < found->second) return true;
  const double until = now + window_ms;
  until_[key] = until;
  order_.push_back({until, key});
  return false;
}

std::uint64_t repeat_group(IdempotencyScope scope, const Machine& machine) {
  switch (scope) {
    case IdempotencyScope::All: return 0;
    case IdempotencyScope::Zone: return 1ull << 32 | machine.zone;
    case IdempotencyScope::Cell: return 2ull << 32 | machine.cell;
  }
  return 0;
}

} // namespace fernward::model
