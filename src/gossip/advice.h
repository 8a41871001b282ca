// Between one router's policy and what the tier shares: what it has to say, and what follows for it of what
// is said. The program and the lab's virtual routers use the same. Both clocks are the caller's.
#pragma once

#include <utility>
#include <vector>

#include "fernward/balancer.h"
#include "gossip/fleet.h"

namespace fernward::gossip {

struct Uses { // each part by itself
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

// The events for the policy after a round, appended.
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
