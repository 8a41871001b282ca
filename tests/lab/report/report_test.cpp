// Runs through the Driver interface: judged, compared in pairs, saved and reported.
#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/experiment/run_parallel.h"
#include "lab/experiment/summary.h"
#include "lab/report/files.h"
#include "lab/report/html.h"
#include "lab/scenario/read.h"
#include "lab/virtual/virtual_driver.h"

using namespace fernward::lab;
namespace model = fernward::model;
namespace fs = std::filesystem;

namespace {

model::Spec short_spec(const std::string& setting = "") {
  const std::string path = std::string(FERNWARD_SOURCE_DIR) + "/tests/corpus/lab/fleet.toml";
  Scenario scenario = read_scenario_file(path);
  set_values(scenario, {"duration=4s"});
  REQUIRE(scenario.is_valid());
  if (!setting.empty()) set_values(scenario, {setting});
  REQUIRE(scenario.is_valid());
  return scenario.spec;
}

// Sends the records of one served request, without a fleet.
class ScriptedDriver : public Driver {
 public:
  explicit ScriptedDriver(RunInfo info) : info_(std::move(info)) {}
  RunInfo run(const model::Spec&, model::Sink& sink, const RunControl& control) override {
    model::DrawnRequest drawn;
    drawn.request = 1;
    drawn.priority_weight = 1;
    drawn.latency_objective_ms = 100;
    sink.on(drawn);
    model::TrySent tried;
    tried.request = tried.try_id = 1;
    tried.accepted = true;
    tried.deadline = 1000;
    sink.on(tried);
    if (info_.stopped) return info_;
    model::TryEnded answered;
    answered.request = answered.try_id = 1;
    answered.at = 50;
    sink.on(answered);
    model::RequestEnded closed;
    closed.request = 1;
    closed.at = closed.latency_ms = 50;
    closed.earned_weight = 1;
    sink.on(closed);
    if (control.progress) control.progress(5000);
    if (control.progress) control.progress(5100);
    return info_;
  }

