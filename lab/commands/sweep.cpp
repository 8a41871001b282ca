// fernward-lab sweep: runs a scenario for several values of keys and for several seeds, on several cores.
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/commands/command.h"
#include "lab/experiment/many.h"
#include "lab/experiment/summary.h"
#include "lab/report/files.h"

namespace fernward::lab {
namespace {

constexpr std::size_t kMostRuns = 100000;

struct Vary {
  std::string key;
  std::vector<std::string> values;
};

// "load.rate=200/s,400/s": commas separate the values, except within brackets or quotes.
Vary vary_of(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0) throw UsageError("--vary must be KEY=VALUE,VALUE,...");
  Vary vary{text.substr(0, equals), {""}};
  int depth = 0;
  bool quoted = false;
  for (const char c : text.substr(equals + 1)) {
    if (c == '"') quoted = !quoted;
    if (!quoted) depth += c == '[' ? 1 : c == ']' ? -1 : 0;
    if (c == ',' && depth == 0 && !quoted) {
      vary.values.emplace_back();
    } else {
      vary.values.back() += c;
    }
  }
  return vary;
}

struct Point { // one combination of values of the varied keys
  std::vector<std::string> settings;
  std::string text;
  model::Spec spec;
};

std::vector<Point> points_of(const std::vector<Vary>& varied) {
  std::vector<Point> points{{}};
  for (const Vary& vary : varied) {
    std::vector<Point> next;
    for (const Point& point : points) {
      for (const std::string& value : vary.values) {
        Point p = point;
        p.settings.push_back(vary.key + "=" + value);
        p.text += (p.text.empty() ? "" : " ") + vary.key + "=" + value;
        next.push_back(std::move(p));
        if (next.size() > kMostRuns) throw UsageError("the sweep has more than 100,000 runs");
      }
    }
    points = std::move(next);
  }
  return points;
}

struct Run {
  Row row{};
  bool played = false, is_void = false, rules_kept = false, bounds_hold = false;
};

} // namespace

