// Guards against servers that are ejected on too few, forged or outdated outlier reports, and against servers
// that stay undetected although several routers report failures.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "router_tier.h"

using namespace fernward;
using namespace fernward::tests;
using gossip::OutlierDecision;
using gossip::OutlierGossip;
using gossip::ServerReport;

namespace {

constexpr gossip::ServerId kNode = 7;

std::vector<OutlierDecision> decisions(OutlierGossip& outlier_gossip, double now) {
  std::vector<OutlierDecision> all;
  outlier_gossip.append_changes(now, all);
  return all;
}
bool is_outlier(OutlierGossip& outlier_gossip, double now) {
  const auto all = decisions(outlier_gossip, now);
  return !all.empty() && all.back().outlier;
}
constexpr std::uint32_t kSuccess = 0, kFailures = 2; // consecutive failed attempts

ServerReport report(std::uint32_t failed_attempts, double observed_at) {
  return {kNode, failed_attempts, observed_at};
}

// Three zones of four routers. `observations` returns what a router reports of the node in its next round.
struct ZonedTier : RouterTier {
  ZonedTier() : RouterTier(12, 3, {250, 3}) {
    for (std::size_t i = 0; i < 12; ++i) {
      routers[i] = std::make_unique<gossip::GossipNode>(static_cast<gossip::MemberId>(i), 12, 1, settings, i,
                                                        static_cast<std::uint8_t>(i / 4));
    }
    before_tick = [this](std::size_t i) {
      local_reports[i].server_reports.clear();
      for (const ServerReport& observed : observations(i))
        local_reports[i].server_reports.push_back(observed);
      std::vector<OutlierDecision> changed;
      routers[i]->append_outlier_changes(now, changed);
      for (const OutlierDecision& change : changed) ejected[i] = change.outlier;
    };
  }
  std::size_t ejected_count(std::size_t from, std::size_t to) const {
    return static_cast<std::size_t>(std::count(ejected + from, ejected + to, true));
  }
  std::function<std::vector<ServerReport>(std::size_t)> observations = [](std::size_t) {
    return std::vector<ServerReport>();
  };
  bool ejected[12] = {};
};

} // namespace

TEST_CASE("two routers of a zone with two sender addresses make a node an outlier and one alone never does") {
  OutlierGossip outlier_gossip(0, 1, 1);
  outlier_gossip.set_own_reports(1000, {1, 1}, {});
  CHECK(outlier_gossip.merge(1000, 2, 2, {1, 1}, 1, report(kFailures, 900)));
  CHECK_FALSE(outlier_gossip.merge(1000, 2, 2, {1, 1}, 1, report(kFailures, 900))); // a duplicate
  CHECK(outlier_gossip.merge(1000, 2, 2, {1, 2}, 1, report(kFailures, 950)));
  CHECK_FALSE(is_outlier(outlier_gossip, 1000));
  // A report of a second owner, but relayed by the first: it may be forged.
  CHECK(outlier_gossip.merge(1000, 2, 3, {1, 1}, 1, report(kFailures, 900)));
  CHECK_FALSE(is_outlier(outlier_gossip, 1000));
  CHECK(outlier_gossip.merge(1000, 3, 3, {1, 1}, 1,
                             report(kFailures, 900))); // from the owner's own address: direct
  CHECK(is_outlier(outlier_gossip, 1000));
  CHECK(decisions(outlier_gossip, 1000).empty()); // each change is returned once
  // The reports expire, and that change is returned, too.
  const auto later = decisions(outlier_gossip, 950 + gossip::kReportLifetimeMs);
  REQUIRE(later.size() == 1);
  CHECK_FALSE(later[0].outlier);
  CHECK(outlier_gossip.outlier_count() == 0);
}

TEST_CASE("four routers with little traffic and one failed attempt each make a node an outlier") {
  OutlierGossip outlier_gossip(0, 1, 1);
  for (gossip::MemberId owner = 1; owner <= 4; ++owner) {
    CHECK_FALSE(is_outlier(outlier_gossip, 1000));
    outlier_gossip.merge(1000, owner, owner, {1, 1}, 1, report(1, 900));
  }
  CHECK(is_outlier(outlier_gossip, 1000));
  OutlierGossip other_gossip(0, 1, 1); // many failures at one router do not replace those of others
  other_gossip.merge(1000, 1, 1, {1, 1}, 1, report(30, 900));
  other_gossip.merge(1000, 2, 2, {1, 1}, 1, report(1, 900));
  CHECK_FALSE(is_outlier(other_gossip, 1000));
}

