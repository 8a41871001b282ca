// Placement of keys on caches while the fleet changes: the ring, the caches observed to hold a key, the
// caches that joined so recently that the previous owners are still useful for reads, and the rate at which
// new caches may be filled.
//
// No previous ring is stored: consistent hashing moves a key only to a cache that has joined, so a walk of
// the current ring that skips the recently joined caches finds the former owner of the key.
//
// `Members` is a map from id to Member. `Member` has `Server entry` and `RingWeight seat`. A member is
// removed only after an arrange() in which it was Gone and listed as changed.
//
//  - Units: milliseconds on the caller's clock, which only advances.
//  - Size: grows with the number of caches; tables of keys are fixed, nothing grows with traffic.
//  - Disabled (`transition_ms` 0): only the ring and the key locations are used.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "fernward/balancer.h"
#include "placement/fill_rate_limiter.h"
#include "placement/hot_key_tracker.h"
#include "placement/key_location_cache.h"
#include "placement/ring.h"
#include "statistics/numbers.h"

namespace fernward::placement {

constexpr std::size_t kCandidates = 3; // replicas a key is hashed to (paper: three)

template <typename Member>
class Placement {
 public:
  explicit Placement(const ResizeSettings& set) : set_(set), pace_(set) {
    popularity_.set_chosen_share(set.second_replica_share);
  }

  // ---- Endpoint list ----

  // Applies the members that an endpoint list has changed; after a complete list, all members. The cost is
  // proportional to the changed members, except for rare changes of the mean weight. `on_ring(member)`:
  // whether the member is a cache with ring points, in service or draining.
  template <typename Members, typename OnRing>
  void arrange(double now, Members& members, const std::vector<ServerId>& changed, bool weighted,
               OnRing on_ring) {
    bool doubtful = false;
    for (const ServerId id : changed) doubtful |= weigh(members.at(id), on_ring);
    if (doubtful) weigh_all(members);
    // A power of two near the mean weight, so that it rarely changes with the list.
    const double unit = weight_sum_ > 0 ? std::exp2(std::round(std::log2(weight_sum_ / weighed_))) : 1;
    ring_.reserve(static_cast<std::size_t>(kPoints * weighed_));
    const auto place = [&](ServerId id, Member& m) {
      const double weight = weighted ? std::clamp(m.seat.weight / unit, 0.25, 4.0) : 1;
      ring_.place(id, m, m.seat.weight > 0 ? std::lround(kPoints * weight) : 0);
    };
    if (weighted && std::exchange(unit_, unit) != unit) {
      for (auto& [id, m] : members) place(id, m);
    } else {
      for (const ServerId id : changed) place(id, members.at(id));
    }
    if (on()) note_changes(now, members, changed, on_ring);
  }

  // ---- Choice ----

  struct Choice {
    // The candidates of the key on the current ring, followed by those that were candidates before other
    // caches joined recently.
    std::array<Member*, 2 * kCandidates> at{};
    std::size_t size = 0;
    Member* former = nullptr; // if moving: usable owner of the key before its first candidate joined
    bool moving = false;      // its first candidate joined recently and is not known to hold it
  };
  template <typename Usable>
  Choice candidates(double now, std::uint64_t key, Usable usable) {
    Choice c;
    std::size_t looked = 0, settled = 0;
    std::array<Member*, kCandidates> before{};
    std::size_t left = 0;
    ring_.walk(key, [&](Member& m) {
      if (!usable(m)) return true;
      const bool candidate = c.size < kCandidates;
      if (candidate) c.at[c.size++] = &m;
      if (!on()) return c.size < kCandidates;
      const bool lately = came_lately(now, key, m);
      if (c.size == 1 && candidate) c.moving = lately && !memory_.holds(key, m.entry.id);
      if (!lately) {
        if (settled++ == 0 && c.moving) c.former = &m;
        if (!candidate && (&m == c.former || memory_.holds(key, m.entry.id))) before[left++] = &m;
      }
      return c.size < kCandidates || (settled < kCandidates && ++looked < kFarthest);
    });
    for (std::size_t i = 0; i < left; ++i) c.at[c.size++] = before[i];
    return c;
  }

