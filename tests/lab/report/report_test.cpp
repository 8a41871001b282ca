// Runs through the Driver interface: judged, compared in pairs, saved and reported.
#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/experiment/many.h"
#include "lab/experiment/summary.h"
#include "lab/report/files.h"
#include "lab/report/html.h"
#include "lab/scenario/read.h"
#include "lab/virtual/virtual.h"

using namespace fernward::lab;
namespace model = fernward::model;
namespace fs = std::filesystem;

namespace {

model::Spec small(const std::string& more = "") {
  const std::string path = std::string(FERNWARD_SOURCE_DIR) + "/tests/corpus/lab/fleet.toml";
  Scenario s = read_scenario_file(path);
  set_values(s, {"duration=4s"});
  REQUIRE(s.sound());
  if (!more.empty()) set_values(s, {more});
  REQUIRE(s.sound());
  return s.spec;
}

// Sends the records of one served request, without a fleet.
class Told : public Driver {
 public:
  explicit Told(RunInfo info) : info_(std::move(info)) {}
  RunInfo run(const model::Spec&, model::Sink& sink, const RunControl& control) override {
    model::Drawn d;
    d.request = 1;
    d.worth = 1;
    d.aim_ms = 100;
    sink.on(d);
    model::Tried t;
    t.request = t.try_id = 1;
    t.taken = true;
    t.deadline = 1000;
    sink.on(t);
    if (info_.stopped) return info_;
    model::Answered a;
    a.request = a.try_id = 1;
    a.at = 50;
    sink.on(a);
    model::Closed c;
    c.request = 1;
    c.at = c.latency_ms = 50;
    c.earned = 1;
    sink.on(c);
    if (control.progress) control.progress(5000);
    if (control.progress) control.progress(5100);
    return info_;
  }

