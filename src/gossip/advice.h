// Exchange between one router's balancer and its gossip node: collects the reports that the router sends, and
// turns received state into events for the balancer. Used by the program and by the lab's virtual routers.
// The balancer and the gossip node both use the caller's clock.
#pragma once

#include <utility>
#include <vector>

#include "fernward/balancer.h"
#include "gossip/fleet.h"

namespace fernward::gossip {

struct Uses { // each feature can be enabled on its own
  bool ledger = true, count = true, findings = true;
};

inline Own own_of(const Balancer& balancer, const Uses& uses) {
  const Balancer::OriginBudget ledger = balancer.origin_budget();
  Own own{ledger.demand, ledger.limit, {}, ledger.response_ms};
  if (!uses.findings) return own;
  std::vector<Balancer::OutlierObservation> seen;
  balancer.outlier_observations(seen);
  for (const auto& f : seen) own.findings.push_back({f.server, f.consecutive_failures, f.observed_at});
  return own;
}

// Appends the events for the balancer after a gossip round.
inline void advise(double now, const View& v, Fleet& fleet, const Uses& uses, std::vector<Event>& to) {
  FleetState word{uses.count ? v.living : 0};
  if (uses.ledger)
    word.origin_limit_share = v.ledger_part, word.origin_response_ms = v.answer_ms,
    word.origin_response_age_ms = v.answer_age_ms;
  to.push_back(word);
  if (!uses.findings) return;
  std::vector<Verdict> verdicts;
  fleet.verdicts(now, verdicts);
  for (const Verdict& f : verdicts) to.push_back(OutlierReport{f.server, f.bad, f.seen_at});
}

} // namespace fernward::gossip
