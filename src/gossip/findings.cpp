#include "gossip/findings.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fernward::gossip {
namespace {

using membership::get;
using membership::put;

// u16 owner, u32 incarnation, u16 sequence, u8 zone, u8 lost, u32 server, u16 age in units of 10 ms.
constexpr std::size_t kLength = 16;
constexpr double kAgeUnit = 10;
constexpr std::uint32_t kMostTold = 255;
constexpr std::size_t kQuorum = 2;     // sender addresses
constexpr std::uint32_t kLost = 4;     // attempts over all senders: one more than one router needs by itself
constexpr std::uint32_t kMostLost = 2; // counted per sender
constexpr std::size_t kOverWell = 2;   // votes for each reported success
constexpr double kBeforeMs = 1000;     // a success up to so long before the median failure contradicts it
constexpr std::size_t kOwnAtOnce = 3;  // own reports in a datagram

// The sender addresses of reports. Each is one vote, whichever owners' reports it relays: reports that a
// sender forges in the names of other routers count once.
struct Votes {
  std::array<Id, Findings::kVoters> ways{};
  std::size_t count = 0;
  std::uint32_t lost = 0;
  void add(Id via, std::uint32_t more) {
    const auto end = ways.begin() + static_cast<std::ptrdiff_t>(count);
    if (std::find(ways.begin(), end, via) != end) return;
    ways[count++] = via;
    lost += std::min(more, kMostLost);
  }
  bool enough() const { return count >= kQuorum && lost >= kLost; }
};

} // namespace

Findings::Findings(Id self, std::uint8_t zone, std::uint64_t seed)
    : self_(self), zone_(zone), random_{mix(seed ^ 0x66696e64)} {}

Findings::Words* Findings::words_of(ServerId server) {
  const auto found = said_.find(server);
  if (found != said_.end()) return &found->second;
  return said_.size() < kServers ? &said_[server] : nullptr;
}

void Findings::forget_old(double now) {
  for (auto it = said_.begin(); it != said_.end();) {
    std::erase_if(it->second, [&](const Word& w) { return now - w.seen_at >= kFreshMs; });
    it = it->second.empty() ? said_.erase(it) : std::next(it);
  }
}

bool Findings::contested(ServerId server) const {
  const auto found = said_.find(server);
  if (found == said_.end()) return false;
  std::uint32_t lost = 0;
  for (const Word& w : found->second) lost += w.lost;
  return lost >= kMostLost; // a single failed attempt needs no contradiction
}

void Findings::own(double now, Stamp stamp, const std::vector<Finding>& seen) {
  forget_old(now);
  for (auto it = said_.begin(); it != said_.end();) {
    std::erase_if(it->second, [&](const Word& w) { return w.owner == self_; });
    it = it->second.empty() ? said_.erase(it) : std::next(it);
  }
  for (const Finding& f : seen) {
    if (now - f.seen_at >= kFreshMs || (f.lost == 0 && !contested(f.server))) continue;
    Words* words = words_of(f.server);
    if (words != nullptr)
      words->push_back({self_, self_, stamp, zone_, std::min(f.lost, kMostTold), f.seen_at});
  }
}

bool Findings::merge(double now, Id via, Id owner, Stamp stamp, std::uint8_t zone, const Finding& what) {
  if (owner == self_ || !std::isfinite(what.seen_at) || what.seen_at > now) {
    ++passed_over_;
    return false;
  }
  if (now - what.seen_at >= kFreshMs) return false;
  Words* words = words_of(what.server);
  if (words == nullptr) return false;
  const Word w{owner, via, stamp, zone, std::min(what.lost, kMostTold), what.seen_at};
  const auto had =
      std::find_if(words->begin(), words->end(), [&](const Word& o) { return o.owner == owner; });
  if (had == words->end()) {
    if (words->size() >= kVoters) {
      const auto oldest = std::min_element(
          words->begin(), words->end(), [](const Word& a, const Word& b) { return a.seen_at < b.seen_at; });
      if (oldest->seen_at >= w.seen_at) return false;
      *oldest = w;
    } else {
      words->push_back(w);
    }
    return true;
  }
  // A report from the owner's own address takes precedence over a relayed one, which does not advance the
  // incarnation of a direct one.
  const bool had_first_hand = had->via == owner, first_hand = via == owner;
  if (stamp <= had->stamp && (had_first_hand || !first_hand)) return false;
  if (had_first_hand && !first_hand && stamp.incarnation > had->stamp.incarnation) return false;
  *had = w;
  return true;
}

