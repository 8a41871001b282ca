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
constexpr std::uint32_t kWell = 0, kBad = 2; // attempts lost in a row

Finding finding(std::uint32_t lost, double at) { return {kNode, lost, at}; }

// Four routers a zone in three zones; what each has seen of the node is in `own`.
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

TEST_CASE(
    "two of a zone, heard two ways, take a node out for it, one alone, however often it speaks, does not") {
  Findings f(0, 1, 1);
  f.own(1000, {1, 1}, {});
  CHECK(f.merge(1000, 2, 2, {1, 1}, 1, finding(kBad, 900)));
  CHECK_FALSE(f.merge(1000, 2, 2, {1, 1}, 1, finding(kBad, 900))); // the same once more
  CHECK(f.merge(1000, 2, 2, {1, 2}, 1, finding(kBad, 950)));
  CHECK_FALSE(bad(f, 1000));
  // A second owner's word, but from the first one's mouth: it may be made up.
  CHECK(f.merge(1000, 2, 3, {1, 1}, 1, finding(kBad, 900)));
  CHECK_FALSE(bad(f, 1000));
  CHECK(f.merge(1000, 3, 3, {1, 1}, 1, finding(kBad, 900))); // from its own: no hearsay any more
  CHECK(bad(f, 1000));
  CHECK(verdicts(f, 1000).empty()); // told once
  // It fades, and that is told, too.
  const auto later = verdicts(f, 950 + gossip::kFreshMs);
  REQUIRE(later.size() == 1);
  CHECK_FALSE(later[0].bad);
  CHECK(f.standing() == 0);
}

TEST_CASE("of many that are hardly asked, one lost attempt each is enough: four of them") {
  Findings f(0, 1, 1);
  for (gossip::Id who = 1; who <= 4; ++who) {
    CHECK_FALSE(bad(f, 1000));
    f.merge(1000, who, who, {1, 1}, 1, finding(1, 900));
  }
  CHECK(bad(f, 1000));
  Findings g(0, 1, 1); // nor do many lost ones of one stand for others'
  g.merge(1000, 1, 1, {1, 1}, 1, finding(30, 900));
  g.merge(1000, 2, 2, {1, 1}, 1, finding(1, 900));
  CHECK_FALSE(bad(g, 1000));
}

TEST_CASE("who says well outweighs two, other zones count only together, and only where nobody says well") {
  Findings f(0, 1, 1);
  const auto says = [&](gossip::Id who, std::uint8_t zone, std::uint32_t lost) {
    f.merge(1000, who, who, {1, 1}, zone, finding(lost, lost > 0 ? 900 : 950));
  };
  says(2, 1, kBad), says(3, 1, kBad), says(4, 1, kWell);
  CHECK_FALSE(bad(f, 1000));
  says(5, 1, kBad);
  CHECK(bad(f, 1000));      // three to one
  Findings before(0, 1, 1); // an answer from before they lost theirs tells nothing against them
  before.merge(2000, 4, 4, {1, 1}, 1, finding(kWell, 800));
  for (const gossip::Id who : {gossip::Id{2}, gossip::Id{3}})
    before.merge(2000, who, who, {1, 1}, 1, finding(kBad, 1900));
  CHECK(bad(before, 2000));
  Findings g(0, 1, 1);
  const auto abroad = [&](gossip::Id who, std::uint8_t zone, std::uint32_t lost) {
    g.merge(1000, who, who, {1, 1}, zone, finding(lost, lost > 0 ? 900 : 950));
  };
  abroad(2, 2, kBad), abroad(3, 2, kBad), abroad(4, 2, kBad);
  CHECK_FALSE(bad(g, 1000)); // one zone: it may be that zone which is cut off
  abroad(5, 3, kBad);
  CHECK(bad(g, 1000));
  abroad(6, 4, kWell);
  CHECK_FALSE(bad(g, 1000));
}

TEST_CASE("of any words in any order, with any repeats, the same verdict, none on one owner or one address") {
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

// Three routers, each of which may have seen the node fail, well or not at all; each tells both others, who pass it on.
struct Small {
  explicit Small(int seen) : saw{seen % 3, seen / 3 % 3, seen / 9} {}
  // All orders of all choices of the six messages; those left out are lost.
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
  int saw[3]; // 0 well, 1 nothing, 2 bad
  std::size_t states = 0, verdicts = 0;
};

} // namespace

TEST_CASE("three routers, all orders and losses of their words: no verdict without two who saw it") {
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
    "a dead node is out for all within two seconds, one that is cut off from a zone, for that zone alone") {
  Zoned t;
  t.run(2000);
  t.sees = [&](std::size_t i) { // one router in two has asked it by now
    if (i % 2 != 0) return std::vector<Finding>();
    return std::vector<Finding>{finding(kBad, t.now)};
  };
  const double dies = t.now;
  t.run(10000, [&] { return t.leave_out(0, 12) == 12; });
  MESSAGE("out for all after ms: " << t.now - dies);
  CHECK(t.now - dies <= 2000);
  t.sees = [](std::size_t) { return std::vector<Finding>(); };
  t.run(gossip::kFreshMs + 1000);
  CHECK(t.leave_out(0, 12) == 0);
  // Cut off from the first zone: its routers find it dead, all others have their answers.
  t.sees = [&](std::size_t i) { return std::vector<Finding>{finding(i < 4 ? kBad : kWell, t.now)}; };
  for (int k = 0; k < 40; ++k) {
    t.run(250);
    CHECK(t.leave_out(4, 12) == 0);
  }
  CHECK(t.leave_out(0, 4) == 4);
}

TEST_CASE("a router with a bad line, and one that lies in others' names, take no node out for anybody else") {
  Zoned t;
  t.sees = [&](std::size_t i) { return std::vector<Finding>{finding(i == 2 ? kBad : kWell, t.now)}; };
  t.run(2000); // who is well served says so where somebody says ill: until that is heard, two are believed
  for (int k = 0; k < 40; ++k) {
    t.run(250);
    // The liar's datagrams: words of all others, with stamps beyond theirs.
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
    CHECK(t.leave_out(0, 2) + t.leave_out(3, 12) == 0); // 2 goes by what it has seen itself
  }
}

TEST_CASE("tables are bounded: further servers are passed over, the oldest voters give way") {
  Findings f(0, 1, 1);
  for (gossip::ServerId s = 0; s < 2 * Findings::kServers; ++s) {
    CHECK(f.merge(1000, 2, 2, {1, 1}, 1, {s, kBad, 900}) == (s < Findings::kServers));
  }
  for (gossip::Id who = 1; who <= 2 * Findings::kVoters; ++who) {
    f.merge(1000, who, who, {2, 1}, 1, {0, kBad, 900.0 + who});
  }
  CHECK_FALSE(f.merge(1000, 1, 1, {2, 1}, 1, {0, kBad, 901})); // it gave way, and is the oldest still
  CHECK(f.merge(1000, 99, 99, {2, 1}, 1, {0, kBad, 999}));
  CHECK(f.write(1000, Findings::kRoom).size() <= Findings::kRoom);
  // What can't be: of this router itself, from the future.
  CHECK_FALSE(f.merge(1000, 2, 0, {9, 9}, 1, finding(kBad, 900)));
  CHECK_FALSE(f.merge(1000, 2, 3, {9, 9}, 1, finding(kBad, 1001)));
  CHECK(f.passed_over() == 2);
}