  // Whether the candidate is likely to hold the key. The first candidate is, because every router asks it
  // first, unless it joined recently and another one is known to hold the key. Others are if this router
  // observed the key there, or if they owned it before.
  bool likely_holds(const Choice& c, std::size_t i, std::uint64_t key) const {
    if (key != 0 && (c.at[i] == c.former || memory_.holds(key, c.at[i]->entry.id))) return true;
    if (i > 0 || !c.moving || key == 0) return i == 0;
    for (std::size_t k = 1; k < c.size; ++k) {
      if (c.at[k] == c.former || memory_.holds(key, c.at[k]->entry.id)) return false;
    }
    return true;
  }

  // Whether the member joined so recently that keys it is not known to hold reach it only by fills.
  bool lately(double now, std::uint64_t key, const Member& m) const {
    return on() && came_lately(now, key, m);
  }

  // The member to which the read is sent so that it fetches and stores the key: the new owner of a moving
  // key, or else the second candidate of a popular one. Null: none now. Popular keys are filled first: the
  // fewer fills are saved, the more popular a key must be.
  struct Filling {
    Member* whom = nullptr;
    FillRateLimiter::Fill what{}; // token bucket to charge when the fill is sent
  };
  Filling choose_fill(double now, std::uint64_t key, const Choice& c) {
    if (!on() || key == 0 || c.size == 0) return {};
    double saved = 0;
    if (c.moving) {
      if (c.former == nullptr || !pace_.may_fill(now, FillRateLimiter::Fill::NewOwner, saved)) return {};
      const auto bar = saved < 2   ? HotKeyTracker::Fifth
                       : saved < 3 ? HotKeyTracker::Half
                                   : HotKeyTracker::MostPart;
      return {popularity_.is_in_top_share(bar, key) ? c.at[0] : nullptr, FillRateLimiter::Fill::NewOwner};
    }
    if (c.size < 2 || pace_.is_active(now) || !popularity_.is_in_top_share(HotKeyTracker::Chosen, key))
      return {};
    if (!memory_.holds(key, c.at[0]->entry.id) || memory_.holds(key, c.at[1]->entry.id)) return {};
    return {pace_.may_fill(now, FillRateLimiter::Fill::SecondReplica, saved) ? c.at[1] : nullptr,
            FillRateLimiter::Fill::SecondReplica};
  }

  // After a cache miss, before the key is fetched: another member that should hold the key, and would store
  // it if the read went there first. This costs a further miss but no additional fetch. `usable` must exclude
  // members that were already tried.
  template <typename Usable>
  Member* choose_second_store(double now, std::uint64_t key, std::size_t missed, Usable usable) {
    if (!on() || key == 0 || missed >= kStored) return nullptr;
    Member* found = nullptr;
    std::size_t place = 0;
    ring_.walk(key, [&](Member& m) {
      if (m.entry.state != ServerState::Ready) return true;
      const bool owner = place == 0 && came_lately(now, key, m);
      const bool second = place <= 1 && popularity_.is_in_top_share(HotKeyTracker::Chosen, key);
      if ((owner || second) && usable(m)) found = &m;
      return found == nullptr && ++place < 2;
    });
    return found;
  }

  // ---- Events ----

  void on_read(double now, std::uint64_t key) {
    if (!on()) return;
    pace_.on_read(now);
    if (key != 0) popularity_.on_read(key);
  }
  void on_hit(std::uint64_t key, ServerId id, double sent_at) { memory_.add(key, id, sent_at); }
  void on_miss(std::uint64_t key, ServerId id) { memory_.remove(key, id); }
  void on_write(std::uint64_t key, double now) { // the write was executed, or may have been
    if (on() && key != 0) memory_.invalidate(key, now);
  }
  FillRateLimiter& fill_rate_limiter() { return pace_; }
  const FillRateLimiter& fill_rate_limiter() const { return pace_; }

