#include "shared/facts.h"

#include <algorithm>
#include <cmath>

namespace fernward::shared {
namespace {

using members::get;
using members::put;

// u8 length, u16 owner, u32 incarnation, u16 sequence, u16 age in 10 ms, then u16 a quantity. A longer one has quantities
// that this version does not know; a shorter one lacks some, which then count as not said.
constexpr std::size_t kHead = 10, kLength = kHead + 2 * kFacts;
constexpr double kAgeUnit = 10, kMostAge = 65535 * kAgeUnit;
constexpr double kMedians = 8;        // a value counts as so many times the median at most
constexpr double kLeastMedian = 0.25; // attempts: a median below it is of routers that are hardly asked
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
    e.made_at = std::min(e.made_at, made_at); // every age is one that it has at least
    e.direct |= direct;
    return false;
  }
  const bool over_hearsay = direct && !e.direct;
  if (e.known && stamp < e.stamp && !over_hearsay) return false;
  // Hearsay does not take an owner's incarnation further while its own word is young.
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
  put(to, static_cast<std::uint8_t>(kLength));
  put(to, owner);
  put(to, e.stamp.incarnation);
  put(to, e.stamp.sequence);
  put(to, static_cast<std::uint16_t>(std::clamp(now - e.made_at, 0.0, kMostAge) / kAgeUnit));
  for (const double value : e.values) put(to, scaled(value));
}

std::string Facts::write(double now, std::size_t room) {
  constexpr std::size_t kEach = kLength + 1;
  std::string bytes;
  if (room < kEach || !all_[self_].known) return bytes;
  write_one(now, self_, all_[self_], bytes);
  const double n = static_cast<double>(all_.size());
  // The younger of two drawn ones: what is new spreads first, and what is old is soon not passed on at all.
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
  while (!bytes.empty()) {
    const std::size_t length = get<std::uint8_t>(bytes, 0);
    if (length < kHead || bytes.size() < 1 + length) {
      ++passed_over_;
      return;
    }
    const std::string_view one = bytes.substr(1, length);
    bytes.remove_prefix(1 + length);
    const Id owner = get<Id>(one, 0);
    const Stamp stamp{get<std::uint32_t>(one, 2), get<std::uint16_t>(one, 6)};
    const double age = get<std::uint16_t>(one, 8) * kAgeUnit;
    Values values{};
    if (length < kLength) continue; // of a version that says less: not enough to go by
    for (std::size_t i = 0; i < kFacts; ++i) values[i] = unscaled(get<std::uint16_t>(one, kHead + 2 * i));
    if (merge(now, owner, stamp, age, values, owner == from)) told.push_back({owner, stamp});
  }
}

std::size_t Facts::heard(double now) const {
  std::size_t n = 0;
  for (const Entry& e : all_) n += e.known && &e != &all_[self_] && now - e.made_at < kQuantities[0].gone_ms;
  return n;
}

Facts::Mean Facts::mean(double now, What what) {
  const auto at = static_cast<std::size_t>(what);
  const Quantity& q = kQuantities[at];
  scratch_.clear();
  for (std::size_t i = 0; i < all_.size(); ++i) {
    const Entry& e = all_[i];
    const double age = i == self_ ? 0 : now - e.made_at;
    if (e.known && age < q.gone_ms) scratch_.emplace_back(e.values[at], std::exp2(-age / q.half_life_ms));
  }
  if (scratch_.empty()) return {};
  const auto middle = scratch_.begin() + static_cast<std::ptrdiff_t>(scratch_.size() / 2);
  std::nth_element(scratch_.begin(), middle, scratch_.end());
  const double most = kMedians * std::max(middle->first, kLeastMedian);
  double sum = 0, weights = 0;
  for (const auto& [value, weight] : scratch_) {
    sum += weight * std::min(value, most);
    weights += weight;
  }
  return {sum / weights, most};
}

} // namespace fernward::shared
