// Each oracle on evidence written by hand: runs beyond its bound, and similar runs that are within it.
#include <doctest/doctest.h>

#include <cmath>

#include "lab/storm/draw.h"
#include "lab/storm/oracles.h"

using namespace fernward;
using namespace fernward::lab;
using storm::Cell;
using storm::Seen;
using storm::Verdict;

namespace {

// Two zones, two classes, 8 nodes, 3 routers, 100 requests per second for 50 s. The origin stalls from 5 s to
// 8 s.
model::Spec spec_of_hand() {
  model::Spec s;
  s.name = "hand";
  s.duration_ms = 50000;
  s.zones = {{"east", 1}, {"west", 1}};
  model::NodeKind kind;
  kind.name = "plain";
  s.kinds = {kind};
  model::NodeGroup east, west;
  east.name = "east";
  east.count = 4;
  west.name = "west";
  west.count = 4;
  west.zone = 1;
  s.nodes = {east, west};
  s.routers.groups = {{0, 2}, {1, 1}};
  model::ClassSpec read, write;
  read.name = "read";
  read.work.mean = 50;
  write.name = "write";
  write.work.mean = 50;
  write.write = true;
  write.share = 0.1;
  s.classes = {read, write};
  s.load.rate_per_s = 100;
  s.events = {{5000, "", model::OriginStall{8000}}};
  return s;
}

struct Hand {
  explicit Hand(model::Spec of = spec_of_hand()) : spec(std::move(of)), plan(model::make_plan(spec)) {
    calm = well();
    seen = well();
  }
  // 50 requests in each step, all served: 24 of them in the west zone, 4 of them writes.
  Seen well() const {
    Seen s;
    const auto steps = static_cast<std::size_t>(spec.duration_ms / storm::kStepMs) + 1;
    const auto series = [&](double each) {
      return storm::Series(
          steps, Cell{each, each, static_cast<std::uint32_t>(each), static_cast<std::uint32_t>(each)});
    };
    s.whole = series(50);
    s.groups = {{storm::Group::By::Zone, 0, series(26)},
                {storm::Group::By::Zone, 1, series(24)},
                {storm::Group::By::Class, 0, series(46)},
                {storm::Group::By::Class, 1, series(4)}};
    s.work.requests = s.work.tries = 4000;
    s.work.at_caches = 4000;
    s.work.at_origin = 800;
    s.work.writes = 300;
    s.work.connections = 200;
    return s;
  }
  // Sets the share of requests served from `from_ms` to `to_ms` for a group (-1: for all requests).
  Hand& served(int group, double from_ms, double to_ms, double share) {
    const auto first = static_cast<std::size_t>(from_ms / storm::kStepMs),
               last = static_cast<std::size_t>(to_ms / storm::kStepMs);
    for (std::size_t i = first; i < last && i < seen.whole.size(); ++i) {
      Cell& own = group < 0 ? seen.whole[i] : seen.groups[static_cast<std::size_t>(group)].series[i];
      const double less = own.asked * (1 - share);
      own.earned -= less;
      own.served -= static_cast<std::uint32_t>(std::lround(less));
      if (group < 0) continue;
      seen.whole[i].earned -= less;
      seen.whole[i].served -= static_cast<std::uint32_t>(std::lround(less));
    }
    return *this;
  }
  Verdict says(const char* name) {
    storm::Evidence e{spec, plan, findings, seen, calm, four};
    return storm::find_oracle(name)->judge(e);
  }

  model::Spec spec;
  model::Plan plan;
  Findings findings;
  Seen seen;
  std::optional<Seen> calm, four;
};

} // namespace

TEST_CASE(
    "every oracle has a unique name and texts on its rule and reason and accepts a run without faults") {
  Hand hand;
  hand.four = hand.well();
  for (const storm::Oracle& o : storm::oracles()) {
    CHECK(storm::find_oracle(o.name) == &o);
    CHECK(std::string(o.says).size() > 10);
    CHECK(std::string(o.because).size() > 10);
    const Verdict v = hand.says(o.name);
    INFO(o.name, ": ", v.what);
    const bool shares = std::string(o.name) == "parts" || std::string(o.name) == "living";
    CHECK(v.judged == !shares);
    CHECK(v.distance < 1);
  }
  CHECK(storm::find_oracle("luck") == nullptr);
}

