// fernward-lab run: runs one scenario once. fernward-lab report: rebuilds the report of a saved run.
#include <cstdio>

#include "lab/commands/command.h"
#include "lab/report/files.h"
#include "lab/report/html.h"

namespace fernward::lab {

int run_command(const Arguments& arguments) {
  cxxopts::Options options("fernward-lab run",
                           "Run one scenario, check its rules and bounds, and print its statistics");
  add_driver_options(options);
  options.add_options()("seed", "Overrides the seed of the scenario", cxxopts::value<std::string>())(
      "out", "A folder for run.json, seconds.csv, machines.csv, scenario.toml and report.html",
      cxxopts::value<std::string>())("set", "KEY=VALUE, such as load.rate=820/s; may be repeated",
                                     cxxopts::value<std::vector<std::string>>())(
      "scenario", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"scenario"});
  options.positional_help("SCENARIO");
  const auto parsed = parse(options, arguments);
  if (const std::size_t count = parsed.count("scenario"); count != 1)
    throw UsageError("expected exactly one scenario file, got " + std::to_string(count));
  const DriverOptions driver_options = parse_driver_options(parsed);
  std::vector<std::string> settings;
  if (parsed.count("set") > 0) settings = parsed["set"].as<std::vector<std::string>>();
  if (parsed.count("seed") > 0) {
    settings.push_back("seed=" + std::to_string(parse_seeds(parsed["seed"].as<std::string>()).front()));
  }
  const auto [scenario, valid] =
      load_scenario(parsed["scenario"].as<std::vector<std::string>>().front(), settings, driver_options);
  if (!valid) return kFailure;
  const model::Spec& spec = scenario.spec;
  const auto driver = make_driver(driver_options);
  RunControl control;
  control.stop = stop_on_signals();
  ExperimentResult result;
  {
    ProgressLine progress;
    control.progress = [&](double now) {
      char text[64];
      std::snprintf(text, sizeof text, "%.1f of %.1f s", now / 1000, spec.duration_ms / 1000);
      progress.show(text);
    };
    result = run_experiment(*driver, driver_name(driver_options), spec, slack_ms_of(driver_options, spec),
                            control);
  }
  std::printf("%s", summary_text(result).c_str());
  if (parsed.count("out") > 0) {
    const ReportFiles written_files = write_files(result, parsed["out"].as<std::string>());
    std::printf("report: %s\n", written_files.report.c_str());
    if (!written_files.without_plots.empty())
      std::printf("it has no plots: %s\n", written_files.without_plots.c_str());
  }
  return result.passed() ? kSuccess : kFailure;
}

int report_command(const Arguments& arguments) {
  cxxopts::Options options("fernward-lab report", "Rebuild the report of a run from its run.json");
  options.add_options()("out", "The folder for the report; default: the folder of run.json",
                        cxxopts::value<std::string>())("run", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"run"});
  options.positional_help("RUN.JSON");
  const auto parsed = parse(options, arguments);
  if (parsed.count("run") != 1) throw UsageError("expected exactly one run.json");
  const std::filesystem::path path = parsed["run"].as<std::vector<std::string>>().front();
  const ExperimentResult result = load_result(path);
  const std::filesystem::path folder = parsed.count("out") > 0
                                           ? std::filesystem::path(parsed["out"].as<std::string>())
                                           : std::filesystem::absolute(path).parent_path();
  const ReportFiles written_files = write_files(result, folder);
  std::printf("%s\nreport: %s\n", verdict_text(result).c_str(), written_files.report.c_str());
  if (!written_files.without_plots.empty())
    std::printf("it has no plots: %s\n", written_files.without_plots.c_str());
  return kSuccess;
}

} // namespace fernward::lab
