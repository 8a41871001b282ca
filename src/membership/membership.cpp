#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace fernward::membership {
namespace {

constexpr double kMaxHealthPenalty = 8;      // as in Lifeguard
constexpr double kMinSuspicionPeriods = 2;   // until a suspect is dead, per power of ten of members
constexpr double kMaxSuspicionFactor = 3;    // times as long if no other member suspects it
constexpr std::size_t kMaxPendingPings = 64; // including pings for other members
constexpr std::size_t kMaxBroadcasts = 128;
constexpr std::size_t kMaxUpdatesPerDatagram = 8; // 104 bytes, next to 128 of payload
constexpr std::size_t kSmallTierMembers = 64;
constexpr std::size_t kDeadPingInterval = 8;         // one period in so many may ping a dead member
constexpr std::uint32_t kMaxIncarnationLead = 36000; // tenths of a second: an hour
constexpr double kPausedPeriods = 4;                 // periods without a tick: this process was paused
// A datagram from a member within so many periods is later than the pings on which other routers base a
// suspicion of it.
constexpr double kDirectContactPeriods = 3;

} // namespace

Membership::Membership(MemberId self, std::size_t router_count, std::uint32_t incarnation,
                       const Settings& settings, std::uint64_t seed)
    : self_(self),
      settings_(settings),
      random_{mix_bits(seed ^ 0x6d656d62)},
      stamp_{incarnation, 0},
      report_stamp_{incarnation, 0},
      members_(router_count),
      alive_count_(router_count) {
  for (std::size_t i = 0; i < router_count; ++i) {
    if (i != self_) ping_order_.push_back(static_cast<MemberId>(i));
  }
  next_ping_index_ = ping_order_.size(); // shuffled at the first ping
}

// The rate of false suspicions grows with the tier, but the space for updates in datagrams does not: a larger
// tier therefore sends one more ping before a suspicion.
double Membership::periods_until_suspicion() const { return members_.size() > kSmallTierMembers ? 4 : 3; }

double Membership::max_transmissions() const {
  return 3 * std::ceil(std::log2(static_cast<double>(members_.size()) + 1));
}

// ---- sending ----

void Membership::broadcast(const MemberUpdate& update) {
  std::erase_if(broadcasts_, [&](const Broadcast& s) { return s.update.member == update.member; });
  broadcasts_.push_front({update, 0});
  if (broadcasts_.size() > kMaxBroadcasts) broadcasts_.pop_back();
}

Packet Membership::make_packet(MemberId to, MessageKind kind, std::uint16_t round, MemberId subject) {
  Packet packet{to, {}};
  packet.datagram.kind = kind;
  packet.datagram.from = self_;
  packet.datagram.subject = subject;
  packet.datagram.stamp = stamp_;
  packet.datagram.round = round;
  // A suspect is notified first: only its own later stamp refutes the suspicion.
  if (members_[to].state == State::Suspect || members_[to].state == State::Dead) {
    packet.datagram.updates.push_back({to, MemberState::Suspect, members_[to].stamp, self_});
  }
  std::size_t remaining = std::min(kMaxUpdatesPerDatagram, broadcasts_.size());
  for (; remaining > 0; --remaining) { // least sent first; each goes behind those sent as often
    Broadcast next_broadcast = broadcasts_.front();
    broadcasts_.pop_front();
    packet.datagram.updates.push_back(next_broadcast.update);
    if (++next_broadcast.transmissions >= max_transmissions()) continue;
    const auto insert_before = std::find_if(
        broadcasts_.begin(), broadcasts_.end(),
        [&](const Broadcast& other) { return other.transmissions > next_broadcast.transmissions; });
    broadcasts_.insert(insert_before, next_broadcast);
  }
  return packet;
}

void Membership::send_ping(double now, MemberId target, std::vector<Packet>& packets) {
  if (pending_pings_.size() >= kMaxPendingPings) pending_pings_.erase(pending_pings_.begin());
  PendingPing pending;
  pending.target = target;
  pending.round = ++last_round_;
  pending.sent_at = now;
  pending_pings_.push_back(pending);
  packets.push_back(make_packet(target, MessageKind::Ping, pending.round, target));
}

