// fernward-lab try: a demonstration. Runs real routers in front of a small emulated fleet for a few
// seconds.
#include <cstdio>
#include <filesystem>

#include "lab/commands/command.h"
#include "lab/report/files.h"
#include "lab/rig/rig.h"

namespace fernward::lab {

extern const char* const kTryScenario; // the text of scenarios/try.toml

int try_command(const Arguments& arguments) {
  cxxopts::Options options(
      "fernward-lab try",
      "Demonstration: two routers in front of six emulated cache nodes and a slow origin, on "
      "the loopback addresses of this machine");
  options.add_options()("seconds", "How long clients send requests",
                        cxxopts::value<double>()->default_value("6"))(
      "program", "The router; default: the `fernward` in the folder of this program, or on the PATH",
      cxxopts::value<std::string>())("out", "The folder for the report",
                                     cxxopts::value<std::string>()->default_value("fernward-try"))(
      "keep", "Keep routers and fleet running after the load, and print a command for curl")(
      "unlimited-memory", "Do not check the memory limit of routers");
  const auto parsed = parse(options, arguments);
  const double seconds = parsed["seconds"].as<double>();
  if (!(seconds >= 1 && seconds <= 3600)) throw UsageError("--seconds must be from 1 to 3600");
  Scenario scenario = read_scenario(kTryScenario, "try.toml", socket_run_limits());
  if (!print_faults(scenario)) {
    char duration[48];
    std::snprintf(duration, sizeof duration, "duration=%.0fms", seconds * 1000);
    set_values(scenario, {duration}, socket_run_limits());
  }
  if (print_faults(scenario)) return kFailure;
  const model::Spec& spec = scenario.spec;

  const bool keep = parsed.count("keep") > 0;
  RigOptions rig_options;
  rig_options.program =
      parsed.count("program") > 0 ? parsed["program"].as<std::string>() : default_router_program();
  rig_options.enforce_memory_limit = parsed.count("unlimited-memory") == 0;
  rig_options.keep_running = keep;
  std::string address;
  rig_options.on_ready = [&](const std::vector<std::string>& addresses) {
    if (!addresses.empty()) address = addresses.front();
    std::printf("%zu routers are ready; clients send requests for %.0f s\n", addresses.size(), seconds);
    std::fflush(stdout);
  };
  RunControl control;
  control.stop = stop_on_signals();
  const auto driver = make_rig_driver(rig_options);
  const auto print_totals = [&](const RunStats& stats) {
    if (!keep) return;
    const RequestStats totals = stats.total().request_stats;
    std::printf(
        "\n%llu requests: %llu served, %llu refused, %llu failed\n\nThe fleet keeps running. To send it a "
        "request:\n\n"
        "  curl -i -H 'X-Request-ID: '$(date +%%s%%N) -H 'X-Priority-Class: %s' -H 'X-Tenant-Id: %s' "
        "-H 'X-Timeout-Ms: 1000' http://%s/api/7f3a9c21\n\nCtrl-C ends it and writes the report.\n",
        static_cast<unsigned long long>(totals.drawn), static_cast<unsigned long long>(totals.served()),
        static_cast<unsigned long long>(totals.rejected()), static_cast<unsigned long long>(totals.failed()),
        spec.classes.front().name.c_str(), spec.tenants.front().name.c_str(), address.c_str());
    std::fflush(stdout);
  };
  const ExperimentResult result =
      run_experiment(*driver, "sockets", spec, kSocketsSlackMs, control, print_totals);
  std::printf("\n%s", summary_text(result).c_str());
  const ReportFiles written_files = write_files(result, parsed["out"].as<std::string>());
  std::printf("report: %s\n", std::filesystem::absolute(written_files.report).c_str());
  if (!written_files.without_plots.empty())
    std::printf("it has no plots: %s\n", written_files.without_plots.c_str());
  return result.passed() ? kSuccess : kFailure;
}

} // namespace fernward::lab