int sweep_command(const Arguments& arguments) {
  cxxopts::Options options(
      "fernward-lab sweep",
      "Run a scenario for each value of a key and each seed. The exit code is 1 if a run was "
      "void or violated a rule; missed bounds are only counted in the table");
  add_playing(options);
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
  if (parsed.count("scenario") != 1) throw UsageError("one scenario is wanted");
  const Playing playing = playing_of(parsed);
  const std::string path = parsed["scenario"].as<std::vector<std::string>>().front();
  const auto seeds = parse_seeds(parsed["seeds"].as<std::string>());
  std::vector<Vary> varied;
  if (parsed.count("vary") > 0) {
    for (const std::string& text : parsed["vary"].as<std::vector<std::string>>())
      varied.push_back(vary_of(text));
  }
  std::vector<Point> points = points_of(varied);
  if (points.size() * seeds.size() > kMostRuns) throw UsageError("the sweep has more than 100,000 runs");
  unsigned jobs = parsed["jobs"].as<unsigned>();
  if (jobs == 0) jobs = std::max(1u, std::thread::hardware_concurrency());
  if (playing.driver == DriverKind::Sockets) jobs = 1; // concurrent runs on sockets would delay each other

  // All points are validated before the first run.
  bool sound = true;
  for (Point& point : points) {
    std::vector<std::string> settings;
    if (parsed.count("set") > 0) settings = parsed["set"].as<std::vector<std::string>>();
    settings.insert(settings.end(), point.settings.begin(), point.settings.end());
    auto [scenario, fine] = load_scenario(path, settings, playing);
    sound &= fine;
    point.spec = std::move(scenario.spec);
    if (scenario.faults.size() > 0 && point.settings.empty()) break;
  }
  if (!sound) return kBad;

  const std::stop_token stop = stop_on_signals();
  std::vector<Run> runs(points.size() * seeds.size());
  const auto began = std::chrono::steady_clock::now();
  {
    Progress progress;
    many(
        runs.size(), jobs, stop,
        [&](std::size_t i) {
          model::Spec spec = points[i / seeds.size()].spec;
          spec.seed = seeds[i % seeds.size()];
          const auto driver = make_driver(playing);
          RunControl control;
          control.stop = stop;
          const Result result = play(*driver, driver_name(playing), spec, slack_of(playing, spec), control);
          if (result.info.stopped) return;
          Run& run = runs[i];
          run.played = true;
          run.row = row_of(result);
          run.is_void = result.info.is_void;
          run.rules_kept = std::all_of(result.findings.rules.begin(), result.findings.rules.end(),
                                       [](const RuleFinding& r) { return r.kept(); });
          run.bounds_hold = std::all_of(result.findings.bounds.begin(), result.findings.bounds.end(),
                                        [](const BoundFinding& b) { return b.kept; });
        },
        [&](std::size_t over) {
          const double s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
          char text[96];
          std::snprintf(text, sizeof text, "%zu of %zu runs, %.1f s, about %.0f s to go", over, runs.size(),
                        s, s / static_cast<double>(over) * static_cast<double>(runs.size() - over));
          progress.show(text);
        });
  }

  std::vector<std::vector<std::string>> table(
      1, {points.size() > 1 ? "value" : "", "runs", "void", "rules kept", "bounds hold"});
  for (const Column& c : columns()) table[0].push_back(c.name);
  nlohmann::json saved = nlohmann::json::array();
  std::string csv = "value,seed,void,rules_kept,bounds_hold";
  for (const Column& c : columns()) csv += std::string(",") + c.key;
  csv += "\n";
  bool good = true;
  for (std::size_t p = 0; p < points.size(); ++p) {
    std::size_t played = 0, voids = 0, kept = 0, hold = 0;
    Row mean{};
    for (std::size_t s = 0; s < seeds.size(); ++s) {
      const Run& run = runs[p * seeds.size() + s];
      good &= run.played && !run.is_void && run.rules_kept;
      if (!run.played) continue;
      ++played;
      std::string quoted;
      for (const char c : points[p].text) quoted += c == '"' ? std::string("\"\"") : std::string(1, c);
      csv += "\"" + quoted + "\"," + std::to_string(seeds[s]) + "," + std::to_string(run.is_void) + "," +
             std::to_string(run.rules_kept) + "," + std::to_string(run.bounds_hold);
      nlohmann::json entry = {{"value", points[p].text},
                              {"seed", seeds[s]},
                              {"void", run.is_void},
                              {"rules_kept", run.rules_kept},
                              {"bounds_hold", run.bounds_hold}};
      for (std::size_t i = 0; i < kColumns; ++i) {
        char number[40];
        std::snprintf(number, sizeof number, ",%.8g", run.row[i]);
        csv += number;
        entry[columns()[i].key] = run.row[i];
      }
      csv += "\n";
      saved.push_back(std::move(entry));
      voids += run.is_void ? 1 : 0;
      if (run.is_void) continue; // void runs are not part of the means
      kept += run.rules_kept ? 1 : 0;
      hold += run.bounds_hold ? 1 : 0;
      for (std::size_t i = 0; i < kColumns; ++i) mean[i] += run.row[i];
    }
    table.push_back({points[p].text, std::to_string(played), std::to_string(voids), std::to_string(kept),
                     std::to_string(hold)});
    for (std::size_t i = 0; i < kColumns; ++i) {
      table.back().push_back(played > voids ? columns()[i].text(mean[i] / static_cast<double>(played - voids))
                                            : "-");
    }
  }
  std::printf("%s", table_text(table).c_str());
  if (parsed.count("out") > 0) {
    const std::filesystem::path folder = parsed["out"].as<std::string>();
    save_text(folder, "sweep.csv", csv);
    save_text(folder, "sweep.json", saved.dump(1) + "\n");
    std::printf("files: %s\n", (folder / "sweep.csv").c_str());
  }
  if (stop.stop_requested()) std::printf("STOPPED before its end\n");
  return good ? kWell : kBad;
}

} // namespace fernward::lab
