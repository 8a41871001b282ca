// Tests of the Balancer with hand-written events: the selection rules of the TAP paper
// (policy/replica.h), and regressions.
#include <array>
#include <cmath>
#include <deque>
#include <fstream>
#include <functional>
#include <iterator>
#include <limits>
#include <set>

#include "balancer_driver.h"

namespace fernward::testing {
namespace {

constexpr RequestId kFirstRequestId = 1000;

// Sends `count` requests for one key without answering any; returns the servers that they are sent to.
std::vector<ServerId> contacted_servers(BalancerDriver& driver, std::uint64_t key, int request_count) {
  std::vector<ServerId> contacted;
  for (int i = 0; i < request_count; ++i) {
    driver.send_request(kFirstRequestId + i, key);
    const auto sends = driver.sends_of(kFirstRequestId + i);
    if (!sends.empty()) contacted.push_back(sends[0].server);
  }
  return contacted;
}

std::vector<ServerId> distinct_ids(std::vector<ServerId> ids) {
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

// ---- the ring and the score ----

TEST(CacheSelection, KeyHasTheSameThreeCandidatesAtEveryRouter) {
  BalancerDriver first_router(plain_settings(), 1);
  BalancerDriver second_router(plain_settings(), 2);
  first_router.list_caches(10);
  second_router.list_caches(10);
  const auto contacted = distinct_ids(contacted_servers(first_router, 42, 12));
  EXPECT_EQ(contacted.size(), 3u);
  EXPECT_EQ(contacted, distinct_ids(contacted_servers(second_router, 42, 12)));
}

TEST(CacheSelection, DrainingCacheIsSkipped) {
  BalancerDriver reference_driver(plain_settings());
  reference_driver.list_caches(10);
  const auto before = distinct_ids(contacted_servers(reference_driver, 42, 12));
  BalancerDriver driver(plain_settings());
  driver.list_caches(10);
  driver.update_endpoints({{.id = before[0], .state = ServerState::Draining}}, EndpointListKind::Delta);
  const auto after = distinct_ids(contacted_servers(driver, 42, 12));
  EXPECT_EQ(after.size(), 3u);
  EXPECT_EQ(std::count(after.begin(), after.end(), before[0]), 0);
  EXPECT_EQ(std::count(after.begin(), after.end(), before[1]), 1);
}

TEST(CacheSelection, EndpointListChangeMovesFewKeys) {
  int moved_keys = 0;
  for (int key = 1; key <= 300; ++key) { // a new balancer sends to a key's first cache
    BalancerDriver ten_cache_driver(plain_settings());
    BalancerDriver nine_cache_driver(plain_settings());
    ten_cache_driver.list_caches(10);
    nine_cache_driver.list_caches(9);
    ten_cache_driver.send_request(1, key);
    nine_cache_driver.send_request(1, key);
    moved_keys += ten_cache_driver.last_server(1) != nine_cache_driver.last_server(1);
  }
  EXPECT_GT(moved_keys, 0);
  EXPECT_LT(moved_keys, 60); // about a tenth
}

TEST(CacheSelection, RequestsWithoutKeyAreSpreadOverCaches) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(10);
  for (int i = 0; i < 60; ++i) {
    driver.send_request(kFirstRequestId + i, 0);
    driver.end_attempt(kFirstRequestId + i, AttemptResult::Ok);
  }
  std::vector<ServerId> contacted;
  for (const Send& s : driver.sends) contacted.push_back(s.server);
  EXPECT_GE(distinct_ids(contacted).size(), 8u);
}

TEST(CacheSelection, RequestsInFlightAreMultipliedByRouterCount) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  const auto contacted = contacted_servers(driver, 42, 3);
  EXPECT_EQ(distinct_ids(contacted).size(), 3u); // each active request makes its cache's score the worst
}

TEST(CacheSelection, FreshReportOfLongQueueChangesSelection) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  driver.send_request(1, 42);
  const ServerId overloaded = driver.last_server(1);
  driver.end_attempt(1, AttemptResult::Ok, 20, {25, 20});
  driver.send_request(2, 42);
  EXPECT_NE(driver.last_server(2), overloaded);
}

TEST(CacheSelection, IdleCacheWithOutdatedReportIsSelected) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  driver.send_request(1, 42);
  const ServerId overloaded = driver.last_server(1);
  driver.end_attempt(1, AttemptResult::Ok, 20, {25, 20});
  driver.advance(150);
  driver.send_request(2, 42); // os and f are zero and the report is old: the queue counts as empty
  EXPECT_EQ(driver.last_server(2), overloaded);
}

// ---- queue prediction ----

// Caches 1 and 2 get their reports 20 ms apart, the last ones at the same time. Both are passed over once by
// a request that is sent to cache 3, which then drains. 150 ms later the predicted queues decide the
// selection. Service times are equal.
ServerId cache_selected_by_prediction(const std::vector<float>& reports_of_cache_one,
                                      const std::vector<float>& reports_of_cache_two) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  const auto report = [&](ServerId server, float queue) {
    driver.send_event(HealthCheckResult{server, 1, true, {queue, 10 * (1 + queue)}});
  };
  const auto report_count = std::max(reports_of_cache_one.size(), reports_of_cache_two.size());
  for (std::size_t i = 0; i < report_count; ++i) {
    driver.advance(20);
    if (i + reports_of_cache_one.size() >= report_count)
      report(1, reports_of_cache_one[i + reports_of_cache_one.size() - report_count]);
    if (i + reports_of_cache_two.size() >= report_count)
      report(2, reports_of_cache_two[i + reports_of_cache_two.size() - report_count]);
  }
  report(3, 0);
  driver.send_request(1, 42);
  EXPECT_EQ(driver.last_server(1), 3u);
  driver.update_endpoints({{.id = 3, .state = ServerState::Draining}}, EndpointListKind::Delta);
  driver.advance(150);
  driver.send_request(2, 42);
  return driver.last_server(2);
}

TEST(QueuePrediction, RisingQueueIsExtrapolated) {
  EXPECT_EQ(cache_selected_by_prediction({35, 45, 60}, {62}), 2u);
  EXPECT_EQ(cache_selected_by_prediction({60}, {62}), 1u); // with only the last report
}

TEST(QueuePrediction, ExtrapolationIsLimitedToTheSampledTimeSpan) {
  EXPECT_EQ(cache_selected_by_prediction({35, 45, 60}, {100}), 1u); // extrapolated by 150 ms it would be 172
}

TEST(QueuePrediction, RepeatedReportIsNoSample) {
  // As a sample, the repetition would end the rising state.
  EXPECT_EQ(cache_selected_by_prediction({35, 45, 60, 60}, {62}), 2u);
}

TEST(QueuePrediction, FallingQueueIsExtrapolated) {
  EXPECT_EQ(cache_selected_by_prediction({100, 90, 70}, {60}), 1u);
  EXPECT_EQ(cache_selected_by_prediction({70}, {60}), 2u);
}

TEST(QueuePrediction, StableQueueIsAveraged) {
  EXPECT_EQ(cache_selected_by_prediction({20, 28}, {25}), 1u);
  EXPECT_EQ(cache_selected_by_prediction({28}, {25}), 2u);
}

TEST(QueuePrediction, DropToThirtyEndsTrend) {
  EXPECT_EQ(cache_selected_by_prediction({100, 80, 29}, {26}), 2u); // extrapolated it would be 0
}

TEST(QueuePrediction, ChangeFromRisingToFallingKeepsHigherSample) {
  EXPECT_EQ(cache_selected_by_prediction({40, 60, 90, 80}, {75}), 1u); // the line starts with 90 and 80
}

TEST(QueuePrediction, ChangeFromFallingToRisingKeepsLowerSample) {
  EXPECT_EQ(cache_selected_by_prediction({100, 80, 60, 70}, {75}), 2u); // the line starts with 60 and 70
  EXPECT_EQ(cache_selected_by_prediction({70}, {75}), 1u);
}

// ---- request lifecycle ----

TEST(RequestLifecycle, IsAnsweredBeforeDeadlineIfServerNeverResponds) {
  for (const Idempotency idempotency :
       {Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NonIdempotent}) {
    Settings s = plain_settings();
    s.classes[0].idempotency = idempotency;
    s.classes[0].late_response_value_share = 0.5;
    BalancerDriver driver(s);
    driver.list_caches(3);
    driver.send_request(1, 42, {.deadline = driver.now + 800});
    driver.advance_to(driver.now + 799);
    EXPECT_TRUE(driver.rejected_or_failed(1));
    EXPECT_EQ(driver.failed.size(), idempotency == Idempotency::NonIdempotent ? 1u : 0u);
  }
}

TEST(RequestLifecycle, EndsAtLatencyObjectiveIfLateResponsesHaveNoValue) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  driver.send_request(1, 42);
  driver.advance(480);
  EXPECT_FALSE(driver.rejected_or_failed(1));
  driver.advance(20);
  EXPECT_TRUE(driver.rejected_or_failed(1));
}

// Requests end at their deadline, not at the latency objective.
Settings late_value_settings() {
  Settings settings = cache_aside_settings();
  settings.classes[0].late_response_value_share = 0.5;
  return settings;
}

