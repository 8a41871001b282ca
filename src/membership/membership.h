// Membership of the tier: which routers are alive, as far as this router knows. No I/O, no clock.
//
// SWIM (Das, Gupta, Motivala 2002): in each period one member is pinged, all in turn in random order. Without
// an ack some other members are asked to ping it, and it is pinged again. Without any ack it becomes suspect;
// the suspicion is piggybacked on later datagrams, and a suspect that is not refuted for a while is declared
// dead. A member refutes a suspicion: it is notified, first by whoever suspects it, and sends a later stamp,
// which spreads as fast. From Lifeguard (Dadgar, Phillips, Currey 2017): a router that misses expected
// answers, or is scheduled late, first lowers its own health and uses longer timeouts; a suspicion that
// several routers share times out sooner.
//
//  - Units: milliseconds on the caller's clock, which only advances.
//  - Ownership: datagrams to be sent are appended to the caller's vector. Memory: 48 bytes per member, and
//    about a hundred updates and pending pings.
//  - At the start all configured members count as alive: the number of routers can be too high, never too
//    low.
//  - Bounds: a period sends one ping, at most `indirect_pings` ping requests and what the pings of other
//    members cost. One period of eight may ping a dead member, so that the sides of a network partition
//    detect each other again.
//  - Worst effect of a false update: a member is suspect until it is notified and sends a later stamp. What
//    comes from a member's own address takes precedence over updates from others, whatever stamp they carry.
//  - Misuse: router numbers out of range, and datagrams with this router's own number, are ignored and
//    counted.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "membership/wire.h"
#include "statistics/numbers.h"

namespace fernward::membership {

struct Settings {
  double period_ms = 400;
  std::uint32_t indirect_pings = 3; // other members that are asked to ping a member that does not answer
};

struct Packet {
  MemberId to = 0;
  Datagram datagram;
};

class Membership {
 public:
  // `count`: routers in the tier; `self`: this router's number; `incarnation`: greater than any previous one.
  Membership(MemberId self, std::size_t router_count, std::uint32_t incarnation, const Settings& settings,
             std::uint64_t seed);

  // To be called at next_tick_at() or later. Appends the datagrams to be sent.
  void tick(double now, std::vector<Packet>& packets);
  double next_tick_at() const { return next_tick_at_; }
  // Processes a datagram; `from`: the member that its source address belongs to. Returns false if all of it
  // was ignored.
  bool receive(double now, MemberId from, const Datagram& datagram, std::vector<Packet>& packets);
  // Called for each new report of the process with this incarnation. A report of a later process than known
  // shows that the member is alive; one of the same process shows nothing, as it may predate a suspicion.
  void record_alive(MemberId member, std::uint32_t incarnation);
  void leave(std::vector<Packet>& packets); // notifies some members; sends nothing afterwards

  bool is_alive(MemberId member) const { return member == self_ || members_[member].state <= State::Suspect; }
  std::size_t alive_count() const { return alive_count_; } // this one included
  Stamp stamp() const { return stamp_; }                   // increases to refute a suspicion or to leave
  Stamp report_stamp() const { return report_stamp_; } // stamp of its gossip reports: increases at each tick
  double health_penalty() const { return health_penalty_; } // 0 (healthy) to 8; multiplies timeouts
  std::uint64_t ignored() const { return ignored_; }

 private:
  friend struct MembershipTestAccess; // lets tests read and change the state
  enum class State : std::uint8_t { Alive, Suspect, Dead, Left };
  struct Member {
    Stamp stamp;
    std::uint32_t direct_incarnation = 0; // incarnation in its own last datagram
    double dead_at = 0;                   // valid while suspect
    double direct_contact_at = kNever;
    State state = State::Alive;
    std::uint8_t confirmations = 0; // other members that suspect it, too
    MemberId confirmed_by[3] = {};
  };
  struct PendingPing { // a ping that waits for its ack
    MemberId target = 0;
    std::uint16_t round = 0;
    double sent_at = 0;
    bool indirect_sent = false, answered = false;
    std::uint32_t nacks = 0, expected_nacks = 0;
    MemberId requester = 0; // valid if for_requester: the member that asked for this ping
    std::uint16_t requester_round = 0;
    bool for_requester = false;
  };
  struct Broadcast {
    MemberUpdate update;
    std::uint32_t transmissions = 0;
  };

  void record_alive(MemberId member, Stamp stamp);
  void advance_past(Stamp stamp);
  void broadcast_alive(MemberId member);
  void broadcast(const MemberUpdate& update);
  void set_state(MemberId member, State state);
  void suspect(double now, MemberId member, MemberId reporter, bool reported_dead);
  double min_suspicion_ms() const;
  void receive(double now, const MemberUpdate& update);
  Packet make_packet(MemberId to, MessageKind kind, std::uint16_t round, MemberId subject);
  void send_ping(double now, MemberId target, std::vector<Packet>& packets);
  MemberId next_target();
  MemberId random_alive(MemberId excluded);
  double probe_timeout_ms() const { return settings_.period_ms * (1 + health_penalty_); }
  double max_transmissions() const;
  double periods_until_suspicion() const; // from a ping to a suspicion, in periods

  MemberId self_;
  Settings settings_;
  Random random_;
  Stamp stamp_, report_stamp_;
  std::vector<Member> members_;
  std::vector<MemberId> ping_order_; // all other members, shuffled before each pass
  std::size_t next_ping_index_ = 0, period_count_ = 0;
  std::vector<PendingPing> pending_pings_;
  std::deque<Broadcast> broadcasts_;
  std::uint16_t last_round_ = 0;
  std::size_t alive_count_;
  double next_tick_at_ = 0, last_tick_at_ = kNever, health_penalty_ = 0;
  bool left_ = false;
  std::uint64_t ignored_ = 0;
};

} // namespace fernward::membership