 private:
  const RunInfo info_;
};

struct Folder {
  Folder() {
    char name[] = "/tmp/fernward-test-XXXXXX";
    path = mkdtemp(name);
  }
  ~Folder() { fs::remove_all(path); }
  fs::path path;
};

std::string text_of(const fs::path& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::size_t times(const std::string& text, const std::string& part) {
  std::size_t n = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++n;
  return n;
}

} // namespace

TEST_CASE("a run counts unless it is void or stopped and a missed bound makes it bad") {
  const model::Spec spec = small();
  RunInfo fine, late, stopped;
  late.is_void = true;
  late.why_void = {"requests were sent late"};
  stopped.stopped = true;
  const struct {
    RunInfo info;
    bool good;
    const char* verdict;
  } cases[] = {{fine, true, "GOOD"}, {late, false, "VOID"}, {stopped, false, "STOPPED"}};
  for (const auto& c : cases) {
    Told driver(c.info);
    int quiet = 0;
    const Result r = play(driver, "sockets", spec, 0, {}, [&](const Figures& f) {
      ++quiet;
      CHECK(f.whole().tally.served() == 1);
    });
    CHECK(r.good() == c.good);
    CHECK(verdict_text(r).starts_with(c.verdict));
    CHECK(quiet == (c.info.stopped ? 0 : 1));
    CHECK(r.findings.rules[static_cast<std::size_t>(Rule::OneAnswer)].breaches == 0);
  }
  model::Spec strict = spec;
  model::Bound bound;
  bound.at_least = 1.1;
  strict.holds.bounds = {bound};
  Told driver(fine);
  const Result r = play(driver, "virtual", strict, 0);
  CHECK_FALSE(r.good());
  CHECK(verdict_text(r) == "BAD: 1 bound does not hold");
  CHECK(summary_text(r).find("MISSED  service: 100.00%, wanted at least 110.00%") != std::string::npos);
}

TEST_CASE("two runs in virtual time give equal results also after saving and loading") {
  const model::Spec spec = small();
  const auto once = [&] { return play(*make_virtual_driver(), "virtual", spec, virtual_slack(spec)); };
  const Result first = once(), second = once();
  CHECK(to_json(first.figures) == to_json(second.figures));
  CHECK(first.good());
  CHECK(first.figures.whole().tally.drawn > 700);
  const Result back = result_from(to_json(first));
  CHECK(to_json(back) == to_json(first));
  CHECK(read_scenario(back.scenario, "again.toml").sound());

  auto other = to_json(first);
  other["version"] = 99;
  CHECK_THROWS(result_from(other));
  other = to_json(first);
  other["findings"]["rules"][0]["rule"] = "other";
  CHECK_THROWS(result_from(other));
  other = to_json(first);
  other["figures"].erase("slices");
  CHECK_THROWS(result_from(other));
  CHECK_THROWS(result_from(nlohmann::json::array()));
}

TEST_CASE("the files of a run are a page with embedded plots and tables and the saved run") {
  const Folder folder;
  model::Spec spec = small();
  spec.title = "<b>a title</b>";
  spec.events.push_back({1000, "neighbour", model::Neighbour{{}, 0.5, 2000, 0, 0}});
  const Result r = play(*make_virtual_driver(), "virtual", spec, virtual_slack(spec));
  const Written written = write_files(r, folder.path / "out");
  CHECK(written.without_plots == "");
  const std::string page = text_of(written.report);
  CHECK(times(page, "<svg") == 6);
  CHECK(times(page, "</svg>") == 6);
  CHECK(page.find("&lt;b&gt;a title") != std::string::npos);
  CHECK(page.find("<b>a title") == std::string::npos);
  CHECK(page.find("http://") == page.find("http://www.w3.org")); // the page loads nothing from the network
  CHECK(times(text_of(folder.path / "out/seconds.csv"), "\n") == r.figures.slices.size() + 1);
  const Result back = load_result(folder.path / "out/run.json");
  CHECK(back.figures.whole().tally.drawn == r.figures.whole().tally.drawn);
  std::ofstream(folder.path / "broken.json") << "{\"format\": 3";
  CHECK_THROWS_WITH_AS(load_result(folder.path / "broken.json"), doctest::Contains("broken.json"),
                       std::runtime_error);
  CHECK_THROWS_WITH_AS(load_result(folder.path / "none.json"), doctest::Contains("none.json"),
                       std::runtime_error);
  CHECK_THROWS(write_files(r, folder.path / "broken.json" / "below a file"));

  // If gnuplot is missing or fails, the page reports it and still has the figures.
  for (const char* program : {"/nowhere/gnuplot", "/bin/false", "/bin/true"}) {
    const Plots none = draw_plots(r.figures, program);
    CHECK(none.plots.empty());
    CHECK(none.fault.find(program) != std::string::npos);
    const std::string plain = html_report(r, none);
    CHECK(plain.find("There are no plots: " + std::string(program)) != std::string::npos);
    CHECK(times(plain, "<svg") == 0);
    CHECK(plain.find("By tenant") != std::string::npos);
  }
}

TEST_CASE("a paired difference has Student's confidence interval and needs more than one pair") {
  // Differences 1, 2, 3, 4, 5: mean 3, deviation 1.5811, t(4, 97.5%) = 2.7764.
  const Paired p = compare({0, 0, 0, 0, 0}, {1, 2, 3, 4, 5});
  CHECK(p.mean == doctest::Approx(3));
  CHECK(p.low == doctest::Approx(3 - 2.77645 * 1.581139 / 2.236068).epsilon(1e-4));
  CHECK(p.high == doctest::Approx(3 + 2.77645 * 1.581139 / 2.236068).epsilon(1e-4));
  CHECK(p.says == Paired::Says::Higher);
  CHECK(compare({1, 2, 3, 4, 5}, {0, 0, 0, 0, 0}).says == Paired::Says::Lower);
  CHECK(compare({1, 2, 3}, {2, 1, 3}).says == Paired::Says::Nothing);
  CHECK(compare({1}, {9}).says == Paired::Says::Nothing);
  CHECK_THROWS(compare({1, 2}, {1}));
}

TEST_CASE("many runs are each done once with results and failures in order until a stop request") {
  for (const unsigned jobs : {1u, 4u}) {
    std::vector<int> done(100);
    std::size_t last = 0;
    many(
        100, jobs, {}, [&](std::size_t i) { ++done[i]; },
        [&](std::size_t over) {
          CHECK(over == last + 1);
          last = over;
        });
    CHECK(std::all_of(done.begin(), done.end(), [](int n) { return n == 1; }));
    const auto faulty = [&] {
      many(
          50, jobs, {},
          [](std::size_t i) {
            if (i % 10 == 7) throw std::runtime_error(std::to_string(i));
          },
          [](std::size_t) {});
    };
    CHECK_THROWS_WITH(faulty(), "7");
    std::stop_source stop;
    std::atomic<int> begun = 0;
    many(
        1000, jobs, stop.get_token(),
        [&](std::size_t) {
          if (++begun == 10) stop.request_stop();
        },
        [](std::size_t) {});
    CHECK(begun < 1000);
  }
}
