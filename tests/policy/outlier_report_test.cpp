// Combined outlier reports of several routers, and this router's own observations that contribute to them.
#include <gtest/gtest.h>

#include "balancer_driver.h"
#include "health/outlier_state.h"

namespace fernward::testing {
namespace {

// Number of `request_count` requests whose first attempt is sent to `server`. Each first attempt is answered.
int count_first_attempts(BalancerDriver& driver, ServerId server, int request_count, RequestId& id) {
  int first_attempts = 0;
  for (int i = 0; i < request_count; ++i) {
    ++id;
    driver.send_request(id, 0x9e3779b97f4a7c15ull * id);
    const bool sent_there = driver.last_server(id) == server;
    first_attempts += sent_there;
    driver.advance(20);
    driver.end_attempt(id, AttemptResult::Ok);
  }
  return first_attempts;
}

TEST(OutlierReports, ReportedOutlierIsEjectedUntilOwnTrialSucceeds) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(6);
  RequestId id = 0;
  driver.send_event(OutlierReport{1, true, driver.now});
  EXPECT_TRUE(driver.balancer().is_ejected(1));
  EXPECT_EQ(count_first_attempts(driver, 1, 5, id), 0);
  driver.advance(3000);
  EXPECT_GE(count_first_attempts(driver, 1, 40, id), 1); // its trial succeeded
  EXPECT_FALSE(driver.balancer().is_ejected(1));
}

TEST(OutlierReports, MoreRecentOwnResponseTakesPrecedenceOverReport) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(6);
  RequestId id = 0;
  const double observed = driver.now;
  while (count_first_attempts(driver, 1, 1, id) == 0) {}
  driver.send_event(OutlierReport{1, true, observed});
  EXPECT_FALSE(driver.balancer().is_ejected(1));
  driver.send_event(OutlierReport{1, true, driver.now + 1}); // more recent than that response
  EXPECT_TRUE(driver.balancer().is_ejected(1));
}

TEST(OutlierReports, HealthyReportBringsTrialForwardUnlessOwnFailureIsMoreRecent) {
  health::OutlierState reported_state;
  EXPECT_TRUE(reported_state.on_reported_outlier(900));
  EXPECT_FALSE(reported_state.on_reported_outlier(950)); // already ejected
  reported_state.schedule_trial(1000, 300, 0.5);
  EXPECT_FALSE(reported_state.trial_due(1000));
  reported_state.on_reported_healthy(1000, 990);
  EXPECT_TRUE(reported_state.trial_due(1000));
  reported_state.record_attempt_sent();
  reported_state.on_reported_healthy(1000, 995);
  EXPECT_FALSE(reported_state.trial_due(1000)); // one at a time
  health::OutlierState observed;
  for (int i = 0; i < 3; ++i) observed.record_failure(1000, 1, false);
  observed.schedule_trial(1000, 300, 0.5);
  observed.on_reported_healthy(1010, 990);
  EXPECT_FALSE(observed.trial_due(1010));
}

TEST(OutlierReports, ObservationsContainOnlyOwnEvidence) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(6);
  RequestId id = 0;
  count_first_attempts(driver, 0, 60, id);
  driver.send_event(OutlierReport{1, true, driver.now + 1});
  const auto failures_at = [&](ServerId server) {
    std::vector<Balancer::OutlierObservation> observations;
    driver.balancer().outlier_observations(observations);
    for (const auto& observation : observations) {
      if (observation.server == server) return static_cast<int>(observation.consecutive_failures);
    }
    return -1;
  };
  EXPECT_EQ(failures_at(1), 0); // because of an earlier response
  // A refused connection counts as two failures and is the router's own evidence.
  for (int failed_attempts = 0; failed_attempts < 1;) {
    ++id;
    driver.send_request(id, 0x9e3779b97f4a7c15ull * id);
    const bool sent_there = driver.last_server(id) == 2;
    driver.advance(20);
    driver.end_attempt(id, sent_there ? AttemptResult::ConnectFailed : AttemptResult::Ok);
    failed_attempts += sent_there;
  }
  EXPECT_EQ(failures_at(2), 2);
}

TEST(OutlierReports, ReportsOnUnknownServersAndOriginAreIgnored) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(3, true);
  driver.send_event(OutlierReport{77, true, driver.now});
  driver.send_event(OutlierReport{kOriginId, true, driver.now});
  for (const ServerId server : {77u, kOriginId}) EXPECT_FALSE(driver.balancer().is_ejected(server));
}

} // namespace
} // namespace fernward::testing
