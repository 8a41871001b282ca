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

#include "gossip/origin_gossip.h"
#include "gossip/outlier_gossip.h"
#include "membership/membership.h"

namespace fernward::gossip {

struct LocalReports { // this router's own reports about the origin and the cache nodes
  double demand = -1; // below 0: unknown so far
  double limit = 0;
  std::vector<ServerReport> server_reports = {};
  double origin_response_ms = 0; // recent response time of the origin; 0: no response
};

struct FleetView {
  double router_count = 1;       // live routers, this one included
  double fresh_reports = 0;      // other routers whose reports have not expired
  double origin_limit_share = 0; // of the fleet's limit at the origin, in concurrent attempts; 0: unknown
  // The origin's mean response time over several routers, and its age; 0: unknown.
  double origin_response_ms = 0, origin_response_age_ms = 0;
};

struct GossipCounts {
  std::uint64_t sent = 0, sent_bytes = 0, accepted = 0, damaged = 0, ignored = 0;
};

class GossipNode {
 public:
  GossipNode(MemberId self, std::size_t router_count, std::uint32_t incarnation,
             const membership::Settings& settings, std::uint64_t seed, std::uint8_t zone = kNoZone);

  struct OutgoingDatagram {
    MemberId to;
    std::string bytes;
  };
  // To be called at next_tick_at() or later. Appends the datagrams to be sent.
  void tick(double now, const LocalReports& local, std::vector<OutgoingDatagram>& datagrams);
  double next_tick_at() const { return membership_.next_tick_at(); }
  // Processes a datagram from the address of `sender`. Returns false if all of it was ignored.
  bool receive(double now, MemberId sender, std::string_view bytes, std::vector<OutgoingDatagram>& datagrams);
  void leave(double now, std::vector<OutgoingDatagram>& datagrams);

  FleetView view(double now);
  // Appends the outlier decisions about cache nodes that changed since the last call.
  void append_outlier_changes(double now, std::vector<OutlierDecision>& decisions) {
    outlier_gossip_.append_changes(now, decisions);
  }
  // Cache nodes that are outliers, as of the last append_outlier_changes().
  std::size_t outlier_count() const { return outlier_gossip_.outlier_count(); }
  const membership::Membership& members() const { return membership_; }
  GossipCounts counts() const;

 private:
  void send(double now, std::vector<OutgoingDatagram>& datagrams);

  membership::Membership membership_;
  OriginGossip origin_gossip_;
  OutlierGossip outlier_gossip_;
  LocalReports local_reports_;
  GossipCounts counts_;
  std::vector<membership::Packet> packets_;
  std::vector<OriginGossip::Update> updates_;
};

// The incarnation of a process that starts at this wall-clock time, in Unix milliseconds.
std::uint32_t incarnation_at(double unix_ms);

} // namespace fernward::gossip
