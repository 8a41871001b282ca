// Who of the tier lives, as far as this router can tell. Decides; no I/O, no clock.
//
// SWIM (Das, Gupta, Motivala 2002): in each period one member is pinged, all in turn in a drawn order;
// without its answer some others are asked to ping it, and it is pinged again; without their word either it
// is suspected, the suspicion is passed on with what is said anyway, and one that nobody hears of for a while
// after that counts as dead. A member clears itself: it hears what is said against it, first from whoever
// says it, and says a later stamp, which goes round as fast. From Lifeguard (Dadgar, Phillips, Currey 2017):
// a router that does not get the answers it waits for, or wakes late, first doubts itself and waits longer; a
// suspicion that several have ends sooner.
//
//  - Units: milliseconds on the caller's clock, which only advances.
//  - Ownership: datagrams that are to be sent are appended to the caller's vector. What is kept: 48 bytes a
//    member, some hundred words and rounds.
//  - At the start all are taken to live, as the configuration says: the number of routers can be too high,
//    never too low.
//  - Bounds: a period sends one ping, at most `asked` asks and what others' rounds cost; a member that counts
//    as dead is pinged in one period of eight, so that sides of a cut find each other again.
//  - What a false word can do: bring a member under suspicion until it has heard so and says a later stamp.
//    What comes from a member's own address goes before all that others say of it, whatever stamp they claim.
//  - Misuse: numbers out of range, and what bears this router's own number, are passed over and counted.
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
  std::uint32_t asked = 3; // others that are asked to ping a member which does not answer
};

struct Packet {
  Id to = 0;
  Datagram what;
};

class Membership {
 public:
  // `count` routers in the tier, this one is `self`. `incarnation`: later than any before.
  Membership(Id self, std::size_t count, std::uint32_t incarnation, const Rules& rules, std::uint64_t seed);

  // To be called at next() or later. Appends what is to be said.
  void tick(double now, std::vector<Packet>& out);
  double next() const { return next_; }
  // What has come, from the member that its address stands for. False: nothing of it was taken.
  bool take(double now, Id from, const Datagram& d, std::vector<Packet>& out);
  // A fact of a process that began then. One of a later process than was known says that this one lives; one
  // of the same process says nothing, as it may be older than a suspicion.
  void heard(Id who, std::uint32_t incarnation);
  void leave(std::vector<Packet>& out); // some are told; says nothing any more

  bool alive(Id who) const { return who == self_ || all_[who].standing <= State::Suspect; }
  std::size_t living() const { return living_; } // this one included
  Stamp stamp() const { return stamp_; }         // a later one only to clear itself
  Stamp word() const { return word_; }           // of its facts: a later one at each tick
  double doubt() const { return doubt_; }        // of itself, 0 to 8
  std::uint64_t passed_over() const { return passed_over_; }

 private:
  friend struct Inside; // tests look into it
  enum class State : std::uint8_t { Alive, Suspect, Dead, Left };
  struct Member {
    Stamp stamp;
    std::uint32_t direct = 0; // incarnation of its own last word
    double dies_at = 0;       // Suspect
    double direct_at = kNever;
    State standing = State::Alive;
    std::uint8_t agree = 0; // others that suspect it too
    Id agreed[3] = {};
  };
  struct Round { // a ping that is out
    Id target = 0;
    std::uint16_t number = 0;
    double sent_at = 0;
    bool asked = false, answered = false;
    std::uint32_t nacks = 0, expected = 0;
    Id of = 0; // whom it is for: another's, where for_other
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
  double tries() const; // periods from a ping to a suspicion

  Id self_;
  Rules rules_;
  Random random_;
  Stamp stamp_, word_;
  std::vector<Member> all_;
  std::vector<Id> order_; // of pings
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