TEST_CASE("one success outweighs two failures and other zones count only together and without a success") {
  OutlierGossip outlier_gossip(0, 1, 1);
  const auto add_report = [&](gossip::MemberId owner, std::uint8_t zone, std::uint32_t failed_attempts) {
    outlier_gossip.merge(1000, owner, owner, {1, 1}, zone,
                         report(failed_attempts, failed_attempts > 0 ? 900 : 950));
  };
  add_report(2, 1, kFailures), add_report(3, 1, kFailures), add_report(4, 1, kSuccess);
  CHECK_FALSE(is_outlier(outlier_gossip, 1000));
  add_report(5, 1, kFailures);
  CHECK(is_outlier(outlier_gossip, 1000));     // three to one
  OutlierGossip early_success_gossip(0, 1, 1); // a success from before the failures does not contradict them
  early_success_gossip.merge(2000, 4, 4, {1, 1}, 1, report(kSuccess, 800));
  for (const gossip::MemberId owner : {gossip::MemberId{2}, gossip::MemberId{3}})
    early_success_gossip.merge(2000, owner, owner, {1, 1}, 1, report(kFailures, 1900));
  CHECK(is_outlier(early_success_gossip, 2000));
  OutlierGossip remote_gossip(0, 1, 1);
  const auto add_remote_report = [&](gossip::MemberId owner, std::uint8_t zone,
                                     std::uint32_t failed_attempts) {
    remote_gossip.merge(1000, owner, owner, {1, 1}, zone,
                        report(failed_attempts, failed_attempts > 0 ? 900 : 950));
  };
  add_remote_report(2, 2, kFailures), add_remote_report(3, 2, kFailures), add_remote_report(4, 2, kFailures);
  CHECK_FALSE(is_outlier(remote_gossip, 1000)); // a single zone: that zone may be the one that is cut off
  add_remote_report(5, 3, kFailures);
  CHECK(is_outlier(remote_gossip, 1000));
  add_remote_report(6, 4, kSuccess);
  CHECK_FALSE(is_outlier(remote_gossip, 1000));
}

TEST_CASE("duplicate reports do not change the decision and one owner or one sender never suffices") {
  CHECK(rc::check([] {
    struct RelayedReport {
      gossip::MemberId sender, owner;
      std::uint16_t sequence;
      std::uint32_t failed_attempts;
    };
    std::vector<RelayedReport> reports;
    for (int reports_left = *rc::gen::inRange(1, 14); reports_left > 0; --reports_left) {
      const auto owner = *rc::gen::inRange<gossip::MemberId>(1, 5),
                 sender = *rc::gen::inRange<gossip::MemberId>(1, 5);
      const auto sequence = *rc::gen::inRange<std::uint16_t>(1, 4);
      reports.push_back({sender, owner, sequence, (owner + sequence) % 3u});
    }
    const auto merge_all = [&](const std::vector<RelayedReport>& input) {
      OutlierGossip outlier_gossip(0, 1, 1);
      for (const RelayedReport& relayed : input)
        outlier_gossip.merge(1000, relayed.sender, relayed.owner, {1, relayed.sequence}, 1,
                             report(relayed.failed_attempts, 900 + relayed.sequence));
      std::vector<OutlierDecision> changes;
      outlier_gossip.append_changes(1000, changes);
      return std::pair(!changes.empty() && changes[0].outlier, outlier_gossip.write_entries(1000, 0));
    };
    std::set<gossip::MemberId> owners, senders;
    for (const RelayedReport& relayed : reports) owners.insert(relayed.owner), senders.insert(relayed.sender);
    const bool decision = merge_all(reports).first;
    if (owners.size() < 2 || senders.size() < 2) RC_ASSERT(!decision);
    auto duplicated = reports;
    duplicated.insert(duplicated.end(), reports.begin(), reports.end());
    RC_ASSERT(merge_all(duplicated).first == decision);
  }));
}

namespace {

// Three routers, each of which observed a failure, a success or nothing at the node. Each sends its reports
// to both others, which relay them.
struct ThreeRouters {
  explicit ThreeRouters(int observation_code)
      : observed{observation_code % 3, observation_code / 3 % 3, observation_code / 9} {}
  // Explores all orders of all subsets of the six messages; the other messages are lost.
  void explore(std::vector<OutlierGossip> routers, unsigned delivered_mask) {
    ++states;
    for (OutlierGossip& outlier_gossip : routers) {
      std::vector<OutlierDecision> changes;
      outlier_gossip.append_changes(0, changes);
      for (const OutlierDecision& change : changes) decisions += change.outlier;
    }
    for (unsigned message = 0; message < 6; ++message) {
      if ((delivered_mask >> message & 1u) != 0) continue;
      const unsigned from = message / 2, to = (from + 1 + message % 2) % 3;
      auto next = routers;
      next[to].read_entries(0, static_cast<gossip::MemberId>(from),
                            next[from].write_entries(0, OutlierGossip::kMaxBytes));
      explore(std::move(next), delivered_mask | 1u << message);
    }
  }
  int observed[3]; // 0 success, 1 nothing, 2 failure
  std::size_t states = 0, decisions = 0;
};

} // namespace

