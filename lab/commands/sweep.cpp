// fernward-lab sweep: runs a scenario for several values of keys and for several seeds, on several cores.
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/commands/command.h"
#include "lab/experiment/run_parallel.h"
#include "lab/experiment/summary.h"
#include "lab/report/files.h"

namespace fernward::lab {
namespace {

constexpr std::size_t kMaxRuns = 100000;

struct VariedKey {
  std::string key;
  std::vector<std::string> values;
};

// "load.rate=200/s,400/s": commas separate the values, except within brackets or quotes.
VariedKey parse_varied_key(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0) throw UsageError("--vary must be KEY=VALUE,VALUE,...");
  VariedKey varied_key{text.substr(0, equals), {""}};
  int depth = 0;
  bool quoted = false;
  for (const char c : text.substr(equals + 1)) {
    if (c == '"') quoted = !quoted;
    if (!quoted) depth += c == '[' ? 1 : c == ']' ? -1 : 0;
    if (c == ',' && depth == 0 && !quoted) {
      varied_key.values.emplace_back();
    } else {
      varied_key.values.back() += c;
    }
  }
  return varied_key;
}

struct SweepPoint { // one combination of values of the varied keys
  std::vector<std::string> settings;
  std::string label;
  model::Spec spec;
};

std::vector<SweepPoint> sweep_points(const std::vector<VariedKey>& varied_keys) {
  std::vector<SweepPoint> points{{}};
  for (const VariedKey& varied_key : varied_keys) {
    std::vector<SweepPoint> next_points;
    for (const SweepPoint& point : points) {
      for (const std::string& value : varied_key.values) {
        SweepPoint extended_point = point;
        extended_point.settings.push_back(varied_key.key + "=" + value);
        extended_point.label += (extended_point.label.empty() ? "" : " ") + varied_key.key + "=" + value;
        next_points.push_back(std::move(extended_point));
        if (next_points.size() > kMaxRuns) throw UsageError("the sweep has more than 100,000 runs");
      }
    }
    points = std::move(next_points);
  }
  return points;
}

struct SweepRun {
  SummaryRow summary{};
  bool completed = false, is_void = false, rules_passed = false, bounds_passed = false;
};

} // namespace