TEST(RequestLifecycle, EarlierDeadlineOfArrivingBodyEndsRequestThen) {
  BalancerDriver driver(late_value_settings());
  driver.list_caches(1, true);
  const double started_at = driver.now;
  driver.send_request(1, 42,
                      {.deadline = started_at + 5000, .write = true, .body_complete_at = started_at + 3000});
  driver.advance(100);
  driver.send_event(DeadlineChanged{1, started_at + 1500, started_at + 50});
  driver.advance_to(started_at + 1450);
  EXPECT_FALSE(driver.rejected_or_failed(1));
  driver.advance_to(started_at + 1500);
  EXPECT_TRUE(driver.rejected_or_failed(1));
}

TEST(RequestLifecycle, LaterDeadlineOfArrivingBodyKeepsRequestUntilThen) {
  BalancerDriver driver(late_value_settings());
  driver.list_caches(1, true);
  const double started_at = driver.now;
  driver.send_request(1, 42,
                      {.deadline = started_at + 1000, .write = true, .body_complete_at = started_at + 500});
  for (int i = 1; i <= 9; ++i) { // reading is delayed and resumes, again and again
    driver.advance(100);
    driver.send_event(DeadlineChanged{1, started_at + 1000 + 100 * i, started_at + 100 * i});
    driver.send_event(DeadlineChanged{1, started_at + 5000, started_at + 3000});
  }
  driver.advance_to(started_at + 4900);
  EXPECT_FALSE(driver.rejected_or_failed(1));
  driver.advance_to(started_at + 5000);
  EXPECT_TRUE(driver.rejected_or_failed(1));
}

// Regression: without a latency objective, a constant of three seconds decided which attempts are slow.
TEST(RequestLifecycle, ClientTimeoutDefinesSlowAttemptsWithoutLatencyObjective) {
  Settings s = plain_settings();
  s.classes[0].latency_objective_ms = 0;
  s.classes[0].client_timeout_ms = 300;
  BalancerDriver driver(s);
  driver.list_caches(3);
  driver.send_request(1, 42, {.deadline = driver.now + 300});
  ASSERT_EQ(driver.sends_of(1).size(), 1u);
  driver.advance(110); // a third of it has elapsed without a response
  EXPECT_EQ(driver.sends_of(1).size(), 2u);
}

TEST(RequestLifecycle, NoActionFollowsFinalAnswer) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  driver.send_request(1, 42);
  driver.advance(600);
  const auto sent = driver.sends.size();
  driver.end_attempt(1, AttemptResult::Reset);
  driver.advance(2000);
  EXPECT_EQ(driver.sends.size(), sent);
  EXPECT_EQ(driver.rejected.size() + driver.failed.size(), 1u);
}

TEST(RequestLifecycle, NonIdempotentRequestIsRetriedOnlyIfNotExecuted) {
  Settings s = plain_settings();
  s.classes[0].idempotency = Idempotency::NonIdempotent;
  BalancerDriver driver(s);
  driver.list_caches(3);
  driver.send_request(1, 42);
  driver.end_attempt(1, AttemptResult::Overloaded);
  EXPECT_EQ(driver.sends_of(1).size(), 2u);
  driver.end_attempt(1, AttemptResult::Error);
  EXPECT_EQ(driver.sends_of(1).size(), 2u);
  EXPECT_EQ(driver.failed, std::vector<RequestId>{1}); // no guarantee that a retry is safe
}

TEST(RequestLifecycle, RequestWithIdempotencyKeyStaysInScopeAndWindow) {
  Settings s = plain_settings();
  s.classes[0].idempotency = Idempotency::WithKey;
  s.classes[0].idempotency_scope = IdempotencyScope::Zone;
  s.classes[0].idempotency_window_ms = 200;
  s.may_hedge = false;
  for (const bool in_time : {true, false}) {
    BalancerDriver driver(s);
    driver.update_endpoints(
        {{.id = 1, .zone = 0}, {.id = 2, .zone = 0}, {.id = 3, .zone = 1}, {.id = 4, .zone = 1}});
    driver.send_request(1, 42);
    const ServerId first = driver.last_server(1);
    driver.advance(in_time ? 20 : 195);
    driver.end_attempt(1, AttemptResult::Reset);
    ASSERT_EQ(driver.sends_of(1).size(), in_time ? 2u : 1u);
    EXPECT_EQ(driver.last_server(1) <= 2, first <= 2);
    EXPECT_EQ(driver.failed.size(), in_time ? 0u : 1u);
  }
}

TEST(RequestLifecycle, HedgedRequestIsSentIfFirstAttemptIsSlow) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  driver.send_request(1, 42);
  driver.advance(300);
  ASSERT_EQ(driver.sends_of(1).size(), 2u);
  EXPECT_NE(driver.sends_of(1)[0].server, driver.sends_of(1)[1].server);
  driver.end_attempt(1, AttemptResult::Ok);
  ASSERT_EQ(driver.cancels.size(), 1u); // the slower attempt is cancelled
  EXPECT_EQ(driver.cancels[0].attempt, 0u);
}

// Regression: two responses were read to the end for one client.
TEST(RequestLifecycle, SlowerAttemptIsCancelledOnceOtherResponseHasStarted) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  driver.send_request(1, 42);
  driver.advance(300);
  ASSERT_EQ(driver.sends_of(1).size(), 2u);
  driver.send_event(ResponseStarted{1, 1, driver.last_server(1), 30});
  ASSERT_EQ(driver.cancels.size(), 1u);
  EXPECT_EQ(driver.cancels[0].attempt, 0u);
  driver.end_attempt(1, AttemptResult::Cancelled, 300, {}, 0);
  EXPECT_EQ(driver.sends_of(1).size(), 2u); // its end causes no further attempt
  driver.end_attempt(1, AttemptResult::Ok, 400);
  EXPECT_FALSE(driver.rejected_or_failed(1));
}

// Regression: a request was rejected at its latency objective while a server was sending its response.
TEST(RequestLifecycle, RequestWhoseResponseHeadHasComeIsGivenUpAtItsDeadline) {
  for (const bool has_head : {false, true}) {
    BalancerDriver driver(plain_settings());
    driver.list_caches(1);
    const double objective_ms = plain_settings().classes[0].latency_objective_ms;
    driver.send_request(1, 42, {.deadline = driver.now + 3 * objective_ms});
    ASSERT_EQ(driver.sends_of(1).size(), 1u);
    if (has_head) driver.send_event(ResponseHeadReceived{1, 0});
    driver.advance(2 * objective_ms);
    EXPECT_EQ(driver.rejected_or_failed(1), !has_head);
    driver.advance(2 * objective_ms);
    EXPECT_TRUE(driver.rejected_or_failed(1));
  }
}

// Regression: the same, where a broken response is followed by no other attempt in time.
TEST(RequestLifecycle, RequestWhoseResponseBreaksAfterItsObjectiveIsGivenUpThen) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(1);
  driver.send_request(1, 42, {.deadline = driver.now + 100000});
  driver.send_event(ResponseHeadReceived{1, 0});
  driver.advance(2 * plain_settings().classes[0].latency_objective_ms);
  ASSERT_FALSE(driver.rejected_or_failed(1));
  driver.end_attempt(1, AttemptResult::Reset, 100);
  EXPECT_TRUE(driver.rejected_or_failed(1));
}

// Regression: caches seemed to have no capacity left because a few clients read their responses slowly.
TEST(RequestLifecycle, StreamedResponseUsesNoCapacityOfItsCache) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(2);
  for (RequestId id = kFirstRequestId; id < kFirstRequestId + 200; ++id) {
    driver.send_request(id, id);
    ASSERT_EQ(driver.sends_of(id).size(), 1u) << id;
    driver.send_event(ResponseStarted{id, 0, driver.last_server(id), 20});
    driver.now += 1;
  }
  // The response time was measured at the start; the end shows only whether the response was cut off.
  for (RequestId id = kFirstRequestId; id < kFirstRequestId + 100; ++id)
    driver.end_attempt(id, AttemptResult::Ok, 100000);
  EXPECT_TRUE(driver.logs.empty());
  driver.now += 10000; // no other outcomes in the meantime
  for (RequestId id = kFirstRequestId + 100; id < kFirstRequestId + 106; ++id) {
    driver.send_event(AttemptOutcome{
        .id = id, .server = driver.last_server(id), .result = AttemptResult::Reset, .request_ended = true});
  }
  EXPECT_GE(driver.logs.size(), 1u); // ejected
  EXPECT_FALSE(driver.rejected_or_failed(kFirstRequestId + 100));
}

TEST(RequestLifecycle, HedgedRequestsAreLimitedByBudget) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(30);
  for (int i = 0; i < 100; ++i) driver.send_request(kFirstRequestId + i, i + 1);
  driver.advance(400);
  EXPECT_GT(driver.sends.size(), 100u);
  EXPECT_LE(driver.sends.size(), 100u + 10 + 10);
}

TEST(RequestLifecycle, NoHedgedRequestIfHedgingIsDisabled) {
  Settings s = plain_settings();
  s.may_hedge = false;
  BalancerDriver driver(s);
  driver.list_caches(3);
  driver.send_request(1, 42);
  driver.advance(300);
  EXPECT_EQ(driver.sends_of(1).size(), 1u);
  ASSERT_EQ(driver.cancels.size(), 1u); // cancelled instead, and retried once its outcome is known
  driver.end_attempt(1, AttemptResult::Cancelled, 170);
  EXPECT_EQ(driver.sends_of(1).size(), 2u);
}

