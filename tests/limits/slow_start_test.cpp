#include "limits/slow_start.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace fernward;
using limits::SlowStart;

namespace {

struct Member {
  Server entry;
  limits::StartPart part;
  double warmth = 1;
};

Settings told() {
  Settings s;
  s.tip_after_ms = 2000;
  s.fall_multiple = 3;
  return s;
}

// A router with four warm servers and a cold one; `hits` of warm ones and `wanted` of the cold one in each tick.
struct Router {
  explicit Router(double draw) : start(draw, 100) {
    for (ServerId id = 1; id <= 5; ++id) members[id] = {};
    members[5].warmth = 0.5;
    members[5].part = start.part();
  }
  int tick(double hits, int wanted) {
    owed += hits;
    for (; owed >= 1; --owed) start.hit(false);
    start.tick(members, told(), [](const Member& m) { return m.warmth; });
    int sent = 0;
    for (int i = 0; i < wanted; ++i) {
      if (!start.allows(members[5].part)) continue;
      start.sent(members[5].part);
      ++sent;
    }
    return sent;
  }
  SlowStart start;
  std::map<ServerId, Member> members;
  double owed = 0;
};

// Whoever sends as much as it is let, `routers` of them, `per_tick` hits of all warm servers together: the most that
// comes to the cold server within any two seconds, as a share of what settings allow one that can do what a warm one
// answers.
double most_within_window(int routers, double per_tick, int lives = 1) {
  Random random{7};
  std::vector<double> came;
  std::vector<Router> all;
  for (int life = 0; life < lives; ++life) {
    all.clear();
    for (int n = 0; n < routers; ++n) all.emplace_back(random.unit());
    for (Router& r : all) r.owed = random.unit();
    for (int t = 0; t < 100; ++t) {
      came.push_back(0);
      for (Router& r : all) {
        const bool known = r.start.known();
        const int sent = r.tick(per_tick / routers, 20);
        if (known) came.back() += sent;
      }
    }
  }
  double most = 0, sum = 0;
  for (std::size_t i = 0; i < came.size(); ++i) {
    sum += came[i] - (i >= 20 ? came[i - 20] : 0);
    most = std::max(most, sum);
  }
  return most / (told().fall_multiple * 0.5 * per_tick / 4 * 20);
}

} // namespace

TEST_CASE("what all routers let a cold server have stays below what settings allow, for few and many") {
  for (const int routers : {1, 4, 30, 300}) {
    CAPTURE(routers);
    CHECK(most_within_window(routers, 40) <= 1.05);
    CHECK(most_within_window(routers, 40) > 0.5);
  }
}

TEST_CASE("routers that start again get no more for it") { CHECK(most_within_window(4, 40, 5) <= 1.1); }

TEST_CASE("before a warm server answered, and where nothing falls over, nothing is bounded") {
  Router fresh(0.2);
  CHECK(fresh.tick(0, 7) == 7);
  Settings s = told();
  s.tip_after_ms = 0;
  fresh.start.hit(false);
  fresh.start.tick(fresh.members, s, [](const Member& m) { return m.warmth; });
  CHECK(fresh.start.allows(fresh.members[5].part));
}

TEST_CASE("a cold server's own answers do not raise its part") {
  Router r(0);
  for (int i = 0; i < 100; ++i) r.tick(4, 0);
  int before = 0, after = 0;
  for (int i = 0; i < 50; ++i) before += r.tick(4, 20);
  for (int i = 0; i < 50; ++i) {
    for (int k = 0; k < 100; ++k) r.start.hit(true);
    after += r.tick(4, 20);
  }
  CHECK(after <= before);
}

TEST_CASE("a heavier server gets more, but where weights tell of load") {
  for (const WeightKind kind : {WeightKind::Rough, WeightKind::Live}) {
    Router r(0);
    r.members[5].entry.weight = 4;
    Settings s = told();
    s.weight_kind = kind;
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      for (int k = 0; k < 4; ++k) r.start.hit(false);
      r.start.tick(r.members, s, [](const Member& m) { return m.warmth; });
      for (; r.start.allows(r.members[5].part); ++sent) r.start.sent(r.members[5].part);
    }
    CHECK(sent == doctest::Approx(kind == WeightKind::Live ? 100 : 400).epsilon(0.05));
  }
}
