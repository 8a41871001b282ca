// What routers say of cache nodes, and when several of them together are to be believed. Pure.
//
// A router says only what it has seen itself, and says well of a server only where others say ill of it: on
// days without trouble nothing is said. A word is its owner's alone and overwritten by its later stamp, like
// all facts (facts.h).
//
//  - Bound: an address that words came from is one vote, whomever it speaks for, and no verdict stands on
//    fewer than two (this router's own evidence is one) and four lost attempts: a single router, damaged or
//    lying, takes nothing out for anybody, and of many that are hardly asked one lost attempt each is enough.
//  - By zone: two of a router's own zone, and twice as many as say well there; or two of two other zones with
//    nobody at all who says well. Who had an answer before most of the others lost theirs says nothing
//    against them. A server that is cut off from one zone stays good for the others.
//  - Fades: a word counts for kFreshMs from when the evidence was seen, and is forgotten after that.
//  - Nothing heard: no verdict; each goes by its own evidence.
//  - The most that false ones can do: two that lie together leave a server out until the first own trial, or
//    the first word of one that it answered; the policy takes no more than half of the fleet out at all.
//  - Cost: kServers servers with kVoters words each, the oldest give way; kRoom bytes of a datagram at most.
//
// Units: milliseconds on the caller's clock, which only advances. One thread.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gossip/entries.h"
#include "membership/wire.h"
#include "statistics/numbers.h"

namespace fernward::gossip {

using membership::Id;
using membership::Stamp;

using ServerId = std::uint32_t; // as fernward/balancer.h has it

struct Finding {
  ServerId server = 0;
  std::uint32_t lost = 0; // attempts in a row; 0: its latest word was a good one
  double seen_at = 0;     // the evidence
};

struct Verdict { // of several
  ServerId server = 0;
  bool bad = false;
  double seen_at = 0; // the youngest evidence, for or against
};

inline constexpr std::uint8_t kNoZone = 255; // all routers without zones are of one
inline constexpr double kFreshMs = 4000;

class Findings {
 public:
  static constexpr std::size_t kServers = 256, kVoters = 24;
  static constexpr std::size_t kRoom = 100; // bytes: five words

  Findings(Id self, std::uint8_t zone, std::uint64_t seed);

  // All that this router has seen, at each round; what it said before and is not in it is no longer said.
  void own(double now, Stamp stamp, const std::vector<Finding>& seen);
  // What came of `owner`, from the address of `via`. False: passed over, as older, damaged or this router's
  // own.
  bool merge(double now, Id via, Id owner, Stamp stamp, std::uint8_t zone, const Finding& what);

  std::string write(double now, std::size_t room); // own ones first, then others' as they are drawn
  void read(double now, Id via, std::string_view bytes);

  // Verdicts that differ from when this was called last: bad, or no more.
  void changes(double now, std::vector<Verdict>& to);
  std::size_t standing() const { return bad_.size(); } // servers that several call bad, when last asked
  std::uint64_t passed_over() const { return passed_over_; }

 private:
  struct Word {
    Id owner = 0, via = 0;
    Stamp stamp;
    std::uint8_t zone = kNoZone;
    std::uint32_t lost = 0;
    double seen_at = 0;
  };
  using Words = std::vector<Word>;
  Words* words_of(ServerId server);
  bool contested(ServerId server) const; // somebody says ill of it
  void forget_old(double now);
  Verdict judge(ServerId server, const Words& words);
  void put_word(double now, ServerId server, const Word& w, std::string& to) const;

  Id self_;
  std::uint8_t zone_;
  Random random_;
  std::map<ServerId, Words> said_;
  std::set<ServerId> bad_;                              // when last asked
  std::vector<std::pair<ServerId, const Word*>> drawn_; // scratch
  std::vector<double> times_;                           // scratch
  std::size_t own_at_ = 0;                              // own words take turns
  std::uint64_t passed_over_ = 0;
};

} // namespace fernward::gossip
