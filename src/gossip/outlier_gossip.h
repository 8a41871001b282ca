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

using membership::MemberId;
using membership::Stamp;

using ServerId = std::uint32_t; // as in fernward/balancer.h

struct ServerReport {
  ServerId server = 0;
  std::uint32_t failures = 0; // consecutive failed attempts; 0: the latest attempt succeeded
  double observed_at = 0;     // time of the observation
};

struct OutlierDecision { // over the reports of several routers
  ServerId server = 0;
  bool outlier = false;
  double observed_at = 0; // the latest observation, for or against
};

inline constexpr std::uint8_t kNoZone = 255; // routers without a zone share this one
inline constexpr double kReportLifetimeMs = 4000;

class OutlierGossip {
 public:
  static constexpr std::size_t kMaxServers = 256, kMaxReportsPerServer = 24;
  static constexpr std::size_t kMaxBytes = 100; // five reports

  OutlierGossip(MemberId self, std::uint8_t zone, std::uint64_t seed);

  // Replaces this router's reports with all its current observations; called in each round.
  void set_own_reports(double now, Stamp stamp, const std::vector<ServerReport>& observations);
  // Merges a report of `owner` that came from the address of `sender`. Returns false if the report is ignored
  // because it is not newer, is expired, is invalid, is this router's own, or the table is full.
  bool merge(double now, MemberId sender, MemberId owner, Stamp stamp, std::uint8_t zone,
             const ServerReport& report);

  std::string write_entries(double now, std::size_t max_bytes); // own reports first, then others at random
  void read_entries(double now, MemberId sender, std::string_view bytes);

  // Appends the decisions that changed since the last call: a server became an outlier or no longer is one.
  void append_changes(double now, std::vector<OutlierDecision>& changes);
  std::size_t outlier_count() const { return outlier_servers_.size(); } // servers, as of append_changes()
  std::uint64_t ignored() const { return ignored_; }

 private:
  struct Report {
    MemberId owner = 0, sender = 0;
    Stamp stamp;
    std::uint8_t zone = kNoZone;
    std::uint32_t failures = 0;
    double observed_at = 0;
  };
  using Reports = std::vector<Report>;
  Reports* reports_for(ServerId server);
  bool has_failure_reports(ServerId server) const; // at least kMaxFailuresPerSender failures reported
  void expire_reports(double now);
  OutlierDecision decide(ServerId server, const Reports& reports);
  void write_report(double now, ServerId server, const Report& report, std::string& buffer) const;

  MemberId self_;
  std::uint8_t zone_;
  Random random_;
  std::map<ServerId, Reports> reports_;
  std::set<ServerId> outlier_servers_;                         // as of the last append_changes()
  std::vector<std::pair<ServerId, const Report*>> candidates_; // scratch
  std::vector<double> failure_times_;                          // scratch
  std::size_t next_own_report_ = 0;                            // own reports are sent in rotation
  std::uint64_t ignored_ = 0;
};

} // namespace fernward::gossip