TEST_CASE("three routers decide nothing without two observers under all orders and losses of their reports") {
  std::size_t states = 0, decided = 0;
  for (int observation_code = 0; observation_code < 27; ++observation_code) {
    ThreeRouters model(observation_code);
    std::vector<OutlierGossip> routers;
    for (gossip::MemberId i = 0; i < 3; ++i) {
      routers.emplace_back(i, 1, i);
      std::vector<ServerReport> own_reports;
      if (model.observed[i] != 1)
        own_reports.push_back(report(model.observed[i] == 2 ? kFailures : kSuccess, 0));
      routers[i].set_own_reports(0, {1, 1}, own_reports);
    }
    model.explore(routers, 0);
    states += model.states;
    const auto failing = std::count(model.observed, model.observed + 3, 2);
    CAPTURE(observation_code);
    CHECK((failing >= 2 || model.decisions == 0));
    decided += failing >= 2 && model.decisions > 0;
  }
  MESSAGE(states << " states");
  CHECK(states == 27u * 1957);
  CHECK(decided >= 1);
}

TEST_CASE(
    "a dead node is ejected by all within two seconds and an unreachable one only by the cut-off zone") {
  ZonedTier tier;
  tier.run(2000);
  tier.observations = [&](std::size_t i) { // every second router has sent an attempt to it
    if (i % 2 != 0) return std::vector<ServerReport>();
    return std::vector<ServerReport>{report(kFailures, tier.now)};
  };
  const double failed_at = tier.now;
  tier.run(10000, [&] { return tier.ejected_count(0, 12) == 12; });
  MESSAGE("ejected by all after ms: " << tier.now - failed_at);
  CHECK(tier.now - failed_at <= 2000);
  tier.observations = [](std::size_t) { return std::vector<ServerReport>(); };
  tier.run(gossip::kReportLifetimeMs + 1000);
  CHECK(tier.ejected_count(0, 12) == 0);
  // Cut off from the first zone: its routers observe failures, all others get responses.
  tier.observations = [&](std::size_t i) {
    return std::vector<ServerReport>{report(i < 4 ? kFailures : kSuccess, tier.now)};
  };
  for (int round = 0; round < 40; ++round) {
    tier.run(250);
    CHECK(tier.ejected_count(4, 12) == 0);
  }
  CHECK(tier.ejected_count(0, 4) == 4);
}

TEST_CASE(
    "a router with a broken connection and one that forges reports eject no node for any other router") {
  ZonedTier tier;
  tier.observations = [&](std::size_t i) {
    return std::vector<ServerReport>{report(i == 2 ? kFailures : kSuccess, tier.now)};
  };
  // Successes are only reported after a failure report: until they arrive, two failures suffice.
  tier.run(2000);
  for (int round = 0; round < 40; ++round) {
    tier.run(250);
    // Forged datagrams: reports in the names of all others, with stamps beyond theirs.
    OutlierGossip false_reports(3, 0, 1);
    for (gossip::MemberId owner = 0; owner < 12; ++owner) {
      if (owner != 3) false_reports.merge(tier.now, owner, owner, {9, 9}, 0, report(kFailures, tier.now));
    }
    membership::Datagram datagram;
    datagram.from = 3;
    datagram.stamp = {1, static_cast<std::uint16_t>(1000 + round)};
    datagram.payload = false_reports.write_entries(tier.now, OutlierGossip::kMaxBytes);
    std::vector<gossip::GossipNode::OutgoingDatagram> answers;
    for (std::size_t to = 0; to < 12; ++to) {
      if (to != 3) CHECK(tier.routers[to]->receive(tier.now, 3, membership::encode(datagram), answers));
    }
    CHECK(tier.ejected_count(0, 2) + tier.ejected_count(3, 12) == 0); // 2 uses its own observations
  }
}

TEST_CASE("tables are bounded and ignore further servers and replace the oldest reports") {
  OutlierGossip outlier_gossip(0, 1, 1);
  for (gossip::ServerId server = 0; server < 2 * OutlierGossip::kMaxServers; ++server) {
    CHECK(outlier_gossip.merge(1000, 2, 2, {1, 1}, 1, {server, kFailures, 900}) ==
          (server < OutlierGossip::kMaxServers));
  }
  for (gossip::MemberId owner = 1; owner <= 2 * OutlierGossip::kMaxReportsPerServer; ++owner) {
    outlier_gossip.merge(1000, owner, owner, {2, 1}, 1, {0, kFailures, 900.0 + owner});
  }
  // This report was replaced, and is still the oldest.
  CHECK_FALSE(outlier_gossip.merge(1000, 1, 1, {2, 1}, 1, {0, kFailures, 901}));
  CHECK(outlier_gossip.merge(1000, 99, 99, {2, 1}, 1, {0, kFailures, 999}));
  CHECK(outlier_gossip.write_entries(1000, OutlierGossip::kMaxBytes).size() <= OutlierGossip::kMaxBytes);
  // Invalid reports: of this router itself, and from the future.
  CHECK_FALSE(outlier_gossip.merge(1000, 2, 0, {9, 9}, 1, report(kFailures, 900)));
  CHECK_FALSE(outlier_gossip.merge(1000, 2, 3, {9, 9}, 1, report(kFailures, 1001)));
  CHECK(outlier_gossip.ignored() == 2);
}
