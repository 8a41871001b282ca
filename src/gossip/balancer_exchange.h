// Exchange between one router's balancer and its gossip node: collects the reports that the router sends, and
// turns received state into events for the balancer. Used by the program and by the lab's virtual routers.
// The balancer and the gossip node both use the caller's clock.
#pragma once

#include <utility>
#include <vector>

#include "fernward/balancer.h"
#include "gossip/gossip_node.h"

namespace fernward::gossip {

struct GossipFeatures { // each feature can be enabled on its own
  bool origin_limits = true, router_count = true, outliers = true;
};

inline LocalReports local_reports(const Balancer& balancer, const GossipFeatures& features) {
  const Balancer::OriginBudget origin = balancer.origin_budget();
  LocalReports reports{origin.demand, origin.limit, {}, origin.response_ms};
  if (!features.outliers) return reports;
  std::vector<Balancer::OutlierObservation> observations;
  balancer.outlier_observations(observations);
  for (const auto& observation : observations)
    reports.server_reports.push_back(
        {observation.server, observation.consecutive_failures, observation.observed_at});
  return reports;
}

// Appends the events for the balancer after a gossip round.
inline void append_fleet_events(double now, const FleetView& view, GossipNode& node,
                                const GossipFeatures& features, std::vector<Event>& events) {
  FleetState state{features.router_count ? view.router_count : 0};
  if (features.origin_limits)
    state.origin_limit_share = view.origin_limit_share, state.origin_response_ms = view.origin_response_ms,
    state.origin_response_age_ms = view.origin_response_age_ms;
  events.push_back(state);
  if (!features.outliers) return;
  std::vector<OutlierDecision> decisions;
  node.append_outlier_changes(now, decisions);
  for (const OutlierDecision& decision : decisions)
    events.push_back(OutlierReport{decision.server, decision.outlier, decision.observed_at});
}

} // namespace fernward::gossip