TEST_CASE("a breached rule breaks its oracle only and with a distance that grows with the breaches") {
  Hand hand;
  auto& rule = hand.findings.rules[static_cast<std::size_t>(Rule::Drains)];
  rule.breaches = 1;
  rule.first = {{1234, "r0 sent an attempt"}};
  const Verdict once = hand.says("drains");
  CHECK(once.broken());
  CHECK(once.what.find("r0 sent an attempt") != std::string::npos);
  rule.breaches = 8;
  CHECK(hand.says("drains").distance > once.distance);
  CHECK_FALSE(hand.says("repeats").broken());
  rule.judged = false;
  CHECK_FALSE(hand.says("drains").judged);
}

TEST_CASE("service that does not recover is metastable unlike late recovery or random loss") {
  const double due = 8000 + storm::settle_ms(spec_of_hand());
  REQUIRE(due + 8000 < 50000);
  CHECK(Hand().served(-1, due, 50000, 0.6).says("metastable").broken());
  // A later relapse counts too.
  CHECK(Hand().served(-1, 40000, 48000, 0.5).says("metastable").broken());
  CHECK_FALSE(Hand().served(-1, 5000, due - 500, 0).says("metastable").broken());
  // A loss of a few of 400 requests is within random variation.
  CHECK_FALSE(Hand().served(-1, due, 50000, 0.96).says("metastable").broken());
  Hand without;
  without.calm.reset();
  CHECK_FALSE(without.says("metastable").judged);
}

TEST_CASE("metastable is not judged where even an ideal fleet would lose requests") {
  SUBCASE("nodes without enough capacity for the load") {
    model::Spec s = spec_of_hand();
    s.events.push_back({6000, "", model::KillNodes{{{0, 1, 2, 3, 4, 5, 6}, {}, {}, {}, {}, 1, false}}});
    Hand hand(s);
    CHECK(storm::used_after(hand.spec, hand.plan) == doctest::Approx(100 * 0.05 / 4));
    CHECK_FALSE(hand.served(-1, 30000, 50000, 0.5).says("metastable").judged);
  }
  SUBCASE("an origin without enough capacity to refill emptied caches") {
    model::Spec s = spec_of_hand();
    s.events = {{6000, "", model::RestartNodes{{}, 1000}}};
    s.origin.capacity_per_s = 30;
    Hand hand(s);
    CHECK(storm::lost_contents(hand.plan) == 1);
    CHECK_FALSE(hand.served(-1, 36000, 50000, 0.5).says("metastable").judged);
  }
}

TEST_CASE("caches refill more slowly the more was lost and the less spare capacity the origin has") {
  model::Spec s = spec_of_hand();
  CHECK(storm::refill_ms(s, 0, 10) == 0);
  const double some = storm::refill_ms(s, 0.5, 10), all = storm::refill_ms(s, 1, 10);
  CHECK(some < all);
  CHECK(all < storm::refill_ms(s, 1, 40));
  CHECK(std::isinf(storm::refill_ms(s, 1, 80)));
  // During a resize, fetches are kept below twice the steady rate, which limits the refill.
  s.routers.resize.transition_ms = 5000;
  CHECK(storm::refill_ms(s, 1, 10) > all);
}

TEST_CASE("many routers that serve less than four routers would break adds-up") {
  Hand hand;
  hand.four = hand.well();
  CHECK_FALSE(hand.served(-1, 10000, 12000, 0.8).says("adds-up").broken());
  CHECK(hand.served(-1, 10000, 25000, 0.5).says("adds-up").broken());
  hand.four = hand.seen;
  CHECK_FALSE(hand.says("adds-up").broken());
  hand.four.reset();
  CHECK_FALSE(hand.says("adds-up").judged);
}

