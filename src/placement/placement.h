// Placement of keys on caches while the fleet changes: the ring, the caches observed to hold a key, the
// caches that joined so recently that the previous owners are still useful for reads, and the rate at which
// new caches may be filled.
//
// No previous ring is stored: consistent hashing moves a key only to a cache that has joined, so a walk of
// the current ring that skips the recently joined caches finds the former owner of the key.
//
// `Members` is a map from id to Member. `Member` has `Server entry` and `RingMemberState ring_state`. A
// member is removed only after an update_members() in which it was Gone and listed as changed.
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

constexpr std::size_t kCandidates = 3; // replicas a key is hashed to, as in the TAP paper (policy/replica.h)

template <typename Member>
class Placement {
 public:
  explicit Placement(const ResizeSettings& settings) : settings_(settings), fill_rate_limiter_(settings) {
    hot_keys_.set_configured_share(settings.second_replica_share);
  }

  // ---- Endpoint list ----

  // Applies the members that an endpoint list has changed; after a complete list, all members. The cost is
  // proportional to the changed members, except for rare changes of the mean weight. `on_ring(member)`:
  // whether the member is a cache with ring points, in service or draining.
  template <typename Members, typename OnRing>
  void update_members(double now, Members& members, const std::vector<ServerId>& changed, bool weighted,
                      OnRing on_ring) {
    bool needs_recompute = false;
    for (const ServerId id : changed) needs_recompute |= update_weight(members.at(id), on_ring);
    if (needs_recompute) recompute_weight_sum(members);
    // A power of two near the mean weight, so that it rarely changes with the list.
    const double typical_weight =
        weight_sum_ > 0 ? std::exp2(std::round(std::log2(weight_sum_ / weighted_member_count_))) : 1;
    ring_.reserve(static_cast<std::size_t>(kPointsPerMember * weighted_member_count_));
    const auto place_member = [&](ServerId id, Member& member) {
      const double weight = weighted ? std::clamp(member.ring_state.weight / typical_weight, 0.25, 4.0) : 1;
      ring_.place(id, member, member.ring_state.weight > 0 ? std::lround(kPointsPerMember * weight) : 0);
    };
    if (weighted && std::exchange(typical_weight_, typical_weight) != typical_weight) {
      for (auto& [id, member] : members) place_member(id, member);
    } else {
      for (const ServerId id : changed) place_member(id, members.at(id));
    }
    if (enabled()) track_changes(now, members, changed, on_ring);
  }

  // ---- Choice ----

  struct Choice {
    // The candidates of the key on the current ring, followed by those that were candidates before other
    // caches joined recently.
    std::array<Member*, 2 * kCandidates> replicas{};
    std::size_t size = 0;
    Member* former_owner = nullptr; // if moving: usable owner of the key before its first candidate joined
    bool moving = false;            // its first candidate joined recently and is not known to hold it
  };
  template <typename Usable>
  Choice candidates(double now, std::uint64_t key, Usable usable) {
    Choice choice;
    std::size_t visited_count = 0, settled_member_count = 0;
    std::array<Member*, kCandidates> former_candidates{};
    std::size_t former_candidate_count = 0;
    ring_.walk(key, [&](Member& member) {
      if (!usable(member)) return true;
      const bool is_candidate = choice.size < kCandidates;
      if (is_candidate) choice.replicas[choice.size++] = &member;
      if (!enabled()) return choice.size < kCandidates;
      const bool is_new = joined_recently(now, key, member);
      if (choice.size == 1 && is_candidate)
        choice.moving = is_new && !key_locations_.holds(key, member.entry.id);
      if (!is_new) {
        if (settled_member_count++ == 0 && choice.moving) choice.former_owner = &member;
        if (!is_candidate && (&member == choice.former_owner || key_locations_.holds(key, member.entry.id)))
          former_candidates[former_candidate_count++] = &member;
      }
      return choice.size < kCandidates ||
             (settled_member_count < kCandidates && ++visited_count < kMaxVisitedMembers);
    });
    for (std::size_t i = 0; i < former_candidate_count; ++i)
      choice.replicas[choice.size++] = former_candidates[i];
    return choice;
  }

