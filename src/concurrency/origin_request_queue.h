// Who may wait for a turn at the origin, who goes next, and who leaves because it will surely be late. Decides; no
// I/O, no clock.
//
// The dearest goes first, then the newest: oldest first, all of a long queue would be late. A read whose turn cannot
// come in time leaves at once, with advice when to return. A write waits until its own deadline.
//
//  - Units: milliseconds on the caller's clock, which only advances; answers per ms.
//  - Ownership: ids are the caller's; each that was added is handed back once, by take() or leave(), or is removed by
//    the caller.
//  - Size: at most `most` wait; beyond that a dearer newcomer puts out the last, which the next leave() names.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fernward::concurrency {

class OriginRequestQueue {
 public:
  using Id = std::uint64_t;

  explicit OriginRequestQueue(std::size_t most = 4096) : most_(most) {}

  // Told whenever it is known better: how many turns come up per ms at this router, and how long an answer takes
  // from its turn on.
  void set_service_rate(double turns_per_ms, double answer_ms);

  // False: not taken, as the turn would surely come too late or all places are taken by dearer ones. `needed_by`:
  // the time at which the answer must be there.
  bool add(double now, Id id, double worth, double needed_by, bool write);
  // The next to go, where there is room for a read or for a write alone.
  std::optional<Id> take(double now, bool read_room, bool write_room);
  bool remove(Id id); // its request is over
  // Appends those that will surely be late now, or were put out; they are no longer waiting.
  void take_expired(double now, std::vector<Id>& ids);

  std::size_t size() const { return waiting_.size(); }
  // After this long a newcomer of the least worth would find its turn, as things stand.
  double retry_after_ms() const;

 private:
  struct Waiting {
    Id id;
    double needed_by, since;
    bool write;
  };
  using Place = std::pair<double, std::uint64_t>; // -worth, then newest first

  double wait_ms(std::size_t ahead) const;
  bool late(double now, const Waiting& w, std::size_t ahead) const;

  std::size_t most_;
  std::map<Place, Waiting> waiting_;
  std::unordered_map<Id, Place> places_;
  std::vector<Id> put_out_;
  std::uint64_t turn_ = 0;
  double turns_per_ms_ = 0, answer_ms_ = 0;
};

} // namespace fernward::concurrency