 private:
  static constexpr double kPoints = 64;        // ring points of a cache of typical weight
  static constexpr std::size_t kSlots = 8192;  // keys whose locations are remembered
  static constexpr std::size_t kFarthest = 64; // members visited in search of a former owner
  static constexpr std::size_t kStored = 2;    // highest number of caches that store a fetched value
  static constexpr std::size_t kMostLeft = 4096;

  bool on() const { return set_.transition_ms > 0; }

  // Keys end their move at different times in the second half of the transition, as otherwise all of them
  // would be fetched from the origin at once.
  bool came_lately(double now, std::uint64_t key, const Member& m) const {
    const double part = 0.5 + 0.5 * Random{key ^ 0x6d6f7665}.unit();
    return now < m.seat.joined_at + part * set_.transition_ms;
  }

  // Updates the member's weight in the sum. True: its previous weight was more than the remaining sum, which
  // may then be inexact and must be recomputed.
  template <typename OnRing>
  bool weigh(Member& m, OnRing on_ring) {
    const double had = std::exchange(m.seat.weight, on_ring(m) ? m.entry.weight : 0);
    weight_sum_ += m.seat.weight - had;
    weighed_ += (m.seat.weight > 0) - (had > 0);
    return had > weight_sum_;
  }
  template <typename Members>
  void weigh_all(Members& members) {
    weight_sum_ = 0;
    for (const auto& [id, m] : members) weight_sum_ += m.seat.weight;
  }

  // Finds members that joined, left or restarted since the last list. Forgets the keys of new and restarted
  // members, and activates the fill rate limit.
  template <typename Members, typename OnRing>
  void note_changes(double now, Members& members, const std::vector<ServerId>& listed, OnRing on_ring) {
    const bool first = !told_; // the first list has start times but no join times
    bool changed = false;
    std::vector<ServerId> anew;
    for (const ServerId id : listed) {
      Member& m = members.at(id);
      RingWeight& seat = m.seat;
      const bool serves = on_ring(m) && m.entry.state == ServerState::Ready;
      const bool restarted = seat.known && m.entry.started_at > seat.booted_at;
      if (restarted || (serves && !seat.known && !back(id, m))) {
        seat.joined_at = first ? started(m) : now;
        if (!first) anew.push_back(id);
      }
      if (first && serves && now - seat.joined_at < set_.transition_ms)
        pace_.on_fleet_changed(seat.joined_at);
      if (seat.serves && !serves && left_.size() < kMostLeft)
        left_[id] = {seat.booted_at, seat.joined_at, now};
      changed |= serves != seat.serves || restarted;
      seat.serves = serves;
      seat.known |= serves;
      if (seat.known) seat.booted_at = m.entry.started_at;
    }
    std::sort(anew.begin(), anew.end());
    if (!anew.empty()) {
      memory_.forget([&](ServerId id) { return std::binary_search(anew.begin(), anew.end(), id); });
    }
    std::erase_if(left_, [&](const auto& l) { return now - l.second.at > set_.transition_ms; });
    if (changed && !first) pace_.on_fleet_changed(now);
    told_ |= changed;
  }
  // The member left recently and returns as the same process, so it still holds its keys.
  bool back(ServerId id, Member& m) {
    const auto was = left_.find(id);
    if (was == left_.end() || was->second.booted_at != m.entry.started_at) return false;
    m.seat.joined_at = was->second.joined_at;
    return true;
  }
  static double started(const Member& m) { return m.entry.started_at > 0 ? m.entry.started_at : kNever; }

  struct Left {
    double booted_at, joined_at, at;
  };
  ResizeSettings set_;
  Ring<Member> ring_;
  double weight_sum_ = 0, unit_ = 1; // of members on the ring; typical weight
  int weighed_ = 0;                  // number of members on the ring
  KeyLocationCache memory_{kSlots};
  HotKeyTracker popularity_;
  FillRateLimiter pace_;
  std::map<ServerId, Left> left_;
  bool told_ = false; // a list with a member in service was received
};

} // namespace fernward::placement