MemberId Membership::next_target() {
  const bool include_dead = ++period_count_ % kDeadPingInterval == 0;
  for (std::size_t draws = 0; draws < 2 * ping_order_.size(); ++draws) {
    if (next_ping_index_ >= ping_order_.size()) {
      next_ping_index_ = 0;
      for (std::size_t i = ping_order_.size(); i > 1; --i) {
        std::swap(ping_order_[i - 1],
                  ping_order_[static_cast<std::size_t>(random_.next_unit() * static_cast<double>(i))]);
      }
    }
    const MemberId candidate = ping_order_[next_ping_index_++];
    const State state = members_[candidate].state;
    if (state < State::Dead || (include_dead && random_.next_unit() < 0.5)) return candidate;
  }
  return ping_order_[static_cast<std::size_t>(random_.next_unit() * static_cast<double>(ping_order_.size()))];
}

MemberId Membership::random_alive(MemberId excluded) {
  for (int draws = 0; draws < 8; ++draws) {
    const MemberId candidate =
        ping_order_[static_cast<std::size_t>(random_.next_unit() * static_cast<double>(ping_order_.size()))];
    if (candidate != excluded && members_[candidate].state == State::Alive) return candidate;
  }
  return self_;
}

void Membership::tick(double now, std::vector<Packet>& packets) {
  next_tick_at_ = now + settings_.period_ms * (0.9 + 0.2 * random_.next_unit());
  if (left_ || ping_order_.empty()) return;
  if (++report_stamp_.sequence == 0) stamp_ = {++report_stamp_.incarnation, 0};
  if (last_tick_at_ != kNever && now - last_tick_at_ > kPausedPeriods * settings_.period_ms) {
    // This process was paused, not the others: answers that arrived meanwhile are unread, so no pending ping
    // counts against its target.
    health_penalty_ = kMaxHealthPenalty;
    pending_pings_.clear();
    for (Member& member : members_) member.dead_at += now - last_tick_at_;
  }
  last_tick_at_ = now;
  for (std::size_t i = 0; i < pending_pings_.size(); ++i) {
    PendingPing& pending = pending_pings_[i];
    const double elapsed_ms = now - pending.sent_at;
    if (pending.for_requester) {
      if (!pending.answered && elapsed_ms >= 0.8 * settings_.period_ms && !pending.indirect_sent) {
        pending.indirect_sent = true; // the nack is sent
        packets.push_back(
            make_packet(pending.requester, MessageKind::Nack, pending.requester_round, pending.target));
      }
      continue;
    }
    if (pending.answered || elapsed_ms < 0.9 * probe_timeout_ms()) continue;
    if (pending.indirect_sent && elapsed_ms >= (periods_until_suspicion() - 0.1) * probe_timeout_ms()) {
      pending.answered = true; // handled
      if (pending.nacks < pending.expected_nacks)
        health_penalty_ = std::min(kMaxHealthPenalty, health_penalty_ + 1);
      suspect(now, pending.target, self_, false);
      continue;
    }
    // Repeated at each tick until then: with a fifth of the datagrams lost, one ping and three ping requests
    // fail for one live member in thirteen, and the updates about these members and their recovery exceed
    // by far what all datagrams can carry.
    packets.push_back(make_packet(pending.target, MessageKind::Ping, pending.round, pending.target));
    for (std::uint32_t helper_index = 0; helper_index < settings_.indirect_pings; ++helper_index) {
      const MemberId helper = random_alive(pending.target);
      if (helper == self_) continue;
      pending.expected_nacks += !pending.indirect_sent;
      packets.push_back(make_packet(helper, MessageKind::PingRequest, pending.round, pending.target));
    }
    pending.indirect_sent = true;
  }
  std::erase_if(pending_pings_, [&](const PendingPing& r) {
    return r.answered || now - r.sent_at > (periods_until_suspicion() + 1) * probe_timeout_ms();
  });
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].state != State::Suspect || now < members_[i].dead_at) continue;
    set_state(static_cast<MemberId>(i), State::Dead);
    broadcast({static_cast<MemberId>(i), MemberState::Dead, members_[i].stamp, self_});
  }
  send_ping(now, next_target(), packets);
}

void Membership::leave(std::vector<Packet>& packets) {
  if (left_ || ping_order_.empty()) return;
  left_ = true;
  advance_past(stamp_);
  const MemberUpdate update{self_, MemberState::Left, stamp_, self_};
  for (std::uint32_t recipient_index = 0; recipient_index < settings_.indirect_pings; ++recipient_index) {
    const MemberId recipient = random_alive(self_);
    if (recipient == self_) continue;
    Packet leave_packet = make_packet(recipient, MessageKind::Ping, 0, recipient);
    leave_packet.datagram.updates.insert(leave_packet.datagram.updates.begin(), update);
    packets.push_back(std::move(leave_packet));
  }
}