TEST(RequestLifecycle, AttemptWhoseResponseHeadHasComeIsNotCancelledForARetry) {
  Settings s = plain_settings();
  s.may_hedge = false;
  BalancerDriver driver(s);
  driver.list_caches(3);
  driver.send_request(1, 42);
  driver.send_event(ResponseHeadReceived{1, 0});
  driver.advance(300);
  EXPECT_TRUE(driver.cancels.empty());
}

TEST(RequestLifecycle, StartedStreamHasNoDeadline) {
  Settings s = plain_settings();
  s.classes[0].streaming = true;
  BalancerDriver driver(s);
  driver.list_caches(3);
  driver.send_request(1, 42);
  driver.send_event(ResponseStarted{1, 0, driver.last_server(1), 30});
  driver.advance(5000);
  EXPECT_FALSE(driver.rejected_or_failed(1));
  EXPECT_EQ(driver.sends_of(1).size(), 1u);
}

// Regression: rejections by overloaded caches used up the retry budget.
TEST(RequestLifecycle, RetryAfterOverloadedNeedsNoBudgetAndStaysAmongCandidates) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(8);
  std::vector<ServerId> contacted;
  for (int i = 0; i < 8; ++i) {
    driver.send_request(kFirstRequestId + i, 42);
    while (!driver.rejected_or_failed(kFirstRequestId + i)) {
      contacted.push_back(driver.last_server(kFirstRequestId + i));
      driver.end_attempt(kFirstRequestId + i, AttemptResult::Overloaded, 1);
    }
    if (i == 0) {
      EXPECT_EQ(contacted.size(), 3u);
    }
    driver.advance(400);
  }
  EXPECT_GE(contacted.size(), 9u);
  EXPECT_EQ(distinct_ids(contacted).size(), 3u);
}

// ---- endpoint list ----

TEST(EndpointListUpdates, ServerMissingFromFullListGetsNoRequests) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  driver.update_endpoints({{.id = 2}});
  for (int i = 0; i < 10; ++i) driver.send_request(kFirstRequestId + i, i + 1);
  for (const Send& s : driver.sends) EXPECT_EQ(s.server, 2u);
}

TEST(EndpointListUpdates, EmptyListIsHandled) {
  BalancerDriver driver(plain_settings());
  driver.update_endpoints({});
  driver.send_request(1, 42);
  EXPECT_TRUE(driver.rejected_or_failed(1));
  EXPECT_TRUE(driver.sends.empty());
}

TEST(EndpointListUpdates, PollModeCallsDiscoveryWithBackoff) {
  Settings s = plain_settings();
  s.discovery = DiscoveryMode::Poll;
  BalancerDriver driver(s);
  driver.update_endpoints({{.id = 1}}, EndpointListKind::Cached);
  EXPECT_EQ(driver.watch_count, 0); // the first call is delayed at random
  driver.advance(1200);
  EXPECT_EQ(driver.watch_count, 1);
  for (int i = 0; i < 6; ++i) {
    driver.update_endpoints({}, EndpointListKind::Failed);
    driver.advance(2000);
  }
  EXPECT_GE(driver.watch_count, 3);
  EXPECT_LE(driver.watch_count, 6);
  driver.advance(20000);
  driver.update_endpoints({}, EndpointListKind::Delta);
  const int asked = driver.watch_count;
  driver.advance(60000);
  EXPECT_EQ(driver.watch_count, asked); // subscribed: changes arrive without further calls
}

TEST(EndpointListUpdates, PushModeNeverCallsDiscovery) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(2);
  driver.advance(20000);
  EXPECT_EQ(driver.watch_count, 0);
}

// ---- decay and reset of observations ----

TEST(ObservedState, SlowResponseTimeDecays) {
  Settings s = plain_settings();
  s.router_count = 1;
  s.load_report_source = LoadReportSource::Never;
  BalancerDriver driver(s);
  driver.list_caches(2);
  RequestId id = kFirstRequestId;
  const auto servers_of_two_requests = [&] { // the second is sent to a less loaded cache, if its score allows
    std::set<ServerId> contacted;
    for (int i = 0; i < 2; ++i) driver.send_request(++id, 42), contacted.insert(driver.last_server(id));
    driver.end_attempt(id - 1, AttemptResult::Ok, 20);
    driver.end_attempt(id, AttemptResult::Ok, 20);
    return contacted.size();
  };
  driver.send_request(++id, 42);
  const ServerId slow_server = driver.last_server(id);
  driver.end_attempt(id, AttemptResult::Ok, 450);
  for (int i = 0; i < 20; ++i) {
    driver.send_request(++id, 42);
    ASSERT_NE(driver.last_server(id), slow_server);
    driver.end_attempt(id, AttemptResult::Ok, 20);
  }
  EXPECT_EQ(servers_of_two_requests(), 1u);
  driver.advance(30000);
  EXPECT_EQ(servers_of_two_requests(), 2u);
}

TEST(ObservedState, RestartedCacheIsNoLongerEjected) {
  Settings s = plain_settings();
  s.slow_start_ms = 0;
  BalancerDriver driver(s);
  driver.update_endpoints({{.id = 1}, {.id = 2}, {.id = 3}});
  RequestId id = kFirstRequestId;
  for (int i = 0; driver.logs.empty() && i < 50; ++i) {
    id += 1;
    driver.send_request(id, id);
    if (!driver.sends_of(id).empty())
      driver.end_attempt(id, driver.last_server(id) == 1 ? AttemptResult::ConnectFailed : AttemptResult::Ok,
                         5);
  }
  ASSERT_FALSE(driver.logs.empty()); // 1 is ejected
  driver.update_endpoints({{.id = 1, .started_at = driver.now}, {.id = 2}, {.id = 3}});
  int contacted = 0;
  for (int i = 0; i < 30; ++i) {
    id += 1;
    driver.send_request(id, id);
    contacted += driver.last_server(id) == 1;
    driver.end_attempt(id, AttemptResult::Ok, 5);
  }
  EXPECT_GT(contacted, 2);
}

// ---- zones ----

TEST(Zones, OwnZoneIsPreferredUntilItIsFull) {
  for (const bool zone_configured : {false, true}) {
    Settings s = plain_settings();
    if (zone_configured) s.zone = 1;
    BalancerDriver driver(s);
    driver.update_endpoints({{.id = 1, .zone = 1}, {.id = 2, .zone = 2}, {.id = 3, .zone = 2}});
    int same_zone_count = 0;
    for (int i = 0; i < 60; ++i) {
      driver.send_request(kFirstRequestId + i, i + 1);
      same_zone_count += driver.last_server(kFirstRequestId + i) == 1;
      driver.end_attempt(kFirstRequestId + i, AttemptResult::Ok, 20, {0, 20});
      driver.advance(50);
    }
    EXPECT_EQ(same_zone_count == 60, zone_configured) << same_zone_count;
    // Active requests fill the own zone: then the other caches are used as well.
    std::set<ServerId> contacted;
    for (int i = 0; i < 12; ++i) {
      driver.send_request(5000 + i, i + 1);
      if (!driver.sends_of(5000 + i).empty()) contacted.insert(driver.last_server(5000 + i));
    }
    EXPECT_EQ(contacted.size(), 3u);
  }
}

// ---- slow start ----

// Keeps a few requests active at all times; `result_of` returns the result of an attempt at a server. Returns
// the number of first attempts by server.
template <typename ResultOf>
std::map<ServerId, int> send_traffic(BalancerDriver& driver, RequestId& id, int request_count,
                                     ResultOf result_of) {
  std::map<ServerId, int> contacted;
  constexpr int kActiveRequests = 6;
  for (int i = 0; i < request_count; ++i) {
    driver.send_request(++id, static_cast<std::uint64_t>(7 * i + 1));
    if (!driver.sends_of(id).empty()) contacted[driver.last_server(id)]++;
    const RequestId oldest_id = id - kActiveRequests;
    // A failed attempt may cause the next one.
    for (int attempt_count = 0; i >= kActiveRequests && attempt_count < 5; ++attempt_count) {
      if (driver.sends_of(oldest_id).empty() || driver.rejected_or_failed(oldest_id)) break;
      driver.end_attempt(oldest_id, result_of(driver.last_server(oldest_id)), 5 * kActiveRequests, {0, 5});
    }
    if (i >= kActiveRequests) driver.cancel_attempts(oldest_id);
    driver.advance(5);
  }
  return contacted;
}
AttemptResult always_ok(ServerId) { return AttemptResult::Ok; }

// Incremental ring updates must have the same result as a rebuild. Sorting the whole ring at each list used
// more CPU than all decisions.
TEST(HashRing, DeltaUpdatesBuildTheSameRingAsFullList) {
  BalancerDriver updated_driver(plain_settings()), rebuilt_driver(plain_settings());
  updated_driver.list_caches(6);
  updated_driver.update_endpoints({{.id = 3, .state = ServerState::Gone}, {.id = 7}, {.id = 2, .weight = 4}},
                                  EndpointListKind::Delta);
  updated_driver.update_endpoints({{.id = 2}}, EndpointListKind::Delta);
  rebuilt_driver.update_endpoints({{.id = 1}, {.id = 2}, {.id = 4}, {.id = 5}, {.id = 6}, {.id = 7}});
  for (RequestId id = kFirstRequestId; id < kFirstRequestId + 12; ++id) {
    updated_driver.send_request(id, 31 * id);
    rebuilt_driver.send_request(id, 31 * id);
    EXPECT_EQ(updated_driver.last_server(id), rebuilt_driver.last_server(id));
  }
}

