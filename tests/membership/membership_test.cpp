// Guards against live routers declared dead, failures detected late, and damaged or forged datagrams that are
// accepted.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>

#include "router_tier.h"

using namespace fernward;
using namespace fernward::tests;
using membership::Datagram;

namespace {

Datagram random_datagram() {
  Datagram datagram;
  datagram.kind = *rc::gen::element(membership::MessageKind::Ping, membership::MessageKind::Ack,
                                    membership::MessageKind::PingRequest, membership::MessageKind::Nack);
  datagram.from = *rc::gen::arbitrary<membership::MemberId>();
  datagram.subject = *rc::gen::arbitrary<membership::MemberId>();
  datagram.stamp = {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
  datagram.round = *rc::gen::arbitrary<std::uint16_t>();
  for (int updates_left = *rc::gen::inRange(0, 6); updates_left > 0; --updates_left) {
    datagram.updates.push_back({*rc::gen::arbitrary<membership::MemberId>(),
                                membership::MemberState::Suspect,
                                {*rc::gen::arbitrary<std::uint32_t>(), 7},
                                3});
  }
  datagram.payload = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  datagram.payload.resize(std::min(datagram.payload.size(), membership::max_payload_bytes(datagram)));
  return datagram;
}

} // namespace

TEST_CASE("a datagram decodes to what was encoded and is rejected if a bit differs or a byte is missing") {
  CHECK(rc::check([] {
    const Datagram datagram = random_datagram();
    const std::string bytes = membership::encode(datagram);
    RC_ASSERT(bytes.size() <= membership::kMaxDatagramBytes);
    const auto decoded = membership::decode(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(membership::encode(*decoded) == bytes);
    std::string corrupted = bytes;
    const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
    corrupted[bit / 8] = static_cast<char>(corrupted[bit / 8] ^ (1 << bit % 8));
    RC_ASSERT(!membership::decode(corrupted).has_value());
    RC_ASSERT(
        !membership::decode(bytes.substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size()))).has_value());
  }));
}

TEST_CASE("all routers see all members and detect a failure and a restart within the stated times") {
  for (const std::size_t router_count : {2, 4, 64, 300}) {
    CAPTURE(router_count);
    RouterTier tier(router_count);
    tier.run(12000);
    CHECK(tier.all([&](std::size_t i) { return tier.alive_count(i) == router_count; }));
    tier.kill(1);
    const double killed_at = tier.now;
    tier.run(40000, [&] {
      return tier.all([&](std::size_t i) { return tier.alive_count(i) == router_count - 1; });
    });
    MESSAGE(router_count << " routers, all detected a failure after ms: " << tier.now - killed_at);
    CHECK(tier.now - killed_at < (router_count < 65 ? 12000 : 20000));
    tier.start(1);
    const double restarted_at = tier.now;
    tier.run(20000,
             [&] { return tier.all([&](std::size_t i) { return tier.alive_count(i) == router_count; }); });
    MESSAGE("and its restart after ms: " << tier.now - restarted_at);
    CHECK(tier.now - restarted_at < 10000);
  }
}

TEST_CASE(
    "all detect a failure within 4 (4 + log2 n) periods even while reports of the dead router circulate") {
  for (const std::size_t router_count : {4, 64, 256}) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(router_count);
      CAPTURE(seed);
      RouterTier tier(router_count, seed);
      tier.run(15000); // every router has reports of all others, of various ages
      tier.kill(0);
      const double killed_at = tier.now;
      tier.run(60000, [&] {
        return tier.all([&](std::size_t i) { return !tier.routers[i]->members().is_alive(0); });
      });
      CHECK(tier.now - killed_at <
            4 * (4 + std::log2(static_cast<double>(router_count))) * tier.settings.period_ms);
      if (router_count == 256 && seed == 3) break; // three tiers of 256 routers are enough
    }
  }
}

TEST_CASE(
    "with a fifth of the datagrams lost 128 routers have room for suspicions and none is declared dead") {
  RouterTier tier(128, 2);
  tier.loss = 0.2;
  std::size_t false_alarms = 0;
  std::vector<std::size_t> last_alive(128, 128);
  tier.before_tick = [&](std::size_t i) {
    false_alarms += tier.alive_count(i) < last_alive[i] ? last_alive[i] - tier.alive_count(i) : 0;
    last_alive[i] = tier.alive_count(i);
  };
  tier.run(20000);
  CHECK(false_alarms == 0);
}