// ---- receiving ----

// Advances this router's stamp beyond `stamp` and beyond all of its own.
void Membership::advance_past(Stamp stamp) {
  stamp_ = std::max(stamp_, stamp);
  if (++stamp_.sequence == 0) ++stamp_.incarnation;
  if (stamp_.incarnation > report_stamp_.incarnation) report_stamp_ = {stamp_.incarnation, 0};
}

void Membership::set_state(MemberId member, State state) {
  Member& entry = members_[member];
  alive_count_ += state <= State::Suspect;
  alive_count_ -= entry.state <= State::Suspect;
  entry.state = state;
}

double Membership::min_suspicion_ms() const {
  return kMinSuspicionPeriods * std::max(1.0, std::log10(static_cast<double>(members_.size()))) *
         probe_timeout_ms();
}

// `reported_dead`: another router declared it dead after its suspicion timed out there; the member's own next
// stamp still refutes that.
void Membership::suspect(double now, MemberId member, MemberId reporter, bool reported_dead) {
  Member& entry = members_[member];
  if (entry.state >= State::Dead) return;
  const double min_ms = min_suspicion_ms(), max_ms = kMaxSuspicionFactor * min_ms;
  if (entry.state == State::Alive) {
    set_state(member, State::Suspect);
    entry.confirmations = 0;
    entry.dead_at = now + (reported_dead ? min_ms : max_ms);
    broadcast({member, MemberState::Suspect, entry.stamp, reporter});
    return;
  }
  if (reported_dead) entry.dead_at = std::min(entry.dead_at, now + min_ms);
  if (reporter == self_ || entry.confirmations >= std::size(entry.confirmed_by)) return;
  if (std::find(entry.confirmed_by, entry.confirmed_by + entry.confirmations, reporter) !=
      entry.confirmed_by + entry.confirmations)
    return;
  entry.confirmed_by[entry.confirmations++] = reporter;
  // Lifeguard: decreases from the maximum to the minimum as confirmations arrive.
  const double remaining_ms =
      max_ms - (max_ms - min_ms) * std::log(entry.confirmations + 1.0) / std::log(4.0);
  entry.dead_at = std::min(entry.dead_at, now + remaining_ms);
  broadcast({member, MemberState::Suspect, entry.stamp, reporter});
}

void Membership::record_alive(MemberId member, std::uint32_t incarnation) {
  if (member < members_.size() && incarnation > members_[member].stamp.incarnation)
    record_alive(member, Stamp{incarnation, 0});
}

void Membership::record_alive(MemberId member, Stamp stamp) {
  if (member >= members_.size() || member == self_) return;
  Member& entry = members_[member];
  if (stamp <= entry.stamp) return;
  const bool state_changed = entry.state != State::Alive;
  entry.stamp = stamp;
  set_state(member, State::Alive);
  if (state_changed) broadcast({member, MemberState::Alive, stamp, self_});
}

void Membership::receive(double now, const MemberUpdate& update) {
  if (update.member >= members_.size() || update.reporter >= members_.size()) {
    ++ignored_;
    return;
  }
  if (update.member == self_) {
    if (update.state == MemberState::Alive ? update.stamp <= stamp_ : update.stamp < stamp_)
      return; // refuted since
    if (update.stamp.incarnation > stamp_.incarnation + kMaxIncarnationLead) {
      ++ignored_; // more than a clock that was set back can explain
      return;
    }
    // Other routers have received a later stamp, from a process whose clock was ahead, or suspect this
    // router: its next stamp refutes that.
    advance_past(update.stamp);
    broadcast({self_, MemberState::Alive, stamp_, self_});
    if (update.state != MemberState::Alive)
      health_penalty_ = std::min(kMaxHealthPenalty, health_penalty_ + 1);
    return;
  }
  Member& entry = members_[update.member];
  switch (update.state) {
    case MemberState::Alive: return record_alive(update.member, update.stamp);
    case MemberState::Suspect:
    case MemberState::Dead:
    case MemberState::Left:
      if (entry.state >= State::Dead) return;
      if (update.stamp < entry.stamp) { // refuted since, unknown to the reporter
        if (entry.state == State::Alive && update.stamp.incarnation == entry.stamp.incarnation)
          broadcast_alive(update.member);
        return;
      }
      // A recent datagram from the member itself outweighs a suspicion of others.
      if (update.state != MemberState::Left &&
          now - entry.direct_contact_at < kDirectContactPeriods * settings_.period_ms)
        return;
      // Ignored if it concerns a later process than this router knows, unless it knows none.
      if (update.stamp.incarnation > entry.stamp.incarnation && entry.stamp.incarnation != 0) return;
      entry.stamp = std::max(entry.stamp, update.stamp);
      if (update.state != MemberState::Left &&
          (update.state == MemberState::Suspect || entry.state == State::Alive))
        return suspect(now, update.member, update.reporter, update.state == MemberState::Dead);
      set_state(update.member, update.state == MemberState::Left ? State::Left : State::Dead);
      return broadcast(update);
  }
}

