// fernward-lab storm: generates storms from seeds, runs and checks them; shrinks or replays the storm of a
// file.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

#include "lab/commands/command.h"
#include "lab/storm/shrink.h"
#include "lab/storm/socket_comparison.h"
#include "lab/storm/storm_report.h"
#include "lab/virtual/virtual_driver.h"

namespace fernward::lab {
namespace {

namespace fs = std::filesystem;

constexpr std::uint32_t kMaxSkippedStorms = 1000; // because they last too long for real time
// Phases of a storm that runs in real time: before the first fault, and in which faults begin.
constexpr double kRealTimeFaultFreeMs = 2000, kRealTimeFaultBeginWindowMs = 5000;

std::string read_text(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path + " can't be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

void write_text(const fs::path& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  if (!out.flush()) throw std::runtime_error(path.string() + " can't be written");
}

void print_verdicts(const storm::StormOutcome& outcome) {
  for (std::size_t i = 0; i < outcome.verdicts.size(); ++i) {
    const storm::Verdict& verdict = outcome.verdicts[i];
    std::printf("%-12s %-8s %6.2f  %s\n", storm::oracles()[i].name,
                verdict.broken() ? "BROKEN"
                : verdict.judged ? "kept"
                                 : "-",
                verdict.distance, verdict.description.c_str());
  }
}

// Runs the storm of a file `times` times. If the file names an oracle, the verdict of that oracle must match
// the file; else no oracle of confidence Certain may be broken.
int replay_file(const storm::RunSetup& run_setup, const std::string& path, std::uint32_t times,
                std::stop_token stop) {
  const auto expected = storm::parse_expected_verdict(read_text(path));
  const Scenario scenario = read_scenario_file(path);
  if (print_faults(scenario)) return kFailure;
  bool all_match = true;
  for (std::uint32_t i = 0; i < times && !stop.stop_requested(); ++i) {
    const storm::StormOutcome outcome = storm::execute(run_setup, scenario.spec, stop);
    if (stop.stop_requested()) return kFailure;
    if (i == 0) print_verdicts(outcome);
    if (expected) {
      const bool matches_file = outcome.broken(*expected->oracle) == expected->broken;
      all_match &= matches_file;
      std::printf("%s: %s is %s%s\n", path.c_str(), expected->oracle->name,
                  outcome.broken(*expected->oracle) ? "broken" : "kept",
                  matches_file ? "" : ", which differs from the verdict in the file");
    } else {
      const storm::Oracle* broken = outcome.broken();
      all_match &= broken == nullptr || broken->confidence != storm::Confidence::Certain;
    }
  }
  return all_match ? kSuccess : kFailure;
}

// Reduces the storm of a file while the oracle stays broken, and writes the result to `out_path`.
int shrink_file(const storm::RunSetup& run_setup, const std::string& path, const std::string& oracle_name,
                const std::string& out_path, std::uint32_t max_runs, std::stop_token stop) {
  const auto expected = storm::parse_expected_verdict(read_text(path));
  const Scenario scenario = read_scenario_file(path);
  if (print_faults(scenario)) return kFailure;
  const model::Spec& spec = scenario.spec;
  const storm::StormOutcome initial_outcome = storm::execute(run_setup, spec, stop);
  print_verdicts(initial_outcome);
  const storm::Oracle* oracle = !oracle_name.empty() ? storm::find_oracle(oracle_name)
                                : expected           ? expected->oracle
                                                     : initial_outcome.broken();
  if (oracle == nullptr) {
    std::printf("%s\n", oracle_name.empty() ? "no oracle is broken" : "there is no such oracle");
    return kFailure;
  }
  if (!initial_outcome.broken(*oracle)) {
    std::printf("%s is not broken\n", oracle->name);
    return kFailure;
  }
  const std::size_t oracle_index = static_cast<std::size_t>(oracle - storm::oracles().data());
  // If the oracle depends on chance, a reduction must keep half of the distance beyond the limit, so that it is
  // not accepted by chance alone.
  const double min_distance = oracle->confidence == storm::Confidence::Certain
                                  ? 1
                                  : (1 + initial_outcome.verdicts[oracle_index].distance) / 2;
  const storm::ShrinkResult shrunk_storm = storm::shrink(
      spec,
      [&](const model::Spec& candidate) {
        if (stop.stop_requested()) return 0.0;
        const storm::Verdict verdict = storm::execute(run_setup, candidate, stop).verdicts[oracle_index];
        return verdict.broken() && verdict.distance >= min_distance ? verdict.distance : 0;
      },
      max_runs);
  // Runs the storm as it is read back from its text, so that the written file is what was run.
  const Scenario reread_scenario = read_scenario(scenario_text(shrunk_storm.spec), "shrunk");
  if (print_faults(reread_scenario)) return kFailure;
  const storm::StormOutcome final_outcome = storm::execute(run_setup, reread_scenario.spec, stop);
  std::printf("\n%u runs, %u reductions: %u routers, %u nodes, %zu events, %.1f s\n", shrunk_storm.runs,
              shrunk_storm.reductions, storm::router_count(shrunk_storm.spec),
              storm::node_count(shrunk_storm.spec), shrunk_storm.spec.events.size(),
              shrunk_storm.spec.duration_ms / 1000);
  print_verdicts(final_outcome);
  write_text(out_path, storm::storm_file_text(reread_scenario.spec, {oracle, final_outcome.broken(*oracle)},
                                              final_outcome.verdicts[oracle_index].description));
  std::printf("written: %s\n", out_path.c_str());
  return final_outcome.broken(*oracle) ? kSuccess : kFailure;
}

// Runs storms that are short enough for real time on sockets, and compares each with runs in virtual time.
int compare_storms_with_virtual_time(const storm::ComparisonSetup& setup, std::uint64_t first_seed,
                                     std::uint64_t storm_count, const storm::StormLimits& limits,
                                     double max_seconds, const std::string& out_folder,
                                     std::stop_token stop) {
  std::vector<storm::StormComparison> comparisons;
  std::uint32_t skipped_storms = 0;
  const fs::path folder(out_folder);
  if (!out_folder.empty()) fs::create_directories(folder);
  for (std::uint64_t seed = first_seed; comparisons.size() < storm_count && !stop.stop_requested(); ++seed) {
    const model::Spec spec = storm::draw_storm(seed, {}, limits);
    if (spec.duration_ms > 1000 * max_seconds) {
      if (++skipped_storms > kMaxSkippedStorms)
        throw UsageError("--most-seconds is too low: more than 1000 storms last longer");
      continue;
    }
    storm::StormComparison comparison = storm::compare_with_sockets(setup, spec, stop);
    if (stop.stop_requested()) return kFailure;
    std::printf("%s", storm::comparison_text(comparison).c_str());
    std::fflush(stdout);
    if (!out_folder.empty() && (!comparison.agrees() || comparison.has_broken(storm::Confidence::Certain)))
      write_text(folder / (spec.name + ".toml"), scenario_text(spec));
    comparisons.push_back(std::move(comparison));
  }
  const storm::Agreement agreement = storm::agreement_of(comparisons);
  std::printf("%u longer than %.0f s were left out\n%s", skipped_storms, max_seconds,
              storm::agreement_text(agreement).c_str());
  return agreement.all_agree() ? kSuccess : kFailure;
}

} // namespace

int storm_command(const Arguments& arguments) {
  cxxopts::Options options("fernward-lab storm",
                           "Generate storms from seeds, run them and check them by oracles");
  add_driver_options(options);
  options.add_options()("first", "The first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "storms", "Number of storms, with consecutive seeds",
      cxxopts::value<std::uint64_t>()->default_value("200"))(
      "most-routers", "Routers of a storm, at most", cxxopts::value<std::uint32_t>()->default_value("300"))(
      "most-nodes", "Nodes of a storm, at most", cxxopts::value<std::uint32_t>()->default_value("200"))(
      "most-rate", "Requests per second of a storm, at most", cxxopts::value<double>()->default_value("250"))(
      "jobs", "Concurrent storms; 0: one per core", cxxopts::value<unsigned>()->default_value("0"))(
      "out",
      "A folder for the report and a scenario for each of the worst storms; for --shrink and --write a file",
      cxxopts::value<std::string>())("shrink",
                                     "Reduce the storm of a file as long as its oracle stays broken",
                                     cxxopts::value<std::string>())(
      "oracle", "The oracle for --shrink; default: the one named in the file", cxxopts::value<std::string>())(
      "plays", "Runs that --shrink may use", cxxopts::value<std::uint32_t>()->default_value("400"))(
      "write", "Write the storm of --first as a scenario, without running it")(
      "replay", "Run the storm of a file; the verdict must match the file", cxxopts::value<std::string>())(
      "beside", "On sockets: compare each storm with this many runs of it in virtual time; 0: none",
      cxxopts::value<std::uint32_t>()->default_value("0"))(
      "tries", "--beside: attempts to run a storm on sockets while its runs are void",
      cxxopts::value<std::uint32_t>()->default_value("3"))(
      "records", "--beside: a folder for the records of both drivers, one per line",
      cxxopts::value<std::string>()->default_value(""))("most-seconds", "--beside: longer storms are skipped",
                                                        cxxopts::value<double>()->default_value("30"))(
      "planted", "A defect injected into the routers of virtual time, to test which oracle finds it",
      cxxopts::value<std::string>()->default_value("none"))(
      "times", "Number of runs of --replay", cxxopts::value<std::uint32_t>()->default_value("1"));
  const auto parsed = parse(options, arguments);
  const DriverOptions driver_options = parse_driver_options(parsed);
  const auto stop = stop_on_signals();
  storm::RunSetup run_setup;
  run_setup.virtual_time = driver_options.driver == DriverKind::Virtual;
  const std::string defect_name = parsed["planted"].as<std::string>();
  const auto planted_name = std::find(kPlantedDefectNames.begin(), kPlantedDefectNames.end(), defect_name);
  if (planted_name == kPlantedDefectNames.end()) {
    std::string known;
    for (const char* name : kPlantedDefectNames) known += std::string(known.empty() ? "" : ", ") + name;
    throw UsageError("--planted must be one of " + known);
  }
  const auto defect = static_cast<PlantedDefect>(planted_name - kPlantedDefectNames.begin());
  if (defect != PlantedDefect::None && !run_setup.virtual_time)
    throw UsageError("--planted requires --driver virtual");
  run_setup.make_driver = [&driver_options, defect] {
    return driver_options.driver == DriverKind::Virtual ? make_virtual_driver(defect)
                                                        : make_driver(driver_options);
  };

  if (parsed.count("replay") > 0) {
    return replay_file(run_setup, parsed["replay"].as<std::string>(), parsed["times"].as<std::uint32_t>(),
                       stop);
  }
  storm::Campaign campaign;
  campaign.first_seed = parsed["first"].as<std::uint64_t>();
  campaign.storms = parsed["storms"].as<std::uint64_t>();
  campaign.limits.max_routers = parsed["most-routers"].as<std::uint32_t>();
  campaign.limits.max_nodes = parsed["most-nodes"].as<std::uint32_t>();
  campaign.limits.max_rate_per_s = parsed["most-rate"].as<double>();
  if (campaign.limits.max_routers < 3 || campaign.limits.max_nodes < 6) {
    throw UsageError("--most-routers must be 3 or more and --most-nodes 6 or more");
  }
  if (!(campaign.limits.max_rate_per_s >= 10)) throw UsageError("--most-rate must be 10 or more");
  const std::string out_path = parsed.count("out") > 0 ? parsed["out"].as<std::string>() : "";
  if (const auto comparison_runs = parsed["beside"].as<std::uint32_t>(); comparison_runs > 0) {
    if (run_setup.virtual_time) throw UsageError("--beside requires --driver sockets");
    if (comparison_runs < 2)
      throw UsageError("--beside must be 2 or more, because one run can't show random variation");
    if (campaign.limits.max_routers > 8) throw UsageError("--beside allows --most-routers 8 at most");
    campaign.limits.fault_free_ms = kRealTimeFaultFreeMs;
    campaign.limits.fault_begin_window_ms = kRealTimeFaultBeginWindowMs;
    campaign.limits.size_exponent = 1;
    campaign.limits.full_duration = false;
    const storm::ComparisonSetup comparison_setup{
        run_setup.make_driver,
        [](std::uint64_t chance) { return make_virtual_driver(PlantedDefect::None, chance); },
        comparison_runs, std::max(1u, parsed["tries"].as<std::uint32_t>()),
        parsed["records"].as<std::string>()};
    if (!comparison_setup.record_folder.empty()) fs::create_directories(comparison_setup.record_folder);
    return compare_storms_with_virtual_time(comparison_setup, campaign.first_seed, campaign.storms,
                                            campaign.limits, parsed["most-seconds"].as<double>(), out_path,
                                            stop);
  }
  if (parsed.count("shrink") > 0) {
    const std::string path = parsed["shrink"].as<std::string>();
    return shrink_file(run_setup, path, parsed.count("oracle") > 0 ? parsed["oracle"].as<std::string>() : "",
                       out_path.empty() ? path + ".small.toml" : out_path,
                       parsed["plays"].as<std::uint32_t>(), stop);
  }
  if (parsed.count("write") > 0) {
    const model::Spec spec = storm::draw_storm(campaign.first_seed, {}, campaign.limits);
    const std::string path = out_path.empty() ? spec.name + ".toml" : out_path;
    write_text(path, scenario_text(spec));
    std::printf("written: %s\n", path.c_str());
    return kSuccess;
  }
  const unsigned jobs = parsed["jobs"].as<unsigned>();
  campaign.jobs = !run_setup.virtual_time ? 1
                  : jobs > 0              ? jobs
                                          : std::max(1u, std::thread::hardware_concurrency());
  storm::CampaignSummary summary;
  {
    ProgressLine progress;
    campaign.progress = [&](const storm::CampaignSummary& so_far) {
      progress.show(std::to_string(so_far.storms) + " of " + std::to_string(campaign.storms) + " storms");
    };
    summary = storm::execute(run_setup, campaign, stop);
  }
  std::printf("%s", storm::summary_text(summary).c_str());
  if (!out_path.empty()) {
    fs::create_directories(out_path);
    write_text(fs::path(out_path) / "storms.html", storm::report_html(summary, campaign));
    for (const storm::BrokenStorm& broken_storm : summary.worst_storms) {
      const storm::Oracle& oracle = storm::oracles()[broken_storm.oracle_index];
      write_text(
          fs::path(out_path) / (std::string(oracle.name) + "-" + std::to_string(broken_storm.seed) + ".toml"),
          storm::storm_file_text(broken_storm.spec, {&oracle, true}, broken_storm.verdict.description));
    }
    std::printf("report: %s\n", (fs::path(out_path) / "storms.html").string().c_str());
  }
  return summary.has_broken(storm::Confidence::Certain) || !summary.void_runs.empty() ? kFailure : kSuccess;
}

} // namespace fernward::lab