TEST(SlowStart, StartedCacheGetsOnlyItsShareOfTraffic) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(4);
  RequestId id = kFirstRequestId;
  const auto before = send_traffic(driver, id, 800, always_ok);
  driver.update_endpoints({{.id = 4, .started_at = driver.now}}, EndpointListKind::Delta);
  const auto after = send_traffic(driver, id, 300, always_ok); // 1.5 s of 10 s: capacity from 0.2 to 0.32
  EXPECT_GT(before.at(4), 100);
  EXPECT_GT(after.at(4), 0);
  EXPECT_LE(after.at(4), 300 * (1 + 2 * 0.5) / 4 * 0.32); // first of 1 in 4 keys, later of 2 in 4 at half
}

// Regression: a budget per router started with one full request each, so a thousand were sent at once.
TEST(SlowStart, HundredsOfRoutersTogetherStayWithinTheShare) {
  constexpr int kRouters = 400, kRequests = 5, kCaches = 20;
  int sent = 0;
  for (int n = 0; n < kRouters; ++n) {
    Settings s = plain_settings();
    s.router_count = kRouters;
    BalancerDriver driver(s, static_cast<std::uint64_t>(n + 1));
    driver.list_caches(kCaches);
    driver.update_endpoints({{.id = kCaches + 1, .started_at = driver.now}}, EndpointListKind::Delta);
    for (int i = 0; i < kRequests; ++i) {
      const auto id = static_cast<RequestId>(kFirstRequestId + kRequests * n + i);
      driver.send_request(id, id);
      sent += !driver.sends_of(id).empty() && driver.last_server(id) == kCaches + 1;
    }
  }
  constexpr double kShare = 1.0 / (kCaches + 1) * 0.2; // of the traffic, at the configured start capacity
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, 2 * 1.5 * kShare * kRouters * kRequests); // own keys, half of two others'; uneven ring
}

// Regression: a request that a cache in slow start did not admit was sent to the next cache in slow start.
TEST(SlowStart, CachesInSlowStartDoNotGetEachOthersKeys) {
  BalancerDriver driver(plain_settings());
  std::vector<Server> starting_caches;
  for (std::uint32_t i = 1; i <= 30; ++i) starting_caches.push_back({.id = i, .started_at = driver.now});
  driver.update_endpoints(starting_caches, EndpointListKind::Cached);
  int sent = 0;
  for (RequestId id = kFirstRequestId; id < kFirstRequestId + 100; ++id) {
    driver.send_request(id, id);
    sent += !driver.sends_of(id).empty();
  }
  EXPECT_GT(sent, 10);
  EXPECT_LE(sent, 55); // 0.2, 0.1 and 0.1 at the three candidates; more candidates would admit nearly all
}

// ---- outlier ejection ----

AttemptResult server_one_refuses(ServerId server) {
  return server == 1 ? AttemptResult::ConnectFailed : AttemptResult::Ok;
}

TEST(OutlierEjection, RefusedConnectionsEjectAndTrialRestores) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(6);
  RequestId id = kFirstRequestId;
  const auto first = send_traffic(driver, id, 200, server_one_refuses);
  const auto later = send_traffic(driver, id, 1600, server_one_refuses);
  EXPECT_GT(first.at(1), 1);
  EXPECT_LE(later.at(1), 20); // only trials, at increasing intervals
  EXPECT_FALSE(driver.logs.empty());
  send_traffic(driver, id, 2000, always_ok);
  EXPECT_GT(send_traffic(driver, id, 600, always_ok)[1], 50);
}

TEST(OutlierEjection, TrialsAreHealthChecksIfAllowed) {
  Settings s = plain_settings();
  s.may_health_check = true;
  BalancerDriver driver(s);
  driver.list_caches(6);
  RequestId id = kFirstRequestId;
  send_traffic(driver, id, 1000, server_one_refuses);
  ASSERT_FALSE(driver.health_checks.empty());
  EXPECT_EQ(distinct_ids(driver.health_checks), std::vector<ServerId>{1});
}

TEST(OutlierEjection, AboveThePanicThresholdEjectionIsIgnored) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(4);
  RequestId id = kFirstRequestId;
  for (int i = 0; i < 200; ++i) {
    id += 1;
    driver.send_request(id, id);
    while (!driver.rejected_or_failed(id)) driver.end_attempt(id, AttemptResult::ConnectFailed, 5);
    driver.advance(2);
  }
  const auto sent = driver.sends.size();
  id += 1;
  driver.send_request(id, id);
  EXPECT_GT(driver.sends.size(), sent); // still sends
}

TEST(OutlierEjection, HealthChecksObtainLoadReportsIfConfigured) {
  Settings s = plain_settings();
  s.load_report_source = LoadReportSource::HealthChecks;
  s.may_health_check = true;
  BalancerDriver driver(s);
  driver.list_caches(4);
  RequestId id = kFirstRequestId;
  send_traffic(driver, id, 400, always_ok);
  EXPECT_EQ(distinct_ids(driver.health_checks).size(), 4u);
  EXPECT_GE(driver.health_checks.size(), 10u);
  EXPECT_LE(driver.health_checks.size(), 40u); // a tenth of the requests
}

// ---- origin ----

// Ends each attempt of the request at a cache with `result`, until it is sent to the origin or waits.
void end_attempts_at_caches(BalancerDriver& driver, RequestId id, AttemptResult result) {
  for (auto ended_attempts = 0u;
       ended_attempts != driver.sends_of(id).size() && driver.last_server(id) != kOriginId;) {
    ended_attempts = static_cast<unsigned>(driver.sends_of(id).size());
    driver.end_attempt(id, result, 2);
  }
}

TEST(Origin, WritesAreSentToOrigin) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(4, true);
  driver.send_request(1, 42, {.write = true});
  EXPECT_EQ(driver.last_server(1), kOriginId);
}

TEST(Origin, ConcurrentMissesOfAKeyCauseOneFetch) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(4, true);
  driver.send_request(1, 42);
  driver.send_request(2, 42);
  for (const RequestId id : {1, 2}) {
    end_attempts_at_caches(driver, id, AttemptResult::CacheMiss);
  }
  const auto fetches = std::count_if(driver.sends.begin(), driver.sends.end(),
                                     [](const Send& s) { return s.server == kOriginId; });
  EXPECT_EQ(fetches, 1);
  driver.end_attempt(1, AttemptResult::Ok, 80);
  EXPECT_NE(driver.last_server(2), kOriginId); // reads the value that the fetch stored
  driver.end_attempt(2, AttemptResult::Ok, 5);
  EXPECT_FALSE(driver.rejected_or_failed(2));
}

// Regression: readers of a key had to wait for one client that reads its response slowly.
TEST(Origin, FollowersReadStoredValueWhileLeaderResponseIsForwarded) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(4, true);
  driver.send_request(1, 42);
  driver.send_request(2, 42);
  for (const RequestId id : {1, 2}) end_attempts_at_caches(driver, id, AttemptResult::CacheMiss);
  const auto attempt = static_cast<std::uint32_t>(driver.sends_of(1).size() - 1);
  const auto before = driver.sends_of(2).size();
  driver.send_event(ResponseStarted{1, attempt, kOriginId, 80});
  ASSERT_EQ(driver.sends_of(2).size(), before + 1);
  EXPECT_NE(driver.last_server(2), kOriginId);
}

TEST(Origin, FollowersContinueAfterLeaderGivesUp) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(4, true);
  driver.send_request(1, 42, {.deadline = driver.now + 60});
  while (driver.last_server(1) != kOriginId) driver.end_attempt(1, AttemptResult::CacheMiss, 2);
  driver.send_request(2, 42);
  end_attempts_at_caches(driver, 2, AttemptResult::CacheMiss);
  driver.advance(60);
  EXPECT_TRUE(driver.rejected_or_failed(1));
  EXPECT_EQ(driver.last_server(2), kOriginId);
}

TEST(Origin, ConcurrentAttemptsAreLimitedAndCapacityIsReservedForWrites) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(4, true);
  for (int i = 0; i < 40; ++i) {
    const RequestId id = kFirstRequestId + i;
    driver.send_request(id, i + 1);
    end_attempts_at_caches(driver, id, AttemptResult::CacheMiss);
  }
  const auto at_origin = [&] {
    return std::count_if(driver.sends.begin(), driver.sends.end(),
                         [](const Send& s) { return s.server == kOriginId; });
  };
  EXPECT_GT(at_origin(), 2);
  EXPECT_LE(at_origin(), 32 / 3); // the router's share of the fleet's initial limit of 32
  driver.send_request(1, 7777, {.write = true});
  EXPECT_EQ(driver.last_server(1), kOriginId); // capacity is reserved for writes
}

// Regression: with the oldest served first, all requests in a long queue were late.
TEST(Origin, NewestOfEqualValueIsServedFirst) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(3, true);
  for (int i = 0; i < 20; ++i) driver.send_request(100 + i, 9000 + i, {.write = true});
  const std::size_t started = driver.sends.size();
  ASSERT_LT(started, 20u);
  driver.end_attempt(100, AttemptResult::Ok, 20);
  ASSERT_GT(driver.sends.size(), started);
  EXPECT_EQ(driver.sends[started].id, 119u);
}

