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
  storm::StormLimits limits;
  limits.max_routers = 3;
  limits.max_nodes = 6;
  limits.max_rate_per_s = 20;
  model::Spec spec = storm::draw_storm(1, {}, limits);
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

std::unique_ptr<Driver> virtual_driver(std::uint64_t variation) {
  return make_virtual_driver(PlantedDefect::None, variation);
}

// Reports the first runs as void because of lateness.
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

const storm::Verdict& verdict(const std::vector<storm::Verdict>& verdicts, const char* name) {
  return verdicts[static_cast<std::size_t>(storm::find_oracle(name) - storm::oracles().data())];
}

struct RequestRecorder : model::Sink { // drawn requests, arrival times of attempts, and times of events
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

TEST_CASE("the bound is four standard deviations of one further run plus the allowance") {
  const storm::Variation variation = storm::variation_of({0.8, 0.9, 1.0});
  CHECK(variation.mean == doctest::Approx(0.9));
  CHECK(variation.deviation == doctest::Approx(0.1));
  CHECK(variation.min == 0.8);
  CHECK(variation.max == 1.0);
  const double four_deviations = 0.4 * std::sqrt(1 + 1 / 3.0);
  CHECK(storm::distance(variation, 0.9 + four_deviations + 0.01, 0.01) == doctest::Approx(1));
  CHECK(storm::distance(variation, 0.9 - (four_deviations + 0.01) / 2, 0.01) == doctest::Approx(0.5));
  CHECK(storm::distance(variation, 0.9, 0) == doctest::Approx(0));
  // If all runs are equal, the bound is the allowance alone; with allowance 0 any difference is beyond it.
  const storm::Variation no_variation = storm::variation_of({1, 1, 1, 1});
  CHECK(no_variation.deviation == 0);
  CHECK(storm::distance(no_variation, 0.99, 0.01) == doctest::Approx(1));
  CHECK(storm::distance(no_variation, 0.99, 0) > 1e9);
  CHECK(storm::distance(no_variation, 1, 0) == 0);
  CHECK(storm::variation_of({}).runs == 0);
}

TEST_CASE("another variation has the same requests and faults and variation 0 is the default") {
  const model::Spec spec = small_storm();
  RequestRecorder default_run, variation_0, variation_1, variation_2;
  make_virtual_driver()->run(spec, default_run);
  virtual_driver(0)->run(spec, variation_0);
  virtual_driver(1)->run(spec, variation_1);
  virtual_driver(2)->run(spec, variation_2);
  CHECK(default_run.drawn_requests.size() > 20);
  CHECK(default_run.mark_times_ms.size() == 2 * spec.events.size());
  for (const RequestRecorder* recorder : {&variation_0, &variation_1, &variation_2}) {
    CHECK(recorder->drawn_requests == default_run.drawn_requests);
    CHECK(recorder->mark_times_ms == default_run.mark_times_ms);
  }
  CHECK(variation_0.arrival_times_ms == default_run.arrival_times_ms);
  CHECK(variation_1.arrival_times_ms != default_run.arrival_times_ms);
  CHECK(variation_1.arrival_times_ms != variation_2.arrival_times_ms);
}

TEST_CASE("a void run is reported and repeated at most as often as configured") {
  int void_runs_left = 2;
  storm::ComparisonSetup setup{[&] { return std::make_unique<LateDriver>(void_runs_left); }, virtual_driver,
                               4, 3};
  const storm::StormComparison third_valid = storm::compare_with_sockets(setup, small_storm());
  CHECK(third_valid.judged);
  CHECK(third_valid.void_reasons.size() == 2);
  CHECK(third_valid.agrees()); // both sides use the same driver
  void_runs_left = 9;
  const storm::StormComparison always_void = storm::compare_with_sockets(setup, small_storm());
  CHECK_FALSE(always_void.judged);
  CHECK(always_void.void_reasons.size() == 3);
  CHECK(storm::comparison_text(always_void).find("requests were sent late") != std::string::npos);
  const storm::Agreement agreement = storm::agreement_of({third_valid, always_void});
  CHECK(agreement.judged == 1);
  CHECK(agreement.agreeing == 1);
  CHECK(agreement.void_count == 1);
  CHECK_FALSE(agreement.all_agree());
  CHECK(storm::agreement_of({third_valid}).all_agree());
}

TEST_CASE("a figure beyond the bound or a certain oracle broken on one side fails the agreement") {
  storm::StormComparison comparison;
  comparison.judged = true;
  comparison.figures = {{{"service", 0.8, 0.01}, {0.9, 0.01, 0.88, 0.92, 16}, 2},
                        {{"hits", 0.8, 0.01}, {0.8, 0, 0.8, 0.8, 16}, 0}};
  comparison.max_distance = 2;
  storm::Agreement agreement = storm::agreement_of({comparison});
  CHECK(agreement.agreeing == 0);
  CHECK(agreement.max_distance == 2);
  // Four standard deviations plus an allowance of one point exceed 5 points.
  CHECK(agreement.wide_bounds == 1);
  CHECK(agreement.max_service_points == doctest::Approx(10));
  CHECK_FALSE(agreement.all_agree());
  comparison.max_distance = 0.5;
  CHECK(storm::agreement_of({comparison}).all_agree());
  comparison.on_sockets.resize(storm::oracles().size());
  comparison.on_sockets[0].distance = 1; // one-answer
  agreement = storm::agreement_of({comparison});
  CHECK(agreement.broken == 1);
  CHECK_FALSE(agreement.all_agree());
}

// Checks only what holds on a busy machine: never service or times.
TEST_CASE("a small storm on real processes keeps the oracles that do not depend on lateness") {
  storm::ComparisonSetup setup;
  setup.make_sockets_driver = [] {
    RigOptions options;
    options.program = FERNWARD_PROGRAM;
    options.max_late_p99_ms = options.max_late_p999_ms = 1e9;
    options.enforce_memory_limit = false;
    return make_rig_driver(options);
  };
  setup.make_virtual_driver = virtual_driver;
  setup.extra_virtual_runs = 2;
  setup.max_socket_runs = 1;
  const storm::StormComparison comparison = storm::compare_with_sockets(setup, small_storm());
  REQUIRE(comparison.judged);
  for (const char* oracle : {"one-answer", "repeats", "genuine", "alive", "accounts"}) {
    INFO(oracle);
    CHECK(verdict(comparison.in_virtual, oracle).judged);
    CHECK(verdict(comparison.on_sockets, oracle).judged);
    CHECK_FALSE(verdict(comparison.in_virtual, oracle).broken());
    CHECK_FALSE(verdict(comparison.on_sockets, oracle).broken());
  }
  CHECK(comparison.figures.size() == 4 + comparison.spec.classes.size());
  CHECK(comparison.figures.front().on_sockets.value > 0);
}
