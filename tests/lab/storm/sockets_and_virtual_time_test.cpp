// Storms on sockets compared with virtual time: the arithmetic, void runs, and one small storm on real
// processes.
#include "lab/storm/socket_comparison.h"

#include <doctest/doctest.h>

#include <array>
#include <cmath>

#include "lab/rig/rig.h"
#include "lab/virtual/virtual_driver.h"

using namespace fernward;
using namespace fernward::lab;

namespace {

model::Spec small_storm() {
  storm::StormLimits size;
  size.max_routers = 3;
  size.max_nodes = 6;
  size.max_rate_per_s = 20;
  model::Spec spec = storm::draw_storm(1, {}, size);
  model::RouterSelector first, second;
  first.routers = {0};
  second.routers = {1};
  spec.routers.sharing.enabled = true;
  spec.events = {
      {400, "", model::LoseDatagrams{first, 0.5, 0.3, 2500}},
      {600, "", model::PauseRouters{first, 1400}},
      {800, "", model::RestartRouters{second, model::RouterEnd::Kill, 600, 0, 0}},
      {1000, "", model::PartitionRouters{second, {}, true, model::PartitionedTraffic::Datagrams, 2000}},
      {1800, "", model::ReloadRouters{first}}};
  spec.duration_ms = 4000;
  return spec;
}

std::unique_ptr<Driver> virtual_driver(std::uint64_t variant) {
  return make_virtual_driver(PlantedDefect::None, variant);
}

// Reports its first runs as void because of lateness.
class LateDriver : public Driver {
 public:
  explicit LateDriver(int& void_runs_left) : void_runs_left_(void_runs_left) {}
  RunInfo run(const model::Spec& spec, model::Sink& sink, const RunControl& control) override {
    RunInfo info = make_virtual_driver()->run(spec, sink, control);
    info.is_void = void_runs_left_-- > 0;
    if (info.is_void) info.void_reasons = {"requests were sent late"};
    return info;
  }

 private:
  int& void_runs_left_;
};

const storm::Verdict& verdict(const std::vector<storm::Verdict>& all, const char* name) {
  return all[static_cast<std::size_t>(storm::find_oracle(name) - storm::oracles().data())];
}

struct RequestRecorder : model::Sink { // the requests of clients, and the arrival times of attempts
  using model::Sink::on;
  void on(const model::DrawnRequest& d) override {
    drawn_requests.push_back({d.at, static_cast<double>(d.key), d.work_ms});
  }
  void on(const model::AttemptArrived& a) override { arrival_times_ms.push_back(a.at); }
  void on(const model::EventMark& m) override { mark_times_ms.push_back(m.at); }
  std::vector<std::array<double, 3>> drawn_requests;
  std::vector<double> arrival_times_ms, mark_times_ms;
};

} // namespace

TEST_CASE("the bound is four deviations of one more run plus the tolerance") {
  const storm::Variation chance = storm::variation_of({0.8, 0.9, 1.0});
  CHECK(chance.mean == doctest::Approx(0.9));
  CHECK(chance.deviation == doctest::Approx(0.1));
  CHECK(chance.min == 0.8);
  CHECK(chance.max == 1.0);
  const double four_deviations = 0.4 * std::sqrt(1 + 1 / 3.0);
  CHECK(storm::distance(chance, 0.9 + four_deviations + 0.01, 0.01) == doctest::Approx(1));
  CHECK(storm::distance(chance, 0.9 - (four_deviations + 0.01) / 2, 0.01) == doctest::Approx(0.5));
  CHECK(storm::distance(chance, 0.9, 0) == doctest::Approx(0));
  // If all runs are equal, the bound is the tolerance alone; with tolerance 0 any difference is beyond it.
  const storm::Variation none = storm::variation_of({1, 1, 1, 1});
  CHECK(none.deviation == 0);
  CHECK(storm::distance(none, 0.99, 0.01) == doctest::Approx(1));
  CHECK(storm::distance(none, 0.99, 0) > 1e9);
  CHECK(storm::distance(none, 1, 0) == 0);
  CHECK(storm::variation_of({}).runs == 0);
}

