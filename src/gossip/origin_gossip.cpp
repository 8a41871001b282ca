#include "gossip/origin_gossip.h"

#include <algorithm>
#include <cmath>

namespace fernward::gossip {
namespace {

using membership::get;
using membership::put;

// An entry: u16 owner, u32 incarnation, u16 sequence, u16 age in units of 10 ms, then a u16 per quantity. A
// longer entry has quantities that this version does not know; a shorter one is from an older version, and
// its missing quantities are 0 (unknown).
constexpr std::size_t kHeaderBytes = 10, kPayloadBytes = kHeaderBytes + 2 * kQuantityCount,
                      kMinPayloadBytes = kHeaderBytes + 2 * 2;
constexpr double kAgeUnitMs = 10, kMaxAgeMs = 65535 * kAgeUnitMs;
// The allowance of a router without demand, as a share of the median demand and in attempts: requests may
// arrive at any time.
constexpr double kIdleDemandShare = 0.25, kMinIdleDemand = 0.25;
constexpr std::size_t kTrimDivisor = 8;        // one of so many reports is excluded, and at least one
constexpr double kMaxDemandMedianMultiple = 8; // a demand is capped at so many times the median
constexpr std::size_t kMaxOwnDemands = 256;    // size of the history of own demands
constexpr double kScaleSteps = 65534, kScaleSpan = 1e7; // of the logarithmic scale from 1/1024 up

std::uint16_t encode_quantity(double value) {
  const double step = std::log1p(value * 1024) / std::log1p(kScaleSpan) * kScaleSteps;
  return static_cast<std::uint16_t>(std::lround(std::clamp(step, 0.0, kScaleSteps)));
}
double decode_quantity(std::uint16_t step) {
  return std::expm1(step / kScaleSteps * std::log1p(kScaleSpan)) / 1024;
}

} // namespace

OriginGossip::OriginGossip(MemberId self, std::size_t router_count, std::uint64_t seed)
    : self_(self), random_{mix_bits(seed ^ 0x66616374)}, reports_(router_count) {}

void OriginGossip::set_own_report(double now, Stamp stamp, const OriginValues& values) {
  Report& report = reports_[self_];
  report = {stamp, now, values, true, true};
  while (!own_demands_.empty() && (now - own_demands_.front().first > kQuantityBounds[0].expiry_ms ||
                                   own_demands_.size() >= kMaxOwnDemands))
    own_demands_.pop_front();
  own_demands_.emplace_back(now, is_finite_non_negative(values[0]) ? values[0] : 0);
  for (std::size_t i = 0; i < kQuantityCount; ++i) {
    if (!is_finite_non_negative(report.values[i])) report.values[i] = 0;
    report.values[i] =
        std::clamp(report.values[i], kQuantityBounds[i].min_value, kQuantityBounds[i].max_value);
  }
}

bool OriginGossip::merge(double now, MemberId owner, Stamp stamp, double age_ms, const OriginValues& values,
                         bool is_direct) {
  const bool valid =
      std::all_of(values.begin(), values.end(), is_finite_non_negative) && is_finite_non_negative(age_ms);
  if (owner >= reports_.size() || owner == self_ || !valid) {
    ++ignored_;
    return false;
  }
  Report& report = reports_[owner];
  const double made_at = now - age_ms;
  if (report.known && stamp == report.stamp) {
    report.made_at = std::min(report.made_at, made_at); // each received age is a lower bound
    report.is_direct |= is_direct;
    return false;
  }
  const bool replaces_relayed = is_direct && !report.is_direct;
  if (report.known && stamp < report.stamp && !replaces_relayed) return false;
  // A relayed report does not advance an owner's incarnation while the owner's direct report is recent.
  if (report.known && report.is_direct && !is_direct && stamp.incarnation > report.stamp.incarnation &&
      now - report.made_at < kQuantityBounds[0].half_life_ms)
    return false;
  report = {stamp, made_at, values, true, is_direct};
  for (std::size_t i = 0; i < kQuantityCount; ++i) {
    report.values[i] =
        std::clamp(report.values[i], kQuantityBounds[i].min_value, kQuantityBounds[i].max_value);
  }
  return true;
}

void OriginGossip::write_report(double now, MemberId owner, const Report& report, std::string& buffer) const {
  put_entry_header(buffer, EntryKind::OriginState, kPayloadBytes);
  put(buffer, owner);
  put(buffer, report.stamp.incarnation);
  put(buffer, report.stamp.sequence);
  put(buffer, static_cast<std::uint16_t>(std::clamp(now - report.made_at, 0.0, kMaxAgeMs) / kAgeUnitMs));
  for (const double value : report.values) put(buffer, encode_quantity(value));
}

std::string OriginGossip::write_entries(double now, std::size_t max_bytes) {
  constexpr std::size_t kEntryBytes = kEntryHeaderBytes + kPayloadBytes;
  std::string bytes;
  if (max_bytes < kEntryBytes || !reports_[self_].known) return bytes;
  write_report(now, self_, reports_[self_], bytes);
  const double router_count = static_cast<double>(reports_.size());
  // Takes the newer of two drawn reports: new reports spread first, and old ones soon stop being relayed.
  for (std::size_t draws = 0; draws < 24 && bytes.size() + kEntryBytes <= max_bytes; ++draws) {
    const auto first = static_cast<std::size_t>(random_.next_unit() * router_count),
               second = static_cast<std::size_t>(random_.next_unit() * router_count);
    const std::size_t chosen = reports_[first].made_at > reports_[second].made_at ? first : second;
    const Report& report = reports_[chosen];
    if (!report.known || chosen == self_ || now - report.made_at > kQuantityBounds[0].expiry_ms / 2) continue;
    write_report(now, static_cast<MemberId>(chosen), report, bytes);
  }
  return bytes;
}

void OriginGossip::read_entries(double now, MemberId sender, std::string_view bytes,
                                std::vector<Update>& updates) {
  while (const auto entry = next_entry(bytes)) {
    const std::string_view payload = entry->payload;
    if (entry->kind != static_cast<std::uint8_t>(EntryKind::OriginState) || payload.size() < kMinPayloadBytes)
      continue;
    const MemberId owner = get<MemberId>(payload, 0);
    const Stamp stamp{get<std::uint32_t>(payload, 2), get<std::uint16_t>(payload, 6)};
    const double age_ms = get<std::uint16_t>(payload, 8) * kAgeUnitMs;
    OriginValues values{};
    const std::size_t quantity_count = std::min(kQuantityCount, (payload.size() - kHeaderBytes) / 2);
    for (std::size_t i = 0; i < quantity_count; ++i)
      values[i] = decode_quantity(get<std::uint16_t>(payload, kHeaderBytes + 2 * i));
    if (merge(now, owner, stamp, age_ms, values, owner == sender)) updates.push_back({owner, stamp});
  }
  ignored_ += !bytes.empty(); // a damaged tail
}

std::size_t OriginGossip::fresh_report_count(double now) const {
  std::size_t count = 0;
  for (const Report& report : reports_)
    count +=
        report.known && &report != &reports_[self_] && now - report.made_at < kQuantityBounds[0].expiry_ms;
  return count;
}

void OriginGossip::collect_demand_samples(double now) {
  demand_samples_.clear();
  const QuantityBounds& bounds = kQuantityBounds[0];
  for (std::size_t i = 0; i < reports_.size(); ++i) {
    const Report& report = reports_[i];
    const double age_ms = i == self_ ? 0 : now - report.made_at;
    if (!report.known || age_ms >= bounds.expiry_ms) continue;
    demand_samples_.push_back({report.values[static_cast<std::size_t>(OriginQuantity::Demand)],
                               report.values[static_cast<std::size_t>(OriginQuantity::Limit)],
                               std::exp2(-age_ms / bounds.half_life_ms), age_ms, i == self_});
  }
}

double OriginGossip::own_demand_at(double time) const {
  double latest = own_demands_.empty() ? 0 : own_demands_.front().second;
  for (const auto& [set_at, demand] : own_demands_) {
    if (set_at > time) break;
    latest = demand;
  }
  return latest;
}

double OriginGossip::median_demand(double now) {
  collect_demand_samples(now);
  if (demand_samples_.empty()) return 0;
  const auto median = demand_samples_.begin() + static_cast<std::ptrdiff_t>(demand_samples_.size() / 2);
  std::nth_element(demand_samples_.begin(), median, demand_samples_.end(),
                   [](const DemandSample& a, const DemandSample& b) { return a.demand < b.demand; });
  return median->demand;
}

double OriginGossip::origin_limit_share(double now) {
  const double median = median_demand(now),
               idle_allowance = std::max(kIdleDemandShare * median, kMinIdleDemand);
  const double max_demand = kMaxDemandMedianMultiple * std::max(median, kMinIdleDemand);
  const std::size_t sample_count = demand_samples_.size();
  if (sample_count == 0) return 0;
  double weighted_age_sum = 0, total_weight = 0;
  for (const DemandSample& sample : demand_samples_) {
    weighted_age_sum += sample.is_own ? 0 : sample.weight * sample.age_ms;
    total_weight += sample.is_own ? 0 : sample.weight;
  }
  const double own_demand = own_demand_at(now - (total_weight > 0 ? weighted_age_sum / total_weight : 0));
  for (DemandSample& sample : demand_samples_)
    sample.demand = std::min(sample.is_own ? own_demand : sample.demand, max_demand) + idle_allowance;
  std::sort(demand_samples_.begin(), demand_samples_.end(), [](const DemandSample& a, const DemandSample& b) {
    return a.limit * b.demand < b.limit * a.demand;
  });
  const std::size_t trimmed_low = sample_count < 3 ? 0 : 1,
                    trimmed_high =
                        sample_count < 3 ? 0 : std::max<std::size_t>(1, sample_count / kTrimDivisor);
  double weighted_limit_sum = 0, weighted_demand_sum = 0;
  for (std::size_t i = trimmed_low; i < sample_count - trimmed_high; ++i) {
    weighted_limit_sum += demand_samples_[i].weight * demand_samples_[i].limit;
    weighted_demand_sum += demand_samples_[i].weight * demand_samples_[i].demand;
  }
  const double share =
      weighted_limit_sum / weighted_demand_sum * (std::min(own_demand, max_demand) + idle_allowance);
  if (sample_count < 3) return share; // nothing was excluded: the shares add up to the total limit
  // Correct routers are excluded, too: if only one router has demand, the ratio is that of the idle routers,
  // which keep their limits, and would assign several times the total to the router with demand.
  std::nth_element(demand_samples_.begin(), demand_samples_.begin() + 1, demand_samples_.end(),
                   [](const DemandSample& a, const DemandSample& b) { return a.limit > b.limit; });
  const double own_limit = reports_[self_].values[static_cast<std::size_t>(OriginQuantity::Limit)];
  return std::min(share,
                  std::max(own_limit, demand_samples_[1].limit * static_cast<double>(sample_count) / 2));
}

OriginGossip::ResponseTime OriginGossip::response_time(double now) {
  const QuantityBounds& bounds = kQuantityBounds[static_cast<std::size_t>(OriginQuantity::ResponseTime)];
  response_samples_.clear();
  for (std::size_t i = 0; i < reports_.size(); ++i) {
    const Report& report = reports_[i];
    const double ms = report.values[static_cast<std::size_t>(OriginQuantity::ResponseTime)],
                 age_ms = i == self_ ? 0 : now - report.made_at;
    if (report.known && ms > 0 && age_ms < bounds.expiry_ms)
      response_samples_.push_back({ms, std::exp2(-age_ms / bounds.half_life_ms), age_ms});
  }
  if (response_samples_.size() < 3) return {};
  std::sort(response_samples_.begin(), response_samples_.end(),
            [](const ResponseSample& a, const ResponseSample& b) { return a.ms < b.ms; });
  const std::size_t trimmed_count = std::max<std::size_t>(1, response_samples_.size() / kTrimDivisor);
  double weighted_ms_sum = 0, weighted_age_sum = 0, total_weight = 0;
  for (std::size_t i = trimmed_count; i < response_samples_.size() - trimmed_count; ++i) {
    weighted_ms_sum += response_samples_[i].weight * response_samples_[i].ms;
    weighted_age_sum += response_samples_[i].weight * response_samples_[i].age_ms;
    total_weight += response_samples_[i].weight;
  }
  return {weighted_ms_sum / total_weight, weighted_age_sum / total_weight};
}

} // namespace fernward::gossip
