#include "gossip/gossip_node.h"

#include <algorithm>

namespace fernward::gossip {
namespace {

constexpr double kEpochMs = 1577836800000; // start of 2020 (UTC), in Unix time
// Bytes of origin reports in a datagram: the sender's own and those of six other routers. At five datagrams
// per second and 300 routers that covers half of the tier within a half-life.
constexpr std::size_t kMaxOriginBytes = 128;

} // namespace

std::uint32_t incarnation_at(double unix_ms) {
  return static_cast<std::uint32_t>(std::clamp((unix_ms - kEpochMs) / 100, 1.0, 4e9));
}

GossipNode::GossipNode(MemberId self, std::size_t router_count, std::uint32_t incarnation,
                       const membership::Settings& settings, std::uint64_t seed, std::uint8_t zone)
    : membership_(self, router_count, incarnation, settings, seed),
      origin_gossip_(self, router_count, seed),
      outlier_gossip_(self, zone, seed) {}

void GossipNode::tick(double now, const LocalReports& local, std::vector<OutgoingDatagram>& datagrams) {
  local_reports_ = local;
  membership_.tick(now, packets_);
  const double demand =
      local_reports_.demand >= 0 ? local_reports_.demand : origin_gossip_.median_demand(now);
  origin_gossip_.set_own_report(now, membership_.report_stamp(),
                                {demand, local.limit, local.origin_response_ms});
  outlier_gossip_.set_own_reports(now, membership_.report_stamp(), local.server_reports);
  send(now, datagrams);
}

bool GossipNode::receive(double now, MemberId sender, std::string_view bytes,
                         std::vector<OutgoingDatagram>& datagrams) {
  const auto datagram = membership::decode(bytes);
  if (!datagram) {
    ++counts_.damaged;
    return false;
  }
  if (!membership_.receive(now, sender, *datagram, packets_)) return false;
  ++counts_.accepted;
  updates_.clear();
  origin_gossip_.read_entries(now, sender, datagram->payload, updates_);
  outlier_gossip_.read_entries(now, sender, datagram->payload);
  for (const auto& update : updates_) membership_.record_alive(update.owner, update.stamp.incarnation);
  send(now, datagrams);
  return true;
}

void GossipNode::leave(double now, std::vector<OutgoingDatagram>& datagrams) {
  membership_.leave(packets_);
  send(now, datagrams);
}

void GossipNode::send(double now, std::vector<OutgoingDatagram>& datagrams) {
  for (membership::Packet& packet : packets_) {
    const std::size_t available_bytes = membership::max_payload_bytes(packet.datagram);
    packet.datagram.payload = origin_gossip_.write_entries(now, std::min(kMaxOriginBytes, available_bytes));
    packet.datagram.payload += outlier_gossip_.write_entries(
        now, std::min(OutlierGossip::kMaxBytes, available_bytes - packet.datagram.payload.size()));
    datagrams.push_back({packet.to, membership::encode(packet.datagram)});
    ++counts_.sent;
    counts_.sent_bytes += datagrams.back().bytes.size();
  }
  packets_.clear();
}

FleetView GossipNode::view(double now) {
  FleetView result;
  result.router_count = static_cast<double>(membership_.alive_count());
  result.fresh_reports = static_cast<double>(origin_gossip_.fresh_report_count(now));
  if (result.fresh_reports > 0) {
    result.origin_limit_share = origin_gossip_.origin_limit_share(now);
    const OriginGossip::ResponseTime response_time = origin_gossip_.response_time(now);
    result.origin_response_ms = response_time.ms, result.origin_response_age_ms = response_time.age_ms;
  }
  return result;
}

GossipCounts GossipNode::counts() const {
  GossipCounts result = counts_;
  result.ignored = membership_.ignored() + origin_gossip_.ignored() + outlier_gossip_.ignored();
  return result;
}

} // namespace fernward::gossip
