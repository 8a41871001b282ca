// What routers tell one another beside who lives: facts, each owned by one router and overwritten by it
// alone. Pure.
//
// Merging is a join: of two words of an owner the later stamp stays, of the same stamp the older age. So
// order, repeats and losses don't matter: merging is commutative, associative and idempotent. What comes from
// an owner's own address goes before hearsay, whatever stamp that claims.
//
// Each quantity states in its row how it is bounded, how it fades, what is assumed when nothing is heard, and
// the most that a false one can do. See kQuantities.
//
//  - Units: milliseconds on the caller's clock, which only advances.
//  - Ownership: plain values; a table of one entry a router, 64 bytes each. One thread.
//  - Cost: a datagram carries its sender's own facts and as many others', drawn, as fit: flat in the size of
//    the fleet.
//  - Misuse: numbers out of range, and values that are no numbers, are passed over and counted.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "gossip/entries.h"
#include "membership/wire.h"
#include "statistics/numbers.h"

namespace fernward::gossip {

using membership::Id;
using membership::Stamp;

enum class What : std::uint8_t {
  Demand, // attempts that this router wants at the ledger at once, waiting ones included
  Limit,  // attempts at once that its limiter holds the ledger's share for it to be
  Answer, // response time of the ledger there of late, ms; 0: no answer for 0.8 s
  Count
};
constexpr std::size_t kFacts = static_cast<std::size_t>(What::Count);

struct Quantity {
  const char* name;
  double least, most;  // a value beyond is brought within
  double half_life_ms; // of the weight that a value has in what is made of many
  double gone_ms;      // older ones count for nothing
  const char* silence; // what is assumed when nothing is heard
  const char* harm;    // the most that a false one can do
};
inline constexpr std::array<Quantity, kFacts> kQuantities = {{
    {"demand", 0, 4096, 4000, 12000, "all want as much as this one: each keeps its own limit",
     "none on others' parts: each is dealt out by its own demand"},
    {"limit", 1.0 / 1024, 4096, 4000, 12000, "the router's own limit, as it learned it alone",
     "with fewer liars than an eighth (than two, in small tiers): parts stay within what honest ones have"},
    {"response time", 0, 8192, 300, 3000, "the router's own answers, as it learned alone",
     "with fewer liars than an eighth (than two, in small tiers): the mean stays within what honest ones "
     "saw"},
}};

using Values = std::array<double, kFacts>;

class Facts {
 public:
  Facts(Id self, std::size_t count, std::uint64_t seed);

  void own(double now, Stamp stamp, const Values& values); // replaces this router's
  // What came of `owner`. False: passed over, as older, damaged or this router's own.
  bool merge(double now, Id owner, Stamp stamp, double age_ms, const Values& values, bool direct);

  // For a datagram: this router's own first, then others as they are drawn, young ones rather than old ones.
  std::string write(double now, std::size_t room);
  struct Told {
    Id owner;
    Stamp stamp;
  };
  // All of a datagram's facts from `from`; what was new is appended, for members. A damaged tail is passed
  // over.
  void read(double now, Id from, std::string_view bytes, std::vector<Told>& told);

  // The usual demand: the median over this router and all whose word is not gone.
  double demand(double now);
  // This router's part of what all hold at the ledger, in proportion to demand and an idle part of it. All is
  // taken as it was when the others' words were made, its own demand too: one of now against those would deal
  // out more than there is while demand rises. So the parts of all add up to what they hold. Left out are the
  // eighth that hold the most for what they want and the one that holds the least: a liar's word moves no
  // part beyond what honest ones have, in however many rounds. Beyond what it holds a router takes no more
  // than half of what all would have if each held what the second of them does: with one asked alone the
  // parts come to one and a half times what was held at most.
  double part(double now);
  // The ledger's response time of late: the mean of what routers saw, without the eighth at each end.
  // `age_ms`: of these words, on average. Nothing where fewer than three have an answer.
  struct Answers {
    double ms = 0, age_ms = 0;
  };
  Answers answers(double now);
  std::size_t heard(double now) const; // routers whose word counts, without this one

  std::uint64_t passed_over() const { return passed_over_; }

 private:
  struct Entry {
    Stamp stamp;
    double made_at = kNever;
    Values values{};
    bool known = false, direct = false;
  };
  void write_one(double now, Id owner, const Entry& e, std::string& to) const;

  Id self_;
  Random random_;
  std::vector<Entry> all_;
  struct Heard {
    double demand, limit, weight, age;
    bool own;
  };
  double demand_before(double then) const; // this router's
  void gather(double now);
  struct Seen {
    double ms, weight, age;
  };
  std::vector<Heard> heard_;                     // scratch
  std::vector<Seen> seen_;                       // scratch
  std::deque<std::pair<double, double>> wanted_; // by this router: when, and how much
  std::uint64_t passed_over_ = 0;
};

} // namespace fernward::gossip