void Findings::put_word(double now, ServerId server, const Word& w, std::string& to) const {
  put_entry_head(to, Kind::Finding, kLength);
  put(to, w.owner);
  put(to, w.stamp.incarnation);
  put(to, w.stamp.sequence);
  put(to, w.zone);
  put(to, static_cast<std::uint8_t>(w.lost));
  put(to, server);
  put(to, static_cast<std::uint16_t>(std::ceil(std::clamp(now - w.seen_at, 0.0, kFreshMs) / kAgeUnit)));
}

std::string Findings::write(double now, std::size_t room) {
  constexpr std::size_t kEach = kEntryHead + kLength;
  std::string bytes;
  drawn_.clear();
  for (const auto& [server, words] : said_) {
    for (const Word& w : words) {
      if (now - w.seen_at < kFreshMs) drawn_.emplace_back(server, &w);
    }
  }
  // Own reports first, whatever their content: a router that floods the tier with reports must not displace
  // them. Of the others, failures before successes, as successes are numerous.
  const auto others = std::stable_partition(drawn_.begin(), drawn_.end(),
                                            [&](const auto& d) { return d.second->owner == self_; });
  const auto well = std::partition(others, drawn_.end(), [](const auto& d) { return d.second->lost > 0; });
  const auto mine = static_cast<std::size_t>(others - drawn_.begin());
  for (std::size_t i = 0; i < std::min(mine, kOwnAtOnce) && bytes.size() + kEach <= room; ++i) {
    const auto& [server, word] = drawn_[own_at_++ % mine];
    put_word(now, server, *word, bytes);
  }
  for (auto [at, end] : {std::pair(others, well), std::pair(well, drawn_.end())}) {
    for (; at != end && bytes.size() + kEach <= room; ++at) { // each once, in random order
      std::swap(*at, *(at + static_cast<std::ptrdiff_t>(random_.unit() * static_cast<double>(end - at))));
      put_word(now, at->first, *at->second, bytes);
    }
  }
  return bytes;
}

void Findings::read(double now, Id via, std::string_view bytes) {
  while (const auto entry = next_entry(bytes)) {
    const std::string_view one = entry->bytes;
    if (entry->kind != static_cast<std::uint8_t>(Kind::Finding) || one.size() < kLength) continue;
    merge(now, via, get<Id>(one, 0), {get<std::uint32_t>(one, 2), get<std::uint16_t>(one, 6)},
          get<std::uint8_t>(one, 8),
          {get<ServerId>(one, 10), get<std::uint8_t>(one, 9), now - get<std::uint16_t>(one, 14) * kAgeUnit});
  }
}

Verdict Findings::judge(ServerId server, const Words& words) {
  Verdict v{server, false, kNever};
  Votes here, abroad;
  bool zones = false; // reports from more than one other zone
  std::uint8_t zone = zone_;
  times_.clear();
  for (const Word& w : words) {
    v.seen_at = std::max(v.seen_at, w.seen_at);
    if (w.lost == 0) continue;
    times_.push_back(w.seen_at);
    (w.zone == zone_ ? here : abroad).add(w.via, w.lost);
    if (w.zone != zone_) zones |= zone != zone_ && zone != w.zone, zone = w.zone;
  }
  if (times_.empty()) return v;
  // A success from long before most of these failures does not contradict them: the node may have failed
  // since.
  const auto middle = times_.begin() + static_cast<std::ptrdiff_t>(times_.size() / 2);
  std::nth_element(times_.begin(), middle, times_.end());
  std::size_t well_here = 0, well = 0;
  for (const Word& w : words) {
    const bool against = w.lost == 0 && w.seen_at > *middle - kBeforeMs;
    well += against;
    well_here += against && w.zone == zone_;
  }
  v.bad = (here.enough() && here.count > kOverWell * well_here) || (abroad.enough() && zones && well == 0);
  return v;
}

void Findings::changes(double now, std::vector<Verdict>& to) {
  forget_old(now);
  for (auto it = bad_.begin(); it != bad_.end();) {
    if (said_.count(*it) > 0) {
      ++it;
      continue;
    }
    to.push_back({*it, false, kNever}); // no report is left
    it = bad_.erase(it);
  }
  for (const auto& [server, words] : said_) {
    const Verdict v = judge(server, words);
    if (v.bad == (bad_.count(server) > 0)) continue;
    to.push_back(v);
    v.bad ? void(bad_.insert(server)) : void(bad_.erase(server));
  }
}

} // namespace fernward::gossip