TEST_CASE("with half of the datagrams lost and some duplicated no live router is considered dead for long") {
  for (const double loss : {0.05, 0.2, 0.5}) {
    CAPTURE(loss);
    RouterTier tier(32, 5);
    tier.loss = loss;
    tier.duplicate_share = 0.1;
    tier.run(10000);
    std::size_t checks = 0, wrong_checks = 0;
    for (int second = 0; second < 120; ++second) {
      tier.run(1000);
      for (std::size_t i = 0; i < 32; ++i) checks += 32, wrong_checks += 32 - tier.alive_count(i);
    }
    CHECK(wrong_checks <= static_cast<std::size_t>(loss > 0.3 ? checks / 20 : checks / 1000));
  }
}

TEST_CASE("after a three-way and a one-way partition each side counts its own members and all reconnect") {
  RouterTier tier(30, 9);
  tier.run(10000);
  tier.delivers = [](std::size_t from, std::size_t to) { return from % 3 == to % 3; };
  tier.run(30000);
  CHECK(tier.all([&](std::size_t i) { return tier.alive_count(i) == 10; }));
  tier.delivers = [](std::size_t, std::size_t) { return true; };
  const double healed_at = tier.now;
  tier.run(30000, [&] { return tier.all([&](std::size_t i) { return tier.alive_count(i) == 30; }); });
  CHECK(tier.now - healed_at < 20000);
  // No other router receives from router 0.
  tier.delivers = [](std::size_t from, std::size_t to) { return !(from == 0 && to != 0); };
  tier.run(30000);
  CHECK(tier.alive_count(5) == 29);
  CHECK(tier.alive_count(0) <= 30); // it receives the others' pings, so it considers them alive
  CHECK(tier.routers[0]->members().health_penalty() > 0); // and lowers its own health
}

TEST_CASE("a router that was paused for ten seconds declares no other router dead when it resumes") {
  RouterTier tier(16, 3);
  tier.run(10000);
  tier.paused_until[4] = tier.now + 10000;
  tier.run(9900);
  CHECK(tier.alive_count(0) == 15);
  std::size_t min_alive = 16;
  tier.before_tick = [&](std::size_t i) {
    min_alive = i == 4 ? std::min(min_alive, tier.alive_count(4)) : min_alive;
  };
  tier.run(10000);
  CHECK(min_alive == 16);
  CHECK(tier.all([&](std::size_t i) { return tier.alive_count(i) == 16; }));
}

TEST_CASE("a router with false updates causes only suspicions and forged or damaged datagrams are counted") {
  RouterTier tier(8, 4);
  tier.run(8000);
  // In each of its rounds router 7 claims, with stamps ahead of the known one, that router 1 is dead, and
  // sends datagrams in the name of router 1.
  double min_alive = 8;
  tier.before_tick = [&](std::size_t i) {
    min_alive = std::min(min_alive, static_cast<double>(tier.alive_count(0)));
    if (i != 7) return;
    Datagram datagram;
    datagram.from = 7;
    datagram.stamp = {tier.routers[7]->members().stamp().incarnation, 60000};
    for (const std::uint32_t lead : {0u, 5000u}) {
      datagram.updates.push_back({1,
                                  membership::MemberState::Dead,
                                  {tier.routers[1]->members().stamp().incarnation + lead, 65000},
                                  7});
    }
    std::vector<gossip::GossipNode::OutgoingDatagram> replies;
    for (std::size_t to = 0; to < 7; ++to) {
      tier.routers[to]->receive(tier.now, 7, membership::encode(datagram), replies);
      datagram.from = 1; // from 7's address
      CHECK_FALSE(tier.routers[to]->receive(tier.now, 7, membership::encode(datagram), replies));
      datagram.from = 7;
      CHECK_FALSE(tier.routers[to]->receive(tier.now, 7, "not a datagram at all, but long enough", replies));
    }
  };
  tier.run(20000);
  CHECK(min_alive >= 7); // nobody else is considered dead
  CHECK(tier.routers[0]->counts().damaged > 0);
  CHECK(tier.routers[0]->counts().ignored > 0);
  tier.before_tick = [](std::size_t) {};
  tier.run(10000);
  CHECK(tier.alive_count(0) == 8);
}

TEST_CASE("the traffic of a router is the same in a small tier and in a large one") {
  double bytes_per_s[2];
  for (int i = 0; i < 2; ++i) {
    const std::size_t router_count = i == 0 ? 8 : 300;
    RouterTier tier(router_count, 2);
    tier.run(10000);
    tier.bytes = 0;
    tier.run(20000);
    bytes_per_s[i] = static_cast<double>(tier.bytes) / static_cast<double>(router_count) / 20;
  }
  CHECK(bytes_per_s[1] < 1.25 * bytes_per_s[0]);
  CHECK(bytes_per_s[1] < 1100); // bytes per second and router, at four rounds per second
}
