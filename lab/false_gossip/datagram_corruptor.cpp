#include "lab/false_gossip/datagram_corruptor.h"

#include <algorithm>

namespace fernward::lab::false_gossip {
namespace {

using gossip::OriginQuantity;

constexpr std::size_t kMaxAccusations = 3; // in one datagram
constexpr std::size_t kMaxUpdates = 8;     // besides the router's own stamp, so that space remains for facts
constexpr std::size_t kMaxFactsBytes = 90; // a correct datagram has up to 128 (kMaxOriginBytes)
constexpr std::uint16_t kSequenceLead = 1000; // updates by which a false stamp is ahead of the true one

double claimed_value(model::ReportedExtreme claim, OriginQuantity quantity) {
  const auto& bounds = gossip::kQuantityBounds[static_cast<std::size_t>(quantity)];
  return claim == model::ReportedExtreme::Maximum ? bounds.max_value : bounds.min_value;
}

} // namespace

DatagramCorruptor::DatagramCorruptor(model::RouterId self, std::size_t routers, std::uint64_t seed)
    : self_(static_cast<gossip::MemberId>(self)), seed_(seed), known_stamps_(routers) {}

std::string DatagramCorruptor::corrupt(double now, std::string_view bytes) {
  auto datagram = membership::decode(bytes);
  if (!datagram) return std::string(bytes);
  const auto record_stamp = [this](gossip::MemberId who, const gossip::Stamp& stamp) {
    if (who < known_stamps_.size()) known_stamps_[who] = std::max(known_stamps_[who], stamp);
  };
  for (const membership::MemberUpdate& update : datagram->updates) record_stamp(update.member, update.stamp);
  // Read by an empty table, so that every fact of the datagram is reported.
  std::vector<gossip::OriginGossip::Update> facts;
  gossip::OriginGossip(self_, known_stamps_.size(), seed_).read_entries(now, self_, datagram->payload, facts);
  for (const auto& fact : facts) record_stamp(fact.owner, fact.stamp);
  if (!active_) return std::string(bytes);
  if (fault_.accuses) {
    std::size_t accusations = 0;
    for (std::size_t tries = 0; tries < known_stamps_.size() && accusations < kMaxAccusations &&
                                datagram->updates.size() < kMaxUpdates;
         ++tries) {
      const std::size_t router = next_accused_++ % known_stamps_.size();
      if (router == self_ || known_stamps_[router] == gossip::Stamp{}) continue;
      datagram->updates.push_back({static_cast<gossip::MemberId>(router), membership::MemberState::Dead,
                                   known_stamps_[router], self_});
      ++accusations;
    }
  }
  datagram->payload =
      false_facts(now, *datagram, std::min(kMaxFactsBytes, membership::max_payload_bytes(*datagram)));
  return membership::encode(*datagram);
}

std::string DatagramCorruptor::false_facts(double now, const membership::Datagram& datagram,
                                           std::size_t max_bytes) {
  if (datagram.payload.empty()) return {};
  const gossip::OriginValues claims = {claimed_value(fault_.demand, OriginQuantity::Demand),
                                       claimed_value(fault_.limit, OriginQuantity::Limit)};
  gossip::OriginGossip false_table(self_, known_stamps_.size(), seed_ + ++fact_rounds_);
  false_table.set_own_report(now, datagram.stamp, claims);
  if (fault_.of_others) {
    for (std::size_t router = 0; router < known_stamps_.size(); ++router) {
      gossip::Stamp false_stamp = known_stamps_[router];
      if (router == self_ || false_stamp == gossip::Stamp{}) continue;
      false_stamp.sequence =
          static_cast<std::uint16_t>(std::min(false_stamp.sequence + kSequenceLead, 65535));
      false_table.merge(now, static_cast<gossip::MemberId>(router), false_stamp, 0, claims, false);
    }
  }
  return false_table.write_entries(now, max_bytes);
}

void apply_step(std::map<model::RouterId, DatagramCorruptor>& corruptors,
                const model::InconsistentRouterStep& step, std::size_t routers, std::uint64_t seed) {
  if (!step.enabled) {
    for (auto& [router, corruptor] : corruptors) corruptor.stop(step.number);
    return;
  }
  for (const model::RouterId router : step.routers) {
    corruptors.try_emplace(router, router, routers, seed + router)
        .first->second.start(step.behavior, step.number);
  }
}

} // namespace fernward::lab::false_gossip
