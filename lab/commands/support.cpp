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
#include "lab/virtual/virtual.h"

namespace fernward::lab {
namespace {

constexpr std::size_t kMostSeeds = 10000;

volatile sig_atomic_t asked_to_stop = 0;

void ask_to_stop(int) { asked_to_stop = 1; }

std::uint64_t seed_of(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    throw UsageError("\"" + text + "\" is no number: write 3, 1..8 or 1,4,9");
  }
  return seed;
}

} // namespace

std::vector<std::uint64_t> parse_seeds(const std::string& text) {
  std::vector<std::uint64_t> seeds;
  if (const std::size_t dots = text.find(".."); dots != std::string::npos) {
    const std::uint64_t first = seed_of(text.substr(0, dots)), last = seed_of(text.substr(dots + 2));
    if (last < first || last - first >= kMostSeeds)
      throw UsageError("seeds " + text + " are an empty or too long range");
    for (std::uint64_t seed = first; seed <= last; ++seed) seeds.push_back(seed);
    return seeds;
  }
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    seeds.push_back(seed_of(text.substr(begin, end - begin)));
    begin = end + 1;
  }
  return seeds;
}

void add_playing(cxxopts::Options& options) {
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

Playing playing_of(const cxxopts::ParseResult& parsed, const std::string& side) {
  Playing playing;
  const auto given = [&](const std::string& option) {
    const std::string own = option + "-" + side;
    return parsed[!side.empty() && parsed.count(own) > 0 ? own : option].as<std::string>();
  };
  const bool own = !side.empty() && parsed.count("driver-" + side) > 0;
  const std::string driver = given("driver"), role = given("role");
  if (role != "platform" && role != "application" && role != "sidecar") {
    throw UsageError("--role must be platform, application or sidecar, not \"" + role + "\"");
  }
  playing.role = role == "platform"      ? RouterRole::Platform
                 : role == "application" ? RouterRole::Application
                                         : RouterRole::Sidecar;
  if (driver != "virtual" && driver != "sockets") {
    throw UsageError("--driver must be virtual or sockets, not \"" + driver + "\"");
  }
  playing.driver = driver == "virtual" ? DriverKind::Virtual : DriverKind::Sockets;
  playing.unlimited = parsed.count("unlimited-memory") > 0;
  if (parsed.count("logs") > 0) playing.logs = parsed["logs"].as<std::string>();
  if (parsed.count("program") > 0) {
    if (playing.driver == DriverKind::Virtual && !own)
      throw UsageError("--program requires --driver sockets");
    playing.program = parsed["program"].as<std::string>();
  } else if (playing.driver == DriverKind::Sockets) {
    playing.program = shipped_router();
  }
  return playing;
}

std::string shipped_router() {
  std::error_code error;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
  if (!error) {
    const auto beside = self.parent_path() / "fernward";
    if (std::filesystem::exists(beside, error)) return beside.string();
  }
  return "fernward";
}

std::unique_ptr<Driver> make_driver(const Playing& playing) {
  if (playing.driver == DriverKind::Virtual) return make_virtual_driver();
  RigOptions options;
  options.program = playing.program;
  options.log_directory = playing.logs;
  options.check_memory = !playing.unlimited;
  options.role = playing.role;
  return make_rig_driver(std::move(options));
}

double slack_of(const Playing& playing, const model::Spec& spec) {
  return playing.driver == DriverKind::Virtual ? virtual_slack(spec) : kSocketsSlackMs;
}

const char* driver_name(const Playing& playing) {
  return playing.driver == DriverKind::Virtual ? "virtual" : "sockets";
}

bool print_faults(const Scenario& scenario) {
  for (const Fault& fault : scenario.faults) std::fprintf(stderr, "%s\n", fault.text().c_str());
  return !scenario.sound();
}

std::pair<Scenario, bool> load_scenario(const std::string& path, const std::vector<std::string>& settings,
                                        const Playing& playing) {
  Scenario scenario = read_scenario_file(path, playing.offer());
  if (scenario.sound()) set_values(scenario, settings, playing.offer());
  const bool sound = !print_faults(scenario);
  return {std::move(scenario), sound};
}

std::stop_token stop_on_signals() {
  struct sigaction action {};
  action.sa_handler = &ask_to_stop;
  action.sa_flags = static_cast<int>(SA_RESETHAND); // a second signal ends the program
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGTERM, &action, nullptr);
  // A signal handler may only set a flag; this thread turns the flag into a stop request.
  static std::stop_source source;
  static std::jthread watch([](std::stop_token over) {
    while (!over.stop_requested() && asked_to_stop == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    if (asked_to_stop != 0) source.request_stop();
  });
  return source.get_token();
}

Progress::Progress() : terminal_(isatty(STDERR_FILENO) == 1) {}
Progress::~Progress() {
  if (shown_ > 0) std::fprintf(stderr, "\r%*s\r", static_cast<int>(shown_), "");
}
void Progress::show(const std::string& text) {
  if (!terminal_) return;
  std::fprintf(stderr, "\r%-*s", static_cast<int>(shown_), text.c_str());
  shown_ = std::max(shown_, text.size());
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
      const std::string space(widths[i] - row[i].size(), ' ');
      out += i == 0 ? row[i] + space : "  " + space + row[i];
    }
    while (!out.empty() && out.back() == ' ') out.pop_back();
    out += '\n';
  }
  return out;
}

} // namespace fernward::lab
