// Guards against live routers declared dead, failures detected late, and damaged or forged datagrams that are
// accepted.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>

#include "tier.h"

using namespace fernward;
using namespace fernward::tests;
using membership::Datagram;

namespace {

Datagram some() {
  Datagram d;
  d.kind = *rc::gen::element(membership::Kind::Ping, membership::Kind::Ack, membership::Kind::Ask,
                             membership::Kind::Nack);
  d.from = *rc::gen::arbitrary<membership::Id>();
  d.about = *rc::gen::arbitrary<membership::Id>();
  d.stamp = {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
  d.round = *rc::gen::arbitrary<std::uint16_t>();
  for (int n = *rc::gen::inRange(0, 6); n > 0; --n) {
    d.words.push_back({*rc::gen::arbitrary<membership::Id>(),
                       membership::Standing::Suspect,
                       {*rc::gen::arbitrary<std::uint32_t>(), 7},
                       3});
  }
  d.facts = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  d.facts.resize(std::min(d.facts.size(), membership::room_for_facts(d)));
  return d;
}

} // namespace

TEST_CASE("a datagram decodes to what was encoded and is rejected if a bit differs or a byte is missing") {
  CHECK(rc::check([] {
    const Datagram d = some();
    const std::string bytes = membership::encode(d);
    RC_ASSERT(bytes.size() <= membership::kMostBytes);
    const auto read = membership::decode(bytes);
    RC_ASSERT(read.has_value());
    RC_ASSERT(membership::encode(*read) == bytes);
    std::string spoilt = bytes;
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
    spoilt[at / 8] = static_cast<char>(spoilt[at / 8] ^ (1 << at % 8));
    RC_ASSERT(!membership::decode(spoilt).has_value());
    RC_ASSERT(
        !membership::decode(bytes.substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size()))).has_value());
  }));
}

TEST_CASE("all routers see all members and detect a failure and a restart within the stated times") {
  for (const std::size_t n : {2, 4, 64, 300}) {
    CAPTURE(n);
    Tier t(n);
    t.run(12000);
    CHECK(t.all([&](std::size_t i) { return t.living(i) == n; }));
    t.kill(1);
    const double died = t.now;
    t.run(40000, [&] { return t.all([&](std::size_t i) { return t.living(i) == n - 1; }); });
    MESSAGE(n << " routers, all detected a failure after ms: " << t.now - died);
    CHECK(t.now - died < (n < 65 ? 12000 : 20000));
    t.start(1);
    const double back = t.now;
    t.run(20000, [&] { return t.all([&](std::size_t i) { return t.living(i) == n; }); });
    MESSAGE("and its restart after ms: " << t.now - back);
    CHECK(t.now - back < 10000);
  }
}

TEST_CASE(
    "all detect a failure within 4 (4 + log2 n) periods even while reports of the dead router circulate") {
  for (const std::size_t n : {4, 64, 256}) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(n);
      CAPTURE(seed);
      Tier t(n, seed);
      t.run(15000); // every router has reports of all others, of various ages
      t.kill(0);
      const double died = t.now;
      t.run(60000, [&] { return t.all([&](std::size_t i) { return !t.routers[i]->members().alive(0); }); });
      CHECK(t.now - died < 4 * (4 + std::log2(static_cast<double>(n))) * t.rules.period_ms);
      if (n == 256 && seed == 3) break; // 768 routers are enough
    }
  }
}

TEST_CASE(
    "with a fifth of the datagrams lost 128 routers have room for suspicions and none is declared dead") {
  Tier t(128, 2);
  t.loss = 0.2;
  std::size_t alarms = 0;
  std::vector<std::size_t> seen(128, 128);
  t.before_tick = [&](std::size_t i) {
    alarms += t.living(i) < seen[i] ? seen[i] - t.living(i) : 0;
    seen[i] = t.living(i);
  };
  t.run(20000);
  CHECK(alarms == 0);
}

