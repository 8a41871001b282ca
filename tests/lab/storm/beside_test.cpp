// Storms on sockets compared with virtual time: the arithmetic, void runs, and one small storm on real
// processes.
#include "lab/storm/beside.h"

#include <doctest/doctest.h>

#include <array>
#include <cmath>

#include "lab/rig/rig.h"
#include "lab/virtual/virtual.h"

using namespace fernward;
using namespace fernward::lab;

namespace {

model::Spec small_storm() {
  storm::Size size;
  size.most_routers = 3;
  size.most_nodes = 6;
  size.most_rate = 20;
  model::Spec spec = storm::draw(1, {}, size);
  model::RouterPick first, second;
  first.routers = {0};
  second.routers = {1};
  spec.routers.sharing.on = true;
  spec.events = {{400, "", model::LoseDatagrams{first, 0.5, 0.3, 2500}},
                 {600, "", model::PauseRouters{first, 1400}},
                 {800, "", model::RestartRouters{second, model::RouterEnd::Kill, 600, 0, 0}},
                 {1000, "", model::CutRouters{second, {}, true, model::CutWhat::Datagrams, 2000}},
                 {1800, "", model::ReloadRouters{first}}};
  spec.duration_ms = 4000;
  return spec;
}

std::unique_ptr<Driver> in_virtual(std::uint64_t chance) {
  return make_virtual_driver(Planted::None, chance);
}

// Reports its first runs as void because of lateness.
class Late : public Driver {
 public:
  explicit Late(int& left) : left_(left) {}
  RunInfo run(const model::Spec& spec, model::Sink& sink, const RunControl& control) override {
    RunInfo info = make_virtual_driver()->run(spec, sink, control);
    info.is_void = left_-- > 0;
    if (info.is_void) info.why_void = {"requests were sent late"};
    return info;
  }

 private:
  int& left_;
};

const storm::Verdict& verdict(const std::vector<storm::Verdict>& all, const char* name) {
  return all[static_cast<std::size_t>(storm::find_oracle(name) - storm::oracles().data())];
}

struct Asked : model::Sink { // the requests of clients, and the arrival times of attempts
  using model::Sink::on;
  void on(const model::Drawn& d) override { drawn.push_back({d.at, static_cast<double>(d.key), d.work_ms}); }
  void on(const model::Arrived& a) override { arrived.push_back(a.at); }
  void on(const model::Mark& m) override { marks.push_back(m.at); }
  std::vector<std::array<double, 3>> drawn;
  std::vector<double> arrived, marks;
};

} // namespace

TEST_CASE("the bound is four deviations of one more run plus the tolerance") {
  const storm::Chance chance = storm::chance_of({0.8, 0.9, 1.0});
  CHECK(chance.mean == doctest::Approx(0.9));
  CHECK(chance.deviation == doctest::Approx(0.1));
  CHECK(chance.least == 0.8);
  CHECK(chance.most == 1.0);
  const double four = 0.4 * std::sqrt(1 + 1 / 3.0);
  CHECK(storm::distance(chance, 0.9 + four + 0.01, 0.01) == doctest::Approx(1));
  CHECK(storm::distance(chance, 0.9 - (four + 0.01) / 2, 0.01) == doctest::Approx(0.5));
  CHECK(storm::distance(chance, 0.9, 0) == doctest::Approx(0));
  // If all runs are equal, the bound is the tolerance alone; with tolerance 0 any difference is beyond it.
  const storm::Chance none = storm::chance_of({1, 1, 1, 1});
  CHECK(none.deviation == 0);
  CHECK(storm::distance(none, 0.99, 0.01) == doctest::Approx(1));
  CHECK(storm::distance(none, 0.99, 0) > 1e9);
  CHECK(storm::distance(none, 1, 0) == 0);
  CHECK(storm::chance_of({}).plays == 0);
}

