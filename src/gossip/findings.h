// Gossip of outlier reports: what routers observed at cache nodes, and when the reports of several routers
// together make a server an outlier. No I/O, no clock.
//
// A router reports only its own observations, and reports a success of a server only if failures of that
// server are reported: without failures nothing is sent. A report belongs to its owner and is overwritten by
// one with a later stamp, as in origin_gossip.h.
//
//  - Quorum: each sender address is one vote, whichever owners' reports it relays. A server is an outlier
//    only with at least two votes (this router's own observation is one) and four failed attempts. So a
//    single router that is faulty or sends false reports ejects no server for others, and of many routers
//    with little traffic one failed attempt each is enough.
//  - By zone: at least two votes of the router's own zone, and more than twice as many as routers of that
//    zone report a success; or votes from at least two other zones with no reported success at all. A success
//    from before most of the failures does not count against them. A server that is unreachable from one zone
//    stays available to the others.
//  - Expiry: a report counts for kReportLifetimeMs after the observation and is then removed.
//  - Without reports there is no decision; each router uses its own observations.
//  - Worst effect of false reports: two senders of false reports together eject a server until the first own
//    trial, or the first reported success; the balancer ejects at most half of the fleet.
//  - Cost: kMaxServers servers with kMaxReportsPerServer reports each, of which the oldest are replaced; at
//    most kMaxBytes bytes of a datagram.
//
// Units: milliseconds on the caller's clock, which only advances. Single-threaded.
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

using ServerId = std::uint32_t; // as in fernward/balancer.h

struct Finding {
  ServerId server = 0;
  std::uint32_t lost = 0; // consecutive failed attempts; 0: the latest attempt succeeded
  double seen_at = 0;     // time of the observation
};

struct Verdict { // over the reports of several routers
  ServerId server = 0;
  bool bad = false;
  double seen_at = 0; // the latest observation, for or against
};

inline constexpr std::uint8_t kNoZone = 255; // routers without a zone share this one
inline constexpr double kFreshMs = 4000;

class Findings {
 public:
  static constexpr std::size_t kServers = 256, kVoters = 24;
  static constexpr std::size_t kRoom = 100; // five reports

  Findings(Id self, std::uint8_t zone, std::uint64_t seed);

  // Replaces this router's reports with all its current observations; called in each round.
  void own(double now, Stamp stamp, const std::vector<Finding>& seen);
  // Merges a report of `owner` that came from the address of `sender`. Returns false if the report is ignored
  // because it is not newer, is expired, is invalid, is this router's own, or the table is full.
  bool merge(double now, Id via, Id owner, Stamp stamp, std::uint8_t zone, const Finding& what);

  std::string write(double now, std::size_t room); // own reports first, then others at random
  void read(double now, Id via, std::string_view bytes);

  // Appends the decisions that changed since the last call: a server became an outlier or no longer is one.
  void changes(double now, std::vector<Verdict>& to);
  std::size_t standing() const { return bad_.size(); } // servers, as of append_changes()
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
  bool contested(ServerId server) const; // at least kMaxFailuresPerSender failures reported
  void forget_old(double now);
  Verdict judge(ServerId server, const Words& words);
  void put_word(double now, ServerId server, const Word& w, std::string& to) const;

  Id self_;
  std::uint8_t zone_;
  Random random_;
  std::map<ServerId, Words> said_;
  std::set<ServerId> bad_;                              // as of the last append_changes()
  std::vector<std::pair<ServerId, const Word*>> drawn_; // scratch
  std::vector<double> times_;                           // scratch
  std::size_t own_at_ = 0;                              // own reports are sent in rotation
  std::uint64_t passed_over_ = 0;
};

} // namespace fernward::gossip
