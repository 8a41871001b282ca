// fernward sidecar: runs one application and its router as child processes.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "app_config/host_checks.h"
#include "app_config/read.h"
#include "commands/command.h"
#include "commands/common.h"
#include "log/log.h"
#include "sidecar/address_claim.h"
#include "sidecar/runner.h"

namespace fernward::commands {
namespace {

constexpr double kShutdownGraceMs = 1200; // after the longest client timeout: see router/graceful_shutdown.h
constexpr double kAddressPollMs = 50;

// Whether the only error is that the address is in use. The router of a crashed sidecar still holds it: it
// finishes its active requests and ends.
bool only_address_in_use(const app_config::LoadedConfig& config) {
  return config.errors.size() == 1 && config.errors.front().code == "listen-taken";
}

} // namespace

int sidecar(const arguments::Arguments& args) {
  cxxopts::Options options(
      "fernward sidecar",
      "Run the router and its application: the application is started once the router is ready, with "
      "the router's address in its environment; its exit code is returned");
  options.add_options()("config", "The application's file (TOML)", cxxopts::value<std::string>())(
      "log-format", "text or json; overrides the file", cxxopts::value<std::string>());
  options.custom_help("[OPTION...] -- COMMAND [WORD...]");
  const auto separator = std::find(args.begin(), args.end(), "--");
  const auto parsed = arguments::parse(options, {args.begin(), separator});
  if (parsed.count("config") != 1) throw arguments::UsageError("--config is required");
  if (separator == args.end() || separator + 1 == args.end())
    throw arguments::UsageError("missing -- COMMAND, the application");
  const std::string path = parsed["config"].as<std::string>();
  std::string log_format_name = log_format(parsed);

  app_config::LoadedConfig config = app_config::load_config(path, &environment_variable);
  if (!print_errors(config)) return arguments::kFailure;
  const app_config::AppConfig& app = config.app;
  if (log_format_name.empty() && app.log.format == 1) log_format_name = "json";
  log::set_json_format(log_format_name == "json");
  // The claim comes first: it reports the owner of the address by name, bind() only that it is in use.
  const std::string folder = app.application.runtime_folder.empty() ? sidecar::default_runtime_folder()
                                                                    : app.application.runtime_folder;
  const sidecar::AddressClaim claim(folder, app.listen_address, app.name);
  double longest_timeout_ms = 0;
  for (const auto& cls : app.classes)
    longest_timeout_ms = std::max(longest_timeout_ms, cls.client_timeout_ms);
  app_config::check_host(config, path);
  for (double waited_ms = 0; claim.left_by_crash() && only_address_in_use(config) &&
                             waited_ms < longest_timeout_ms + kShutdownGraceMs;
       waited_ms += kAddressPollMs) {
    usleep(static_cast<useconds_t>(1000 * kAddressPollMs));
    config.errors.clear();
    app_config::check_host(config, path);
  }
  if (!print_errors(config)) return arguments::kFailure;

  sidecar::Programs programs;
  programs.router_address = app.listen_address;
  programs.router_command = {"/proc/self/exe", "serve", "--config", path};
  if (!log_format_name.empty())
    programs.router_command.insert(programs.router_command.end(), {"--log-format", log_format_name});
  programs.application_command = {separator + 1, args.end()};
  programs.environment = app.application.environment;
  programs.environment.push_back(app.application.address_variable + "=" + app.listen_address);
  sidecar::SupervisorSettings supervisor_settings;
  supervisor_settings.ready_timeout_ms = app.application.router_ready_timeout_ms;
  supervisor_settings.stop_timeout_ms = app.application.stop_timeout_ms;
  supervisor_settings.restart_backoff_min_ms = app.application.restart_backoff_min_ms;
  supervisor_settings.restart_backoff_max_ms = app.application.restart_backoff_max_ms;
  supervisor_settings.drain_timeout_ms = longest_timeout_ms + kShutdownGraceMs;
  return sidecar::run(programs, supervisor_settings);
}

} // namespace fernward::commands