TEST(Origin, HighestValueIsServedBeforeNewest) {
  Settings s = cache_aside_settings();
  s.classes.push_back(s.classes[0]);
  s.classes[1].priority_weight = 10;
  BalancerDriver driver(s);
  driver.list_caches(3, true);
  for (int i = 0; i < 40; ++i) {
    driver.send_request(100 + i, 9000 + i, {.class_index = i == 30 ? 1u : 0u, .write = true});
  }
  const std::size_t started = driver.sends.size();
  ASSERT_LT(started, 20u);
  driver.end_attempt(100, AttemptResult::Ok, 20);
  ASSERT_GT(driver.sends.size(), started);
  EXPECT_EQ(driver.sends[started].id, 130u);
}

TEST(Origin, FetchThatWouldBeLateIsNotSent) {
  for (const double origin_ms : {20.0, 700.0}) { // the fastest responses take half of it
    Settings s = cache_aside_settings();
    s.may_cancel = s.may_hedge = false;
    BalancerDriver driver(s);
    driver.list_caches(3, true);
    driver.send_request(1, 7, {.write = true});
    driver.end_attempt(1, AttemptResult::Ok, origin_ms);
    driver.send_request(2, 42);
    driver.advance(200); // of an objective of 500
    driver.end_attempt(2, AttemptResult::CacheMiss, 200);
    EXPECT_EQ(driver.rejected_or_failed(2), origin_ms > 300);
    EXPECT_EQ(driver.sends_of(2).size(), origin_ms > 300 ? 1u : 2u);
  }
}

// Regression: caches already tried were left out of the candidates, so each next cache was taken for the
// key's first one and was tried as well.
TEST(Origin, NewKeyIsFetchedAfterOneMissAtFirstCache) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(10, true);
  driver.send_request(1, 42);
  driver.end_attempt(1, AttemptResult::CacheMiss, 2);
  EXPECT_EQ(driver.last_server(1), kOriginId);
  EXPECT_EQ(driver.sends_of(1).size(), 2u);
}

// Regression: a router with only writes took their long response times for congestion.
TEST(Origin, HeavyWritesWithinObjectiveAreNoCongestion) {
  Settings s = cache_aside_settings();
  s.classes.push_back({.latency_objective_ms = 3000,
                       .client_timeout_ms = 6000,
                       .idempotency = Idempotency::Idempotent,
                       .idempotency_scope = IdempotencyScope::All});
  BalancerDriver driver(s);
  driver.list_caches(4, true);
  for (int i = 0; i < 200; ++i) {
    driver.send_request(kFirstRequestId + i, i + 1,
                        {.class_index = 1, .deadline = driver.now + 6000, .write = true});
    driver.end_attempt(kFirstRequestId + i, AttemptResult::Ok, 600);
    driver.advance(20);
  }
  for (int i = 0; i < 7; ++i)
    driver.send_request(5000 + i, 9000 + i, {.class_index = 1, .deadline = driver.now + 6000, .write = true});
  EXPECT_EQ(driver.sends.size(), 207u);
}

// Regression: each router kept one read in flight at an origin that took 1.3 s, and all fetches were late.
TEST(Origin, SlowOriginLimitsReadRateAndStillGetsWrites) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(4, true);
  RequestId id = kFirstRequestId;
  const auto send_new_read = [&] {
    driver.send_request(id + 1, id + 1), ++id;
    while (driver.last_server(id) != kOriginId && driver.sends_of(id).size() < 4 &&
           !driver.rejected_or_failed(id)) {
      const auto sent = driver.sends_of(id).size();
      driver.end_attempt(id, AttemptResult::CacheMiss, 2);
      if (driver.sends_of(id).size() == sent) return false; // queued for the origin
    }
    return true;
  };
  for (int i = 0; i < 13; ++i) { // one at a time: slow, but not congested
    ASSERT_TRUE(send_new_read());
    driver.advance(450);
    driver.end_attempt(id, AttemptResult::Ok, 450);
    driver.advance(10000);
  }
  for (int i = 0; i < 40; ++i) { // now congested: 450 ms unloaded becomes nearly the client timeout
    if (!send_new_read()) continue;
    driver.advance(100);
    driver.end_attempt(id, AttemptResult::Ok, 1900);
  }
  EXPECT_FALSE(send_new_read()); // although nothing is in flight
  driver.send_request(id + 1, id + 1, {.write = true}), ++id;
  ASSERT_EQ(driver.sends_of(id).size(), 1u);
  EXPECT_EQ(driver.last_server(id), kOriginId);
}

// Number of forty writes that are sent to the origin at once, after twenty whose results and elapsed times
// are those that `outcome_of_write` returns.
std::size_t count_writes_sent_to_origin(
    const std::function<std::pair<AttemptResult, double>(int)>& outcome_of_write) {
  Settings s = cache_aside_settings();
  s.max_attempts = 1;
  BalancerDriver driver(s);
  driver.list_caches(4, true);
  for (int i = 0; i < 20; ++i) {
    driver.send_request(kFirstRequestId + i, i + 1, {.write = true});
    const auto [result, elapsed_ms] = outcome_of_write(i);
    driver.end_attempt(kFirstRequestId + i, result, elapsed_ms);
    driver.advance(1000);
  }
  const auto before = driver.sends.size();
  for (int i = 0; i < 40; ++i) driver.send_request(5000 + i, 9000 + i, {.write = true});
  return driver.sends.size() - before;
}

TEST(Origin, RejectionsDecreaseTheLimit) {
  EXPECT_LE(count_writes_sent_to_origin([](int) { return std::pair(AttemptResult::Overloaded, 5.0); }), 2u);
  EXPECT_LE(count_writes_sent_to_origin([](int) { return std::pair(AttemptResult::ConnectFailed, 5.0); }),
            2u);
}

// An occasional slow response or broken connection is no congestion.
TEST(Origin, FaultsAreNoCongestion) {
  for (const AttemptResult fault : {AttemptResult::Error, AttemptResult::Reset, AttemptResult::TimedOut}) {
    EXPECT_GE(count_writes_sent_to_origin([fault](int i) {
                return i % 10 == 9 ? std::pair(fault, 450.0) : std::pair(AttemptResult::Ok, 20.0);
              }),
              7u);
    if (fault == AttemptResult::TimedOut) continue; // if all time out, it is congestion
    EXPECT_GE(count_writes_sent_to_origin([fault](int) { return std::pair(fault, 5.0); }), 7u);
  }
}

// Regression: unresponsive connections were taken for congestion, at an origin whose normal response time is
// a third of the latency objective.
TEST(Origin, OneUnresponsiveConnectionDoesNotOutweighNineResponses) {
  EXPECT_GE(count_writes_sent_to_origin([](int i) {
              return i % 10 == 9 ? std::pair(AttemptResult::TimedOut, 2000.0)
                                 : std::pair(AttemptResult::Ok, 170.0);
            }),
            7u);
}

// Regression: each late response reduced the limit to the attempts in flight. These are fewer than the limit
// because reads may not use all of it, so a few responses in a row reduced it from 26 to 3.
TEST(Origin, LimitDecreasesOncePerResponseTime) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(4, true);
  for (RequestId id = kFirstRequestId; id < kFirstRequestId + 60; ++id) {
    driver.send_request(id, id);
    end_attempts_at_caches(driver, id, AttemptResult::CacheMiss);
  }
  std::size_t answered = 0;
  const auto in_flight = [&] {
    return static_cast<std::size_t>(std::count_if(driver.sends.begin(), driver.sends.end(),
                                                  [](const Send& s) { return s.server == kOriginId; })) -
           answered;
  };
  const auto before = in_flight();
  EXPECT_GE(before, 6u);
  for (std::size_t i = 0; i < driver.sends.size() && answered < 24; ++i) {
    if (driver.sends[i].server != kOriginId) continue;
    driver.end_attempt(driver.sends[i].id, AttemptResult::Ok, 400);
    ++answered;
  }
  EXPECT_EQ(answered, 24u);
  EXPECT_GE(in_flight(), before / 3); // a decrease per response would reduce it to almost 0
}

// Regression: eighty reads waited until they were late while the limit grew slowly from 8.
TEST(Origin, LimitDoublesUntilFirstCongestion) {
  for (const bool overloaded : {false, true}) {
    BalancerDriver driver(cache_aside_settings());
    driver.list_caches(4, true);
    if (overloaded) {
      driver.send_request(1, 1, {.write = true});
      driver.end_attempt(1, AttemptResult::Overloaded);
    }
    const auto before = static_cast<std::ptrdiff_t>(driver.sends.size());
    for (RequestId id = kFirstRequestId; id < kFirstRequestId + 60; ++id)
      driver.send_request(id, id, {.write = true});
    const std::vector<Send> first(driver.sends.begin() + before, driver.sends.end());
    EXPECT_GE(first.size(), overloaded ? 1u : 5u);
    const auto sent = driver.sends.size();
    for (const Send& s : first) driver.end_attempt(s.id, AttemptResult::Ok);
    const auto newly_sent = driver.sends.size() - sent;
    EXPECT_EQ(newly_sent >= 2 * first.size(), !overloaded) << newly_sent;
    EXPECT_EQ(newly_sent <= first.size() + 1, overloaded) << newly_sent;
  }
}