TEST_CASE("with half of the datagrams lost and some duplicated no live router is considered dead for long") {
  for (const double loss : {0.05, 0.2, 0.5}) {
    CAPTURE(loss);
    Tier t(32, 5);
    t.loss = loss;
    t.twice = 0.1;
    t.run(10000);
    std::size_t looks = 0, wrong = 0;
    for (int second = 0; second < 120; ++second) {
      t.run(1000);
      for (std::size_t i = 0; i < 32; ++i) looks += 32, wrong += 32 - t.living(i);
    }
    CHECK(wrong <= static_cast<std::size_t>(loss > 0.3 ? looks / 20 : looks / 1000));
  }
}

TEST_CASE("after a three-way and a one-way partition each side counts its own members and all reconnect") {
  Tier t(30, 9);
  t.run(10000);
  t.passes = [](std::size_t a, std::size_t b) { return a % 3 == b % 3; };
  t.run(30000);
  CHECK(t.all([&](std::size_t i) { return t.living(i) == 10; }));
  t.passes = [](std::size_t, std::size_t) { return true; };
  const double healed = t.now;
  t.run(30000, [&] { return t.all([&](std::size_t i) { return t.living(i) == 30; }); });
  CHECK(t.now - healed < 20000);
  t.passes = [](std::size_t a, std::size_t b) { return !(a == 0 && b != 0); }; // nobody receives from 0
  t.run(30000);
  CHECK(t.living(5) == 29);
  CHECK(t.living(0) <= 30);                   // it receives the others' pings, so it considers them alive
  CHECK(t.routers[0]->members().doubt() > 0); // and lowers its own health
}

TEST_CASE("a router that was paused for ten seconds declares no other router dead when it resumes") {
  Tier t(16, 3);
  t.run(10000);
  t.paused_until[4] = t.now + 10000;
  t.run(9900);
  CHECK(t.living(0) == 15);
  std::size_t least = 16;
  t.before_tick = [&](std::size_t i) { least = i == 4 ? std::min(least, t.living(4)) : least; };
  t.run(10000);
  CHECK(least == 16);
  CHECK(t.all([&](std::size_t i) { return t.living(i) == 16; }));
}

TEST_CASE("a router with false updates causes only suspicions and forged or damaged datagrams are counted") {
  Tier t(8, 4);
  t.run(8000);
  // In each of its rounds router 7 claims with a stamp far ahead that router 1 is dead, and sends as router
  // 1.
  double worst = 8;
  t.before_tick = [&](std::size_t i) {
    worst = std::min(worst, static_cast<double>(t.living(0)));
    if (i != 7) return;
    Datagram d;
    d.from = 7;
    d.stamp = {t.routers[7]->members().stamp().incarnation, 60000};
    for (const std::uint32_t ahead : {0u, 5000u}) {
      d.words.push_back(
          {1, membership::Standing::Dead, {t.routers[1]->members().stamp().incarnation + ahead, 65000}, 7});
    }
    std::vector<gossip::Fleet::Out> out;
    for (std::size_t to = 0; to < 7; ++to) {
      t.routers[to]->take(t.now, 7, membership::encode(d), out);
      d.from = 1; // from 7's address
      CHECK_FALSE(t.routers[to]->take(t.now, 7, membership::encode(d), out));
      d.from = 7;
      CHECK_FALSE(t.routers[to]->take(t.now, 7, "not a datagram at all, but long enough", out));
    }
  };
  t.run(20000);
  CHECK(worst >= 7); // nobody else is considered dead
  CHECK(t.routers[0]->counts().damaged > 0);
  CHECK(t.routers[0]->counts().passed_over > 0);
  t.before_tick = [](std::size_t) {};
  t.run(10000);
  CHECK(t.living(0) == 8);
}

TEST_CASE("the traffic of a router is the same in a small tier and in a large one") {
  double each[2];
  for (int i = 0; i < 2; ++i) {
    const std::size_t n = i == 0 ? 8 : 300;
    Tier t(n, 2);
    t.run(10000);
    t.bytes = 0;
    t.run(20000);
    each[i] = static_cast<double>(t.bytes) / static_cast<double>(n) / 20;
  }
  CHECK(each[1] < 1.25 * each[0]);
  CHECK(each[1] < 1100); // bytes per second and router, at four rounds per second
}
