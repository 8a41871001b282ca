// Outlier reports that several routers make together, and this router's own observations for them.
#include <gtest/gtest.h>

#include "health/outlier_state.h"
#include "support.h"

namespace fernward::testing {
namespace {

// Number of `n` requests whose first attempt is sent to `server`. Each first attempt is answered.
int first_at(Node& node, ServerId server, int n, RequestId& id) {
  int there = 0;
  for (int i = 0; i < n; ++i) {
    ++id;
    node.request(id, 0x9e3779b97f4a7c15ull * id);
    const bool met = node.last_server(id) == server;
    there += met;
    node.wait(20);
    node.outcome(id, AttemptResult::Ok);
  }
  return there;
}

TEST(OutlierReports, ReportedOutlierIsEjectedUntilOwnTrialSucceeds) {
  Node node(plain_settings());
  node.caches(6);
  RequestId id = 0;
  node.on(OutlierReport{1, true, node.now});
  EXPECT_TRUE(node.balancer().is_ejected(1));
  EXPECT_EQ(first_at(node, 1, 5, id), 0);
  node.wait(3000);
  EXPECT_GE(first_at(node, 1, 40, id), 1); // its trial succeeded
  EXPECT_FALSE(node.balancer().is_ejected(1));
}

TEST(OutlierReports, MoreRecentOwnResponseTakesPrecedenceOverReport) {
  Node node(plain_settings());
  node.caches(6);
  RequestId id = 0;
  const double seen = node.now;
  while (first_at(node, 1, 1, id) == 0) {}
  node.on(OutlierReport{1, true, seen});
  EXPECT_FALSE(node.balancer().is_ejected(1));
  node.on(OutlierReport{1, true, node.now + 1}); // more recent than that response
  EXPECT_TRUE(node.balancer().is_ejected(1));
}

TEST(OutlierReports, HealthyReportBringsTrialForwardUnlessOwnFailureIsMoreRecent) {
  health::OutlierState told;
  EXPECT_TRUE(told.on_reported_outlier(900));
  EXPECT_FALSE(told.on_reported_outlier(950)); // already ejected
  told.schedule_trial(1000, 300, 0.5);
  EXPECT_FALSE(told.trial_due(1000));
  told.on_reported_healthy(1000, 990);
  EXPECT_TRUE(told.trial_due(1000));
  told.record_sent();
  told.on_reported_healthy(1000, 995);
  EXPECT_FALSE(told.trial_due(1000)); // one at a time
  health::OutlierState seen;
  for (int i = 0; i < 3; ++i) seen.record_failure(1000, 1, false);
  seen.schedule_trial(1000, 300, 0.5);
  seen.on_reported_healthy(1010, 990);
  EXPECT_FALSE(seen.trial_due(1010));
}

TEST(OutlierReports, ObservationsContainOnlyOwnEvidence) {
  Node node(plain_settings());
  node.caches(6);
  RequestId id = 0;
  first_at(node, 0, 60, id);
  node.on(OutlierReport{1, true, node.now + 1});
  const auto lost_at = [&](ServerId server) {
    std::vector<Balancer::OutlierObservation> all;
    node.balancer().outlier_observations(all);
    for (const auto& f : all) {
      if (f.server == server) return static_cast<int>(f.consecutive_failures);
    }
    return -1;
  };
  EXPECT_EQ(lost_at(1), 0); // because of an earlier response
  // A refused connection counts as two failures and is the router's own evidence.
  for (int lost = 0; lost < 1;) {
    ++id;
    node.request(id, 0x9e3779b97f4a7c15ull * id);
    const bool met = node.last_server(id) == 2;
    node.wait(20);
    node.outcome(id, met ? AttemptResult::ConnectFailed : AttemptResult::Ok);
    lost += met;
  }
  EXPECT_EQ(lost_at(2), 2);
}

TEST(OutlierReports, ReportsOnUnknownServersAndOriginAreIgnored) {
  Node node(aside_settings());
  node.caches(3, true);
  node.on(OutlierReport{77, true, node.now});
  node.on(OutlierReport{kOrigin, true, node.now});
  for (const ServerId server : {77u, kOrigin}) EXPECT_FALSE(node.balancer().is_ejected(server));
}

} // namespace
} // namespace fernward::testing