// Regression: each such fault decreased the origin's limit, and reads waited until they were late.
TEST(Origin, FaultAtUsualResponseTimeDoesNotDecreaseLimit) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(4, true);
  for (int i = 0; i < 10; ++i) { // as many as the retry budget allows
    driver.send_request(kFirstRequestId + i, i + 1, {.write = true});
    driver.advance(20);
    driver.end_attempt(kFirstRequestId + i, i % 2 == 0 ? AttemptResult::Error : AttemptResult::Reset, 20);
    EXPECT_EQ(driver.sends_of(kFirstRequestId + i).size(), 2u); // retried without delay
    driver.end_attempt(kFirstRequestId + i, AttemptResult::Ok, 20);
  }
  std::size_t started = 0;
  for (int i = 0; i < 20; ++i) driver.send_request(5000 + i, 9000 + i, {.write = true});
  for (int i = 0; i < 20; ++i) started += driver.sends_of(5000 + i).size();
  EXPECT_GE(started, 8u);
  EXPECT_TRUE(driver.logs.empty());
}

// ---- overload ----

// Number of twenty simultaneous requests that are sent.
std::size_t count_sent_of_twenty(BalancerDriver& driver) {
  const auto before = driver.sends.size();
  for (int i = 0; i < 20; ++i) driver.send_request(5000 + i, 9000 + i);
  return driver.sends.size() - before;
}

// Regression: with only the score as limit, every candidate's queue was filled until all responses were late.
TEST(Overload, LateCacheGetsFewConcurrentAttempts) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(1);
  RequestId id = kFirstRequestId;
  for (int i = 0; i < 20; ++i) {
    id += 1;
    driver.send_request(id, id);
    driver.advance(450);
    if (!driver.sends_of(id).empty() && !driver.rejected_or_failed(id))
      driver.end_attempt(id, AttemptResult::Ok, 450);
    driver.advance(2000);
  }
  const std::size_t in_flight = count_sent_of_twenty(driver);
  EXPECT_GE(in_flight, 1u);
  EXPECT_LE(in_flight, 4u);
}

// Regression: slow attempts ejected overloaded caches that still rejected other attempts as overloaded.
TEST(OutlierEjection, OverloadedResponsePreventsEjection) {
  for (const bool responds_overloaded : {false, true}) {
    BalancerDriver driver(plain_settings());
    driver.list_caches(1);
    for (int i = 0; i < 4; ++i) driver.send_request(1 + i, i + 1);
    driver.end_attempt(1, AttemptResult::TimedOut, 900);
    driver.end_attempt(2, AttemptResult::TimedOut, 900);
    if (responds_overloaded) driver.end_attempt(4, AttemptResult::Overloaded, 1);
    driver.advance(1900);
    driver.end_attempt(3, AttemptResult::TimedOut, 900);
    EXPECT_EQ(driver.logs.empty(), responds_overloaded);
  }
}

TEST(OutlierEjection, SlowCacheThatRespondsIsNotEjected) {
  for (const bool responds : {false, true}) {
    BalancerDriver driver(plain_settings());
    driver.list_caches(1);
    for (int i = 0; i < 4; ++i) driver.send_request(1 + i, i + 1);
    driver.advance(100);
    if (responds) driver.end_attempt(4, AttemptResult::Ok, 100);
    for (int i = 0; i < 3; ++i) driver.end_attempt(1 + i, AttemptResult::TimedOut, 100);
    EXPECT_EQ(driver.logs.empty(), responds);
  }
}

// Regression: small caches accept fewer connections than there are routers. Routers without a connection used
// up their retry budget, so that requests were rejected that the next cache could have served.
TEST(RequestLifecycle, RetryAfterConnectFailureNeedsNoBudget) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(30);
  for (RequestId id = kFirstRequestId; id < kFirstRequestId + 40; ++id) {
    driver.send_request(id, id);
    driver.end_attempt(id, AttemptResult::ConnectFailed, 20);
    ASSERT_EQ(driver.sends_of(id).size(), 2u) << id - kFirstRequestId;
    driver.end_attempt(id, AttemptResult::Ok, 20);
  }
}

TEST(RequestLifecycle, RetriesStayWithinBudget) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(6);
  std::size_t requests = 0;
  for (RequestId id = kFirstRequestId; id < kFirstRequestId + 200; ++id) {
    driver.send_request(id, id);
    requests += !driver.sends_of(id).empty();
    for (std::size_t n = 0; n < driver.sends_of(id).size(); ++n)
      driver.end_attempt(id, AttemptResult::Error, 5);
    driver.advance(20);
  }
  EXPECT_GT(driver.sends.size(), requests + 10);
  EXPECT_LE(driver.sends.size(), requests + 10 + 30);
}

// Regression: at one request per second the overload signals had decayed before the next request arrived, and
// nothing was shed.
TEST(LoadShedding, RouterWithLittleTrafficShedsButNotAfterOneOverloadedRequest) {
  const auto count_unsent_requests = [](int overloaded_requests, int max_rejections) {
    BalancerDriver driver(plain_settings());
    driver.list_caches(3);
    int unsent = 0;
    RequestId id = kFirstRequestId;
    for (int i = 0; i < overloaded_requests + 5; ++i) {
      id += 1;
      driver.send_request(id, id);
      unsent += driver.sends_of(id).empty();
      for (int attempt_count = 0;
           i < overloaded_requests && attempt_count < max_rejections && !driver.rejected_or_failed(id);
           ++attempt_count) {
        if (!driver.sends_of(id).empty()) driver.end_attempt(id, AttemptResult::Overloaded, 1);
      }
      driver.advance(700);
    }
    return unsent;
  };
  EXPECT_EQ(count_unsent_requests(1, 2), 0);
  EXPECT_GT(count_unsent_requests(40, 5), 3);
}

// One concurrent attempt from each router can exceed a cache's capacity, so a limit below one becomes a rate.
TEST(Overload, LimitBelowOneAttemptIsARateLimit) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(1);
  RequestId id = kFirstRequestId;
  for (int i = 0; i < 40; ++i) { // each response is late
    driver.send_request(id + 1, id + 1), ++id;
    driver.advance(400);
    if (!driver.sends_of(id).empty() && !driver.rejected_or_failed(id))
      driver.end_attempt(id, AttemptResult::Ok, 400);
  }
  driver.advance(60000);
  driver.send_request(id + 1, id + 1), ++id;
  ASSERT_EQ(driver.sends_of(id).size(), 1u); // the rate allows it
  driver.end_attempt(id, AttemptResult::Ok, 400);
  driver.advance(100);
  driver.send_request(id + 1, id + 1), ++id;
  EXPECT_TRUE(driver.sends_of(id).empty()); // although nothing is in flight
}

// Regression: with four concurrent attempts from each router at every cache, a fleet is overloaded before any
// router receives a response. The initial limit is shared by all routers.
TEST(Overload, InitialLimitOfACacheIsSharedByAllRouters) {
  const auto attempts_in_two_seconds = [](int router_count) {
    Settings s = plain_settings();
    s.router_count = router_count;
    BalancerDriver driver(s);
    driver.list_caches(1);
    RequestId id = kFirstRequestId;
    for (int i = 0; i < 100; ++i) { // a response takes 200 ms
      driver.send_request(id + 1, id + 1), ++id;
      driver.advance(20);
      if (const RequestId due = id - 9;
          due > kFirstRequestId && !driver.sends_of(due).empty() && !driver.rejected_or_failed(due))
        driver.end_attempt(due, AttemptResult::Ok, 200, {}, 0);
    }
    return driver.sends.size();
  };
  constexpr std::size_t kTwelveConcurrentAttempts = 12 * 2000 / 200;
  const std::size_t attempts_of_hundred_routers = 100 * attempts_in_two_seconds(100);
  EXPECT_GT(attempts_of_hundred_routers, 0u);
  // One each before the first response, and growth.
  EXPECT_LE(attempts_of_hundred_routers, 3 * kTwelveConcurrentAttempts);
  EXPECT_GE(3 * attempts_in_two_seconds(3), kTwelveConcurrentAttempts / 2);
}

// Requests arrive unevenly, so an exact rate limit leaves part of the limit unused: at 142 routers requests
// were rejected while caches were idle.
TEST(Overload, RateLimitAllowsForUnevenArrivals) {
  for (const double after_ms : {500.0, 700.0}) {
    Settings s = plain_settings();
    s.router_count = 120; // 0.1 concurrent attempts, and slightly more after a response
    BalancerDriver driver(s);
    driver.list_caches(1);
    driver.send_request(1, 1);
    driver.advance(100);
    driver.end_attempt(1, AttemptResult::Ok, 100);
    driver.advance(after_ms - 100);
    driver.send_request(2, 2);
    EXPECT_EQ(driver.sends_of(2).size(), after_ms > 600 ? 1u : 0u); // exact rate: 889 ms
  }
}

TEST(Overload, OneOverloadDecreasesTheLimitOnce) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(1);
  driver.send_request(1, 1);
  driver.end_attempt(1, AttemptResult::Ok, 20); // limit slightly below 4
  for (int i = 0; i < 3; ++i) driver.send_request(10 + i, i + 2);
  for (int i = 0; i < 3; ++i) driver.end_attempt(10 + i, AttemptResult::Overloaded, 1);
  driver.advance(300);
  EXPECT_EQ(count_sent_of_twenty(driver), 3u);
}

TEST(EndpointListUpdates, RoutersRetryDiscoveryAtDifferentTimes) {
  std::set<std::string> lines;
  for (const std::uint64_t seed : {1, 2, 3}) {
    BalancerDriver driver(plain_settings(), seed);
    driver.update_endpoints({}, EndpointListKind::Failed);
    lines.insert(driver.logs.at(0));
  }
  EXPECT_EQ(lines.size(), 3u);
}

