// Servers that are draining or gone: after the endpoint list update they get no further attempts, not even
// from requests that were already waiting.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "balancer_driver.h"
#include "policy/balancer_simulation.h"

namespace fernward::testing {
namespace {

constexpr RequestId kFirstRequestId = 1;
constexpr std::uint32_t kCacheCount = 6;
constexpr ServerId kLastRemainingCache = 3; // caches up to this id stay in service
constexpr int kRequestCount = 200;          // far more than the origin's limit

enum class EndpointChange {
  DrainingTwice,
  GoneTwice,
  ReadyThenDraining,
  MissingFromFullList,
  DrainingInFullList
};

// Removes all caches with ids above `kLastRemainingCache` from service, in one of the possible forms.
void apply_change(BalancerDriver& driver, EndpointChange change) {
  std::vector<Server> full_list = {{.id = kOriginId, .kind = kOriginKind}};
  std::vector<Server> changes;
  for (ServerId id = 1; id <= kCacheCount; ++id) {
    if (id <= kLastRemainingCache) {
      full_list.push_back({.id = id});
      continue;
    }
    const ServerState state = change == EndpointChange::GoneTwice ? ServerState::Gone : ServerState::Draining;
    if (change == EndpointChange::DrainingInFullList) full_list.push_back({.id = id, .state = state});
    if (change == EndpointChange::ReadyThenDraining) changes.push_back({.id = id});
    if (change == EndpointChange::DrainingTwice || change == EndpointChange::GoneTwice)
      changes.push_back({.id = id, .state = state});
    changes.push_back({.id = id, .state = state});
  }
  const bool is_full_list =
      change == EndpointChange::MissingFromFullList || change == EndpointChange::DrainingInFullList;
  is_full_list ? driver.update_endpoints(full_list)
               : driver.update_endpoints(changes, EndpointListKind::Delta);
}

// Ends every attempt in flight with this result, in several rounds, and advances the time.
void end_attempts_in_rounds(BalancerDriver& driver, AttemptResult result) {
  for (int round = 0; round < 8; ++round) {
    for (RequestId id = kFirstRequestId; id < kFirstRequestId + kRequestCount; ++id) {
      if (!driver.sends_of(id).empty()) driver.end_attempt(id, result, 30);
    }
    driver.advance(60);
  }
}

class EndpointRemoval : public ::testing::TestWithParam<EndpointChange> {};

// Covers requests that wait for a response, for a hedged request, in the origin queue, and for another
// request's fetch.
TEST_P(EndpointRemoval, WaitingRequestsAreNotSentToRemovedServers) {
  for (const AttemptResult result :
       {AttemptResult::CacheMiss, AttemptResult::Reset, AttemptResult::ConnectFailed,
        AttemptResult::Overloaded, AttemptResult::TimedOut}) {
    BalancerDriver driver(cache_aside_settings());
    driver.list_caches(kCacheCount, true);
    for (int i = 0; i < kRequestCount; ++i)
      driver.send_request(kFirstRequestId + i, 1 + i % 150, {.write = i % 7 == 0});
    for (RequestId id = kFirstRequestId; id < kFirstRequestId + kRequestCount / 2; ++id) {
      if (!driver.sends_of(id).empty())
        driver.end_attempt(id, AttemptResult::CacheMiss, 3); // these need the origin
    }
    const std::size_t sends_before = driver.sends.size();
    std::set<ServerId> contacted_servers;
    apply_change(driver, GetParam());
    driver.advance(300); // hedged requests become due
    for (int i = 0; i < kRequestCount; ++i) driver.send_request(kFirstRequestId + kRequestCount + i, 1 + i);
    end_attempts_in_rounds(driver, result);
    for (std::size_t i = sends_before; i < driver.sends.size(); ++i)
      contacted_servers.insert(driver.sends[i].server);
    for (ServerId id = kLastRemainingCache + 1; id <= kCacheCount; ++id)
      EXPECT_EQ(contacted_servers.count(id), 0u) << id;
    EXPECT_GT(contacted_servers.size(), 1u); // other servers did get attempts
    EXPECT_EQ(std::count_if(driver.health_checks.begin(), driver.health_checks.end(),
                            [](ServerId id) { return id > kLastRemainingCache && id <= kCacheCount; }),
              0);
  }
}

INSTANTIATE_TEST_SUITE_P(AllForms, EndpointRemoval,
                         ::testing::Values(EndpointChange::DrainingTwice, EndpointChange::GoneTwice,
                                           EndpointChange::ReadyThenDraining,
                                           EndpointChange::MissingFromFullList,
                                           EndpointChange::DrainingInFullList));

TEST(ServerDeparture, QueuedRequestsAreNotSentToDrainingOrigin) {
  for (const bool gone : {false, true}) {
    BalancerDriver driver(cache_aside_settings());
    driver.list_caches(kCacheCount, true);
    for (int i = 0; i < kRequestCount; ++i) driver.send_request(kFirstRequestId + i, 1 + i, {.write = true});
    const auto at_origin = [&driver] {
      return std::count_if(driver.sends.begin(), driver.sends.end(),
                           [](const Send& send) { return send.server == kOriginId; });
    };
    ASSERT_LT(at_origin(), kRequestCount); // some are queued
    ASSERT_GT(at_origin(), 0);
    const std::size_t sent = driver.sends.size();
    const ServerState state = gone ? ServerState::Gone : ServerState::Draining;
    driver.update_endpoints(
        {{.id = kOriginId, .kind = kOriginKind}, {.id = kOriginId, .kind = kOriginKind, .state = state}},
        EndpointListKind::Delta);
    for (RequestId id = kFirstRequestId; id < kFirstRequestId + kRequestCount; ++id) {
      if (!driver.sends_of(id).empty()) driver.end_attempt(id, AttemptResult::Ok, 30);
    }
    driver.advance(3000);
    EXPECT_EQ(driver.sends.size(), sent);
  }
}

// If a list contains a server twice, its last entry is used; a draining server can thereby return to service.
TEST(ServerDeparture, LastEntryOfAServerListedTwiceIsUsed) {
  BalancerDriver driver(plain_settings());
  driver.list_caches(2);
  driver.update_endpoints({{.id = 1, .state = ServerState::Draining}, {.id = 1}}, EndpointListKind::Delta);
  driver.update_endpoints({{.id = 2}, {.id = 2, .state = ServerState::Draining}}, EndpointListKind::Delta);
  for (int i = 0; i < 20; ++i) {
    driver.send_request(kFirstRequestId + i, i + 1);
    if (!driver.sends_of(kFirstRequestId + i).empty())
      driver.end_attempt(kFirstRequestId + i, AttemptResult::Ok); // frees capacity for the next request
  }
  EXPECT_EQ(driver.sends.size(), 20u);
  for (const Send& send : driver.sends) EXPECT_EQ(send.server, 1u);
}

} // namespace
} // namespace fernward::testing
