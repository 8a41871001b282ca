// Guards against servers that are ejected on too few, forged or outdated outlier reports, and against servers
// that stay undetected although several routers report failures.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "tier.h"

using namespace fernward;
using namespace fernward::tests;
using gossip::Finding;
using gossip::Findings;
using gossip::Verdict;

namespace {

constexpr gossip::ServerId kNode = 7;

std::vector<Verdict> verdicts(Findings& f, double now) {
  std::vector<Verdict> all;
  f.changes(now, all);
  return all;
}
bool bad(Findings& f, double now) {
  const auto all = verdicts(f, now);
  return !all.empty() && all.back().bad;
}
constexpr std::uint32_t kWell = 0, kBad = 2; // consecutive failed attempts

Finding finding(std::uint32_t lost, double at) { return {kNode, lost, at}; }

// Three zones of four routers; local_reports holds what each has observed at the node.
struct Zoned : Tier {
  Zoned() : Tier(12, 3, {250, 3}) {
    for (std::size_t i = 0; i < 12; ++i) {
      routers[i] = std::make_unique<gossip::Fleet>(static_cast<gossip::Id>(i), 12, 1, rules, i,
                                                   static_cast<std::uint8_t>(i / 4));
    }
    before_tick = [this](std::size_t i) {
      own[i].findings.clear();
      for (const Finding& f : sees(i)) own[i].findings.push_back(f);
      std::vector<Verdict> changed;
      routers[i]->verdicts(now, changed);
      for (const Verdict& v : changed) out[i] = v.bad;
    };
  }
  std::size_t leave_out(std::size_t from, std::size_t to) const {
    return static_cast<std::size_t>(std::count(out + from, out + to, true));
  }
  std::function<std::vector<Finding>(std::size_t)> sees = [](std::size_t) { return std::vector<Finding>(); };
  bool out[12] = {};
};

} // namespace

TEST_CASE("two routers of a zone with two sender addresses make a node an outlier and one alone never does") {
  Findings f(0, 1, 1);
  f.own(1000, {1, 1}, {});
  CHECK(f.merge(1000, 2, 2, {1, 1}, 1, finding(kBad, 900)));
  CHECK_FALSE(f.merge(1000, 2, 2, {1, 1}, 1, finding(kBad, 900))); // a duplicate
  CHECK(f.merge(1000, 2, 2, {1, 2}, 1, finding(kBad, 950)));
  CHECK_FALSE(bad(f, 1000));
  // A report of a second owner, but relayed by the first: it may be forged.
  CHECK(f.merge(1000, 2, 3, {1, 1}, 1, finding(kBad, 900)));
  CHECK_FALSE(bad(f, 1000));
  CHECK(f.merge(1000, 3, 3, {1, 1}, 1, finding(kBad, 900))); // from the owner's own address: direct
  CHECK(bad(f, 1000));
  CHECK(verdicts(f, 1000).empty()); // each change is returned once
  // The reports expire, and that change is returned, too.
  const auto later = verdicts(f, 950 + gossip::kFreshMs);
  REQUIRE(later.size() == 1);
  CHECK_FALSE(later[0].bad);
  CHECK(f.standing() == 0);
}

TEST_CASE("four routers with little traffic and one failed attempt each make a node an outlier") {
  Findings f(0, 1, 1);
  for (gossip::Id who = 1; who <= 4; ++who) {
    CHECK_FALSE(bad(f, 1000));
    f.merge(1000, who, who, {1, 1}, 1, finding(1, 900));
  }
  CHECK(bad(f, 1000));
  Findings g(0, 1, 1); // many failures at one router do not replace those of others
  g.merge(1000, 1, 1, {1, 1}, 1, finding(30, 900));
  g.merge(1000, 2, 2, {1, 1}, 1, finding(1, 900));
  CHECK_FALSE(bad(g, 1000));
}