// Regression: all attempts ended as cancelled, so that no response changed the limit any more.
TEST(Overload, CancelledAttemptsDecreaseTheLimit) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(1);
  RequestId id = kFirstRequestId;
  for (int i = 0; i < 40; ++i) {
    id += 1;
    driver.send_request(id, id);
    if (driver.sends_of(id).empty()) continue;
    driver.advance(500); // after the objective: the request is rejected and its attempt cancelled
    driver.end_attempt(id, AttemptResult::Cancelled, 500);
    driver.advance(600);
  }
  EXPECT_LE(count_sent_of_twenty(driver), 2u);
}

// Regression: a high limit that had not been used at low load admitted a sudden burst.
TEST(Overload, UnusedLimitIsReduced) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(1);
  RequestId id = kFirstRequestId;
  for (int i = 0; i < 400; ++i) {
    id += 1;
    driver.send_request(id, id);
    driver.end_attempt(id, AttemptResult::Ok, 20);
    driver.advance(10);
  }
  const std::size_t in_flight = count_sent_of_twenty(driver);
  EXPECT_GE(in_flight, 1u);
  EXPECT_LE(in_flight, 3u);
}

// Regression: hedged requests charged to the retry budget kept a fleet overloaded after a crash.
TEST(Hedging, HedgedRequestsHaveASmallerBudgetThanRetries) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(6);
  RequestId id = kFirstRequestId;
  send_traffic(driver, id, 100, always_ok);
  for (int i = 0; i < 6; ++i) driver.send_request(5000 + i, 9000 + i); // all slow at once
  driver.advance(400);
  std::set<RequestId> sent;
  for (const Send& send : driver.sends) sent.insert(send.id);
  EXPECT_GT(driver.sends.size(), sent.size());
  EXPECT_LE(driver.sends.size(), sent.size() + 3);
}

// Sends more requests than three caches answer in time: with four or more in flight, responses are nearly
// late.
void generate_overload(BalancerDriver& driver, RequestId& id, double overload_ms, double interval_ms,
                       std::uint32_t class_count = 1) {
  struct PendingAttempt {
    double due_at, duration_ms;
    RequestId id;
  };
  std::deque<PendingAttempt> in_flight;
  for (double end = driver.now + overload_ms; driver.now < end || !in_flight.empty();
       driver.advance(interval_ms)) {
    if (driver.now < end) {
      id += 1;
      const auto tenant_index = static_cast<std::uint32_t>(id % 2);
      driver.send_request(
          id, id, {.class_index = static_cast<std::uint32_t>(id % class_count), .tenant = tenant_index});
      const double duration_ms = in_flight.size() >= 4 ? 460 : 100;
      if (!driver.sends_of(id).empty()) in_flight.push_back({driver.now + duration_ms, duration_ms, id});
    }
    for (; !in_flight.empty() && in_flight.front().due_at <= driver.now; in_flight.pop_front()) {
      const RequestId due_request = in_flight.front().id;
      const AttemptResult first_result =
          driver.rejected_or_failed(due_request) ? AttemptResult::Cancelled : AttemptResult::Ok;
      for (int i = 0; i < static_cast<int>(driver.sends_of(due_request).size()); ++i) {
        driver.end_attempt(due_request, i == 0 ? first_result : AttemptResult::Cancelled,
                           in_flight.front().duration_ms, {}, i);
      }
    }
  }
}

// Expects that of the requests up to `last` mostly those with even ids were shed.
void expect_even_shed_first(const BalancerDriver& driver, RequestId last_id) {
  std::array<int, 2> unsent{};
  for (RequestId i = kFirstRequestId + 1; i <= last_id; ++i) unsent[i % 2] += driver.sends_of(i).empty();
  EXPECT_GT(unsent[0], 20);
  EXPECT_LT(3 * unsent[1], 2 * unsent[0]);
}

// Regression: shedding never ended once no request was admitted.
TEST(LoadShedding, EndsAfterOverload) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  RequestId id = kFirstRequestId;
  generate_overload(driver, id, 8000, 20);
  const auto rejected_count = driver.rejected.size();
  EXPECT_GT(rejected_count, 20u);
  driver.advance(20000);
  const auto sent = driver.sends.size();
  for (int i = 0; i < 20; ++i) {
    id += 1;
    driver.send_request(id, id);
    driver.end_attempt(id, AttemptResult::Ok, 10);
  }
  EXPECT_EQ(driver.sends.size(), sent + 20);
}

TEST(LoadShedding, LeastValueIsShedFirst) {
  Settings s = plain_settings();
  s.classes.push_back(s.classes[0]);
  s.classes[1].priority_weight = 10;
  BalancerDriver driver(s);
  driver.list_caches(3);
  RequestId id = kFirstRequestId;
  generate_overload(driver, id, 16000, 30, 2);
  expect_even_shed_first(driver, id);
}

TEST(LoadShedding, TenantOverQuotaIsShedFirst) {
  Settings s = plain_settings();
  s.over_quota_weight = 0.1;
  s.tenants = {{.service_share = 0, .quota_per_s = 1}, {.service_share = 1, .quota_per_s = 1000}};
  BalancerDriver driver(s);
  driver.list_caches(3);
  RequestId id = kFirstRequestId;
  generate_overload(driver, id, 16000, 30);
  expect_even_shed_first(driver, id);
}

// ---- ejection by errors, log lines ----

// A cache that responds only with errors is ejected; occasional errors are no reason to eject it.
TEST(OutlierEjection, CacheIsEjectedOnlyIfAllResponsesAreErrors) {
  for (const bool always_fails : {true, false}) {
    BalancerDriver driver(plain_settings());
    driver.list_caches(6);
    for (RequestId id = kFirstRequestId; id < kFirstRequestId + 300; ++id) {
      driver.send_request(id, id);
      if (driver.sends_of(id).empty()) continue;
      const bool returns_error = driver.last_server(id) == 1 && (always_fails || id % 10 == 0);
      driver.end_attempt(id, returns_error ? AttemptResult::Error : AttemptResult::Ok, 20);
      if (returns_error && driver.sends_of(id).size() > 1) driver.end_attempt(id, AttemptResult::Ok, 20);
      driver.advance(20);
    }
    const auto sent =
        std::count_if(driver.sends.begin(), driver.sends.end(), [](const Send& s) { return s.server == 1; });
    EXPECT_EQ(sent < 30, always_fails) << sent;
  }
}

