#include "lab/lies/liar.h"

#include <algorithm>

namespace fernward::lab::lies {
namespace {

using gossip::What;

constexpr std::size_t kAccused = 3;    // in one datagram
constexpr std::size_t kMostWords = 8;  // in addition to the router's own stamp: space must remain for facts
constexpr std::size_t kFactsRoom = 90; // bytes; a correct datagram has up to 128 (gossip/fleet.cpp)
constexpr std::uint16_t kLater = 1000; // updates by which a false stamp is ahead of the true one

double extreme(model::Claim claim, What what) {
  const auto& q = gossip::kQuantities[static_cast<std::size_t>(what)];
  return claim == model::Claim::Most ? q.most : q.least;
}

} // namespace

Liar::Liar(model::RouterId self, std::size_t routers, std::uint64_t seed)
    : self_(static_cast<gossip::Id>(self)), seed_(seed), heard_(routers) {}

std::string Liar::spoil(double now, std::string_view bytes) {
  auto d = membership::decode(bytes);
  if (!d) return std::string(bytes);
  const auto know = [this](gossip::Id who, const gossip::Stamp& stamp) {
    if (who < heard_.size()) heard_[who] = std::max(heard_[who], stamp);
  };
  for (const membership::Word& word : d->words) know(word.who, word.stamp);
  // Read by an empty table, so that every fact of the datagram is reported.
  std::vector<gossip::Facts::Told> told;
  gossip::Facts(self_, heard_.size(), seed_).read(now, self_, d->facts, told);
  for (const auto& fact : told) know(fact.owner, fact.stamp);
  if (!lies_) return std::string(bytes);
  if (how_.accuses) {
    std::size_t accused = 0;
    for (std::size_t tries = 0; tries < heard_.size() && accused < kAccused && d->words.size() < kMostWords;
         ++tries) {
      const std::size_t who = turn_++ % heard_.size();
      if (who == self_ || heard_[who] == gossip::Stamp{}) continue;
      d->words.push_back({static_cast<gossip::Id>(who), membership::Standing::Dead, heard_[who], self_});
      ++accused;
    }
  }
  d->facts = facts(now, *d, std::min(kFactsRoom, membership::room_for_facts(*d)));
  return membership::encode(*d);
}

std::string Liar::facts(double now, const membership::Datagram& d, std::size_t room) {
  if (d.facts.empty()) return {};
  const gossip::Values claims = {extreme(how_.demand, What::Demand), extreme(how_.limit, What::Limit)};
  gossip::Facts said(self_, heard_.size(), seed_ + ++said_);
  said.own(now, d.stamp, claims);
  if (how_.of_others) {
    for (std::size_t who = 0; who < heard_.size(); ++who) {
      gossip::Stamp later = heard_[who];
      if (who == self_ || later == gossip::Stamp{}) continue;
      later.sequence = static_cast<std::uint16_t>(std::min(later.sequence + kLater, 65535));
      said.merge(now, static_cast<gossip::Id>(who), later, 0, claims, false);
    }
  }
  return said.write(now, room);
}

void apply(std::map<model::RouterId, Liar>& liars, const model::LieStep& step, std::size_t routers,
           std::uint64_t seed) {
  if (!step.on) {
    for (auto& [router, liar] : liars) liar.stop(step.number);
    return;
  }
  for (const model::RouterId router : step.routers) {
    liars.try_emplace(router, router, routers, seed + router).first->second.tell(step.how, step.number);
  }
}

} // namespace fernward::lab::lies
