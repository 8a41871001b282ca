// fernward sidecar: the router of one application, and the application.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "app_config/host.h"
#include "app_config/read.h"
#include "commands/command.h"
#include "commands/shared.h"
#include "log/log.h"
#include "sidecar/beside.h"
#include "sidecar/claim.h"

namespace fernward::commands {
namespace {

constexpr double kWindDownMs = 1200; // beyond the longest give-up time: see router/graceful_shutdown.h
constexpr double kLookMs = 50;

// By the router of a sidecar that crashed: it answers what it has taken, and ends.
bool only_taken(const app_config::Setup& setup) {
  return setup.faults.size() == 1 && setup.faults.front().code == "listen-taken";
}

} // namespace

int sidecar(const arguments::Arguments& given) {
  cxxopts::Options options(
      "fernward sidecar",
      "Run the router and the application beside it: the application starts once the router is ready, "
      "with the address in its environment, and its exit code is this one's");
  options.add_options()("config", "The application's file (TOML)", cxxopts::value<std::string>())(
      "log-format", "text or json; goes before the file's", cxxopts::value<std::string>());
  options.custom_help("[OPTION...] -- COMMAND [WORD...]");
  const auto split = std::find(given.begin(), given.end(), "--");
  const auto parsed = arguments::parse(options, {given.begin(), split});
  if (parsed.count("config") != 1) throw arguments::UsageError("--config is wanted");
  if (split == given.end() || split + 1 == given.end())
    throw arguments::UsageError("wanted: -- COMMAND, the application");
  const std::string path = parsed["config"].as<std::string>();
  std::string format = log_format(parsed);

  app_config::Setup setup = app_config::read_file(path, &environment);
  if (!tell(setup)) return arguments::kBad;
  const app_config::App& app = setup.app;
  if (format.empty() && app.log.format == 1) format = "json";
  log::write_json(format == "json");
  // The claim first: who has it is told by name, where the bind could only say that somebody listens.
  const std::string folder =
      app.application.runtime_folder.empty() ? sidecar::runtime_folder() : app.application.runtime_folder;
  const sidecar::Claim claim(folder, app.listen, app.name);
  double longest = 0;
  for (const auto& cls : app.classes) longest = std::max(longest, cls.give_up_ms);
  app_config::check_host(setup, path);
  for (double waited = 0; claim.left_behind() && only_taken(setup) && waited < longest + kWindDownMs;
       waited += kLookMs) {
    usleep(static_cast<useconds_t>(1000 * kLookMs));
    setup.faults.clear();
    app_config::check_host(setup, path);
  }
  if (!tell(setup)) return arguments::kBad;

  sidecar::Programs programs;
  programs.address = app.listen;
  programs.router = {"/proc/self/exe", "serve", "--config", path};
  if (!format.empty()) programs.router.insert(programs.router.end(), {"--log-format", format});
  programs.application = {split + 1, given.end()};
  programs.environment = app.application.environment;
  programs.environment.push_back(app.application.address_variable + "=" + app.listen);
  sidecar::Rules rules;
  rules.ready_ms = app.application.ready_ms;
  rules.stop_ms = app.application.stop_ms;
  rules.restart_first_ms = app.application.restart_first_ms;
  rules.restart_most_ms = app.application.restart_most_ms;
  rules.drain_ms = longest + kWindDownMs;
  return sidecar::run(programs, rules);
}

} // namespace fernward::commands
