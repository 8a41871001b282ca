// Membership of the tier: which routers are alive, as far as this router knows. No I/O, no clock.
//
// SWIM (Das, Gupta, Motivala 2002): in each period one member is pinged, all in turn in random order. Without
// an ack some other members are asked to ping it, and it is pinged again. Without any ack it becomes suspect;
// the suspicion is piggybacked on later datagrams, and a suspect that is not refuted for a while is declared
// dead. A member refutes a suspicion: it is notified, first by whoever suspects it, and sends a later stamp,
// which spreads as fast. From Lifeguard (Dadgar, Phillips, Currey 2017): a router that misses expected
// answers, or wakes late, first lowers its own health and uses longer timeouts; a suspicion that several
// routers share times out sooner.
//
//  - Units: milliseconds on the caller's clock, which only advances.
//  - Ownership: datagrams to be sent are appended to the caller's vector. Memory: 48 bytes per member, and
//    about a hundred updates and pending pings.
//  - At the start all configured members count as alive: the number of routers can be too high, never too
//    low.
//  - Bounds: a period sends one ping, at most `indirect_pings` ping requests and what the pings of other
//    members cost. One period of eight may ping a dead member, so that the sides of a network partition find
//    each other again.
//  - Worst effect of a false update: a member is suspect until it is notified and sends a later stamp. What
//    comes from a member's own address takes precedence over updates from others, whatever stamp they claim.
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

struct Rules {
  double period_ms = 400;
  std::uint32_t asked = 3; // other members that are asked to ping a member that does not answer
};

struct Packet {
  Id to = 0;
  Datagram what;
};

class Membership {
 public:
  // `count`: routers in the tier; `self`: this router's number; `incarnation`: greater than any previous one.
  Membership(Id self, std::size_t count, std::uint32_t incarnation, const Rules& rules, std::uint64_t seed);

  // To be called at next_tick_at() or later. Appends the datagrams to be sent.
  void tick(double now, std::vector<Packet>& out);
  double next() const { return next_; }
  // Processes a datagram; `from`: the member that its source address belongs to. Returns false if all of it
  // was ignored.
  bool take(double now, Id from, const Datagram& d, std::vector<Packet>& out);
  // Called for each new report of the process with this incarnation. A report of a later process than known
  // shows that the member is alive; one of the same process shows nothing, as it may predate a suspicion.
  void heard(Id who, std::uint32_t incarnation);
  void leave(std::vector<Packet>& out); // notifies some members; sends nothing afterwards

  bool alive(Id who) const { return who == self_ || all_[who].standing <= State::Suspect; }
  std::size_t living() const { return living_; } // this one included
  Stamp stamp() const { return stamp_; }         // increases to refute a suspicion or to leave
  Stamp word() const { return word_; }           // stamp of its gossip reports: increases at each tick
  double doubt() const { return doubt_; }        // 0 (healthy) to 8; multiplies timeouts
  std::uint64_t passed_over() const { return passed_over_; }

 private:
  friend struct Inside; // gives tests access to the state
  enum class State : std::uint8_t { Alive, Suspect, Dead, Left };
  struct Member {
    Stamp stamp;
    std::uint32_t direct = 0; // incarnation in its own last datagram
    double dies_at = 0;       // valid while suspect
    double direct_at = kNever;
    State standing = State::Alive;
    std::uint8_t agree = 0; // other members that suspect it, too
    Id agreed[3] = {};
  };
  struct Round { // a ping that waits for its ack
    Id target = 0;
    std::uint16_t number = 0;
    double sent_at = 0;
    bool asked = false, answered = false;
    std::uint32_t nacks = 0, expected = 0;
    Id of = 0; // valid if for_requester: the member that asked for this ping
    std::uint16_t of_round = 0;
    bool for_other = false;
  };
  struct Saying {
    Word word;
    std::uint32_t told = 0;
  };

  void heard(Id who, Stamp stamp);
  void pass(Stamp said);
  void remind(Id who);
  void say(const Word& word);
  void set(Id who, State state);
  void suspect(double now, Id who, Id by, bool dead);
  double least_suspicion() const;
  void take(double now, const Word& word);
  Packet packet(Id to, Kind kind, std::uint16_t round, Id about);
  void ping(double now, Id target, std::vector<Packet>& out);
  Id next_target();
  Id any_living(Id but);
  double patience() const { return rules_.period_ms * (1 + doubt_); }
  double most_told() const;
  double tries() const; // from a ping to a suspicion, in periods

  Id self_;
  Rules rules_;
  Random random_;
  Stamp stamp_, word_;
  std::vector<Member> all_;
  std::vector<Id> order_; // of pings, random
  std::size_t at_ = 0, periods_ = 0;
  std::vector<Round> rounds_;
  std::deque<Saying> sayings_;
  std::uint16_t round_ = 0;
  std::size_t living_;
  double next_ = 0, ticked_at_ = kNever, doubt_ = 0;
  bool left_ = false;
  std::uint64_t passed_over_ = 0;
};

} // namespace fernward::membership
