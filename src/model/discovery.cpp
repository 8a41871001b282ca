#include "model/discovery.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward::model {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
// Limit of stored changes that all agents have; a router that needs older ones gets the complete list.
constexpr std::size_t kChanges = 4096;

} // namespace

Discovery::Discovery(const Spec& spec, const Plan& plan)
    : spec_(spec.discovery),
      notice_(stream(spec.seed, "discovery notice")),
      spread_(stream(spec.seed, "discovery spread")),
      agents_(plan.routers.size(), 1),
      passing_(plan.routers.size()) {
  for (const Machine& m : plan.machines) {
    if (m.at_start) base_[m.id] = {m.id, ServerState::Ready, -1, 1};
  }
}

void Discovery::change(double now, MachineId machine, ServerState state, double started_at, Why why) {
  double after = 0;
  switch (why) {
    case Why::Added: after = draw_uniform(spec_.add_min_ms, spec_.add_max_ms, notice_); break;
    case Why::Left: after = draw_uniform(spec_.notice_min_ms, spec_.notice_max_ms, notice_); break;
    case Why::Silent: after = draw_uniform(spec_.silent_min_ms, spec_.silent_max_ms, notice_); break;
  }
  // The list is updated at multiples of the period.
  double at =
      spec_.period_ms > 0 ? std::ceil((now + after) / spec_.period_ms) * spec_.period_ms : now + after;
  // When an earlier change is already due sooner, the list shows the latest state at that time.
  if (const auto known = coming_.find(machine); known != coming_.end()) at = std::min(at, known->second.at);
  coming_[machine] = {at, {machine, state, started_at, 0}};
}

void Discovery::outage(double now, bool on) {
  advance(now);
  out_ = on;
  advance(now);
}

double Discovery::next() const {
  double at = kForever;
  for (const auto& [machine, c] : coming_) at = std::min(at, c.at);
  if (out_) return at;
  for (const auto& way : passing_) {
    if (!way.empty()) at = std::min(at, way.front().at);
  }
  return at;
}

void Discovery::advance(double now) {
  while (true) {
    double due = kForever;
    for (const auto& [machine, c] : coming_) due = std::min(due, c.at);
    if (due > now) break;
    publish(due);
  }
  if (out_) return;
  for (std::size_t r = 0; r < passing_.size(); ++r) {
    for (auto& way = passing_[r]; !way.empty() && way.front().at <= now; way.pop_front()) {
      agents_[r] = way.front().index;
    }
  }
  trim();
}

void Discovery::publish(double now) {
  ++index_;
  for (auto it = coming_.begin(); it != coming_.end();) {
    if (it->second.at > now) {
      ++it;
      continue;
    }
    Entry entry = it->second.entry;
    entry.index = index_;
    changes_.push_back(entry);
    it = coming_.erase(it);
  }
  // Lists are delivered in order: a list with a shorter delay waits for the earlier ones.
  for (auto& way : passing_) way.push_back({now + draw_uniform(0, spec_.spread_ms, spread_), index_});
}

// Folds the oldest changes, which every agent has received, into the base list.
void Discovery::trim() {
  const std::uint64_t all_have = *std::min_element(agents_.begin(), agents_.end());
  while (changes_.size() > kChanges && changes_.front().index <= all_have) {
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
  return list_between(agents_[router], since);
}

Discovery::List Discovery::list_between(std::uint64_t index, std::optional<std::uint64_t> since) const {
  List list;
  list.index = index;
  // If only a part of a list's changes was folded into the base, the stored changes are incomplete.
  list.whole = !since || *since < base_index_ || *since > list.index;
  std::map<MachineId, Entry> entries;
  if (list.whole) entries = base_;
  for (const Entry& change : changes_) {
    if (change.index > list.index) break;
    if (list.whole || change.index > *since) entries[change.machine] = change;
  }
  for (const auto& [machine, entry] : entries) {
    if (!list.whole || entry.state != ServerState::Gone) list.entries.push_back(entry);
  }
  return list;
}

} // namespace fernward::model
