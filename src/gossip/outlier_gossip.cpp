#include "gossip/outlier_gossip.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fernward::gossip {
namespace {

using membership::get;
using membership::put;

// u16 owner, u32 incarnation, u16 sequence, u8 zone, u8 failures, u32 server, u16 age in units of 10 ms.
constexpr std::size_t kPayloadBytes = 16;
constexpr double kAgeUnitMs = 10;
constexpr std::uint32_t kMaxReportedFailures = 255;
constexpr std::size_t kMinSenders = 2; // sender addresses
// Failed attempts over all senders: one more than one router needs by itself.
constexpr std::uint32_t kMinFailures = 4;
constexpr std::uint32_t kMaxFailuresPerSender = 2; // counted per sender
constexpr std::size_t kMinVotesPerSuccess = 2;     // votes for each reported success
constexpr double kSuccessMarginMs = 1000; // a success up to so long before the median failure contradicts it
constexpr std::size_t kMaxOwnReportsPerDatagram = 3; // own reports in a datagram

// The sender addresses of reports. Each is one vote, whichever owners' reports it relays: reports that a
// sender forges in the names of other routers count once.
struct Votes {
  std::array<MemberId, OutlierGossip::kMaxReportsPerServer> senders{};
  std::size_t sender_count = 0;
  std::uint32_t failures = 0;
  void add(MemberId sender, std::uint32_t reported_failures) {
    const auto end = senders.begin() + static_cast<std::ptrdiff_t>(sender_count);
    if (std::find(senders.begin(), end, sender) != end) return;
    senders[sender_count++] = sender;
    failures += std::min(reported_failures, kMaxFailuresPerSender);
  }
  bool sufficient() const { return sender_count >= kMinSenders && failures >= kMinFailures; }
};

} // namespace

OutlierGossip::OutlierGossip(MemberId self, std::uint8_t zone, std::uint64_t seed)
    : self_(self), zone_(zone), random_{mix_bits(seed ^ 0x66696e64)} {}

OutlierGossip::Reports* OutlierGossip::reports_for(ServerId server) {
  const auto found = reports_.find(server);
  if (found != reports_.end()) return &found->second;
  return reports_.size() < kMaxServers ? &reports_[server] : nullptr;
}

void OutlierGossip::expire_reports(double now) {
  for (auto it = reports_.begin(); it != reports_.end();) {
    std::erase_if(it->second,
                  [&](const Report& report) { return now - report.observed_at >= kReportLifetimeMs; });
    it = it->second.empty() ? reports_.erase(it) : std::next(it);
  }
}

bool OutlierGossip::has_failure_reports(ServerId server) const {
  const auto found = reports_.find(server);
  if (found == reports_.end()) return false;
  std::uint32_t failures = 0;
  for (const Report& report : found->second) failures += report.failures;
  return failures >= kMaxFailuresPerSender; // a single failed attempt needs no contradiction
}

void OutlierGossip::set_own_reports(double now, Stamp stamp, const std::vector<ServerReport>& observations) {
  expire_reports(now);
  for (auto it = reports_.begin(); it != reports_.end();) {
    std::erase_if(it->second, [&](const Report& report) { return report.owner == self_; });
    it = it->second.empty() ? reports_.erase(it) : std::next(it);
  }
  for (const ServerReport& observation : observations) {
    if (now - observation.observed_at >= kReportLifetimeMs ||
        (observation.failures == 0 && !has_failure_reports(observation.server)))
      continue;
    Reports* reports = reports_for(observation.server);
    if (reports != nullptr)
      reports->push_back({self_, self_, stamp, zone_, std::min(observation.failures, kMaxReportedFailures),
                          observation.observed_at});
  }
}

bool OutlierGossip::merge(double now, MemberId sender, MemberId owner, Stamp stamp, std::uint8_t zone,
                          const ServerReport& report) {
  if (owner == self_ || !std::isfinite(report.observed_at) || report.observed_at > now) {
    ++ignored_;
    return false;
  }
  if (now - report.observed_at >= kReportLifetimeMs) return false;
  Reports* reports = reports_for(report.server);
  if (reports == nullptr) return false;
  const Report incoming{
      owner, sender, stamp, zone, std::min(report.failures, kMaxReportedFailures), report.observed_at};
  const auto existing =
      std::find_if(reports->begin(), reports->end(), [&](const Report& o) { return o.owner == owner; });
  if (existing == reports->end()) {
    if (reports->size() >= kMaxReportsPerServer) {
      const auto oldest =
          std::min_element(reports->begin(), reports->end(),
                           [](const Report& a, const Report& b) { return a.observed_at < b.observed_at; });
      if (oldest->observed_at >= incoming.observed_at) return false;
      *oldest = incoming;
    } else {
      reports->push_back(incoming);
    }
    return true;
  }
  // A report from the owner's own address takes precedence over a relayed one. A relayed report does not
  // advance the incarnation of a direct one.
  const bool existing_is_direct = existing->sender == owner, is_direct = sender == owner;
  if (stamp <= existing->stamp && (existing_is_direct || !is_direct)) return false;
  if (existing_is_direct && !is_direct && stamp.incarnation > existing->stamp.incarnation) return false;
  *existing = incoming;
  return true;
}