TEST_CASE("another chance variant has the same requests and faults and variant 0 is the default") {
  const model::Spec spec = small_storm();
  Asked usual, again, other, third;
  make_virtual_driver()->run(spec, usual);
  in_virtual(0)->run(spec, again);
  in_virtual(1)->run(spec, other);
  in_virtual(2)->run(spec, third);
  CHECK(usual.drawn.size() > 20);
  CHECK(usual.marks.size() == 2 * spec.events.size());
  for (const Asked* a : {&again, &other, &third}) {
    CHECK(a->drawn == usual.drawn);
    CHECK(a->marks == usual.marks);
  }
  CHECK(again.arrived == usual.arrived);
  CHECK(other.arrived != usual.arrived);
  CHECK(other.arrived != third.arrived);
}

TEST_CASE("a void run is reported and repeated at most as often as configured") {
  int left = 2;
  storm::Besides besides{[&] { return std::make_unique<Late>(left); }, in_virtual, 4, 3};
  const storm::Pair third = storm::play_beside(besides, small_storm());
  CHECK(third.judged);
  CHECK(third.voided.size() == 2);
  CHECK(third.agrees()); // both sides use the same driver
  left = 9;
  const storm::Pair never = storm::play_beside(besides, small_storm());
  CHECK_FALSE(never.judged);
  CHECK(never.voided.size() == 3);
  CHECK(storm::pair_text(never).find("requests were sent late") != std::string::npos);
  const storm::Agreement a = storm::agreement_of({third, never});
  CHECK(a.judged == 1);
  CHECK(a.agree == 1);
  CHECK(a.voided == 1);
  CHECK_FALSE(a.well());
  CHECK(storm::agreement_of({third}).well());
}

TEST_CASE("a figure beyond the bound or a sure oracle broken on one side fails the agreement") {
  storm::Pair apart;
  apart.judged = true;
  apart.figures = {{{"service", 0.8, 0.01}, {0.9, 0.01, 0.88, 0.92, 16}, 2},
                   {{"hits", 0.8, 0.01}, {0.8, 0, 0.8, 0.8, 16}, 0}};
  apart.furthest = 2;
  storm::Agreement a = storm::agreement_of({apart});
  CHECK(a.agree == 0);
  CHECK(a.worst == 2);
  CHECK(a.wide == 1); // four deviations plus a tolerance of one point exceed 5 points
  CHECK(a.worst_points == doctest::Approx(10));
  CHECK_FALSE(a.well());
  apart.furthest = 0.5;
  CHECK(storm::agreement_of({apart}).well());
  apart.on_sockets.resize(storm::oracles().size());
  apart.on_sockets[0].distance = 1; // one-answer
  a = storm::agreement_of({apart});
  CHECK(a.broke == 1);
  CHECK_FALSE(a.well());
}

// Checks only what holds on a busy machine: never service or times.
TEST_CASE("a small storm on real processes keeps the rules that do not depend on lateness") {
  storm::Besides besides;
  besides.sockets = [] {
    RigOptions options;
    options.program = FERNWARD_PROGRAM;
    options.late_p99_ms = options.late_p999_ms = 1e9;
    options.check_memory = false;
    return make_rig_driver(options);
  };
  besides.in_virtual = in_virtual;
  besides.plays = 2;
  besides.tries = 1;
  const storm::Pair pair = storm::play_beside(besides, small_storm());
  REQUIRE(pair.judged);
  for (const char* rule : {"one-answer", "repeats", "genuine", "alive", "accounts"}) {
    INFO(rule);
    CHECK(verdict(pair.in_virtual, rule).judged);
    CHECK(verdict(pair.on_sockets, rule).judged);
    CHECK_FALSE(verdict(pair.in_virtual, rule).broken());
    CHECK_FALSE(verdict(pair.on_sockets, rule).broken());
  }
  CHECK(pair.figures.size() == 4 + pair.spec.classes.size());
  CHECK(pair.figures.front().sockets.value > 0);
}