int sweep_command(const Arguments& arguments) {
  cxxopts::Options options(
      "fernward-lab sweep",
      "Run a scenario for each value of a key and each seed. The exit code is 1 if a run was "
      "void or violated a rule; missed bounds are only counted in the table");
  add_driver_options(options);
  options.add_options()("vary", "KEY=VALUE,VALUE,...; if repeated, every combination of values is run",
                        cxxopts::value<std::vector<std::string>>())(
      "seeds", "1..8, 3 or 1,4,9", cxxopts::value<std::string>()->default_value("1..4"))(
      "jobs", "Concurrent runs in virtual time; 0: one per core",
      cxxopts::value<unsigned>()->default_value("0"))("out", "A folder for sweep.csv and sweep.json",
                                                      cxxopts::value<std::string>())(
      "set", "KEY=VALUE for all runs; may be repeated", cxxopts::value<std::vector<std::string>>())(
      "scenario", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"scenario"});
  options.positional_help("SCENARIO");
  const auto parsed = parse(options, arguments);
  if (const std::size_t count = parsed.count("scenario"); count != 1)
    throw UsageError("expected exactly one scenario file, got " + std::to_string(count));
  const DriverOptions driver_options = parse_driver_options(parsed);
  const std::string path = parsed["scenario"].as<std::vector<std::string>>().front();
  const auto seeds = parse_seeds(parsed["seeds"].as<std::string>());
  std::vector<VariedKey> varied_keys;
  if (parsed.count("vary") > 0) {
    for (const std::string& text : parsed["vary"].as<std::vector<std::string>>())
      varied_keys.push_back(parse_varied_key(text));
  }
  std::vector<SweepPoint> points = sweep_points(varied_keys);
  if (points.size() * seeds.size() > kMaxRuns) throw UsageError("the sweep has more than 100,000 runs");
  unsigned jobs = parsed["jobs"].as<unsigned>();
  if (jobs == 0) jobs = std::max(1u, std::thread::hardware_concurrency());
  if (driver_options.driver == DriverKind::Sockets)
    jobs = 1; // concurrent runs on sockets would delay each other

  // All points are validated before the first run.
  bool all_valid = true;
  for (SweepPoint& point : points) {
    std::vector<std::string> settings;
    if (parsed.count("set") > 0) settings = parsed["set"].as<std::vector<std::string>>();
    settings.insert(settings.end(), point.settings.begin(), point.settings.end());
    auto [scenario, valid] = load_scenario(path, settings, driver_options);
    all_valid &= valid;
    point.spec = std::move(scenario.spec);
    if (scenario.errors.size() > 0 && point.settings.empty()) break;
  }
  if (!all_valid) return kFailure;

  const std::stop_token stop = stop_on_signals();
  std::vector<SweepRun> runs(points.size() * seeds.size());
  const auto started_at = std::chrono::steady_clock::now();
  {
    ProgressLine progress;
    run_parallel(
        runs.size(), jobs, stop,
        [&](std::size_t i) {
          model::Spec spec = points[i / seeds.size()].spec;
          spec.seed = seeds[i % seeds.size()];
          const auto driver = make_driver(driver_options);
          RunControl control;
          control.stop = stop;
          const ExperimentResult result = run_experiment(*driver, driver_name(driver_options), spec,
                                                         slack_ms_of(driver_options, spec), control);
          if (result.info.stopped) return;
          SweepRun& run = runs[i];
          run.completed = true;
          run.summary = summary_row(result);
          run.is_void = result.info.is_void;
          run.rules_passed = std::all_of(result.check_result.rules.begin(), result.check_result.rules.end(),
                                         [](const RuleResult& r) { return r.passed(); });
          run.bounds_passed =
              std::all_of(result.check_result.bounds.begin(), result.check_result.bounds.end(),
                          [](const BoundResult& b) { return b.passed; });
        },
        [&](std::size_t finished_runs) {
          const double elapsed_s =
              std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
          char text[96];
          std::snprintf(text, sizeof text, "%zu of %zu runs, %.1f s, about %.0f s to go", finished_runs,
                        runs.size(), elapsed_s,
                        elapsed_s / static_cast<double>(finished_runs) *
                            static_cast<double>(runs.size() - finished_runs));
          progress.show(text);
        });
  }

  std::vector<std::vector<std::string>> table(
      1, {points.size() > 1 ? "value" : "", "runs", "void", "rules kept", "bounds hold"});
  for (const SummaryColumn& c : summary_columns()) table[0].push_back(c.name);
  nlohmann::json json_output = nlohmann::json::array();
  std::string csv = "value,seed,void,rules_kept,bounds_hold";
  for (const SummaryColumn& c : summary_columns()) csv += std::string(",") + c.key;
  csv += "\n";
  bool all_passed = true;
  for (std::size_t point_index = 0; point_index < points.size(); ++point_index) {
    std::size_t completed_runs = 0, void_runs = 0, rules_passed_runs = 0, bounds_passed_runs = 0;
    SummaryRow mean{};
    for (std::size_t seed_index = 0; seed_index < seeds.size(); ++seed_index) {
      const SweepRun& run = runs[point_index * seeds.size() + seed_index];
      all_passed &= run.completed && !run.is_void && run.rules_passed;
      if (!run.completed) continue;
      ++completed_runs;
      std::string quoted;
      for (const char c : points[point_index].label)
        quoted += c == '"' ? std::string("\"\"") : std::string(1, c);
      csv += "\"" + quoted + "\"," + std::to_string(seeds[seed_index]) + "," + std::to_string(run.is_void) +
             "," + std::to_string(run.rules_passed) + "," + std::to_string(run.bounds_passed);
      nlohmann::json entry = {{"value", points[point_index].label},
                              {"seed", seeds[seed_index]},
                              {"void", run.is_void},
                              {"rules_kept", run.rules_passed},
                              {"bounds_hold", run.bounds_passed}};
      for (std::size_t i = 0; i < kSummaryColumnCount; ++i) {
        char number_text[40];
        std::snprintf(number_text, sizeof number_text, ",%.8g", run.summary[i]);
        csv += number_text;
        entry[summary_columns()[i].key] = run.summary[i];
      }
      csv += "\n";
      json_output.push_back(std::move(entry));
      void_runs += run.is_void ? 1 : 0;
      if (run.is_void) continue; // void runs are not part of the means
      rules_passed_runs += run.rules_passed ? 1 : 0;
      bounds_passed_runs += run.bounds_passed ? 1 : 0;
      for (std::size_t i = 0; i < kSummaryColumnCount; ++i) mean[i] += run.summary[i];
    }
    table.push_back({points[point_index].label, std::to_string(completed_runs), std::to_string(void_runs),
                     std::to_string(rules_passed_runs), std::to_string(bounds_passed_runs)});
    for (std::size_t i = 0; i < kSummaryColumnCount; ++i) {
      table.back().push_back(
          completed_runs > void_runs
              ? summary_columns()[i].format_value(mean[i] / static_cast<double>(completed_runs - void_runs))
              : "-");
    }
  }
  std::printf("%s", table_text(table).c_str());
  if (parsed.count("out") > 0) {
    const std::filesystem::path folder = parsed["out"].as<std::string>();
    save_text(folder, "sweep.csv", csv);
    save_text(folder, "sweep.json", json_output.dump(1) + "\n");
    std::printf("files: %s\n", (folder / "sweep.csv").c_str());
  }
  if (stop.stop_requested()) std::printf("STOPPED before its end\n");
  return all_passed ? kSuccess : kFailure;
}

} // namespace fernward::lab