TEST(OnCallDocumentation, ContainsTheLoggedLines) {
  std::ifstream file(FERNWARD_SOURCE_DIR "/docs/on-call.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  BalancerDriver ejection_driver(plain_settings());
  ejection_driver.list_caches(6);
  RequestId id = kFirstRequestId;
  send_traffic(ejection_driver, id, 200, server_one_refuses);
  BalancerDriver origin_driver(cache_aside_settings());
  origin_driver.list_caches(3, true);
  origin_driver.send_request(1, 42, {.write = true});
  origin_driver.end_attempt(1, AttemptResult::Overloaded, 100);
  BalancerDriver discovery_driver(plain_settings());
  discovery_driver.update_endpoints({}, EndpointListKind::Failed);

  std::set<std::string> messages;
  for (const BalancerDriver* driver : {&ejection_driver, &origin_driver, &discovery_driver}) {
    for (const std::string& line : driver->logs) messages.insert(line.substr(0, line.find_last_of(' ')));
  }
  EXPECT_EQ(messages.size(), 3u);
  for (const std::string& message : messages)
    EXPECT_NE(page.find('`' + message + '`'), std::string::npos) << message;
}

// ---- giving up ----

// An origin with a response time of 400 ms, filled with requests of a higher value and a distant deadline.
void apply_overloaded_origin_settings(Settings& settings) {
  settings.origin_kind = kOriginKind;
  settings.classes.push_back({.latency_objective_ms = 60000,
                              .client_timeout_ms = 60000,
                              .priority_weight = 9,
                              .idempotency = Idempotency::Idempotent,
                              .idempotency_scope = IdempotencyScope::All});
}
void generate_overload(BalancerDriver& driver) {
  driver.list_caches(3, true);
  for (RequestId id = 2000; id < 2020; ++id) {
    driver.send_request(id, id, {.class_index = 1, .deadline = driver.now + 60000, .write = true});
    driver.advance(400);
    driver.end_attempt(id, AttemptResult::Ok, 400);
  }
  for (RequestId id = 3000; id < 3200; ++id)
    driver.send_request(id, id, {.class_index = 1, .deadline = driver.now + 60000, .write = true});
}

// Whatever the reason for giving up, the final answer is sent with the event that caused it.
TEST(GiveUp, IsAnsweredImmediatelyForEachReason) {
  struct GiveUpCase {
    const char* description;
    GiveUpReason expected_reason;
    std::function<void(Settings&)> configure;
    std::function<void(BalancerDriver&)> run; // request 1
  };
  const auto asked = [](BalancerDriver& driver) {
    driver.list_caches(3), driver.send_request(1, 42), driver.advance(20);
  };
  const std::vector<GiveUpCase> give_up_cases = {
      {"its deadline has passed",
       GiveUpReason::Shed,
       {},
       [](BalancerDriver& n) { n.list_caches(3), n.send_request(1, 42, {.deadline = n.now - 1}); }},
      {"no server is listed", GiveUpReason::NoEndpoint, {}, [](BalancerDriver& n) { n.send_request(1, 42); }},
      {"one attempt is allowed", GiveUpReason::AttemptLimit,
       [](Settings& settings) { settings.max_attempts = 1, settings.origin_kind = kOriginKind; },
       [](BalancerDriver& n) {
         n.list_caches(3, true), n.send_request(1, 42), n.advance(20), n.end_attempt(1, AttemptResult::Error);
       }},
      {"its class is not idempotent", GiveUpReason::NotIdempotent,
       [](Settings& s) { s.classes[0].idempotency = Idempotency::NonIdempotent; },
       [&](BalancerDriver& n) { asked(n), n.end_attempt(1, AttemptResult::Reset); }},
      {"the request is invalid",
       GiveUpReason::InvalidRequest,
       {},
       [&](BalancerDriver& n) { asked(n), n.end_attempt(1, AttemptResult::InvalidRequest); }},
      {"its attempt is abandoned",
       GiveUpReason::NoEndpoint,
       {},
       [&](BalancerDriver& n) { asked(n), n.end_attempt(1, AttemptResult::Abandoned); }},
      {"its body is consumed",
       GiveUpReason::NotIdempotent,
       {},
       [&](BalancerDriver& n) {
         asked(n),
             n.send_event(AttemptOutcome{
                 .id = 1, .server = n.last_server(1), .result = AttemptResult::Reset, .body_consumed = true});
       }},
      {"the retry budget is empty",
       GiveUpReason::RetryBudgetEmpty,
       {},
       [&](BalancerDriver& n) {
         n.list_caches(3);
         for (RequestId id = 100; id < 400; ++id) { // nearly all fail: the budget is not refilled
           n.send_request(id, id);
           for (int i = 0; i < 5 && !n.rejected_or_failed(id); ++i) n.end_attempt(id, AttemptResult::Error);
         }
         n.send_request(1, 42);
         for (int i = 0; i < 5 && !n.rejected_or_failed(1); ++i) n.end_attempt(1, AttemptResult::Error);
       }},
      {"too late for the origin queue", GiveUpReason::QueueTimeout, apply_overloaded_origin_settings,
       [](BalancerDriver& n) {
         generate_overload(n);
         n.send_request(1, 42);
         for (int i = 0; i < 3 && !n.rejected_or_failed(1); ++i)
           n.end_attempt(1, AttemptResult::CacheMiss, 5);
       }},
  };
  for (const GiveUpCase& give_up_case : give_up_cases) {
    SCOPED_TRACE(give_up_case.description);
    Settings s = plain_settings();
    if (give_up_case.configure) give_up_case.configure(s);
    BalancerDriver driver(s);
    give_up_case.run(driver);
    ASSERT_TRUE(driver.rejected_or_failed(1));
    for (const Reject& r : driver.rejected) {
      if (r.id != 1) continue;
      EXPECT_EQ(static_cast<int>(r.reason), static_cast<int>(give_up_case.expected_reason));
    }
  }
}

// Regression: a retry at the origin is delayed by about one of its response times. If that was more than the
// time left, the request was still held until its deadline, although it could no longer succeed.
TEST(GiveUp, RequestDoesNotWaitForARetryThatWouldBeLate) {
  Settings s = cache_aside_settings();
  s.max_retry_after_ms = 1000;
  BalancerDriver driver(s);
  driver.list_caches(3, true);
  for (int i = 0; i < 20; ++i) {
    driver.send_request(kFirstRequestId + i, i + 1, {.write = true});
    driver.advance(400);
    driver.end_attempt(kFirstRequestId + i, AttemptResult::Ok, 400);
  }
  int given_up = 0, retried = 0;
  for (int i = 0; i < 40; ++i) {
    const RequestId id = 5000 + i;
    driver.send_request(id, id, {.write = true});
    ASSERT_EQ(driver.sends_of(id).size(), 1u);
    driver.advance(200);
    // 300 ms of its objective are left, the retry delay is 200 to 600 ms.
    driver.end_attempt(id, AttemptResult::Overloaded, 200);
    if (driver.rejected_or_failed(id)) {
      ++given_up;
      continue;
    }
    driver.advance(295);
    retried += driver.sends_of(id).size() == 2;
    EXPECT_EQ(driver.sends_of(id).size(), 2u) << "held until its deadline without a retry";
    if (driver.sends_of(id).size() == 2) driver.end_attempt(id, AttemptResult::Ok, 5);
    driver.advance(100);
  }
  EXPECT_GT(given_up, 0);
}

// Reason for the retry delay: with immediate retries, all attempts would be used up while the origin is
// briefly overloaded.
TEST(Origin, WriteSucceedsAfterOriginIsBrieflyOverloaded) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(3, true);
  for (int i = 0; i < 20; ++i) {
    driver.send_request(kFirstRequestId + i, i + 1, {.write = true});
    driver.advance(100);
    driver.end_attempt(kFirstRequestId + i, AttemptResult::Ok, 100);
  }
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = 5000 + i;
    const double overloaded_until = driver.now + 120;
    driver.send_request(id, id, {.write = true});
    std::size_t ended = 0;
    while (!driver.rejected_or_failed(id) && driver.now < overloaded_until + 400) {
      driver.advance(5);
      if (driver.sends_of(id).size() == ended) continue;
      ++ended;
      driver.end_attempt(id, driver.now < overloaded_until ? AttemptResult::Overloaded : AttemptResult::Ok,
                         5);
      if (driver.now >= overloaded_until) {
        ++served;
        break;
      }
    }
    driver.advance(500);
  }
  EXPECT_GE(served, 18);
}

// Regression: a request whose fetch was not admitted while its hedged request was in flight counted as the
// leader of the fetch, and other requests waited for it.
TEST(GiveUp, RequestDoesNotWaitForAFetchThatWasNotStarted) {
  Settings s = cache_aside_settings();
  apply_overloaded_origin_settings(s);
  s.max_attempts = 3;
  BalancerDriver driver(s);
  generate_overload(driver);
  driver.send_request(1, 42);
  ASSERT_EQ(driver.sends_of(1).size(), 1u);
  driver.advance(300); // slow: a hedged request to another cache misses; the first attempt stays in flight
  ASSERT_EQ(driver.sends_of(1).size(), 2u);
  driver.end_attempt(1, AttemptResult::CacheMiss, 5, {}, 1);
  driver.send_request(2, 42);
  for (int i = 0; i < 3 && !driver.rejected_or_failed(2); ++i)
    driver.end_attempt(2, AttemptResult::CacheMiss, 5);
  EXPECT_TRUE(driver.rejected_or_failed(2)); // rejected immediately, as the first request's fetch was
}

// ---- invalid input ----

TEST(InvalidInput, UnknownIdsAreIgnored) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(3, true);
  EXPECT_TRUE(driver.send_event(AttemptOutcome{.id = 77, .attempt = 3, .server = 5}).empty());
  EXPECT_TRUE(driver.send_event(ClientDisconnected{77}).empty());
  EXPECT_TRUE(driver.send_event(ResponseStarted{77, 0, 1, 5}).empty());
  EXPECT_TRUE(driver.send_event(HealthCheckResult{.server = 77, .ok = true}).empty());
  EXPECT_TRUE(driver.send_event(TimerFired{~0ull}).empty());
  EXPECT_TRUE(driver.send_event(Request{.id = 5, .class_index = 9, .deadline = driver.now + 100}).empty());
  EXPECT_TRUE(driver.sends.empty());
}

TEST(InvalidInput, InvalidLoadReportsAreIgnored) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  const float nan = std::numeric_limits<float>::quiet_NaN();
  const float huge = 3e38f;
  RequestId id = kFirstRequestId;
  for (const std::vector<float>& report :
       std::vector<std::vector<float>>{{nan, nan},
                                       {-5, -1},
                                       {huge, huge},
                                       {std::numeric_limits<float>::infinity(), 1},
                                       {1},
                                       {1, 2, 3, 4, 5}}) {
    driver.send_request(++id, 42);
    ASSERT_EQ(driver.sends_of(id).size(), 1u);
    driver.end_attempt(id, AttemptResult::Ok, nan, report);
    driver.advance(50);
  }
  driver.send_request(++id, 42);
  EXPECT_EQ(driver.sends_of(id).size(), 1u);
}

TEST(InvalidInput, ListsWithoutOriginOrServersAreHandled) {
  BalancerDriver driver(cache_aside_settings());
  driver.list_caches(3);
  driver.send_request(1, 42, {.write = true});
  EXPECT_TRUE(driver.rejected_or_failed(1));
  driver.send_request(2, 42);
  driver.update_endpoints({});
  driver.end_attempt(2, AttemptResult::Reset);
  EXPECT_TRUE(driver.rejected_or_failed(2));
  driver.advance(1000);
  driver.send_request(3, 42);
  EXPECT_TRUE(driver.rejected_or_failed(3));
  EXPECT_EQ(driver.sends.size(), 1u);
}

TEST(InvalidInput, DeadlineInThePastIsAnsweredImmediately) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(3);
  driver.send_request(1, 42, {.deadline = driver.now - 5});
  EXPECT_TRUE(driver.rejected_or_failed(1));
  EXPECT_TRUE(driver.sends.empty());
}

} // namespace
} // namespace fernward::testing
