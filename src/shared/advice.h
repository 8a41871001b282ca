// Between one router's policy and what the tier shares: what it has to say, and what follows for it of what is said.
// The program and the lab's virtual routers use the same. Both clocks are the caller's.
#pragma once

#include <utility>
#include <vector>

#include "fernward/choice.h"
#include "shared/fleet.h"

namespace fernward::shared {

struct Uses { // each part by itself
  bool ledger = true, count = true, findings = true;
};

inline Own own_of(const Balancer& balancer, const Uses& uses) {
  const Balancer::Ledger ledger = balancer.ledger();
  Own own{ledger.demand, ledger.limit, {}, ledger.answer_ms};
  if (!uses.findings) return own;
  std::vector<Balancer::Finding> seen;
  balancer.findings(seen);
  for (const auto& f : seen) own.findings.push_back({f.server, f.lost, f.seen_at});
  return own;
}

// The events for the policy after a round, appended.
inline void advise(double now, const View& v, Fleet& fleet, const Uses& uses, std::vector<Event>& to) {
  FleetWord word{uses.count ? v.living : 0};
  if (uses.ledger)
    word.ledger_part = v.ledger_part, word.answer_ms = v.answer_ms, word.answer_age_ms = v.answer_age_ms;
  to.push_back(word);
  if (!uses.findings) return;
  std::vector<Verdict> verdicts;
  fleet.verdicts(now, verdicts);
  for (const Verdict& f : verdicts) to.push_back(FleetFinding{f.server, f.bad, f.seen_at});
}

} // namespace fernward::shared