void Membership::broadcast_alive(MemberId member) {
  const auto concerns_member = [&](const Broadcast& s) { return s.update.member == member; };
  if (std::none_of(broadcasts_.begin(), broadcasts_.end(), concerns_member))
    broadcast({member, MemberState::Alive, members_[member].stamp, self_});
}

bool Membership::receive(double now, MemberId from, const Datagram& datagram, std::vector<Packet>& packets) {
  if (from >= members_.size() || from == self_ || datagram.from != from ||
      datagram.subject >= members_.size() || datagram.stamp.incarnation < members_[from].direct_incarnation) {
    ++ignored_; // of another router, or of the previous process
    return false;
  }
  if (left_) return false;
  Member& sender = members_[from];
  if (datagram.stamp.incarnation > sender.direct_incarnation || datagram.stamp < sender.stamp) {
    // A member's own datagram takes precedence over claims of others; a delayed one changes nothing.
    if (datagram.stamp.incarnation != sender.stamp.incarnation) sender.stamp = {};
    sender.direct_incarnation = datagram.stamp.incarnation;
  }
  record_alive(from, datagram.stamp);
  sender.direct_contact_at = now;
  // It is alive, as far as this router knows. The other routers accept only a later stamp, which the member
  // creates once it is notified of the suspicion.
  const bool was_suspected = sender.state != State::Alive;
  if (sender.state == State::Suspect) {
    set_state(from, State::Alive);
    std::erase_if(broadcasts_, [&](const Broadcast& s) { return s.update.member == from; });
  }
  for (const MemberUpdate& update : datagram.updates) receive(now, update);
  const auto pending = std::find_if(pending_pings_.begin(), pending_pings_.end(), [&](const PendingPing& r) {
    return r.round == datagram.round && r.target == datagram.subject;
  });
  switch (datagram.kind) {
    case MessageKind::Ping:
      if (datagram.round == 0) break;
      packets.push_back(make_packet(from, MessageKind::Ack, datagram.round, self_));
      if (was_suspected && sender.state == State::Alive)
        packets.back().datagram.updates.insert(packets.back().datagram.updates.begin(),
                                               {from, MemberState::Suspect, sender.stamp, self_});
      break;
    case MessageKind::PingRequest: {
      if (datagram.subject == self_ || pending_pings_.size() >= kMaxPendingPings) break;
      send_ping(now, datagram.subject, packets);
      PendingPing& probe = pending_pings_.back();
      probe.for_requester = true;
      probe.requester = from;
      probe.requester_round = datagram.round;
      break;
    }
    case MessageKind::Ack:
      if (pending == pending_pings_.end() || pending->answered) break;
      pending->answered = true;
      if (pending->for_requester) {
        Packet ack =
            make_packet(pending->requester, MessageKind::Ack, pending->requester_round, pending->target);
        const Member& entry = members_[pending->target];
        ack.datagram.updates.insert(ack.datagram.updates.begin(),
                                    {pending->target, MemberState::Alive, entry.stamp, self_});
        packets.push_back(std::move(ack));
      } else if (datagram.from == pending->target) {
        health_penalty_ = std::max(0.0, health_penalty_ - 1);
      }
      break;
    case MessageKind::Nack:
      if (pending != pending_pings_.end() && !pending->for_requester) ++pending->nacks;
      break;
  }
  return true;
}

} // namespace fernward::membership