  // Whether the candidate is likely to hold the key. The first candidate is, because every router tries it
  // first, unless it joined recently and another one is known to hold the key. Others are if this router
  // observed the key there, or if they owned it before.
  bool likely_holds(const Choice& choice, std::size_t i, std::uint64_t key) const {
    if (key != 0 && (choice.replicas[i] == choice.former_owner ||
                     key_locations_.holds(key, choice.replicas[i]->entry.id)))
      return true;
    if (i > 0 || !choice.moving || key == 0) return i == 0;
    for (std::size_t k = 1; k < choice.size; ++k) {
      if (choice.replicas[k] == choice.former_owner ||
          key_locations_.holds(key, choice.replicas[k]->entry.id))
        return false;
    }
    return true;
  }

  // Whether the member joined so recently that keys it is not known to hold reach it only by fills.
  bool in_transition(double now, std::uint64_t key, const Member& member) const {
    return enabled() && joined_recently(now, key, member);
  }

  // The member to which the read is sent so that it fetches and stores the key: the new owner of a moving
  // key, or else the second candidate of a popular one. Null: none now. Popular keys are filled first: the
  // fewer fills are saved, the more popular a key must be.
  struct FillChoice {
    Member* target = nullptr;
    FillRateLimiter::Fill fill{}; // token bucket to charge when the fill is sent
  };
  FillChoice choose_fill(double now, std::uint64_t key, const Choice& choice) {
    if (!enabled() || key == 0 || choice.size == 0) return {};
    double saved_fills = 0;
    if (choice.moving) {
      if (choice.former_owner == nullptr ||
          !fill_rate_limiter_.may_fill(now, FillRateLimiter::Fill::NewOwner, saved_fills))
        return {};
      const auto top_share = saved_fills < 2   ? HotKeyTracker::Fifth
                             : saved_fills < 3 ? HotKeyTracker::Half
                                               : HotKeyTracker::FourFifths;
      return {hot_keys_.is_in_top_share(top_share, key) ? choice.replicas[0] : nullptr,
              FillRateLimiter::Fill::NewOwner};
    }
    if (choice.size < 2 || fill_rate_limiter_.is_active(now) ||
        !hot_keys_.is_in_top_share(HotKeyTracker::Configured, key))
      return {};
    if (!key_locations_.holds(key, choice.replicas[0]->entry.id) ||
        key_locations_.holds(key, choice.replicas[1]->entry.id))
      return {};
    return {fill_rate_limiter_.may_fill(now, FillRateLimiter::Fill::SecondReplica, saved_fills)
                ? choice.replicas[1]
                : nullptr,
            FillRateLimiter::Fill::SecondReplica};
  }

  // After a cache miss, before the key is fetched: another member that should hold the key, and would store
  // it if the read went there first. This costs a further miss but no additional fetch. `usable` must exclude
  // members that were already tried.
  template <typename Usable>
  Member* choose_additional_store(double now, std::uint64_t key, std::size_t miss_count, Usable usable) {
    if (!enabled() || key == 0 || miss_count >= kMaxStores) return nullptr;
    Member* chosen = nullptr;
    std::size_t position = 0;
    ring_.walk(key, [&](Member& member) {
      if (member.entry.state != ServerState::Ready) return true;
      const bool is_new_owner = position == 0 && joined_recently(now, key, member);
      const bool is_second_replica =
          position <= 1 && hot_keys_.is_in_top_share(HotKeyTracker::Configured, key);
      if ((is_new_owner || is_second_replica) && usable(member)) chosen = &member;
      return chosen == nullptr && ++position < 2;
    });
    return chosen;
  }

  // ---- Events ----

  void on_read(double now, std::uint64_t key) {
    if (!enabled()) return;
    fill_rate_limiter_.on_read(now);
    if (key != 0) hot_keys_.on_read(key);
  }
  void on_hit(std::uint64_t key, ServerId id, double sent_at) { key_locations_.add(key, id, sent_at); }
  void on_miss(std::uint64_t key, ServerId id) { key_locations_.remove(key, id); }
  void on_write(std::uint64_t key, double now) { // the write was executed, or may have been
    if (enabled() && key != 0) key_locations_.invalidate(key, now);
  }
  FillRateLimiter& fill_rate_limiter() { return fill_rate_limiter_; }
  const FillRateLimiter& fill_rate_limiter() const { return fill_rate_limiter_; }

 private:
  static constexpr double kPointsPerMember = 64;         // ring points of a cache of typical weight
  static constexpr std::size_t kKeyLocationSlots = 8192; // keys whose locations are remembered
  static constexpr std::size_t kMaxVisitedMembers = 64;  // members visited in search of a former owner
  static constexpr std::size_t kMaxStores = 2; // highest number of caches that store a fetched value
  static constexpr std::size_t kMaxDeparted = 4096;

