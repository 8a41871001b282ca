#include "model/node.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace fernward::model {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kWarmthSteps = 64; // number of steps in which a cold node's capacity rises
// WarmUpMode::Requests: a node is warm after this share of the work that it could do in warm_up_ms.
constexpr double kWarmthWork = 0.5;
// Random variation alone must not overload a node: this many standard deviations of the number of requests,
// and as many requests, are added to the limit.
constexpr double kTipChance = 3;
constexpr std::size_t kLeases = 4096; // fetches that a node tracks

} // namespace

Node::Node(const World& world, const Machine& machine)
    : Station(machine.id,
              {.cores = world.spec.kinds[machine.kind].cores,
               .speed = machine.speed,
               .places = world.spec.kinds[machine.kind].places,
               .waiting = world.spec.kinds[machine.kind].waiting,
               .connections = world.spec.kinds[machine.kind].connections,
               .handshake_ms = world.spec.kinds[machine.kind].handshake_ms,
               .error_rate = world.spec.kinds[machine.kind].error_rate,
               .drops_expired = world.spec.kinds[machine.kind].drops_expired,
               .on_cancel = world.spec.kinds[machine.kind].on_cancel,
               .report = world.spec.kinds[machine.kind].report},
              world.spec.seed),
      kind_(world.spec.kinds[machine.kind]),
      world_(world),
      place_(machine),
      memory_(kind_.memory_bytes, kind_.evict, kind_.expire_ms, kind_.object_overhead_bytes),
      work_(kind_.tip_ms),
      told_work_(kind_.tip_ms),
      pauses_(stream(world.spec.seed, "pauses", machine.id)) {
  double shares = 0;
  for (const ClassSpec& cls : world_.spec.classes) {
    mean_work_ms_ += cls.share * cls.work.mean;
    shares += cls.share;
  }
  mean_work_ms_ = shares > 0 ? mean_work_ms_ / shares : 1;
  next_pause_ = kind_.pause_every_ms > 0 ? draw_exponential(kind_.pause_every_ms, pauses_) : kForever;
  if (machine.at_start) {
    phase_ = Phase::Up;
    unfilled_ = kind_.memory_bytes;
    began_ = true;
    if (world_.beginning != nullptr) ++world_.beginning->nodes;
    refresh(0);
  }
}

// ---- life ----

void Node::start(double now, Acts& acts) {
  Station::start(now, acts);
  memory_.clear();
  lose_beginning();
  started_at_ = seen();
  started_done_ = work_done();
  warm_ = !(kind_.warm_ms > 0);
  next_warmth_ = seen() + kind_.warm_ms / kWarmthSteps;
  paused_ = false;
  next_pause_ =
      kind_.pause_every_ms > 0 ? seen() + draw_exponential(kind_.pause_every_ms, pauses_) : kForever;
  work_.clear();
  told_work_.clear();
  refresh(seen());
}

void Node::ended() {
  memory_.clear();
  leases_.clear();
  lease_order_.clear();
  lose_beginning();
  warm_ = true;
}

void Node::neighbour(double now, double share, Acts& acts) {
  advance(now, acts);
  neighbour_ = std::clamp(share, 0.0, 1.0);
  refresh(seen());
}

// ---- capacity ----

double Node::warmth(double now) const {
  if (warm_) return 1;
  double share = (now - started_at_) / kind_.warm_ms;
  if (kind_.warm_by == WarmBy::Requests) {
    share = std::max(share, (work_done() - started_done_) / (kWarmthWork * whole() * kind_.warm_ms));
  }
  return std::clamp(share, 0.0, 1.0);
}

double Node::promised_capacity(double now) const {
  return whole() * (kind_.start_capacity + (1 - kind_.start_capacity) * warmth(now));
}

double Node::present_capacity(double now) const { return promised_capacity(now) * (1 - neighbour_); }

double Node::capacity(double now) const {
  if (paused_) return 0;
  const double table =
      static_cast<double>(connections()) / std::max(1.0, static_cast<double>(kind_.connections));
  const double per_core = static_cast<double>(in_work() + waiting()) / kind_.cores;
  const double crowd = 1 + kind_.crowded_loss * std::max(0.0, per_core - kind_.crowded_at);
  return present_capacity(now) / whole() * (1 - kind_.full_table_loss * std::min(1.0, table)) / crowd;
}

double Node::next_change() const {
  if (phase_ == Phase::Off) return kForever;
  return std::min(next_pause_, warm_ ? kForever : next_warmth_);
}

void Node::change(double now, Acts& acts) {
  if (!warm_ && now >= next_warmth_) {
    next_warmth_ = now + kind_.warm_ms / kWarmthSteps;
    if (warmth(now) >= 1) {
      warm_ = true;
      acts.push_back({.at = now, .what = Act::What::Warm});
    }
  }
  if (now >= next_pause_) {
    paused_ = !paused_;
    next_pause_ = now + draw_exponential(paused_ ? kind_.pause_ms : kind_.pause_every_ms, pauses_);
  }
}

