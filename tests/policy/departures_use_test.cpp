// What the policy sends once a list has told that servers drain or are gone: nothing to these, whatever
// waits.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "policy/day.h"
#include "support.h"

namespace fernward::testing {
namespace {

constexpr RequestId kFirst = 1;
constexpr std::uint32_t kCaches = 6;
constexpr ServerId kLeft = 3;  // in service from the change on: the caches up to this one
constexpr int kRequests = 200; // far more than the origin has places for

enum class Told { DrainedRepeated, GoneRepeated, ServingBeforeDrain, WholeWithout, WholeDraining };

// The change that takes all caches beyond `kLeft` from service, in one of its forms.
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

// Ends every attempt that is out by this result, round after round, and lets time pass.
void play_on(Node& node, AttemptResult result) {
  for (int round = 0; round < 8; ++round) {
    for (RequestId id = kFirst; id < kFirst + kRequests; ++id) {
      if (!node.sends_of(id).empty()) node.outcome(id, result, 30);
    }
    node.wait(60);
  }
}

class Departures : public ::testing::TestWithParam<Told> {};

// Requests that wait: for an answer, for a second copy, for a turn at the origin, for another's fetch.
TEST_P(Departures, NothingIsSentThereByRequestsThatWait) {
  for (const AttemptResult result :
       {AttemptResult::CacheMiss, AttemptResult::Reset, AttemptResult::ConnectFailed,
        AttemptResult::Overloaded, AttemptResult::TimedOut}) {
    Node node(aside_settings());
    node.caches(kCaches, true);
    for (int i = 0; i < kRequests; ++i) node.request(kFirst + i, 1 + i % 150, {.write = i % 7 == 0});
    for (RequestId id = kFirst; id < kFirst + kRequests / 2; ++id) {
      if (!node.sends_of(id).empty()) node.outcome(id, AttemptResult::CacheMiss, 3); // these want the origin
    }
    const std::size_t before = node.sends.size();
    std::set<ServerId> after;
    tell(node, GetParam());
    node.wait(300); // second copies fall due
    for (int i = 0; i < kRequests; ++i) node.request(kFirst + kRequests + i, 1 + i);
    play_on(node, result);
    for (std::size_t i = before; i < node.sends.size(); ++i) after.insert(node.sends[i].server);
    for (ServerId id = kLeft + 1; id <= kCaches; ++id) EXPECT_EQ(after.count(id), 0u) << id;
    EXPECT_GT(after.size(), 1u); // there was something to send
    EXPECT_EQ(std::count_if(node.probes.begin(), node.probes.end(),
                            [](ServerId id) { return id > kLeft && id <= kCaches; }),
              0);
  }
}

INSTANTIATE_TEST_SUITE_P(AllForms, Departures,
                         ::testing::Values(Told::DrainedRepeated, Told::GoneRepeated,
                                           Told::ServingBeforeDrain, Told::WholeWithout,
                                           Told::WholeDraining));

TEST(DeparturesUse, RequestsThatWaitForTheirTurnAreNotSentToAnOriginThatDrains) {
  for (const bool gone : {false, true}) {
    Node node(aside_settings());
    node.caches(kCaches, true);
    for (int i = 0; i < kRequests; ++i) node.request(kFirst + i, 1 + i, {.write = true});
    const auto at_origin = [&node] {
      return std::count_if(node.sends.begin(), node.sends.end(),
                           [](const Send& send) { return send.server == kOrigin; });
    };
    ASSERT_LT(at_origin(), kRequests); // some wait
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

// A list that calls a server back makes it serve again: the last word counts.
TEST(DeparturesUse, OfAServerThatIsThereTwiceTheLastWordCounts) {
  Node node(plain_settings());
  node.caches(2);
  node.list({{.id = 1, .state = ServerState::Draining}, {.id = 1}}, EndpointListKind::Delta);
  node.list({{.id = 2}, {.id = 2, .state = ServerState::Draining}}, EndpointListKind::Delta);
  for (int i = 0; i < 20; ++i) {
    node.request(kFirst + i, i + 1);
    if (!node.sends_of(kFirst + i).empty())
      node.outcome(kFirst + i, AttemptResult::Ok); // leaves its place to the next
  }
  EXPECT_EQ(node.sends.size(), 20u);
  for (const Send& send : node.sends) EXPECT_EQ(send.server, 1u);
}

} // namespace
} // namespace fernward::testing