  bool enabled() const { return settings_.transition_ms > 0; }

  // Keys end their move at different times in the second half of the transition, as otherwise all of them
  // would be fetched from the origin at once.
  bool joined_recently(double now, std::uint64_t key, const Member& member) const {
    const double transition_share = 0.5 + 0.5 * Random{key ^ 0x6d6f7665}.next_unit();
    return now < member.ring_state.joined_at + transition_share * settings_.transition_ms;
  }

  // Updates the member's weight in the sum. True: its previous weight was more than the remaining sum, which
  // may then be inexact and must be recomputed.
  template <typename OnRing>
  bool update_weight(Member& member, OnRing on_ring) {
    const double previous_weight =
        std::exchange(member.ring_state.weight, on_ring(member) ? member.entry.weight : 0);
    weight_sum_ += member.ring_state.weight - previous_weight;
    weighted_member_count_ += (member.ring_state.weight > 0) - (previous_weight > 0);
    return previous_weight > weight_sum_;
  }
  template <typename Members>
  void recompute_weight_sum(Members& members) {
    weight_sum_ = 0;
    for (const auto& [id, member] : members) weight_sum_ += member.ring_state.weight;
  }

  // Finds members that joined, left or restarted since the last list. Forgets the keys of new and restarted
  // members, and activates the fill rate limit.
  template <typename Members, typename OnRing>
  void track_changes(double now, Members& members, const std::vector<ServerId>& listed_ids, OnRing on_ring) {
    const bool is_first_list = !list_received_; // the first list has start times but no join times
    bool fleet_changed = false;
    std::vector<ServerId> new_ids;
    for (const ServerId id : listed_ids) {
      Member& member = members.at(id);
      RingMemberState& ring_state = member.ring_state;
      const bool in_service = on_ring(member) && member.entry.state == ServerState::Ready;
      const bool restarted = ring_state.was_in_service && member.entry.started_at > ring_state.started_at;
      if (restarted || (in_service && !ring_state.was_in_service && !returned_unchanged(id, member))) {
        ring_state.joined_at = is_first_list ? start_time(member) : now;
        if (!is_first_list) new_ids.push_back(id);
      }
      if (is_first_list && in_service && now - ring_state.joined_at < settings_.transition_ms)
        fill_rate_limiter_.on_fleet_changed(ring_state.joined_at);
      if (ring_state.in_service && !in_service && departed_.size() < kMaxDeparted)
        departed_[id] = {ring_state.started_at, ring_state.joined_at, now};
      fleet_changed |= in_service != ring_state.in_service || restarted;
      ring_state.in_service = in_service;
      ring_state.was_in_service |= in_service;
      if (ring_state.was_in_service) ring_state.started_at = member.entry.started_at;
    }
    std::sort(new_ids.begin(), new_ids.end());
    if (!new_ids.empty()) {
      key_locations_.forget(
          [&](ServerId id) { return std::binary_search(new_ids.begin(), new_ids.end(), id); });
    }
    std::erase_if(departed_, [&](const auto& departed_entry) {
      return now - departed_entry.second.left_at > settings_.transition_ms;
    });
    if (fleet_changed && !is_first_list) fill_rate_limiter_.on_fleet_changed(now);
    list_received_ |= fleet_changed;
  }
  // The member left recently and returns as the same process, so it still holds its keys.
  bool returned_unchanged(ServerId id, Member& member) {
    const auto departed = departed_.find(id);
    if (departed == departed_.end() || departed->second.started_at != member.entry.started_at) return false;
    member.ring_state.joined_at = departed->second.joined_at;
    return true;
  }
  static double start_time(const Member& member) {
    return member.entry.started_at > 0 ? member.entry.started_at : kNever;
  }

  struct Departed {
    double started_at, joined_at, left_at;
  };
  ResizeSettings settings_;
  Ring<Member> ring_;
  double weight_sum_ = 0, typical_weight_ = 1; // of members on the ring
  int weighted_member_count_ = 0;              // members on the ring
  KeyLocationCache key_locations_{kKeyLocationSlots};
  HotKeyTracker hot_keys_;
  FillRateLimiter fill_rate_limiter_;
  std::map<ServerId, Departed> departed_;
  bool list_received_ = false; // a list with a member in service was received
};

} // namespace fernward::placement
