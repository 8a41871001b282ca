// Guards against shares of the origin limit that add up to more than the total, after lost, duplicated, false
// or outdated reports, network partitions and restarts.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "tier.h"

using namespace fernward;
using namespace fernward::tests;
using gossip::Facts;

namespace {

struct Heard {
  gossip::Id owner;
  gossip::Stamp stamp;
  double age;
  gossip::Values values;
};

double part(Tier& t, std::size_t i) { return t.routers[i]->view(t.now).ledger_part; }

// Moves each router's limit a fifth of the way to its share in each round, as the concurrency limiter does.
void follow(Tier& t) {
  t.before_tick = [&t](std::size_t i) {
    const double to = part(t, i);
    if (to > 0) t.own[i].limit += 0.2 * (to - t.own[i].limit);
  };
}
double sum(const Tier& t) {
  double all = 0;
  for (std::size_t i = 0; i < t.routers.size(); ++i) all += t.routers[i] != nullptr ? t.own[i].limit : 0;
  return all;
}

} // namespace

TEST_CASE("merging reports in any order and with any duplicates gives the same table") {
  CHECK(rc::check([] {
    std::vector<Heard> words;
    for (int n = *rc::gen::inRange(1, 12); n > 0; --n) {
      const auto sequence = *rc::gen::inRange<std::uint16_t>(1, 5);
      const auto owner = *rc::gen::inRange<std::uint16_t>(1, 4);
      // One owner sends one report per stamp.
      words.push_back(
          {owner, {10, sequence}, *rc::gen::inRange(0, 500) * 10.0, {1.0 * sequence, 2.0 * owner}});
    }
    const auto play = [](const std::vector<Heard>& in) {
      Facts f(0, 4, 1);
      f.own(1000, {10, 1}, {1, 1});
      for (const Heard& h : in) f.merge(1000, h.owner, h.stamp, h.age, h.values, false);
      return std::tuple(f.demand(1000), f.part(1000), f.heard(1000));
    };
    const auto first = play(words);
    std::vector<Heard> mixed = words;
    mixed.insert(mixed.end(), words.begin(), words.end());
    for (std::size_t i = mixed.size(); i > 1; --i) {
      std::swap(mixed[i - 1], mixed[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    RC_ASSERT(play(mixed) == first);
  }));
}

TEST_CASE("three routers keep shares within their limits under any order and loss of reports and a crash") {
  // Each of three routers sends its report to both others: six messages, each delivered or lost, in any
  // order, while one router may crash and restart without state before any step. In every state the sum of
  // the shares that the three routers compute from what they know is within the bound that follows from the
  // weighted means.
  std::set<std::vector<double>> states;
  std::size_t played = 0;
  std::vector<int> order{0, 1, 2, 3, 4, 5};
  const double demand[3] = {0.2, 1, 3}, limit[3] = {1, 2, 3};
  do {
    for (int lost = 0; lost < 64; ++lost) {
      for (int crash = 0; crash <= 6; ++crash) {
        std::vector<Facts> all;
        for (gossip::Id i = 0; i < 3; ++i) {
          all.emplace_back(i, 3, i);
          all[i].own(0, {10, 1}, {demand[i], limit[i]});
        }
        double worst = 0;
        for (int step = 0; step < 6; ++step) {
          if (step == crash) {
            all[0] = Facts(0, 3, 9);
            all[0].own(0, {11, 1}, {demand[0], limit[0]});
          }
          const int message = order[static_cast<std::size_t>(step)];
          const int from = message / 2, to = (from + 1 + message % 2) % 3;
          if ((lost >> message & 1) != 0) continue;
          std::vector<Facts::Told> told;
          all[static_cast<std::size_t>(to)].read(0, static_cast<gossip::Id>(from),
                                                 all[static_cast<std::size_t>(from)].write(0, 60), told);
        }
        std::vector<double> state;
        double parts = 0;
        for (std::size_t i = 0; i < 3; ++i) {
          const double mine = all[i].part(0);
          state.push_back(mine);
          parts += mine;
          CHECK(mine <= 3 * 3 * 1.0); // no single router takes more than its weight of the total
        }
        worst = std::max(worst, parts);
        CHECK(worst <= 1.6 * (limit[0] + limit[1] + limit[2])); // the stated slack for views that differ
        states.insert(state);
        ++played;
      }
    }
  } while (std::next_permutation(order.begin(), order.end()));
  MESSAGE(played << " runs, " << states.size() << " different outcomes");
  CHECK(played == 720u * 64 * 7);
}

TEST_CASE("the origin limit moves to the routers with demand and its sum stays the same") {
  Tier t(40, 6);
  for (std::size_t i = 0; i < 40; ++i) t.own[i] = {i < 4 ? 3.0 : 0.2, 0.5};
  follow(t);
  t.run(30000);
  CHECK(sum(t) > 0.8 * 20);
  CHECK(sum(t) < 1.2 * 20);
  CHECK(t.own[0].limit > 4 * t.own[20].limit);
  CHECK(t.own[20].limit > 0.05); // no router is left without a limit
}

TEST_CASE("with demand at one router the shares never exceed one and a half times the previous total") {
  for (const std::size_t n : {3u, 4u, 9u, 20u}) {
    CAPTURE(n);
    Tier t(n, 8);
    for (auto& own : t.own) own = {0, 10};
    t.own[0].demand = 12;
    follow(t);
    t.run(60000);
    CHECK(sum(t) < 1.5 * 10 * static_cast<double>(n));
    CHECK(t.own[0].limit > 12);
  }
}

TEST_CASE("a router restarted without state has its share after the first exchange") {
  Tier t(40, 7);
  for (auto& own : t.own) own = {1, 2};
  t.run(15000);
  t.kill(3);
  t.run(1000);
  t.own[3] = {-1, 0.1};
  t.start(3);
  const double back = t.now;
  t.run(5000, [&] { return part(t, 3) > 1.5; });
  CHECK(t.now - back <= 2 * t.rules.period_ms + 100);
}

TEST_CASE("in any partition or without any reception all sides stay within the previous total limit") {
  for (const int sides : {2, 3, 40}) { // the last: no router receives anything
    CAPTURE(sides);
    Tier t(40, 8);
    for (std::size_t i = 0; i < 40; ++i) t.own[i] = {i % 5 == 0 ? 2.0 : 0.3, 1};
    follow(t);
    t.run(20000);
    const double before = sum(t);
    t.passes = [&](std::size_t a, std::size_t b) {
      return static_cast<int>(a) % sides == static_cast<int>(b) % sides;
    };
    double most = 0;
    for (int i = 0; i < 60; ++i) t.run(500), most = std::max(most, sum(t));
    CHECK(most <= 1.15 * before);
    t.passes = [](std::size_t, std::size_t) { return true; };
    for (int i = 0; i < 40; ++i) t.run(500), most = std::max(most, sum(t));
    CHECK(most <= 1.15 * before); // also when the partition heals
    CHECK(sum(t) >= 0.8 * before);
  }
}

TEST_CASE("shares stay within the total when seven in ten routers are killed and restarted") {
  Tier t(40, 10);
  for (auto& own : t.own) own = {1, 1};
  follow(t);
  t.run(10000);
  for (std::size_t i = 0; i < 28; ++i) t.kill(i);
  t.run(10000);
  CHECK(sum(t) <= 1.15 * 12);
  for (std::size_t i = 0; i < 28; ++i) t.own[i] = {-1, 0.1}, t.start(i);
  t.run(10000);
  CHECK(sum(t) <= 1.15 * 40);
  CHECK(t.all([&](std::size_t i) { return part(t, i) < 3; }));
}

TEST_CASE(
    "a router that keeps reporting a false demand and limit does not move the limits of correct routers "
    "out of bounds") {
  for (const std::size_t n : {4u, 40u}) {
    for (const gossip::Own& lie : {gossip::Own{4000, 0}, gossip::Own{0, 4000}, gossip::Own{4000, 4000}}) {
      CAPTURE(n);
      Tier t(n, 11);
      for (std::size_t i = 0; i < n; ++i) t.own[i] = {i % 2 == 0 ? 1.0 : 0.5, 1};
      follow(t);
      t.run(15000);
      const auto honest = [&] { return sum(t) - t.own[n - 1].limit; };
      const double before = honest();
      const auto dealt = t.before_tick;
      t.before_tick = [&](std::size_t i) { i + 1 < n ? dealt(i) : void(t.own[i] = lie); };
      t.run(60000); // 240 rounds
      CHECK(honest() < 1.3 * before);
      CHECK(honest() > 0.7 * before);
    }
  }
}

TEST_CASE("a demand that rises at all routers at once does not increase the total limit") {
  Tier t(40, 12);
  for (auto& own : t.own) own = {0.02, 0.5};
  follow(t);
  t.run(15000);
  const double before = sum(t);
  for (auto& own : t.own) own.demand = 4;
  double most = 0;
  for (int i = 0; i < 60; ++i) t.run(250), most = std::max(most, sum(t));
  CHECK(most <= 1.25 * before);
}

TEST_CASE("non-finite values and unknown router numbers and damaged tails are ignored and counted") {
  Facts f(0, 4, 1);
  f.own(0, {10, 1}, {std::nan(""), 1e300});
  CHECK(f.demand(0) == 0);
  CHECK(f.part(0) <= 4096);
  CHECK_FALSE(f.merge(0, 9, {1, 1}, 0, {1, 1}, true));
  CHECK_FALSE(f.merge(0, 1, {1, 1}, 0, {std::nan(""), 1}, true));
  CHECK_FALSE(f.merge(0, 1, {1, 1}, -5, {1, 1}, true));
  CHECK_FALSE(f.merge(0, 0, {99, 1}, 0, {1, 1}, false)); // of this router itself
  std::vector<Facts::Told> told;
  f.read(0, 1, std::string("\x03zz", 3), told);
  f.read(0, 1,
         std::string("\xff"
                     "abcdefghijkl",
                     13),
         told);
  CHECK(told.empty());
  CHECK(f.passed_over() == 6);
}

TEST_CASE(
    "the pooled origin response time expires soon and a false report keeps it within the range of correct "
    "ones") {
  for (const std::size_t n : {4u, 40u}) {
    CAPTURE(n);
    Tier t(n, 13);
    for (std::size_t i = 0; i < n; ++i)
      t.own[i] = {1, 1, {}, i % 4 == 3 ? 0 : 100.0 + static_cast<double>(i)};
    const auto seen = [&](std::size_t i) { return t.routers[i]->view(t.now).answer_ms; };
    const double most = 100.0 + static_cast<double>(n);
    t.run(5000);
    CHECK(t.all([&](std::size_t i) { return seen(i) >= 100 && seen(i) <= most; }));
    for (const double lie : {1e-3, 1e9}) {
      t.own[0].answer_ms = lie;
      t.run(5000);
      CHECK(t.all([&](std::size_t i) { return i == 0 || (seen(i) >= 100 && seen(i) <= most); }));
    }
    for (auto& own : t.own) own.answer_ms = 0;
    t.run(8000);
    CHECK(t.all([&](std::size_t i) { return seen(i) == 0; })); // no recent response at any router
  }
}

TEST_CASE("entries of older and newer versions are read as far as they go") {
  Facts old(1, 4, 1);
  old.own(0, {10, 1}, {2, 3, 50});
  std::string bytes = old.write(0, 18);
  CHECK(bytes.size() == 18);
  std::vector<Facts::Told> told;
  Facts f(0, 4, 1);
  std::string newer = bytes + "xx"; // one more quantity
  newer[1] = static_cast<char>(newer[1] + 2);
  f.read(0, 1, newer, told);
  CHECK(told.size() == 1);
  Facts g(0, 4, 1);
  std::string older = bytes.substr(0, 16); // demand and limit only
  older[1] = static_cast<char>(older[1] - 2);
  g.read(0, 1, older, told);
  CHECK(told.size() == 2);
  CHECK(g.heard(0) == 1);
  CHECK(g.answers(0).ms == 0);
  CHECK(f.passed_over() + g.passed_over() == 0);
}