TEST_CASE("one success outweighs two failures and other zones count only together and without a success") {
  Findings f(0, 1, 1);
  const auto says = [&](gossip::Id who, std::uint8_t zone, std::uint32_t lost) {
    f.merge(1000, who, who, {1, 1}, zone, finding(lost, lost > 0 ? 900 : 950));
  };
  says(2, 1, kBad), says(3, 1, kBad), says(4, 1, kWell);
  CHECK_FALSE(bad(f, 1000));
  says(5, 1, kBad);
  CHECK(bad(f, 1000));      // three to one
  Findings before(0, 1, 1); // a success from before the failures does not contradict them
  before.merge(2000, 4, 4, {1, 1}, 1, finding(kWell, 800));
  for (const gossip::Id who : {gossip::Id{2}, gossip::Id{3}})
    before.merge(2000, who, who, {1, 1}, 1, finding(kBad, 1900));
  CHECK(bad(before, 2000));
  Findings g(0, 1, 1);
  const auto abroad = [&](gossip::Id who, std::uint8_t zone, std::uint32_t lost) {
    g.merge(1000, who, who, {1, 1}, zone, finding(lost, lost > 0 ? 900 : 950));
  };
  abroad(2, 2, kBad), abroad(3, 2, kBad), abroad(4, 2, kBad);
  CHECK_FALSE(bad(g, 1000)); // a single zone: that zone may be the one that is cut off
  abroad(5, 3, kBad);
  CHECK(bad(g, 1000));
  abroad(6, 4, kWell);
  CHECK_FALSE(bad(g, 1000));
}

TEST_CASE("duplicate reports do not change the decision and one owner or one sender never suffices") {
  CHECK(rc::check([] {
    struct Told {
      gossip::Id via, owner;
      std::uint16_t sequence;
      std::uint32_t lost;
    };
    std::vector<Told> words;
    for (int n = *rc::gen::inRange(1, 14); n > 0; --n) {
      const auto owner = *rc::gen::inRange<gossip::Id>(1, 5), via = *rc::gen::inRange<gossip::Id>(1, 5);
      const auto sequence = *rc::gen::inRange<std::uint16_t>(1, 4);
      words.push_back({via, owner, sequence, (owner + sequence) % 3u});
    }
    const auto play = [&](const std::vector<Told>& in) {
      Findings f(0, 1, 1);
      for (const Told& t : in)
        f.merge(1000, t.via, t.owner, {1, t.sequence}, 1, finding(t.lost, 900 + t.sequence));
      std::vector<Verdict> v;
      f.changes(1000, v);
      return std::pair(!v.empty() && v[0].bad, f.write(1000, 0));
    };
    std::set<gossip::Id> owners, ways;
    for (const Told& t : words) owners.insert(t.owner), ways.insert(t.via);
    const bool verdict = play(words).first;
    if (owners.size() < 2 || ways.size() < 2) RC_ASSERT(!verdict);
    auto twice = words;
    twice.insert(twice.end(), words.begin(), words.end());
    RC_ASSERT(play(twice).first == verdict);
  }));
}

namespace {

// Three routers, each of which observed a failure, a success or nothing at the node; each sends to both
// others, which relay the reports.
struct Small {
  explicit Small(int seen) : saw{seen % 3, seen / 3 % 3, seen / 9} {}
  // All orders of all subsets of the six messages; the others are lost.
  void play(std::vector<Findings> all, unsigned sent) {
    ++states;
    for (Findings& f : all) {
      std::vector<Verdict> v;
      f.changes(0, v);
      for (const Verdict& one : v) verdicts += one.bad;
    }
    for (unsigned message = 0; message < 6; ++message) {
      if ((sent >> message & 1u) != 0) continue;
      const unsigned from = message / 2, to = (from + 1 + message % 2) % 3;
      auto next = all;
      next[to].read(0, static_cast<gossip::Id>(from), next[from].write(0, Findings::kRoom));
      play(std::move(next), sent | 1u << message);
    }
  }
  int saw[3]; // 0 success, 1 nothing, 2 failure
  std::size_t states = 0, verdicts = 0;
};

} // namespace