 private:
  const RunInfo info_;
};

struct TemporaryFolder {
  TemporaryFolder() {
    char name[] = "/tmp/fernward-test-XXXXXX";
    path = mkdtemp(name);
  }
  ~TemporaryFolder() { fs::remove_all(path); }
  fs::path path;
};

std::string read_file(const fs::path& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::size_t count_of(const std::string& text, const std::string& pattern) {
  std::size_t count = 0;
  for (std::size_t position = text.find(pattern); position != std::string::npos;
       position = text.find(pattern, position + 1))
    ++count;
  return count;
}

} // namespace

TEST_CASE("a run counts unless it is void or stopped and a missed bound makes it bad") {
  const model::Spec spec = short_spec();
  RunInfo complete, late, stopped;
  late.is_void = true;
  late.void_reasons = {"requests were sent late"};
  stopped.stopped = true;
  const struct {
    RunInfo info;
    bool good;
    const char* verdict;
  } cases[] = {{complete, true, "GOOD"}, {late, false, "VOID"}, {stopped, false, "STOPPED"}};
  for (const auto& c : cases) {
    ScriptedDriver driver(c.info);
    int callback_count = 0;
    const ExperimentResult result =
        run_experiment(driver, "sockets", spec, 0, {}, [&](const RunStats& stats) {
          ++callback_count;
          CHECK(stats.total().request_stats.served() == 1);
        });
    CHECK(result.passed() == c.good);
    CHECK(verdict_text(result).starts_with(c.verdict));
    CHECK(callback_count == (c.info.stopped ? 0 : 1));
    CHECK(result.check_result.rules[static_cast<std::size_t>(Rule::OneFinalResponse)].violation_count == 0);
  }
  model::Spec strict = spec;
  model::Bound bound;
  bound.at_least = 1.1;
  strict.expectations.bounds = {bound};
  ScriptedDriver driver(complete);
  const ExperimentResult result = run_experiment(driver, "virtual", strict, 0);
  CHECK_FALSE(result.passed());
  CHECK(verdict_text(result) == "BAD: 1 bound does not hold");
  CHECK(summary_text(result).find("MISSED  service: 100.00%, expected at least 110.00%") !=
        std::string::npos);
}

TEST_CASE("two runs in virtual time give equal results also after saving and loading") {
  const model::Spec spec = short_spec();
  const auto run_once = [&] {
    return run_experiment(*make_virtual_driver(), "virtual", spec, virtual_time_slack_ms(spec));
  };
  const ExperimentResult first = run_once(), second = run_once();
  CHECK(to_json(first.stats) == to_json(second.stats));
  CHECK(first.passed());
  CHECK(first.stats.total().request_stats.drawn > 700);
  const ExperimentResult restored = result_from_json(to_json(first));
  CHECK(to_json(restored) == to_json(first));
  CHECK(read_scenario(restored.scenario_toml, "again.toml").is_valid());

  auto changed = to_json(first);
  changed["version"] = 99;
  CHECK_THROWS(result_from_json(changed));
  changed = to_json(first);
  changed["findings"]["rules"][0]["rule"] = "other";
  CHECK_THROWS(result_from_json(changed));
  changed = to_json(first);
  changed["figures"].erase("slices");
  CHECK_THROWS(result_from_json(changed));
  CHECK_THROWS(result_from_json(nlohmann::json::array()));
}

TEST_CASE("the files of a run are a page with embedded plots and tables and the saved run") {
  const TemporaryFolder folder;
  model::Spec spec = short_spec();
  spec.title = "<b>a title</b>";
  spec.events.push_back({1000, "neighbour", model::NoisyNeighbour{{}, 0.5, 2000, 0, 0}});
  const ExperimentResult result =
      run_experiment(*make_virtual_driver(), "virtual", spec, virtual_time_slack_ms(spec));
  const ReportFiles written = write_files(result, folder.path / "out");
  CHECK(written.without_plots == "");
  const std::string page = read_file(written.report);
  CHECK(count_of(page, "<svg") == 6);
  CHECK(count_of(page, "</svg>") == 6);
  CHECK(page.find("&lt;b&gt;a title") != std::string::npos);
  CHECK(page.find("<b>a title") == std::string::npos);
  CHECK(page.find("http://") == page.find("http://www.w3.org")); // the page loads nothing from the network
  CHECK(count_of(read_file(folder.path / "out/seconds.csv"), "\n") == result.stats.slices.size() + 1);
  const ExperimentResult restored = load_result(folder.path / "out/run.json");
  CHECK(restored.stats.total().request_stats.drawn == result.stats.total().request_stats.drawn);
  std::ofstream(folder.path / "broken.json") << "{\"format\": 3";
  CHECK_THROWS_WITH_AS(load_result(folder.path / "broken.json"), doctest::Contains("broken.json"),
                       std::runtime_error);
  CHECK_THROWS_WITH_AS(load_result(folder.path / "none.json"), doctest::Contains("none.json"),
                       std::runtime_error);
  CHECK_THROWS(write_files(result, folder.path / "broken.json" / "below a file"));

  // If gnuplot is missing or fails, the page reports it and still has the tables.
  for (const char* program : {"/nowhere/gnuplot", "/bin/false", "/bin/true"}) {
    const Plots no_plots = draw_plots(result.stats, program);
    CHECK(no_plots.plots.empty());
    CHECK(no_plots.error.find(program) != std::string::npos);
    const std::string page_without_plots = html_report(result, no_plots);
    CHECK(page_without_plots.find("There are no plots: " + std::string(program)) != std::string::npos);
    CHECK(count_of(page_without_plots, "<svg") == 0);
    CHECK(page_without_plots.find("By tenant") != std::string::npos);
  }
}

TEST_CASE("a paired difference has Student's confidence interval and needs more than one pair") {
  // Differences 1, 2, 3, 4, 5: mean 3, deviation 1.5811, t(4, 97.5%) = 2.7764.
  const PairedComparison paired = compare_pairs({0, 0, 0, 0, 0}, {1, 2, 3, 4, 5});
  CHECK(paired.mean_difference == doctest::Approx(3));
  CHECK(paired.confidence_low == doctest::Approx(3 - 2.77645 * 1.581139 / 2.236068).epsilon(1e-4));
  CHECK(paired.confidence_high == doctest::Approx(3 + 2.77645 * 1.581139 / 2.236068).epsilon(1e-4));
  CHECK(paired.direction == PairedComparison::Direction::Higher);
  CHECK(compare_pairs({1, 2, 3, 4, 5}, {0, 0, 0, 0, 0}).direction == PairedComparison::Direction::Lower);
  CHECK(compare_pairs({1, 2, 3}, {2, 1, 3}).direction == PairedComparison::Direction::Undetermined);
  CHECK(compare_pairs({1}, {9}).direction == PairedComparison::Direction::Undetermined);
  CHECK_THROWS(compare_pairs({1, 2}, {1}));
}

TEST_CASE("parallel runs are each done once with progress in order until a failure or a stop request") {
  for (const unsigned jobs : {1u, 4u}) {
    std::vector<int> run_counts(100);
    std::size_t last_finished = 0;
    run_parallel(
        100, jobs, {}, [&](std::size_t i) { ++run_counts[i]; },
        [&](std::size_t finished) {
          CHECK(finished == last_finished + 1);
          last_finished = finished;
        });
    CHECK(std::all_of(run_counts.begin(), run_counts.end(), [](int n) { return n == 1; }));
    const auto run_with_failures = [&] {
      run_parallel(
          50, jobs, {},
          [](std::size_t i) {
            if (i % 10 == 7) throw std::runtime_error(std::to_string(i));
          },
          [](std::size_t) {});
    };
    CHECK_THROWS_WITH(run_with_failures(), "7");
    std::stop_source stop;
    std::atomic<int> started_count = 0;
    run_parallel(
        1000, jobs, stop.get_token(),
        [&](std::size_t) {
          if (++started_count == 10) stop.request_stop();
        },
        [](std::size_t) {});
    CHECK(started_count < 1000);
  }
}
