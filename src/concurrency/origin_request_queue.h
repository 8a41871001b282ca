// Queue of requests that wait for an attempt to the origin. Pure decisions: no I/O, no clock.
//
// The request with the highest priority weight is sent first; of equal ones the newest, because oldest first
// would make all requests of a long queue late. A read that cannot be served in time is removed at once, and
// the caller abandons it. A write waits until its own deadline.
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

// Ids are assigned by the caller. Each added id is returned once, by take() or take_expired(), unless it is
// removed.
class OriginRequestQueue {
 public:
  using Id = std::uint64_t;

  // In a full queue a request of higher priority weight evicts the last request, which the next
  // take_expired() returns.
  explicit OriginRequestQueue(std::size_t max_size = 4096) : max_size_(max_size) {}

  // `attempts_per_ms`: rate of attempts that this router may send to the origin; `response_time_ms`: from
  // sending an attempt to its response.
  void set_service_rate(double attempts_per_ms, double response_time_ms);

  // False: not queued, as it would certainly be late, or the queue is full and no request in it may be
  // evicted for it, or the id is queued already. `deadline`: time by which the response is needed.
  bool add(double now, Id id, double priority_weight, double deadline, bool write);
  // Removes and returns the next request of the kinds that may be sent.
  std::optional<Id> take(double now, bool may_read, bool may_write);
  // Replaces the deadline of a queued request; others are ignored.
  void set_deadline(Id id, double deadline);
  // The request has ended. False: not queued.
  bool remove(Id id);
  // Removes the requests that will certainly be late, and appends them and the evicted ones to `ids`.
  void take_expired(double now, std::vector<Id>& ids);

  std::size_t size() const { return requests_.size(); }
  // Time until a new request of the lowest priority weight would get its response.
  double retry_after_ms() const;

 private:
  struct Request {
    Id id;
    double deadline;
    bool write;
  };
  using Position = std::pair<double, std::uint64_t>; // -priority_weight, then newest first

  double wait_ms(std::size_t requests_ahead) const;
  bool is_late(double now, const Request& request, std::size_t requests_ahead) const;

  std::size_t max_size_;
  std::map<Position, Request> requests_;
  std::unordered_map<Id, Position> positions_;
  std::vector<Id> evicted_;
  std::uint64_t added_count_ = 0;
  double attempts_per_ms_ = 0;
  double response_time_ms_ = 0;
};

} // namespace fernward::concurrency