// All work that reaches a cold node counts, including rejected work. The limit is the capacity that the
// routers' settings imply for a node of its age. A neighbour does not lower it, because routers are not
// notified of neighbours.
void Node::on_arrival(double now, const Attempt& attempt, Acts& acts) {
  if (warm_ || !(kind_.tip_ms > 0)) return;
  work_.add(now, attempt.work_ms);
  if (attempt.told) told_work_.add(now, attempt.work_ms);
  const double sent = work_.sum(now);
  const double promised =
      kind_.tip_multiple * promised_capacity(now) * kind_.tip_ms / mean_work_ms_; // requests
  if (sent <= (promised + kTipChance * std::sqrt(promised) + kTipChance) * mean_work_ms_) return;
  const double told = told_work_.sum(now) / sent;
  lose_all(now, acts);
  acts.push_back({.at = now, .what = Act::What::TippedOver, .cold = true, .told_share = told});
}

// ---- work ----

// Recorded when work starts, not on arrival: a rejected write has had no effect and may be repeated.
bool Node::repeated(double now, const Attempt& a) {
  if (!a.write || a.repeat_key == 0 || a.cls >= world_.spec.classes.size()) return false;
  const ClassSpec& cls = world_.spec.classes[a.cls];
  if (cls.repeat != Idempotency::WithKey) return false;
  const double window = kind_.repeat_window_ms >= 0 ? kind_.repeat_window_ms : cls.window_ms;
  return world_.repeats.seen(now, repeat_group(cls.scope, place_), a.repeat_key, window);
}

void Node::begin(double now, Held& held) {
  const Attempt& a = held.attempt;
  if (!world_.spec.origin.on) {
    const bool again = repeated(now, a);
    held.ending = again ? Ending::Repeat : a.write ? Ending::Written : Ending::Hit;
    held.work = again ? 0 : a.work_ms;
  } else if (!a.write && holds(now, a.key)) {
    held.ending = Ending::Hit;
    held.work = kind_.hit_share_of_work * a.work_ms;
  } else {
    held.ending = a.write ? Ending::Miss : missed(now, a.key);
    held.work = kind_.miss_share_of_work * a.work_ms;
  }
}

void Node::lose_beginning() {
  unfilled_ = 0;
  if (std::exchange(began_, false) && world_.beginning != nullptr) ++world_.beginning->lost;
}

bool Node::holds(double now, std::uint64_t key) {
  if (const auto stored_at = memory_.find(now, key)) {
    if (!world_.keys.changed(key, *stored_at, now)) return true;
    memory_.drop(key);
    return false;
  }
  // The node that the routers ask for a key is assumed to be the one that they asked before the run, so it is
  // the one that held the key. The memory is filled as keys are requested for the first time, until full.
  if (!(unfilled_ > 0) || !world_.keys.held_at_start(key)) return false;
  if (kind_.expire_ms > 0 && now >= kind_.expire_ms * unit(mix(world_.spec.seed, key, place_.id)))
    return false;
  if (world_.keys.changed(key, 0, now)) return false;
  // The lost share of the unrequested keys equals the share of initial nodes that have terminated, and the
  // same keys are lost whichever node is asked. Otherwise a shrinking fleet would lose only requested keys.
  if (const Beginning* b = world_.beginning;
      b != nullptr && unit(mix(world_.spec.seed, key, 0x6c6f7374)) * b->nodes < b->lost)
    return false;
  const double size = world_.keys.size_bytes(key) + kind_.object_overhead_bytes;
  unfilled_ -= size;
  memory_.store(0, key, world_.keys.size_bytes(key));
  return true;
}

// The first miss of a key takes a lease: its router fetches the object. Others get Pending until it expires.
Ending Node::missed(double now, std::uint64_t key) {
  while (!lease_order_.empty() && (lease_order_.front().until <= now || lease_order_.size() >= kLeases)) {
    const auto found = leases_.find(lease_order_.front().key);
    if (found != leases_.end() && found->second <= lease_order_.front().until) leases_.erase(found);
    lease_order_.pop_front();
  }
  if (!(kind_.lease_ms > 0)) return Ending::Miss;
  const auto [it, first] = leases_.try_emplace(key, 0);
  if (!first && now < it->second) return Ending::Pending;
  it->second = now + kind_.lease_ms;
  lease_order_.push_back({it->second, key});
  return Ending::Miss;
}

void Node::store(double now, std::uint64_t key) {
  if (phase_ == Phase::Off) return;
  leases_.erase(key);
  memory_.store(now, key, world_.keys.size_bytes(key));
}

double Node::other_report(double now) {
  while (!lease_order_.empty() && lease_order_.front().until <= now) {
    const auto found = leases_.find(lease_order_.front().key);
    if (found != leases_.end() && found->second <= lease_order_.front().until) leases_.erase(found);
    lease_order_.pop_front();
  }
  return static_cast<double>(leases_.size());
}

} // namespace fernward::model