TEST_CASE("another chance variant has the same requests and faults and variant 0 is the default") {
  const model::Spec spec = small_storm();
  RequestRecorder usual, again, other, third;
  make_virtual_driver()->run(spec, usual);
  virtual_driver(0)->run(spec, again);
  virtual_driver(1)->run(spec, other);
  virtual_driver(2)->run(spec, third);
  CHECK(usual.drawn_requests.size() > 20);
  CHECK(usual.mark_times_ms.size() == 2 * spec.events.size());
  for (const RequestRecorder* a : {&again, &other, &third}) {
    CHECK(a->drawn_requests == usual.drawn_requests);
    CHECK(a->mark_times_ms == usual.mark_times_ms);
  }
  CHECK(again.arrival_times_ms == usual.arrival_times_ms);
  CHECK(other.arrival_times_ms != usual.arrival_times_ms);
  CHECK(other.arrival_times_ms != third.arrival_times_ms);
}

TEST_CASE("a void run is reported and repeated at most as often as configured") {
  int void_runs_left = 2;
  storm::ComparisonSetup besides{[&] { return std::make_unique<LateDriver>(void_runs_left); }, virtual_driver,
                                 4, 3};
  const storm::StormComparison third = storm::compare_with_sockets(besides, small_storm());
  CHECK(third.judged);
  CHECK(third.void_reasons.size() == 2);
  CHECK(third.agrees()); // both sides use the same driver
  void_runs_left = 9;
  const storm::StormComparison always_void = storm::compare_with_sockets(besides, small_storm());
  CHECK_FALSE(always_void.judged);
  CHECK(always_void.void_reasons.size() == 3);
  CHECK(storm::comparison_text(always_void).find("requests were sent late") != std::string::npos);
  const storm::Agreement a = storm::agreement_of({third, always_void});
  CHECK(a.judged == 1);
  CHECK(a.agreeing == 1);
  CHECK(a.void_count == 1);
  CHECK_FALSE(a.all_agree());
  CHECK(storm::agreement_of({third}).all_agree());
}

TEST_CASE("a figure beyond the bound or a sure oracle broken on one side fails the agreement") {
  storm::StormComparison differing_pair;
  differing_pair.judged = true;
  differing_pair.figures = {{{"service", 0.8, 0.01}, {0.9, 0.01, 0.88, 0.92, 16}, 2},
                            {{"hits", 0.8, 0.01}, {0.8, 0, 0.8, 0.8, 16}, 0}};
  differing_pair.max_distance = 2;
  storm::Agreement a = storm::agreement_of({differing_pair});
  CHECK(a.agreeing == 0);
  CHECK(a.max_distance == 2);
  CHECK(a.wide_bounds == 1); // four deviations plus a tolerance of one point exceed 5 points
  CHECK(a.max_service_points == doctest::Approx(10));
  CHECK_FALSE(a.all_agree());
  differing_pair.max_distance = 0.5;
  CHECK(storm::agreement_of({differing_pair}).all_agree());
  differing_pair.on_sockets.resize(storm::oracles().size());
  differing_pair.on_sockets[0].distance = 1; // one-answer
  a = storm::agreement_of({differing_pair});
  CHECK(a.broken == 1);
  CHECK_FALSE(a.all_agree());
}

// Checks only what holds on a busy machine: never service or times.
TEST_CASE("a small storm on real processes keeps the rules that do not depend on lateness") {
  storm::ComparisonSetup besides;
  besides.make_sockets_driver = [] {
    RigOptions options;
    options.program = FERNWARD_PROGRAM;
    options.max_late_p99_ms = options.max_late_p999_ms = 1e9;
    options.enforce_memory_limit = false;
    return make_rig_driver(options);
  };
  besides.make_virtual_driver = virtual_driver;
  besides.extra_virtual_runs = 2;
  besides.max_socket_runs = 1;
  const storm::StormComparison pair = storm::compare_with_sockets(besides, small_storm());
  REQUIRE(pair.judged);
  for (const char* rule : {"one-answer", "repeats", "genuine", "alive", "accounts"}) {
    INFO(rule);
    CHECK(verdict(pair.in_virtual, rule).judged);
    CHECK(verdict(pair.on_sockets, rule).judged);
    CHECK_FALSE(verdict(pair.in_virtual, rule).broken());
    CHECK_FALSE(verdict(pair.on_sockets, rule).broken());
  }
  CHECK(pair.figures.size() == 4 + pair.spec.classes.size());
  CHECK(pair.figures.front().on_sockets.value > 0);
}
