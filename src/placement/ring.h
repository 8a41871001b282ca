// Ring for consistent hashing with virtual nodes. It is the same at every router, and a change of the
// endpoint list moves few keys. No I/O, no clock.
//
// The points of the ring are divided into buckets by the first bits of their hash. Adding or removing a
// member changes only the buckets of its own points, whatever the number of members.
//
// `Member` has a `RingWeight seat`. The ring holds pointers to members, which must outlive their points:
// remove a member only after place() with 0 points.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "fernward/balancer.h"
#include "statistics/numbers.h"

namespace fernward::placement {

// Per-member state of Ring and Placement.
struct RingWeight {
  std::int64_t points = 0;
  double weight = 0;    // as counted in the mean; 0: not on the ring
  bool counted = false; // temporary mark during walk()
  // Used by Placement.
  bool known = false, serves = false;            // was ever in service; is now
  double joined_at = kNever, booted_at = kNever; // time from which it may hold keys; process start
};

template <typename Member>
class Ring {
 public:
  // Sets the number of points of the member; 0 removes it.
  void place(ServerId id, Member& m, std::int64_t points) {
    const std::int64_t had = std::exchange(m.seat.points, points);
    for (std::int64_t i = points; i < had; ++i) remove(hash_of(id, i), id);
    for (std::int64_t i = had; i < points; ++i) insert({hash_of(id, i), id, &m});
  }

  // Prepares for this total number of points, so that a complete list does not split the buckets repeatedly.
  void reserve(std::size_t points) {
    while (points > kFill * buckets_.size()) split_buckets();
  }

  // Finds the first distinct members clockwise of the key for which `usable` is true. Returns their number.
  template <std::size_t N, typename Usable>
  std::size_t walk(std::uint64_t key, std::array<Member*, N>& found, Usable usable) {
    std::size_t n = 0;
    walk(key, [&](Member& m) {
      if (usable(m)) found[n++] = &m;
      return n < N;
    });
    return n;
  }
  // Visits each distinct member clockwise of the key until `visit(member)` returns false.
  template <typename Visit>
  void walk(std::uint64_t key, Visit visit) {
    if (size_ == 0) return;
    const std::uint64_t start = mix(key);
    std::size_t bucket = bucket_of(start);
    auto at = std::lower_bound(buckets_[bucket].begin(), buckets_[bucket].end(), start,
                               [](const Point& point, std::uint64_t hash) { return point.hash < hash; });
    seen_.clear();
    for (std::size_t i = 0; i < size_; ++i, ++at) {
      while (at == buckets_[bucket].end()) {
        bucket = (bucket + 1) % buckets_.size();
        at = buckets_[bucket].begin();
      }
      Member* m = at->member;
      if (m->seat.counted) continue;
      m->seat.counted = true;
      seen_.push_back(m);
      if (!visit(*m)) break;
    }
    for (Member* m : seen_) m->seat.counted = false;
  }

 private:
  struct Point {
    std::uint64_t hash;
    ServerId id;
    Member* member;
  };
  using Bucket = std::vector<Point>; // in the order of before()

  static constexpr std::size_t kFill = 8; // mean points per bucket at which the buckets are doubled

  static std::uint64_t hash_of(ServerId id, std::int64_t number) {
    return mix(mix(id) + static_cast<std::uint64_t>(number));
  }
  static bool before(const Point& a, const Point& b) {
    return a.hash != b.hash ? a.hash < b.hash : a.id < b.id;
  }
  std::size_t bucket_of(std::uint64_t hash) const {
    return bits_ == 0 ? 0 : static_cast<std::size_t>(hash >> (64 - bits_));
  }
  void insert(const Point& point) {
    if (size_ >= kFill * buckets_.size()) split_buckets();
    Bucket& bucket = buckets_[bucket_of(point.hash)];
    if (bucket.empty()) bucket.reserve(kFill);
    bucket.insert(std::upper_bound(bucket.begin(), bucket.end(), point, before), point);
    ++size_;
  }
  void remove(std::uint64_t hash, ServerId id) {
    size_ -= std::erase_if(buckets_[bucket_of(hash)],
                           [hash, id](const Point& point) { return point.hash == hash && point.id == id; });
  }
  // Splits each bucket in two by the next bit of the hash; the order of the points is kept.
  void split_buckets() {
    std::vector<Bucket> halves(2 * buckets_.size());
    ++bits_;
    if (size_ == 0) return buckets_.swap(halves);
    for (const Bucket& bucket : buckets_) {
      for (const Point& point : bucket) halves[bucket_of(point.hash)].push_back(point);
    }
    buckets_ = std::move(halves);
  }

  std::vector<Bucket> buckets_{1};
  int bits_ = 0;         // leading bits of a hash that select its bucket
  std::size_t size_ = 0; // points
  std::vector<Member*> seen_;
};

} // namespace fernward::placement
