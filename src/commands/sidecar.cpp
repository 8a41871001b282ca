// fernward sidecar: runs one application and its router as child processes.
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

constexpr double kWindDownMs = 1200; // after the longest client timeout: see router/graceful_shutdown.h
constexpr double kLookMs = 50;

// Whether the only error is that the address is in use. The router of a crashed sidecar still holds it: it
// finishes its active requests and ends.
bool only_taken(const app_config::Setup& setup) {
  return setup.faults.size() == 1 && setup.faults.front().code == "listen-taken";
}

} // namespace

int sidecar(const arguments::Arguments& given) {
  cxxopts::Options options(
      "fernward sidecar",
      "Run the router and its application: the application is started once the router is ready, with "
      "the router's address in its environment; its exit code is returned");
  options.add_options()("config", "The application's file (TOML)", cxxopts::value<std::string>())(
      "log-format", "text or json; overrides the file", cxxopts::value<std::string>());
  options.custom_help("[OPTION...] -- COMMAND [WORD...]");
  const auto split = std::find(given.begin(), given.end(), "--");
  const auto parsed = arguments::parse(options, {given.begin(), split});
  if (parsed.count("config") != 1) throw arguments::UsageError("--config is required");
  if (split == given.end() || split + 1 == given.end())
    throw arguments::UsageError("missing -- COMMAND, the application");
  const std::string path = parsed["config"].as<std::string>();
  std::string format = log_format(parsed);

  app_config::Setup setup = app_config::read_file(path, &environment);
  if (!tell(setup)) return arguments::kBad;
  const app_config::App& app = setup.app;
  if (format.empty() && app.log.format == 1) format = "json";
  log::write_json(format == "json");
  // The claim comes first: it reports the owner of the address by name, bind() only that it is in use.
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