TEST_CASE(
    "a zone or class without service while others are served breaks starves unlike a lost zone or a full "
    "outage") {
  CHECK(Hand().served(1, 20000, 26000, 0).says("starves").broken());
  CHECK_FALSE(Hand().served(1, 20000, 22000, 0).says("starves").broken()); // too short
  CHECK_FALSE(Hand().served(1, 20000, 26000, 0.3).says("starves").broken());
  CHECK_FALSE(Hand().served(0, 20000, 26000, 0).served(1, 20000, 26000, 0).says("starves").broken());
  // Writes fail together with the origin.
  CHECK_FALSE(Hand().served(3, 5000, 11000, 0).says("starves").broken());
  model::Spec s = spec_of_hand();
  s.events = {{20000, "", model::LostZone{1, 26000, false}}};
  CHECK_FALSE(Hand(s).served(1, 20000, 26000, 0).says("starves").broken());
  // The class with the lowest priority weight may be refused first if capacity is short for the others too,
  // and only then.
  CHECK(Hand().served(2, 40000, 46000, 0).served(3, 40000, 46000, 0.5).says("starves").broken());
  s.events.clear();
  s.classes[1].worth = 3;
  CHECK_FALSE(Hand(s).served(2, 40000, 46000, 0).served(3, 40000, 46000, 0.5).says("starves").broken());
  CHECK(Hand(s).served(2, 40000, 46000, 0).says("starves").broken());
}

TEST_CASE(
    "limit shares above the limits and a lasting wrong router count are found but not judged with a corrupt "
    "router") {
  model::Spec s = spec_of_hand();
  s.routers.sharing.on = true;
  const auto held = [](double at, double parts, double least) {
    return storm::Held{at, 3, 3, least, 3, 30, parts, true};
  };
  Hand hand(s);
  hand.seen.held = {held(20000, 30, 3), held(40000, 40, 2)};
  hand.seen.held.push_back(held(40500, 30, 3));
  hand.seen.held.back().limits = 10; // the limit was lowered just now
  CHECK_FALSE(hand.says("parts").broken());
  CHECK_FALSE(hand.says("living").broken());
  hand.seen.held.push_back(held(41000, 50, 1));
  CHECK(hand.says("parts").broken());
  CHECK(hand.says("living").broken());
  hand.seen.held.back().at = 20000; // the router count may still be wrong this early
  CHECK_FALSE(hand.says("living").broken());
  s.events.push_back({19000, "", model::LyingRouter{}});
  std::get<model::LyingRouter>(s.events.back().what).until_ms = 19500;
  Hand lied(s);
  lied.seen.held = {held(20000, 90, 1)};
  CHECK_FALSE(lied.says("parts").broken());
}

TEST_CASE("attempts and connections beyond their bounds are found") {
  Hand hand;
  hand.seen.work.at_caches = 2 * 4000;
  CHECK_FALSE(hand.says("attempts").broken());
  hand.seen.work.at_caches = 3 * 4000;
  CHECK(hand.says("attempts").broken());
  hand.seen.work.connections = 4500;
  CHECK(hand.says("connections").broken());
  hand.seen.work.tries = 100;
  CHECK_FALSE(hand.says("connections").judged);
}

TEST_CASE(
    "a router that still uses an endpoint all others removed is found unless it could not be notified") {
  const auto alone = [](const std::vector<model::TimedEvent>& events, double sent_at, bool tell_it) {
    model::Spec s = spec_of_hand();
    s.events = events;
    const model::Plan plan = model::make_plan(s);
    storm::Watch watch(s, plan, 4000);
    for (model::RouterId r = 0; r < 3; ++r) {
      watch.on(model::RouterEvent{0, r, model::RouterEvent::What::Started});
      watch.on(model::Told{0, r, 2, ServerState::Ready, -1, false, false});
    }
    for (model::RouterId r = 0; r < (tell_it ? 3 : 2); ++r) {
      watch.on(model::Told{10000, r, 2, ServerState::Gone, -1, false, false});
    }
    model::Arrived a;
    a.at = a.sent_at = sent_at;
    a.machine = 2;
    a.router = 2;
    watch.on(a);
    return watch.take().alone;
  };
  CHECK(alone({}, 15000, false) == 1);
  CHECK(alone({}, 12000, false) == 0); // the update may still be under way
  CHECK(alone({}, 15000, true) == 0);  // it was notified too: the rule on drains judges this
  CHECK(alone({{9000, "", model::DiscoveryOutage{14000}}}, 15000, false) == 0);
  CHECK(alone({{9000, "", model::DiscoveryMove{0, 2000}}}, 15000, false) == 0);
}
