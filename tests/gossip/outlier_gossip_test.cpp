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

std::vector<OutlierDecision> decisions(OutlierGossip& f, double now) {
  std::vector<OutlierDecision> all;
  f.append_changes(now, all);
  return all;
}
bool is_outlier(OutlierGossip& f, double now) {
  const auto all = decisions(f, now);
  return !all.empty() && all.back().outlier;
}
constexpr std::uint32_t kSuccess = 0, kFailures = 2; // consecutive failed attempts

ServerReport report(std::uint32_t lost, double at) { return {kNode, lost, at}; }

// Three zones of four routers; local_reports holds what each has observed at the node.
struct ZonedTier : RouterTier {
  ZonedTier() : RouterTier(12, 3, {250, 3}) {
    for (std::size_t i = 0; i < 12; ++i) {
      routers[i] = std::make_unique<gossip::GossipNode>(static_cast<gossip::MemberId>(i), 12, 1, settings, i,
                                                        static_cast<std::uint8_t>(i / 4));
    }
    before_tick = [this](std::size_t i) {
      local_reports[i].server_reports.clear();
      for (const ServerReport& f : observations(i)) local_reports[i].server_reports.push_back(f);
      std::vector<OutlierDecision> changed;
      routers[i]->append_outlier_changes(now, changed);
      for (const OutlierDecision& v : changed) ejected[i] = v.outlier;
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
  OutlierGossip f(0, 1, 1);
  f.set_own_reports(1000, {1, 1}, {});
  CHECK(f.merge(1000, 2, 2, {1, 1}, 1, report(kFailures, 900)));
  CHECK_FALSE(f.merge(1000, 2, 2, {1, 1}, 1, report(kFailures, 900))); // a duplicate
  CHECK(f.merge(1000, 2, 2, {1, 2}, 1, report(kFailures, 950)));
  CHECK_FALSE(is_outlier(f, 1000));
  // A report of a second owner, but relayed by the first: it may be forged.
  CHECK(f.merge(1000, 2, 3, {1, 1}, 1, report(kFailures, 900)));
  CHECK_FALSE(is_outlier(f, 1000));
  CHECK(f.merge(1000, 3, 3, {1, 1}, 1, report(kFailures, 900))); // from the owner's own address: direct
  CHECK(is_outlier(f, 1000));
  CHECK(decisions(f, 1000).empty()); // each change is returned once
  // The reports expire, and that change is returned, too.
  const auto later = decisions(f, 950 + gossip::kReportLifetimeMs);
  REQUIRE(later.size() == 1);
  CHECK_FALSE(later[0].outlier);
  CHECK(f.outlier_count() == 0);
}

TEST_CASE("four routers with little traffic and one failed attempt each make a node an outlier") {
  OutlierGossip f(0, 1, 1);
  for (gossip::MemberId who = 1; who <= 4; ++who) {
    CHECK_FALSE(is_outlier(f, 1000));
    f.merge(1000, who, who, {1, 1}, 1, report(1, 900));
  }
  CHECK(is_outlier(f, 1000));
  OutlierGossip g(0, 1, 1); // many failures at one router do not replace those of others
  g.merge(1000, 1, 1, {1, 1}, 1, report(30, 900));
  g.merge(1000, 2, 2, {1, 1}, 1, report(1, 900));
  CHECK_FALSE(is_outlier(g, 1000));
}

TEST_CASE("one success outweighs two failures and other zones count only together and without a success") {
  OutlierGossip f(0, 1, 1);
  const auto add_report = [&](gossip::MemberId who, std::uint8_t zone, std::uint32_t lost) {
    f.merge(1000, who, who, {1, 1}, zone, report(lost, lost > 0 ? 900 : 950));
  };
  add_report(2, 1, kFailures), add_report(3, 1, kFailures), add_report(4, 1, kSuccess);
  CHECK_FALSE(is_outlier(f, 1000));
  add_report(5, 1, kFailures);
  CHECK(is_outlier(f, 1000));     // three to one
  OutlierGossip earlier(0, 1, 1); // a success from before the failures does not contradict them
  earlier.merge(2000, 4, 4, {1, 1}, 1, report(kSuccess, 800));
  for (const gossip::MemberId who : {gossip::MemberId{2}, gossip::MemberId{3}})
    earlier.merge(2000, who, who, {1, 1}, 1, report(kFailures, 1900));
  CHECK(is_outlier(earlier, 2000));
  OutlierGossip g(0, 1, 1);
  const auto add_remote_report = [&](gossip::MemberId who, std::uint8_t zone, std::uint32_t lost) {
    g.merge(1000, who, who, {1, 1}, zone, report(lost, lost > 0 ? 900 : 950));
  };
  add_remote_report(2, 2, kFailures), add_remote_report(3, 2, kFailures), add_remote_report(4, 2, kFailures);
  CHECK_FALSE(is_outlier(g, 1000)); // a single zone: that zone may be the one that is cut off
  add_remote_report(5, 3, kFailures);
  CHECK(is_outlier(g, 1000));
  add_remote_report(6, 4, kSuccess);
  CHECK_FALSE(is_outlier(g, 1000));
}

TEST_CASE("duplicate reports do not change the decision and one owner or one sender never suffices") {
  CHECK(rc::check([] {
    struct RelayedReport {
      gossip::MemberId via, owner;
      std::uint16_t sequence;
      std::uint32_t lost;
    };
    std::vector<RelayedReport> reports;
    for (int n = *rc::gen::inRange(1, 14); n > 0; --n) {
      const auto owner = *rc::gen::inRange<gossip::MemberId>(1, 5),
                 via = *rc::gen::inRange<gossip::MemberId>(1, 5);
      const auto sequence = *rc::gen::inRange<std::uint16_t>(1, 4);
      reports.push_back({via, owner, sequence, (owner + sequence) % 3u});
    }
    const auto play = [&](const std::vector<RelayedReport>& input) {
      OutlierGossip f(0, 1, 1);
      for (const RelayedReport& t : input)
        f.merge(1000, t.via, t.owner, {1, t.sequence}, 1, report(t.lost, 900 + t.sequence));
      std::vector<OutlierDecision> v;
      f.append_changes(1000, v);
      return std::pair(!v.empty() && v[0].outlier, f.write_entries(1000, 0));
    };
    std::set<gossip::MemberId> owners, senders;
    for (const RelayedReport& t : reports) owners.insert(t.owner), senders.insert(t.via);
    const bool verdict = play(reports).first;
    if (owners.size() < 2 || senders.size() < 2) RC_ASSERT(!verdict);
    auto duplicated = reports;
    duplicated.insert(duplicated.end(), reports.begin(), reports.end());
    RC_ASSERT(play(duplicated).first == verdict);
  }));
}

namespace {

// Three routers, each of which observed a failure, a success or nothing at the node; each sends to both
// others, which relay the reports.
struct ThreeRouters {
  explicit ThreeRouters(int seen) : observed{seen % 3, seen / 3 % 3, seen / 9} {}
  // All orders of all subsets of the six messages; the others are lost.
  void play(std::vector<OutlierGossip> all, unsigned delivered_mask) {
    ++states;
    for (OutlierGossip& f : all) {
      std::vector<OutlierDecision> v;
      f.append_changes(0, v);
      for (const OutlierDecision& one : v) decisions += one.outlier;
    }
    for (unsigned message = 0; message < 6; ++message) {
      if ((delivered_mask >> message & 1u) != 0) continue;
      const unsigned from = message / 2, to = (from + 1 + message % 2) % 3;
      auto next = all;
      next[to].read_entries(0, static_cast<gossip::MemberId>(from),
                            next[from].write_entries(0, OutlierGossip::kMaxBytes));
      play(std::move(next), delivered_mask | 1u << message);
    }
  }
  int observed[3]; // 0 success, 1 nothing, 2 failure
  std::size_t states = 0, decisions = 0;
};

} // namespace

TEST_CASE("three routers decide nothing without two observers under all orders and losses of their reports") {
  std::size_t states = 0, decided = 0;
  for (int seen = 0; seen < 27; ++seen) {
    ThreeRouters model(seen);
    std::vector<OutlierGossip> all;
    for (gossip::MemberId i = 0; i < 3; ++i) {
      all.emplace_back(i, 1, i);
      std::vector<ServerReport> own;
      if (model.observed[i] != 1) own.push_back(report(model.observed[i] == 2 ? kFailures : kSuccess, 0));
      all[i].set_own_reports(0, {1, 1}, own);
    }
    model.play(all, 0);
    states += model.states;
    const auto failing = std::count(model.observed, model.observed + 3, 2);
    CAPTURE(seen);
    CHECK((failing >= 2 || model.decisions == 0));
    decided += failing >= 2 && model.decisions > 0;
  }
  MESSAGE(states << " states");
  CHECK(states == 27u * 1957);
  CHECK(decided >= 1);
}

TEST_CASE(
    "a dead node is ejected by all within two seconds and an unreachable one only by the cut-off zone") {
  ZonedTier t;
  t.run(2000);
  t.observations = [&](std::size_t i) { // every second router has sent an attempt to it
    if (i % 2 != 0) return std::vector<ServerReport>();
    return std::vector<ServerReport>{report(kFailures, t.now)};
  };
  const double failed_at = t.now;
  t.run(10000, [&] { return t.ejected_count(0, 12) == 12; });
  MESSAGE("ejected by all after ms: " << t.now - failed_at);
  CHECK(t.now - failed_at <= 2000);
  t.observations = [](std::size_t) { return std::vector<ServerReport>(); };
  t.run(gossip::kReportLifetimeMs + 1000);
  CHECK(t.ejected_count(0, 12) == 0);
  // Cut off from the first zone: its routers observe failures, all others get responses.
  t.observations = [&](std::size_t i) {
    return std::vector<ServerReport>{report(i < 4 ? kFailures : kSuccess, t.now)};
  };
  for (int k = 0; k < 40; ++k) {
    t.run(250);
    CHECK(t.ejected_count(4, 12) == 0);
  }
  CHECK(t.ejected_count(0, 4) == 4);
}

TEST_CASE(
    "a router with a broken connection and one that forges reports eject no node for any other router") {
  ZonedTier t;
  t.observations = [&](std::size_t i) {
    return std::vector<ServerReport>{report(i == 2 ? kFailures : kSuccess, t.now)};
  };
  t.run(2000); // successes are only reported after a failure report: until they arrive, two failures suffice
  for (int k = 0; k < 40; ++k) {
    t.run(250);
    // Forged datagrams: reports in the names of all others, with stamps beyond theirs.
    OutlierGossip false_reports(3, 0, 1);
    for (gossip::MemberId who = 0; who < 12; ++who) {
      if (who != 3) false_reports.merge(t.now, who, who, {9, 9}, 0, report(kFailures, t.now));
    }
    membership::Datagram d;
    d.from = 3;
    d.stamp = {1, static_cast<std::uint16_t>(1000 + k)};
    d.payload = false_reports.write_entries(t.now, OutlierGossip::kMaxBytes);
    std::vector<gossip::GossipNode::OutgoingDatagram> answers;
    for (std::size_t to = 0; to < 12; ++to) {
      if (to != 3) CHECK(t.routers[to]->receive(t.now, 3, membership::encode(d), answers));
    }
    CHECK(t.ejected_count(0, 2) + t.ejected_count(3, 12) == 0); // 2 uses its own observations
  }
}

TEST_CASE("tables are bounded and ignore further servers and replace the oldest reports") {
  OutlierGossip f(0, 1, 1);
  for (gossip::ServerId s = 0; s < 2 * OutlierGossip::kMaxServers; ++s) {
    CHECK(f.merge(1000, 2, 2, {1, 1}, 1, {s, kFailures, 900}) == (s < OutlierGossip::kMaxServers));
  }
  for (gossip::MemberId who = 1; who <= 2 * OutlierGossip::kMaxReportsPerServer; ++who) {
    f.merge(1000, who, who, {2, 1}, 1, {0, kFailures, 900.0 + who});
  }
  CHECK_FALSE(
      f.merge(1000, 1, 1, {2, 1}, 1, {0, kFailures, 901})); // it was replaced, and is still the oldest
  CHECK(f.merge(1000, 99, 99, {2, 1}, 1, {0, kFailures, 999}));
  CHECK(f.write_entries(1000, OutlierGossip::kMaxBytes).size() <= OutlierGossip::kMaxBytes);
  // Invalid reports: of this router itself, and from the future.
  CHECK_FALSE(f.merge(1000, 2, 0, {9, 9}, 1, report(kFailures, 900)));
  CHECK_FALSE(f.merge(1000, 2, 3, {9, 9}, 1, report(kFailures, 1001)));
  CHECK(f.ignored() == 2);
}
