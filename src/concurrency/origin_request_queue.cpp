#include "concurrency/origin_request_queue.h"

#include <algorithm>
#include <iterator>

namespace fernward::concurrency {
namespace {

constexpr double kMinExpectedTimeShare = 0.5; // of the expected time, that even the fastest request needs

} // namespace

void OriginRequestQueue::set_service_rate(double attempts_per_ms, double response_time_ms) {
  attempts_per_ms_ = std::max(0.0, attempts_per_ms);
  response_time_ms_ = std::max(0.0, response_time_ms);
}

double OriginRequestQueue::wait_ms(std::size_t requests_ahead) const {
  // If the rate is unknown, no wait is expected.
  return attempts_per_ms_ > 0 ? static_cast<double>(requests_ahead) / attempts_per_ms_ : 0;
}

bool OriginRequestQueue::is_late(double now, const Request& request, std::size_t requests_ahead) const {
  return !request.write &&
         now + kMinExpectedTimeShare * (wait_ms(requests_ahead) + response_time_ms_) > request.deadline;
}

bool OriginRequestQueue::add(double now, Id id, double priority_weight, double deadline, bool write) {
  if (positions_.count(id) != 0) return false;
  const Position position{-priority_weight, ~added_count_};
  const Request request{id, deadline, write};
  const auto next = requests_.lower_bound(position);
  const auto requests_ahead = static_cast<std::size_t>(std::distance(requests_.begin(), next));
  if (is_late(now, request, requests_ahead)) return false;
  if (requests_.size() >= max_size_) {
    const auto last = std::prev(requests_.end());
    if (last->first.first <= position.first || last->second.write) return false;
    evicted_.push_back(last->second.id);
    positions_.erase(last->second.id);
    requests_.erase(last);
  }
  ++added_count_;
  requests_.emplace(position, request);
  positions_.emplace(id, position);
  return true;
}

std::optional<OriginRequestQueue::Id> OriginRequestQueue::take(double, bool may_read, bool may_write) {
  for (auto it = requests_.begin(); it != requests_.end(); ++it) {
    if (!(it->second.write ? may_write : may_read)) continue;
    const Id id = it->second.id;
    positions_.erase(id);
    requests_.erase(it);
    return id;
  }
  return std::nullopt;
}

void OriginRequestQueue::set_deadline(Id id, double deadline) {
  const auto it = positions_.find(id);
  if (it != positions_.end()) requests_.at(it->second).deadline = deadline;
}

bool OriginRequestQueue::remove(Id id) {
  const auto it = positions_.find(id);
  if (it == positions_.end()) return false;
  requests_.erase(it->second);
  positions_.erase(it);
  return true;
}

void OriginRequestQueue::take_expired(double now, std::vector<Id>& ids) {
  ids.insert(ids.end(), evicted_.begin(), evicted_.end());
  evicted_.clear();
  std::size_t requests_ahead = 0;
  for (auto it = requests_.begin(); it != requests_.end();) {
    if (is_late(now, it->second, requests_ahead)) {
      ids.push_back(it->second.id);
      positions_.erase(it->second.id);
      it = requests_.erase(it);
    } else {
      ++requests_ahead;
      ++it;
    }
  }
}

double OriginRequestQueue::retry_after_ms() const { return wait_ms(requests_.size()) + response_time_ms_; }

} // namespace fernward::concurrency
