// Servers that are draining or gone: once the endpoint list says so, they get no further attempts, not even
// from requests that were already waiting.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "policy/day.h"
#include "support.h"

namespace fernward::testing {
namespace {

constexpr RequestId kFirst = 1;
constexpr std::uint32_t kCaches = 6;
constexpr ServerId kLeft = 3;  // caches up to this id stay in service
constexpr int kRequests = 200; // far more than the origin's limit

enum class Told { DrainedRepeated, GoneRepeated, ServingBeforeDrain, WholeWithout, WholeDraining };

// Removes all caches with ids above `kLeft` from service, in one of the possible forms.
void tell(Node& node, Told told) {
  std::vector<Server> whole = {{.id = kOrigin, .kind = kOriginKind}};
  std::vector<Server> changes;
  for (ServerId id = 1; id <= kCaches; ++id) {
    if (id <= kLeft) {
      whole.push_back({.id = id});
      continue;
    }
    const ServerState state = told == Told::GoneRepeated ? ServerState::Gone : ServerState::Draining;
    if (told == Told::WholeDraining) whole.push_back({.id = id, .state = state});
    if (told == Told::ServingBeforeDrain) changes.push_back({.id = id});
    if (told == Told::DrainedRepeated || told == Told::GoneRepeated)
      changes.push_back({.id = id, .state = state});
    changes.push_back({.id = id, .state = state});
  }
  const bool is_whole = told == Told::WholeWithout || told == Told::WholeDraining;
  is_whole ? node.list(whole) : node.list(changes, EndpointListKind::Delta);
}

// Ends every attempt in flight with this result, in several rounds, and advances the time.
void play_on(Node& node, AttemptResult result) {
  for (int round = 0; round < 8; ++round) {
    for (RequestId id = kFirst; id < kFirst + kRequests; ++id) {
      if (!node.sends_of(id).empty()) node.outcome(id, result, 30);
    }
    node.wait(60);
  }
}

class Departures : public ::testing::TestWithParam<Told> {};

// Covers requests that wait for a response, for a hedged request, in the origin queue, and for another
// request's fetch.
TEST_P(Departures, WaitingRequestsAreNotSentToRemovedServers) {
  for (const AttemptResult result :
       {AttemptResult::CacheMiss, AttemptResult::Reset, AttemptResult::ConnectFailed,
        AttemptResult::Overloaded, AttemptResult::TimedOut}) {
    Node node(aside_settings());
    node.caches(kCaches, true);
    for (int i = 0; i < kRequests; ++i) node.request(kFirst + i, 1 + i % 150, {.write = i % 7 == 0});
    for (RequestId id = kFirst; id < kFirst + kRequests / 2; ++id) {
      if (!node.sends_of(id).empty()) node.outcome(id, AttemptResult::CacheMiss, 3); // these need the origin
    }
    const std::size_t before = node.sends.size();
    std::set<ServerId> after;
    tell(node, GetParam());
    node.wait(300); // hedged requests become due
    for (int i = 0; i < kRequests; ++i) node.request(kFirst + kRequests + i, 1 + i);
    play_on(node, result);
    for (std::size_t i = before; i < node.sends.size(); ++i) after.insert(node.sends[i].server);
    for (ServerId id = kLeft + 1; id <= kCaches; ++id) EXPECT_EQ(after.count(id), 0u) << id;
    EXPECT_GT(after.size(), 1u); // other servers did get attempts
    EXPECT_EQ(std::count_if(node.probes.begin(), node.probes.end(),
                            [](ServerId id) { return id > kLeft && id <= kCaches; }),
              0);
  }
}

INSTANTIATE_TEST_SUITE_P(AllForms, Departures,
                         ::testing::Values(Told::DrainedRepeated, Told::GoneRepeated,
                                           Told::ServingBeforeDrain, Told::WholeWithout,
                                           Told::WholeDraining));

TEST(ServerDeparture, QueuedRequestsAreNotSentToDrainingOrigin) {
  for (const bool gone : {false, true}) {
    Node node(aside_settings());
    node.caches(kCaches, true);
    for (int i = 0; i < kRequests; ++i) node.request(kFirst + i, 1 + i, {.write = true});
    const auto at_origin = [&node] {
      return std::count_if(node.sends.begin(), node.sends.end(),
                           [](const Send& send) { return send.server == kOrigin; });
    };
    ASSERT_LT(at_origin(), kRequests); // some are queued
    ASSERT_GT(at_origin(), 0);
    const std::size_t sent = node.sends.size();
    const ServerState state = gone ? ServerState::Gone : ServerState::Draining;
    node.list({{.id = kOrigin, .kind = kOriginKind}, {.id = kOrigin, .kind = kOriginKind, .state = state}},
              EndpointListKind::Delta);
    for (RequestId id = kFirst; id < kFirst + kRequests; ++id) {
      if (!node.sends_of(id).empty()) node.outcome(id, AttemptResult::Ok, 30);
    }
    node.wait(3000);
    EXPECT_EQ(node.sends.size(), sent);
  }
}

// If a list contains a server twice, its last entry is used; a draining server can thereby return to service.
TEST(ServerDeparture, LastEntryOfAServerListedTwiceIsUsed) {
  Node node(plain_settings());
  node.caches(2);
  node.list({{.id = 1, .state = ServerState::Draining}, {.id = 1}}, EndpointListKind::Delta);
  node.list({{.id = 2}, {.id = 2, .state = ServerState::Draining}}, EndpointListKind::Delta);
  for (int i = 0; i < 20; ++i) {
    node.request(kFirst + i, i + 1);
    if (!node.sends_of(kFirst + i).empty())
      node.outcome(kFirst + i, AttemptResult::Ok); // frees capacity for the next request
  }
  EXPECT_EQ(node.sends.size(), 20u);
  for (const Send& send : node.sends) EXPECT_EQ(send.server, 1u);
}

} // namespace
} // namespace fernward::testing
