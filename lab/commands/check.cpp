// fernward-lab check: validates scenario files. fernward-lab keys: prints the reference of their keys.
#include <cstdio>

#include "lab/commands/command.h"

namespace fernward::lab {

int check_command(const Arguments& arguments) {
  cxxopts::Options options("fernward-lab check",
                           "Validate scenarios and print every fault; nothing is started");
  options.add_options()("driver", "virtual or sockets: they support different scenarios",
                        cxxopts::value<std::string>()->default_value("virtual"))(
      "write", "Print the complete scenario with every value, including those of its base")(
      "set", "KEY=VALUE, such as load.rate=820/s or kinds[fast].cores=8; may be repeated",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "scenario", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"scenario"});
  options.positional_help("SCENARIO...");
  const auto parsed = parse(options, arguments);
  if (parsed.count("scenario") == 0) throw UsageError("no scenario");
  const std::string driver = parsed["driver"].as<std::string>();
  if (driver != "virtual" && driver != "sockets") throw UsageError("--driver must be virtual or sockets");
  DriverOptions driver_options;
  driver_options.driver = driver == "virtual" ? DriverKind::Virtual : DriverKind::Sockets;
  std::vector<std::string> settings;
  if (parsed.count("set") > 0) settings = parsed["set"].as<std::vector<std::string>>();
  int exit_code = kSuccess;
  for (const std::string& path : parsed["scenario"].as<std::vector<std::string>>()) {
    const auto [scenario, valid] = load_scenario(path, settings, driver_options);
    if (!valid) {
      exit_code = kFailure;
    } else if (parsed.count("write") > 0) {
      std::printf("%s", scenario_text(scenario.spec).c_str());
    } else {
      std::printf("%s: sound\n", path.c_str());
    }
  }
  return exit_code;
}

int keys_command(const Arguments& arguments) {
  cxxopts::Options options("fernward-lab keys", "Print every key of a scenario, as Markdown");
  parse(options, arguments);
  std::printf("%s", key_reference().c_str());
  return kSuccess;
}

} // namespace fernward::lab
