#include "gossip/facts.h"

#include <algorithm>
#include <cmath>

namespace fernward::gossip {
namespace {

using membership::get;
using membership::put;

// An entry: u16 owner, u32 incarnation, u16 sequence, u16 age in units of 10 ms, then a u16 per quantity. A
// longer entry has quantities that this version does not know; a shorter one is from an older version, and
// its missing quantities are 0 (unknown).
constexpr std::size_t kHead = 10, kLength = kHead + 2 * kFacts, kShortest = kHead + 2 * 2;
constexpr double kAgeUnit = 10, kMostAge = 65535 * kAgeUnit;
// The allowance of a router without demand, as a share of the median demand and in attempts: requests may
// arrive at any time.
constexpr double kIdlePart = 0.25, kLeastIdle = 0.25;
constexpr std::size_t kTrimmed = 8;           // one of so many reports is excluded, and at least one
constexpr double kMedians = 8;                // a demand is capped at so many times the median
constexpr std::size_t kWanted = 256;          // size of the history of own demands
constexpr double kSteps = 65534, kSpan = 1e7; // of the logarithmic scale from 1/1024 up

std::uint16_t scaled(double value) {
  const double at = std::log1p(value * 1024) / std::log1p(kSpan) * kSteps;
  return static_cast<std::uint16_t>(std::lround(std::clamp(at, 0.0, kSteps)));
}
double unscaled(std::uint16_t at) { return std::expm1(at / kSteps * std::log1p(kSpan)) / 1024; }

} // namespace

Facts::Facts(Id self, std::size_t count, std::uint64_t seed)
    : self_(self), random_{mix(seed ^ 0x66616374)}, all_(count) {}

void Facts::own(double now, Stamp stamp, const Values& values) {
  Entry& e = all_[self_];
  e = {stamp, now, values, true, true};
  while (!wanted_.empty() &&
         (now - wanted_.front().first > kQuantities[0].gone_ms || wanted_.size() >= kWanted))
    wanted_.pop_front();
  wanted_.emplace_back(now, usable_number(values[0]) ? values[0] : 0);
  for (std::size_t i = 0; i < kFacts; ++i) {
    if (!usable_number(e.values[i])) e.values[i] = 0;
    e.values[i] = std::clamp(e.values[i], kQuantities[i].least, kQuantities[i].most);
  }
}

bool Facts::merge(double now, Id owner, Stamp stamp, double age_ms, const Values& values, bool direct) {
  const bool sound = std::all_of(values.begin(), values.end(), usable_number) && usable_number(age_ms);
  if (owner >= all_.size() || owner == self_ || !sound) {
    ++passed_over_;
    return false;
  }
  Entry& e = all_[owner];
  const double made_at = now - age_ms;
  if (e.known && stamp == e.stamp) {
    e.made_at = std::min(e.made_at, made_at); // each received age is a lower bound
    e.direct |= direct;
    return false;
  }
  const bool over_hearsay = direct && !e.direct;
  if (e.known && stamp < e.stamp && !over_hearsay) return false;
  // A relayed report does not advance an owner's incarnation while the owner's direct report is recent.
  if (e.known && e.direct && !direct && stamp.incarnation > e.stamp.incarnation &&
      now - e.made_at < kQuantities[0].half_life_ms)
    return false;
  e = {stamp, made_at, values, true, direct};
  for (std::size_t i = 0; i < kFacts; ++i) {
    e.values[i] = std::clamp(e.values[i], kQuantities[i].least, kQuantities[i].most);
  }
  return true;
}

void Facts::write_one(double now, Id owner, const Entry& e, std::string& to) const {
  put_entry_head(to, Kind::Quantities, kLength);
  put(to, owner);
  put(to, e.stamp.incarnation);
  put(to, e.stamp.sequence);
  put(to, static_cast<std::uint16_t>(std::clamp(now - e.made_at, 0.0, kMostAge) / kAgeUnit));
  for (const double value : e.values) put(to, scaled(value));
}

std::string Facts::write(double now, std::size_t room) {
  constexpr std::size_t kEach = kEntryHead + kLength;
  std::string bytes;
  if (room < kEach || !all_[self_].known) return bytes;
  write_one(now, self_, all_[self_], bytes);
  const double n = static_cast<double>(all_.size());
  // Takes the newer of two drawn reports: new reports spread first, and old ones soon stop being relayed.
  for (std::size_t tries = 0; tries < 24 && bytes.size() + kEach <= room; ++tries) {
    const auto a = static_cast<std::size_t>(random_.unit() * n),
               b = static_cast<std::size_t>(random_.unit() * n);
    const std::size_t one = all_[a].made_at > all_[b].made_at ? a : b;
    const Entry& e = all_[one];
    if (!e.known || one == self_ || now - e.made_at > kQuantities[0].gone_ms / 2) continue;
    write_one(now, static_cast<Id>(one), e, bytes);
  }
  return bytes;
}

void Facts::read(double now, Id from, std::string_view bytes, std::vector<Told>& told) {
  while (const auto entry = next_entry(bytes)) {
    const std::string_view one = entry->bytes;
    if (entry->kind != static_cast<std::uint8_t>(Kind::Quantities) || one.size() < kShortest) continue;
    const Id owner = get<Id>(one, 0);
    const Stamp stamp{get<std::uint32_t>(one, 2), get<std::uint16_t>(one, 6)};
    const double age = get<std::uint16_t>(one, 8) * kAgeUnit;
    Values values{};
    const std::size_t said = std::min(kFacts, (one.size() - kHead) / 2);
    for (std::size_t i = 0; i < said; ++i) values[i] = unscaled(get<std::uint16_t>(one, kHead + 2 * i));
    if (merge(now, owner, stamp, age, values, owner == from)) told.push_back({owner, stamp});
  }
  passed_over_ += !bytes.empty(); // a damaged tail
}

std::size_t Facts::heard(double now) const {
  std::size_t n = 0;
  for (const Entry& e : all_) n += e.known && &e != &all_[self_] && now - e.made_at < kQuantities[0].gone_ms;
  return n;
}

void Facts::gather(double now) {
  heard_.clear();
  const Quantity& q = kQuantities[0];
  for (std::size_t i = 0; i < all_.size(); ++i) {
    const Entry& e = all_[i];
    const double age = i == self_ ? 0 : now - e.made_at;
    if (!e.known || age >= q.gone_ms) continue;
    heard_.push_back({e.values[static_cast<std::size_t>(What::Demand)],
                      e.values[static_cast<std::size_t>(What::Limit)], std::exp2(-age / q.half_life_ms), age,
                      i == self_});
  }
}

double Facts::demand_before(double then) const {
  double wanted = wanted_.empty() ? 0 : wanted_.front().second;
  for (const auto& [at, demand] : wanted_) {
    if (at > then) break;
    wanted = demand;
  }
  return wanted;
}

double Facts::demand(double now) {
  gather(now);
  if (heard_.empty()) return 0;
  const auto middle = heard_.begin() + static_cast<std::ptrdiff_t>(heard_.size() / 2);
  std::nth_element(heard_.begin(), middle, heard_.end(),
                   [](const Heard& a, const Heard& b) { return a.demand < b.demand; });
  return middle->demand;
}

double Facts::part(double now) {
  const double usual = demand(now), idle = std::max(kIdlePart * usual, kLeastIdle);
  const double most = kMedians * std::max(usual, kLeastIdle);
  const std::size_t n = heard_.size();
  if (n == 0) return 0;
  double ages = 0, weights = 0;
  for (const Heard& h : heard_) {
    ages += h.own ? 0 : h.weight * h.age;
    weights += h.own ? 0 : h.weight;
  }
  const double mine = demand_before(now - (weights > 0 ? ages / weights : 0));
  for (Heard& h : heard_) h.demand = std::min(h.own ? mine : h.demand, most) + idle;
  std::sort(heard_.begin(), heard_.end(),
            [](const Heard& a, const Heard& b) { return a.limit * b.demand < b.limit * a.demand; });
  const std::size_t low = n < 3 ? 0 : 1, high = n < 3 ? 0 : std::max<std::size_t>(1, n / kTrimmed);
  double limits = 0, demands = 0;
  for (std::size_t i = low; i < n - high; ++i) {
    limits += heard_[i].weight * heard_[i].limit;
    demands += heard_[i].weight * heard_[i].demand;
  }
  const double part = limits / demands * (std::min(mine, most) + idle);
  if (n < 3) return part; // nothing was excluded: the shares add up to the total limit
  // Correct routers are excluded, too: if only one router has demand, the ratio is that of the idle routers,
  // which keep their limits, and would assign several times the total to the router with demand.
  std::nth_element(heard_.begin(), heard_.begin() + 1, heard_.end(),
                   [](const Heard& a, const Heard& b) { return a.limit > b.limit; });
  const double held = all_[self_].values[static_cast<std::size_t>(What::Limit)];
  return std::min(part, std::max(held, heard_[1].limit * static_cast<double>(n) / 2));
}

Facts::Answers Facts::answers(double now) {
  const Quantity& q = kQuantities[static_cast<std::size_t>(What::Answer)];
  seen_.clear();
  for (std::size_t i = 0; i < all_.size(); ++i) {
    const Entry& e = all_[i];
    const double ms = e.values[static_cast<std::size_t>(What::Answer)],
                 age = i == self_ ? 0 : now - e.made_at;
    if (e.known && ms > 0 && age < q.gone_ms) seen_.push_back({ms, std::exp2(-age / q.half_life_ms), age});
  }
  if (seen_.size() < 3) return {};
  std::sort(seen_.begin(), seen_.end(), [](const Seen& a, const Seen& b) { return a.ms < b.ms; });
  const std::size_t off = std::max<std::size_t>(1, seen_.size() / kTrimmed);
  double sum = 0, ages = 0, weights = 0;
  for (std::size_t i = off; i < seen_.size() - off; ++i) {
    sum += seen_[i].weight * seen_[i].ms;
    ages += seen_[i].weight * seen_[i].age;
    weights += seen_[i].weight;
  }
  return {sum / weights, ages / weights};
}

} // namespace fernward::gossip