void OutlierGossip::write_report(double now, ServerId server, const Report& report,
                                 std::string& buffer) const {
  put_entry_header(buffer, EntryKind::ServerReport, kPayloadBytes);
  put(buffer, report.owner);
  put(buffer, report.stamp.incarnation);
  put(buffer, report.stamp.sequence);
  put(buffer, report.zone);
  put(buffer, static_cast<std::uint8_t>(report.failures));
  put(buffer, server);
  put(buffer, static_cast<std::uint16_t>(
                  std::ceil(std::clamp(now - report.observed_at, 0.0, kReportLifetimeMs) / kAgeUnitMs)));
}

std::string OutlierGossip::write_entries(double now, std::size_t max_bytes) {
  constexpr std::size_t kEntryBytes = kEntryHeaderBytes + kPayloadBytes;
  std::string bytes;
  candidates_.clear();
  for (const auto& [server, reports] : reports_) {
    for (const Report& report : reports) {
      if (now - report.observed_at < kReportLifetimeMs) candidates_.emplace_back(server, &report);
    }
  }
  // Own reports first, whatever their content: a router that floods the tier with reports must not displace
  // them. Of the others, failures before successes, as successes are numerous.
  const auto others_begin = std::stable_partition(candidates_.begin(), candidates_.end(),
                                                  [&](const auto& d) { return d.second->owner == self_; });
  const auto successes_begin =
      std::partition(others_begin, candidates_.end(), [](const auto& d) { return d.second->failures > 0; });
  const auto own_count = static_cast<std::size_t>(others_begin - candidates_.begin());
  for (std::size_t i = 0;
       i < std::min(own_count, kMaxOwnReportsPerDatagram) && bytes.size() + kEntryBytes <= max_bytes; ++i) {
    const auto& [server, report] = candidates_[next_own_report_++ % own_count];
    write_report(now, server, *report, bytes);
  }
  for (auto [at, end] :
       {std::pair(others_begin, successes_begin), std::pair(successes_begin, candidates_.end())}) {
    for (; at != end && bytes.size() + kEntryBytes <= max_bytes; ++at) { // each once, in random order
      std::swap(*at,
                *(at + static_cast<std::ptrdiff_t>(random_.next_unit() * static_cast<double>(end - at))));
      write_report(now, at->first, *at->second, bytes);
    }
  }
  return bytes;
}

void OutlierGossip::read_entries(double now, MemberId sender, std::string_view bytes) {
  while (const auto entry = next_entry(bytes)) {
    const std::string_view payload = entry->payload;
    if (entry->kind != static_cast<std::uint8_t>(EntryKind::ServerReport) || payload.size() < kPayloadBytes)
      continue;
    merge(now, sender, get<MemberId>(payload, 0),
          {get<std::uint32_t>(payload, 2), get<std::uint16_t>(payload, 6)}, get<std::uint8_t>(payload, 8),
          {get<ServerId>(payload, 10), get<std::uint8_t>(payload, 9),
           now - get<std::uint16_t>(payload, 14) * kAgeUnitMs});
  }
}

OutlierDecision OutlierGossip::decide(ServerId server, const Reports& reports) {
  OutlierDecision decision{server, false, kNever};
  Votes same_zone, other_zones;
  bool several_other_zones = false; // reports from more than one other zone
  std::uint8_t last_other_zone = zone_;
  failure_times_.clear();
  for (const Report& report : reports) {
    decision.observed_at = std::max(decision.observed_at, report.observed_at);
    if (report.failures == 0) continue;
    failure_times_.push_back(report.observed_at);
    (report.zone == zone_ ? same_zone : other_zones).add(report.sender, report.failures);
    if (report.zone != zone_)
      several_other_zones |= last_other_zone != zone_ && last_other_zone != report.zone,
          last_other_zone = report.zone;
  }
  if (failure_times_.empty()) return decision;
  // A success from long before most of these failures does not contradict them: the node may have failed
  // since.
  const auto median_failure_time =
      failure_times_.begin() + static_cast<std::ptrdiff_t>(failure_times_.size() / 2);
  std::nth_element(failure_times_.begin(), median_failure_time, failure_times_.end());
  std::size_t successes_same_zone = 0, successes = 0;
  for (const Report& report : reports) {
    const bool contradicts =
        report.failures == 0 && report.observed_at > *median_failure_time - kSuccessMarginMs;
    successes += contradicts;
    successes_same_zone += contradicts && report.zone == zone_;
  }
  decision.outlier =
      (same_zone.sufficient() && same_zone.sender_count > kMinVotesPerSuccess * successes_same_zone) ||
      (other_zones.sufficient() && several_other_zones && successes == 0);
  return decision;
}

void OutlierGossip::append_changes(double now, std::vector<OutlierDecision>& changes) {
  expire_reports(now);
  for (auto it = outlier_servers_.begin(); it != outlier_servers_.end();) {
    if (reports_.count(*it) > 0) {
      ++it;
      continue;
    }
    changes.push_back({*it, false, kNever}); // no report is left
    it = outlier_servers_.erase(it);
  }
  for (const auto& [server, reports] : reports_) {
    const OutlierDecision decision = decide(server, reports);
    if (decision.outlier == (outlier_servers_.count(server) > 0)) continue;
    changes.push_back(decision);
    decision.outlier ? void(outlier_servers_.insert(server)) : void(outlier_servers_.erase(server));
  }
}

} // namespace fernward::gossip
