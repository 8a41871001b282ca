#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <thread>

#include "lab/commands/command.h"
#include "lab/rig/rig.h"
#include "lab/virtual/virtual_driver.h"

namespace fernward::lab {
namespace {

constexpr std::size_t kMaxSeeds = 10000; // in one range

volatile sig_atomic_t stop_requested_by_signal = 0;

void request_stop_on_signal(int) { stop_requested_by_signal = 1; }

std::uint64_t parse_seed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    throw UsageError("\"" + text + "\" is not a valid number: expected the form 3, 1..8 or 1,4,9");
  }
  return seed;
}

} // namespace

std::vector<std::uint64_t> parse_seeds(const std::string& text) {
  std::vector<std::uint64_t> seeds;
  if (const std::size_t dots = text.find(".."); dots != std::string::npos) {
    const std::uint64_t first = parse_seed(text.substr(0, dots)), last = parse_seed(text.substr(dots + 2));
    if (last < first || last - first >= kMaxSeeds)
      throw UsageError("the range of seeds " + text + " is empty or has more than 10000 seeds");
    for (std::uint64_t seed = first; seed <= last; ++seed) seeds.push_back(seed);
    return seeds;
  }
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    seeds.push_back(parse_seed(text.substr(begin, end - begin)));
    begin = end + 1;
  }
  return seeds;
}

void add_driver_options(cxxopts::Options& options) {
  options.add_options()("driver", "virtual: in virtual time; sockets: real routers on loopback",
                        cxxopts::value<std::string>()->default_value("virtual"))(
      "program", "sockets: the router; default: the `fernward` in the folder of this program, or on the PATH",
      cxxopts::value<std::string>())("unlimited-memory", "sockets: do not check the memory limit of routers")(
      "logs", "sockets: a folder for the logs of the routers", cxxopts::value<std::string>())(
      "role",
      "sockets: how routers are configured: platform (JSON), application (its file) or sidecar (next to a "
      "program that does "
      "nothing)",
      cxxopts::value<std::string>()->default_value("platform"));
}

DriverOptions parse_driver_options(const cxxopts::ParseResult& parsed, const std::string& side) {
  DriverOptions driver_options;
  const auto option_value = [&](const std::string& option) {
    const std::string own = option + "-" + side;
    return parsed[!side.empty() && parsed.count(own) > 0 ? own : option].as<std::string>();
  };
  const bool has_own_driver = !side.empty() && parsed.count("driver-" + side) > 0;
  const std::string driver = option_value("driver"), role = option_value("role");
  if (role != "platform" && role != "application" && role != "sidecar") {
    throw UsageError("--role must be platform, application or sidecar, not \"" + role + "\"");
  }
  driver_options.role = role == "platform"      ? RouterRole::Platform
                        : role == "application" ? RouterRole::Application
                                                : RouterRole::Sidecar;
  if (driver != "virtual" && driver != "sockets") {
    throw UsageError("--driver must be virtual or sockets, not \"" + driver + "\"");
  }
  driver_options.driver = driver == "virtual" ? DriverKind::Virtual : DriverKind::Sockets;
  driver_options.skip_memory_check = parsed.count("unlimited-memory") > 0;
  if (parsed.count("logs") > 0) driver_options.log_folder = parsed["logs"].as<std::string>();
  if (parsed.count("program") > 0) {
    if (driver_options.driver == DriverKind::Virtual && !has_own_driver)
      throw UsageError("--program requires --driver sockets");
    driver_options.program = parsed["program"].as<std::string>();
  } else if (driver_options.driver == DriverKind::Sockets) {
    driver_options.program = default_router_program();
  }
  return driver_options;
}

std::string default_router_program() {
  std::error_code error;
  const auto program_path = std::filesystem::read_symlink("/proc/self/exe", error);
  if (!error) {
    const auto sibling_path = program_path.parent_path() / "fernward";
    if (std::filesystem::exists(sibling_path, error)) return sibling_path.string();
  }
  return "fernward";
}

std::unique_ptr<Driver> make_driver(const DriverOptions& driver_options) {
  if (driver_options.driver == DriverKind::Virtual) return make_virtual_driver();
  RigOptions options;
  options.program = driver_options.program;
  options.log_directory = driver_options.log_folder;
  options.enforce_memory_limit = !driver_options.skip_memory_check;
  options.role = driver_options.role;
  return make_rig_driver(std::move(options));
}

double slack_ms_of(const DriverOptions& driver_options, const model::Spec& spec) {
  return driver_options.driver == DriverKind::Virtual ? virtual_time_slack_ms(spec) : kSocketsSlackMs;
}

const char* driver_name(const DriverOptions& driver_options) {
  return driver_options.driver == DriverKind::Virtual ? "virtual" : "sockets";
}

bool print_faults(const Scenario& scenario) {
  for (const Diagnostic& fault : scenario.errors) std::fprintf(stderr, "%s\n", fault.to_string().c_str());
  return !scenario.is_valid();
}

std::pair<Scenario, bool> load_scenario(const std::string& path, const std::vector<std::string>& settings,
                                        const DriverOptions& driver_options) {
  Scenario scenario = read_scenario_file(path, driver_options.run_limits());
  if (scenario.is_valid()) set_values(scenario, settings, driver_options.run_limits());
  const bool valid = !print_faults(scenario);
  return {std::move(scenario), valid};
}

std::stop_token stop_on_signals() {
  struct sigaction action {};
  action.sa_handler = &request_stop_on_signal;
  action.sa_flags = static_cast<int>(SA_RESETHAND); // a second signal ends the program
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGTERM, &action, nullptr);
  // A signal handler may only set a flag; this thread turns the flag into a stop request.
  static std::stop_source source;
  static std::jthread signal_thread([](std::stop_token stop) {
    while (!stop.stop_requested() && stop_requested_by_signal == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    if (stop_requested_by_signal != 0) source.request_stop();
  });
  return source.get_token();
}

ProgressLine::ProgressLine() : terminal_(isatty(STDERR_FILENO) == 1) {}
ProgressLine::~ProgressLine() {
  if (shown_length_ > 0) std::fprintf(stderr, "\r%*s\r", static_cast<int>(shown_length_), "");
}
void ProgressLine::show(const std::string& text) {
  if (!terminal_) return;
  std::fprintf(stderr, "\r%-*s", static_cast<int>(shown_length_), text.c_str());
  shown_length_ = std::max(shown_length_, text.size());
  std::fflush(stderr);
}

std::string table_text(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string out;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string padding(widths[i] - row[i].size(), ' ');
      out += i == 0 ? row[i] + padding : "  " + padding + row[i];
    }
    while (!out.empty() && out.back() == ' ') out.pop_back();
    out += '\n';
  }
  return out;
}

} // namespace fernward::lab