TEST_CASE("three routers decide nothing without two observers under all orders and losses of their reports") {
  std::size_t states = 0, right = 0;
  for (int seen = 0; seen < 27; ++seen) {
    Small small(seen);
    std::vector<Findings> all;
    for (gossip::Id i = 0; i < 3; ++i) {
      all.emplace_back(i, 1, i);
      std::vector<Finding> own;
      if (small.saw[i] != 1) own.push_back(finding(small.saw[i] == 2 ? kBad : kWell, 0));
      all[i].own(0, {1, 1}, own);
    }
    small.play(all, 0);
    states += small.states;
    const auto ill = std::count(small.saw, small.saw + 3, 2);
    CAPTURE(seen);
    CHECK((ill >= 2 || small.verdicts == 0));
    right += ill >= 2 && small.verdicts > 0;
  }
  MESSAGE(states << " states");
  CHECK(states == 27u * 1957);
  CHECK(right >= 1);
}

TEST_CASE(
    "a dead node is ejected by all within two seconds and an unreachable one only by the cut-off zone") {
  Zoned t;
  t.run(2000);
  t.sees = [&](std::size_t i) { // every second router has sent an attempt to it
    if (i % 2 != 0) return std::vector<Finding>();
    return std::vector<Finding>{finding(kBad, t.now)};
  };
  const double dies = t.now;
  t.run(10000, [&] { return t.leave_out(0, 12) == 12; });
  MESSAGE("ejected by all after ms: " << t.now - dies);
  CHECK(t.now - dies <= 2000);
  t.sees = [](std::size_t) { return std::vector<Finding>(); };
  t.run(gossip::kFreshMs + 1000);
  CHECK(t.leave_out(0, 12) == 0);
  // Cut off from the first zone: its routers observe failures, all others get responses.
  t.sees = [&](std::size_t i) { return std::vector<Finding>{finding(i < 4 ? kBad : kWell, t.now)}; };
  for (int k = 0; k < 40; ++k) {
    t.run(250);
    CHECK(t.leave_out(4, 12) == 0);
  }
  CHECK(t.leave_out(0, 4) == 4);
}

TEST_CASE(
    "a router with a broken connection and one that forges reports eject no node for any other router") {
  Zoned t;
  t.sees = [&](std::size_t i) { return std::vector<Finding>{finding(i == 2 ? kBad : kWell, t.now)}; };
  t.run(2000); // successes are only reported after a failure report: until they arrive, two failures suffice
  for (int k = 0; k < 40; ++k) {
    t.run(250);
    // Forged datagrams: reports in the names of all others, with stamps beyond theirs.
    Findings lies(3, 0, 1);
    for (gossip::Id who = 0; who < 12; ++who) {
      if (who != 3) lies.merge(t.now, who, who, {9, 9}, 0, finding(kBad, t.now));
    }
    membership::Datagram d;
    d.from = 3;
    d.stamp = {1, static_cast<std::uint16_t>(1000 + k)};
    d.facts = lies.write(t.now, Findings::kRoom);
    std::vector<gossip::Fleet::Out> answers;
    for (std::size_t to = 0; to < 12; ++to) {
      if (to != 3) CHECK(t.routers[to]->take(t.now, 3, membership::encode(d), answers));
    }
    CHECK(t.leave_out(0, 2) + t.leave_out(3, 12) == 0); // 2 uses its own observations
  }
}

TEST_CASE("tables are bounded and ignore further servers and replace the oldest reports") {
  Findings f(0, 1, 1);
  for (gossip::ServerId s = 0; s < 2 * Findings::kServers; ++s) {
    CHECK(f.merge(1000, 2, 2, {1, 1}, 1, {s, kBad, 900}) == (s < Findings::kServers));
  }
  for (gossip::Id who = 1; who <= 2 * Findings::kVoters; ++who) {
    f.merge(1000, who, who, {2, 1}, 1, {0, kBad, 900.0 + who});
  }
  CHECK_FALSE(f.merge(1000, 1, 1, {2, 1}, 1, {0, kBad, 901})); // it was replaced, and is still the oldest
  CHECK(f.merge(1000, 99, 99, {2, 1}, 1, {0, kBad, 999}));
  CHECK(f.write(1000, Findings::kRoom).size() <= Findings::kRoom);
  // Invalid reports: of this router itself, and from the future.
  CHECK_FALSE(f.merge(1000, 2, 0, {9, 9}, 1, finding(kBad, 900)));
  CHECK_FALSE(f.merge(1000, 2, 3, {9, 9}, 1, finding(kBad, 1001)));
  CHECK(f.passed_over() == 2);
}
