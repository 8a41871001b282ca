// Ring for consistent hashing with virtual nodes. It is the same at every router, and a change of the
// endpoint list moves few keys. No I/O, no clock.
//
// The points of the ring are divided into buckets by the first bits of their hash. Adding or removing a
// member changes only the buckets of its own points, whatever the number of members.
//
// `Member` has a `RingMemberState ring_state`. The ring holds pointers to members, which must outlive their
// points: remove a member only after place() with 0 points.
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
struct RingMemberState {
  std::int64_t points = 0;
  double weight = 0;    // as counted in the mean; 0: not on the ring
  bool visited = false; // temporary mark during walk()
  // Used by Placement.
  bool was_in_service = false, in_service = false; // was ever in service; is now
  double joined_at = kNever, started_at = kNever;  // time from which it may hold keys; process start
};

template <typename Member>
class Ring {
 public:
  // Sets the number of points of the member; 0 removes it.
  void place(ServerId id, Member& member, std::int64_t points) {
    const std::int64_t previous_points = std::exchange(member.ring_state.points, points);
    for (std::int64_t i = points; i < previous_points; ++i) remove(hash_of(id, i), id);
    for (std::int64_t i = previous_points; i < points; ++i) insert({hash_of(id, i), id, &member});
  }

  // Prepares for this total number of points, so that a complete list does not split the buckets repeatedly.
  void reserve(std::size_t points) {
    while (points > kPointsPerBucket * buckets_.size()) split_buckets();
  }

  // Finds the first distinct members clockwise of the key for which `usable` is true. Returns their number.
  template <std::size_t N, typename Usable>
  std::size_t walk(std::uint64_t key, std::array<Member*, N>& found, Usable usable) {
    std::size_t found_count = 0;
    walk(key, [&](Member& member) {
      if (usable(member)) found[found_count++] = &member;
      return found_count < N;
    });
    return found_count;
  }
  // Visits each distinct member clockwise of the key until `visit(member)` returns false.
  template <typename Visit>
  void walk(std::uint64_t key, Visit visit) {
    if (point_count_ == 0) return;
    const std::uint64_t start = mix_bits(key);
    std::size_t bucket = bucket_of(start);
    auto position =
        std::lower_bound(buckets_[bucket].begin(), buckets_[bucket].end(), start,
                         [](const Point& point, std::uint64_t hash) { return point.hash < hash; });
    visited_members_.clear();
    for (std::size_t i = 0; i < point_count_; ++i, ++position) {
      while (position == buckets_[bucket].end()) {
        bucket = (bucket + 1) % buckets_.size();
        position = buckets_[bucket].begin();
      }
      Member* member = position->member;
      if (member->ring_state.visited) continue;
      member->ring_state.visited = true;
      visited_members_.push_back(member);
      if (!visit(*member)) break;
    }
    for (Member* member : visited_members_) member->ring_state.visited = false;
  }

 private:
  struct Point {
    std::uint64_t hash;
    ServerId id;
    Member* member;
  };
  using Bucket = std::vector<Point>; // in the order of point_order()

  // Mean points per bucket at which the number of buckets is doubled.
  static constexpr std::size_t kPointsPerBucket = 8;

  static std::uint64_t hash_of(ServerId id, std::int64_t point_index) {
    return mix_bits(mix_bits(id) + static_cast<std::uint64_t>(point_index));
  }
  static bool point_order(const Point& a, const Point& b) {
    return a.hash != b.hash ? a.hash < b.hash : a.id < b.id;
  }
  std::size_t bucket_of(std::uint64_t hash) const {
    return bucket_bits_ == 0 ? 0 : static_cast<std::size_t>(hash >> (64 - bucket_bits_));
  }
  void insert(const Point& point) {
    if (point_count_ >= kPointsPerBucket * buckets_.size()) split_buckets();
    Bucket& bucket = buckets_[bucket_of(point.hash)];
    if (bucket.empty()) bucket.reserve(kPointsPerBucket);
    bucket.insert(std::upper_bound(bucket.begin(), bucket.end(), point, point_order), point);
    ++point_count_;
  }
  void remove(std::uint64_t hash, ServerId id) {
    point_count_ -= std::erase_if(buckets_[bucket_of(hash)], [hash, id](const Point& point) {
      return point.hash == hash && point.id == id;
    });
  }
  // Splits each bucket in two by the next bit of the hash; the order of the points is kept.
  void split_buckets() {
    std::vector<Bucket> halves(2 * buckets_.size());
    ++bucket_bits_;
    if (point_count_ == 0) return buckets_.swap(halves);
    for (const Bucket& bucket : buckets_) {
      for (const Point& point : bucket) halves[bucket_of(point.hash)].push_back(point);
    }
    buckets_ = std::move(halves);
  }

  std::vector<Bucket> buckets_{1};
  int bucket_bits_ = 0; // leading bits of a hash that select its bucket
  std::size_t point_count_ = 0;
  std::vector<Member*> visited_members_;
};

} // namespace fernward::placement
