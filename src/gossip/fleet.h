// One router of many: who of them lives, what they say of the ledger, and what follows for this one. Decides;
// no I/O, no clock. gossip_transport/ carries its datagrams; the lab plays it in virtual time.
//
//  - Units: milliseconds on the caller's clock; attempts at once.
//  - Ownership: datagrams are appended to the caller's vector.
//  - What is advice stays advice: the view has a part of the ledger's limit only while others were heard
//    lately, and whoever takes it goes on learning by itself.
//  - In a cut each side shares what its own routers hold: the parts of a side are what its limits come to for
//    each attempt wanted, dealt out by demand, so their sum is about the sum of its limits, and all sides
//    together never hold more than was held before.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gossip/facts.h"
#include "gossip/findings.h"
#include "membership/membership.h"

namespace fernward::gossip {

struct Own {          // what this router has to say of the ledger, and of the cache nodes
  double demand = -1; // below 0: not known yet
  double limit = 0;
  std::vector<Finding> findings = {};
  double answer_ms = 0; // the ledger's response time lately; 0: no answer
};

struct View {
  double living = 1;      // routers, this one included
  double heard = 0;       // others whose word counts now
  double ledger_part = 0; // of the fleet's limit at the ledger, as attempts at once; 0: nothing is known
  double answer_ms = 0,
         answer_age_ms = 0; // the ledger's response time as several saw it, and how long ago; 0: not known
};

struct Counts {
  std::uint64_t sent = 0, sent_bytes = 0, taken = 0, damaged = 0, passed_over = 0;
};

class Fleet {
 public:
  Fleet(Id self, std::size_t count, std::uint32_t incarnation, const membership::Rules& rules,
        std::uint64_t seed, std::uint8_t zone = kNoZone);

  struct Out {
    Id to;
    std::string bytes;
  };
  void tick(double now, const Own& own, std::vector<Out>& out); // due at next()
  double next() const { return members_.next(); }
  // What came from the address of `from`. False: nothing of it counts.
  bool take(double now, Id from, std::string_view bytes, std::vector<Out>& out);
  void leave(double now, std::vector<Out>& out);

  View view(double now);
  // What several routers say together of cache nodes, where it differs from the last time; appended.
  void verdicts(double now, std::vector<Verdict>& to) { findings_.changes(now, to); }
  std::size_t doubted() const { return findings_.standing(); } // cache nodes, by the last verdicts
  const membership::Membership& members() const { return members_; }
  Counts counts() const;

 private:
  void send(double now, std::vector<Out>& out);

  membership::Membership members_;
  Facts facts_;
  Findings findings_;
  Own own_;
  Counts counts_;
  std::vector<membership::Packet> packets_;
  std::vector<Facts::Told> told_;
};

// The incarnation of a process that starts at this time of the wall's clock, in Unix milliseconds.
std::uint32_t incarnation_at(double unix_ms);

} // namespace fernward::gossip
