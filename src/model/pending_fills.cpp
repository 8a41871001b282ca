#include "model/pending_fills.h"

#include <utility>

namespace fernward::model {

void PendingFills::remove_expired(double now) {
  for (; !expiry_order_.empty() && expiry_order_.front().at + retention_ms_ <= now;
       expiry_order_.pop_front()) {
    entries_.erase(expiry_order_.front().try_id);
  }
}

void PendingFills::add_miss(double now, TryId try_id, MachineId machine) {
  remove_expired(now);
  const auto [it, inserted] = entries_.try_emplace(try_id);
  if (inserted) expiry_order_.push_back({now, try_id});
  WaitingNodes& nodes = it->second;
  if (nodes.count < nodes.machines.size()) nodes.machines[nodes.count++] = machine;
}

PendingFills::WaitingNodes PendingFills::take(double now, TryId try_id) {
  remove_expired(now);
  const auto found = entries_.find(try_id);
  if (found == entries_.end()) return {};
  const WaitingNodes nodes = found->second;
  entries_.erase(found);
  return nodes;
}

} // namespace fernward::model
