// Where keys live: consistent hashing with virtual nodes, the same at every node, so that a change of the list
// moves few keys. Decides; no I/O, no clock.
//
// `Member` has a `Seat seat`; the ring points to members, which outlive their points: a member goes only after
// a build() that gave it no place.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "fernward/choice.h"
#include "numbers/numbers.h"

namespace fernward::placement {

struct Seat { // what is kept at a member
  std::int64_t points = 0;
  bool counted = false, stale = false; // scratch
  // See Placement.
  bool known = false, serves = false;            // it has been in service; it is now
  double joined_at = kNever, booted_at = kNever; // since when it can have been given keys; its start
};

template <typename Member>
class Ring {
 public:
  // Changes only what the list changed: sorting all points at each message is most of a large fleet's CPU.
  // `members`: any range of (id, member); `points(member)`: how many places it gets, 0 for none.
  template <typename Members, typename Points>
  void build(Members& members, Points points) {
    std::vector<Point> added;
    bool changed = false;
    for (auto& [id, m] : members) {
      const std::int64_t n = points(m);
      m.seat.stale = n != m.seat.points;
      if (!m.seat.stale) continue;
      changed |= m.seat.points > 0;
      m.seat.points = n;
      for (std::int64_t i = 0; i < n; ++i) {
        added.push_back({mix(mix(id) + static_cast<std::uint64_t>(i)), id, &m});
      }
    }
    if (changed) std::erase_if(points_, [](const Point& p) { return p.member->seat.stale; });
    sort(added);
    const auto old = static_cast<std::ptrdiff_t>(points_.size());
    points_.insert(points_.end(), added.begin(), added.end());
    std::inplace_merge(points_.begin(), points_.begin() + old, points_.end(), before);
  }

  // The first distinct members clockwise of the key that `usable` lets through; the others are walked past.
  template <std::size_t N, typename Usable>
  std::size_t walk(std::uint64_t key, std::array<Member*, N>& found, Usable usable) {
    std::size_t n = 0;
    walk(key, [&](Member& m) {
      if (usable(m)) found[n++] = &m;
      return n < N;
    });
    return n;
  }
  // Each distinct member clockwise of the key, until `visit(member)` says no.
  template <typename Visit>
  void walk(std::uint64_t key, Visit visit) {
    auto at = std::lower_bound(points_.begin(), points_.end(), mix(key),
                               [](const Point& point, std::uint64_t h) { return point.hash < h; });
    seen_.clear();
    for (std::size_t i = 0; i < points_.size(); ++i, ++at) {
      if (at == points_.end()) at = points_.begin();
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
  static bool before(const Point& a, const Point& b) {
    return a.hash != b.hash ? a.hash < b.hash : a.id < b.id;
  }
  // Hashes are spread evenly, so dealing them out by their first bits leaves next to nothing to sort: a list of a
  // thousand nodes that comes whole must not hold the loop.
  static void sort(std::vector<Point>& points) {
    constexpr std::size_t kFew = 2048;
    if (points.size() < kFew) return std::sort(points.begin(), points.end(), before);
    const int bits = static_cast<int>(std::bit_width(points.size())) - 1;
    std::vector<std::uint32_t> ends((std::size_t{1} << bits) + 1, 0);
    const auto part = [bits](const Point& p) { return static_cast<std::size_t>(p.hash >> (64 - bits)); };
    for (const Point& p : points) ++ends[part(p) + 1];
    for (std::size_t i = 1; i < ends.size(); ++i) ends[i] += ends[i - 1];
    std::vector<Point> dealt(points.size());
    std::vector<std::uint32_t> next(ends.begin(), ends.end() - 1);
    for (const Point& p : points) dealt[next[part(p)]++] = p;
    for (std::size_t i = 0; i + 1 < ends.size(); ++i) {
      std::sort(dealt.begin() + ends[i], dealt.begin() + ends[i + 1], before);
    }
    points = std::move(dealt);
  }
  std::vector<Point> points_;
  std::vector<Member*> seen_;
};

} // namespace fernward::placement
