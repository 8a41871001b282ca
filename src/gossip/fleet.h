// One router's gossip node: membership, reports about the origin and outlier reports. No I/O, no clock:
// gossip_transport/ sends and receives its datagrams; the lab runs it in virtual time.
//
//  - Units: milliseconds on the caller's clock; concurrent attempts.
//  - Ownership: datagrams are appended to the caller's vector.
//  - The view is only advice: it has a share of the origin's limit only while recent reports of other routers
//    are known, and the balancer that uses it continues to learn its own limit.
//  - In a network partition each side distributes the limits of its own routers in proportion to demand, so
//    the sum of its shares is about the sum of its limits, and all sides together do not exceed the previous
//    total.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gossip/facts.h"
#include "gossip/findings.h"
#include "membership/membership.h"

namespace fernward::gossip {

struct Own {          // this router's own reports about the origin and the cache nodes
  double demand = -1; // below 0: unknown so far
  double limit = 0;
  std::vector<Finding> findings = {};
  double answer_ms = 0; // recent response time of the origin; 0: no response
};

struct View {
  double living = 1;      // live routers, this one included
  double heard = 0;       // other routers whose reports have not expired
  double ledger_part = 0; // of the fleet's limit at the origin, in concurrent attempts; 0: unknown
  double answer_ms = 0,
         answer_age_ms = 0; // the origin's mean response time over several routers, and its age; 0: unknown
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
  void tick(double now, const Own& own, std::vector<Out>& out); // due at next_tick_at()
  double next() const { return members_.next(); }
  // Processes a datagram from the address of `sender`. Returns false if all of it was ignored.
  bool take(double now, Id from, std::string_view bytes, std::vector<Out>& out);
  void leave(double now, std::vector<Out>& out);

  View view(double now);
  // Appends the outlier decisions about cache nodes that changed since the last call.
  void verdicts(double now, std::vector<Verdict>& to) { findings_.changes(now, to); }
  std::size_t doubted() const { return findings_.standing(); } // cache nodes, by the last changes appended
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

// The incarnation of a process that starts at this wall-clock time, in Unix milliseconds.
std::uint32_t incarnation_at(double unix_ms);

} // namespace fernward::gossip
