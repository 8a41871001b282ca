// Requests that wait for an attempt at the origin. Decides; no I/O, no clock.
//
// The most valuable goes first, of equal ones the newest: oldest first, all of a long queue would be late. A
// read that can't be served in time leaves at once, and the caller gives it up. A write waits until its own
// deadline.
// Units: milliseconds on the caller's clock, which only advances.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fernward::concurrency {

// Ids are the caller's. Each that was added is handed back once, by take() or take_expired(), or is removed.
class OriginRequestQueue {
 public:
  using Id = std::uint64_t;

  // Beyond `max_size` a more valuable request evicts the last one, which the next take_expired() returns.
  explicit OriginRequestQueue(std::size_t max_size = 4096) : max_size_(max_size) {}

  // `turns_per_ms`: attempts that this router may start at the origin; `response_ms`: from the turn on.
  void set_service_rate(double turns_per_ms, double response_ms);

  // False: not queued, as its turn would surely come too late or all places are taken by more valuable
  // requests. `deadline`: when the response must be there.
  bool add(double now, Id id, double value, double deadline, bool write);
  // The next to go, of those whose kind may be sent.
  std::optional<Id> take(double now, bool may_read, bool may_write);
  // Its request is over. False: not queued.
  bool remove(Id id);
  // Removes those that will surely be late, and appends them and the evicted ones to `ids`.
  void take_expired(double now, std::vector<Id>& ids);

  std::size_t size() const { return requests_.size(); }
  // When a new request of the least value would get its response.
  double retry_after_ms() const;

 private:
  struct Request {
    Id id;
    double deadline;
    bool write;
  };
  using Position = std::pair<double, std::uint64_t>; // -value, then newest first

  double wait_ms(std::size_t ahead) const;
  bool is_late(double now, const Request& request, std::size_t ahead) const;

  std::size_t max_size_;
  std::map<Position, Request> requests_;
  std::unordered_map<Id, Position> positions_;
  std::vector<Id> evicted_;
  std::uint64_t added_ = 0;
  double turns_per_ms_ = 0;
  double response_ms_ = 0;
};

} // namespace fernward::concurrency
