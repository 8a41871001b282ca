#include "model/discovery.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward::model {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
// Limit of stored changes that all agents have; a router that needs older ones gets the complete list.
constexpr std::size_t kMaxChanges = 4096;

} // namespace

Discovery::Discovery(const Spec& spec, const Plan& plan)
    : spec_(spec.discovery),
      delay_engine_(stream(spec.seed, "discovery notice")),
      delivery_engine_(stream(spec.seed, "discovery spread")),
      agent_index_(plan.routers.size(), 1),
      deliveries_(plan.routers.size()) {
  for (const PlannedMachine& machine : plan.machines) {
    if (machine.in_service_at_start) base_[machine.id] = {machine.id, ServerState::Ready, -1, 1};
  }
}

void Discovery::change(double now, MachineId machine, ServerState state, double started_at, Cause cause) {
  double delay_ms = 0;
  switch (cause) {
    case Cause::Added:
      delay_ms = draw_uniform(spec_.add_delay_min_ms, spec_.add_delay_max_ms, delay_engine_);
      break;
    case Cause::Leaving:
      delay_ms = draw_uniform(spec_.leave_delay_min_ms, spec_.leave_delay_max_ms, delay_engine_);
      break;
    case Cause::Silent:
      delay_ms = draw_uniform(spec_.silence_delay_min_ms, spec_.silence_delay_max_ms, delay_engine_);
      break;
  }
  // The list is updated at multiples of the period.
  double at = spec_.update_period_ms > 0
                  ? std::ceil((now + delay_ms) / spec_.update_period_ms) * spec_.update_period_ms
                  : now + delay_ms;
  // When an earlier change is already due sooner, the list shows the latest state at that time.
  if (const auto pending = pending_.find(machine); pending != pending_.end())
    at = std::min(at, pending->second.at);
  pending_[machine] = {at, {machine, state, started_at, 0}};
}

void Discovery::set_outage(double now, bool on) {
  advance(now);
  outage_ = on;
  advance(now);
}

double Discovery::next_due_ms() const {
  double at = kNever;
  for (const auto& [machine, change] : pending_) at = std::min(at, change.at);
  if (outage_) return at;
  for (const auto& queue : deliveries_) {
    if (!queue.empty()) at = std::min(at, queue.front().at);
  }
  return at;
}

void Discovery::advance(double now) {
  while (true) {
    double due_ms = kNever;
    for (const auto& [machine, change] : pending_) due_ms = std::min(due_ms, change.at);
    if (due_ms > now) break;
    publish(due_ms);
  }
  if (outage_) return;
  for (std::size_t router = 0; router < deliveries_.size(); ++router) {
    for (auto& queue = deliveries_[router]; !queue.empty() && queue.front().at <= now; queue.pop_front()) {
      agent_index_[router] = queue.front().index;
    }
  }
  fold_old_changes();
}

void Discovery::publish(double now) {
  ++index_;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->second.at > now) {
      ++it;
      continue;
    }
    Entry entry = it->second.entry;
    entry.index = index_;
    changes_.push_back(entry);
    it = pending_.erase(it);
  }
  // Lists are delivered in order: a list with a shorter delay waits for the earlier ones.
  for (auto& queue : deliveries_)
    queue.push_back({now + draw_uniform(0, spec_.delivery_spread_ms, delivery_engine_), index_});
}

// Folds the oldest changes, which every agent has received, into the base list.
void Discovery::fold_old_changes() {
  const std::uint64_t oldest_agent_index = *std::min_element(agent_index_.begin(), agent_index_.end());
  while (changes_.size() > kMaxChanges && changes_.front().index <= oldest_agent_index) {
    const Entry entry = changes_.front();
    changes_.pop_front();
    base_index_ = entry.index;
    if (entry.state == ServerState::Gone) {
      base_.erase(entry.machine);
    } else {
      base_[entry.machine] = entry;
    }
  }
}

Discovery::List Discovery::list(RouterId router, std::optional<std::uint64_t> since) const {
  return list_between(agent_index_[router], since);
}

Discovery::List Discovery::list_between(std::uint64_t index, std::optional<std::uint64_t> since) const {
  List list;
  list.index = index;
  // Changes up to base_index_ may have been folded into the base, so an older `since` gets the complete list.
  list.complete = !since || *since < base_index_ || *since > list.index;
  std::map<MachineId, Entry> entries;
  if (list.complete) entries = base_;
  for (const Entry& change : changes_) {
    if (change.index > list.index) break;
    if (list.complete || change.index > *since) entries[change.machine] = change;
  }
  for (const auto& [machine, entry] : entries) {
    if (!list.complete || entry.state != ServerState::Gone) list.entries.push_back(entry);
  }
  return list;
}

} // namespace fernward::model
