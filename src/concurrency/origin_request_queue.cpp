#include "concurrency/origin_request_queue.h"

#include <algorithm>
#include <iterator>

namespace fernward::concurrency {
namespace {

constexpr double kSure = 0.5; // share of the expected time that even a lucky one needs

} // namespace

void OriginRequestQueue::set_service_rate(double turns_per_ms, double answer_ms) {
  turns_per_ms_ = std::max(0.0, turns_per_ms);
  answer_ms_ = std::max(0.0, answer_ms);
}

double OriginRequestQueue::wait_ms(std::size_t ahead) const {
  return turns_per_ms_ > 0 ? static_cast<double>(ahead) / turns_per_ms_ : 0; // nothing known: hope
}

bool OriginRequestQueue::late(double now, const Waiting& w, std::size_t ahead) const {
  return !w.write && now + kSure * (wait_ms(ahead) + answer_ms_) > w.needed_by;
}

bool OriginRequestQueue::add(double now, Id id, double worth, double needed_by, bool write) {
  if (places_.count(id) != 0) return false;
  const Place place{-worth, ~turn_};
  const Waiting w{id, needed_by, now, write};
  const auto at = waiting_.lower_bound(place);
  if (late(now, w, static_cast<std::size_t>(std::distance(waiting_.begin(), at)))) return false;
  if (waiting_.size() >= most_) {
    const auto last = std::prev(waiting_.end());
    if (last->first.first <= place.first || last->second.write) return false;
    put_out_.push_back(last->second.id);
    places_.erase(last->second.id);
    waiting_.erase(last);
  }
  ++turn_;
  waiting_.emplace(place, w);
  places_.emplace(id, place);
  return true;
}

std::optional<OriginRequestQueue::Id> OriginRequestQueue::take(double, bool read_room, bool write_room) {
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (!(it->second.write ? write_room : read_room)) continue;
    const Id id = it->second.id;
    places_.erase(id);
    waiting_.erase(it);
    return id;
  }
  return std::nullopt;
}

bool OriginRequestQueue::remove(Id id) {
  const auto it = places_.find(id);
  if (it == places_.end()) return false;
  waiting_.erase(it->second);
  places_.erase(it);
  return true;
}

void OriginRequestQueue::take_expired(double now, std::vector<Id>& ids) {
  ids.insert(ids.end(), put_out_.begin(), put_out_.end());
  put_out_.clear();
  std::size_t ahead = 0;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (late(now, it->second, ahead)) {
      ids.push_back(it->second.id);
      places_.erase(it->second.id);
      it = waiting_.erase(it);
    } else {
      ++ahead, ++it;
    }
  }
}

double OriginRequestQueue::retry_after_ms() const { return wait_ms(waiting_.size()) + answer_ms_; }

} // namespace fernward::concurrency
