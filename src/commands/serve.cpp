// fernward serve: runs the router with the platform JSON (NODE_CONFIG) or an application's file (--config).
// fernward check-config: checks the platform JSON.
#include <event2/event.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <optional>
#include <random>

#include "app_config/read.h"
#include "app_config/render.h"
#include "app_config/router_fleet.h"
#include "commands/command.h"
#include "commands/common.h"
#include "config/config.h"
#include "log/log.h"
#include "memory/allocations.h"
#include "router/router.h"

namespace fernward::commands {
namespace {

using arguments::Arguments;
using arguments::UsageError;

const char* empty_environment(const char*) { return nullptr; }

// Loads an application's file as a router configuration. Throws config::Error with the first error and the
// number of errors; with `print_all`, prints all errors and throws their number.
config::Config load_app_config(const std::string& path, bool print_all) {
  app_config::LoadedConfig config = app_config::load_config(path, &environment_variable);
  if (!config.valid()) {
    if (print_all) print_errors(config);
    const std::size_t error_count = config.errors.size();
    throw config::Error(
        print_all ? path + ": " + std::to_string(error_count) + (error_count == 1 ? " error" : " errors")
                  : config.errors.front().to_string_with_code() +
                        (error_count > 1 ? " (and " + std::to_string(error_count - 1) + " more)" : ""));
  }
  if (config.app.seed == 0) config.app.seed = std::random_device()() | 1ull << 32;
  return config::parse(app_config::to_platform_json(config.app).dump(), &empty_environment);
}

// Loads the operators' file on what the routers share. Prints all errors; throws config::Error if there are
// any.
config::RouterFleetConfig load_fleet_config(const std::string& path, const config::Config& config) {
  const app_config::RouterFleetFile file = app_config::load_router_fleet(path);
  for (const auto& error : file.errors) std::fprintf(stderr, "%s\n", error.to_string_with_code().c_str());
  const std::size_t error_count = file.errors.size();
  if (error_count > 0)
    throw config::Error(path + ": " + std::to_string(error_count) +
                        (error_count == 1 ? " error" : " errors"));
  config::RouterFleetConfig fleet = file.fleet;
  config::add_peers(config, fleet);
  return fleet;
}

struct RunContext {
  router::Router* router = nullptr;
  std::function<config::Config()> reload_config;
  std::string log_format_override; // value of --log-format; empty: use the format of the file
};

void begin_shutdown(int, short, void* context) {
  static_cast<RunContext*>(context)->router->begin_shutdown();
}

// On SIGHUP. A file that is unreadable or invalid changes nothing.
void reload(int, short, void* context) {
  auto* run_context = static_cast<RunContext*>(context);
  try {
    run_context->router->reload(run_context->reload_config());
    if (!run_context->log_format_override.empty())
      log::set_json_format(run_context->log_format_override == "json");
  } catch (const std::exception& error) {
    log::line("reload-refused", {{"why", error.what()}});
  }
}

// Raises the process's descriptor limit to the configured one. If the system grants fewer descriptors, the
// tables are sized by the granted number.
void raise_descriptor_limit(config::Config& config) {
  rlimit descriptor_limit{};
  if (getrlimit(RLIMIT_NOFILE, &descriptor_limit) != 0 || descriptor_limit.rlim_cur >= config.max_descriptors)
    return;
  descriptor_limit.rlim_cur = std::min<rlim_t>(descriptor_limit.rlim_max, config.max_descriptors);
  setrlimit(RLIMIT_NOFILE, &descriptor_limit);
  if (descriptor_limit.rlim_cur >= config.max_descriptors) return;
  log::line("descriptors-fewer",
            {{"promised", config.max_descriptors}, {"granted", descriptor_limit.rlim_cur}});
  config.max_descriptors = static_cast<std::uint32_t>(descriptor_limit.rlim_cur);
}

// A further signal would end the process by its default action once the handlers are gone, and look like a
// crash.
void block_termination_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, number);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

int run_router(config::Config config, RunContext context,
               const std::optional<config::RouterFleetConfig>& fleet) {
  memory::count_libevent_allocations();
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN); // at the file size limit, the write of a spilled body fails, which is handled
  signal(SIGHUP, SIG_IGN);  // until the router can reload
  raise_descriptor_limit(config);
  const router::EventBasePtr base = router::make_event_base();
  auto inherited = router::request_inherited_state(config);
  router::Router router(config, base.get(), inherited ? &*inherited : nullptr, fleet ? &*fleet : nullptr);
  if (!context.log_format_override.empty()) log::set_json_format(context.log_format_override == "json");
  context.router = &router;
  std::vector<loop::EventPtr> signals;
  for (const auto& [number, handler] :
       {std::pair(SIGTERM, &begin_shutdown), {SIGINT, &begin_shutdown}, {SIGHUP, &reload}}) {
    signals.emplace_back(evsignal_new(base.get(), number, handler, &context));
    event_add(signals.back().get(), nullptr);
  }
  event_base_dispatch(base.get());
  block_termination_signals();
  return arguments::kSuccess;
}

} // namespace

int serve(const Arguments& args) {
  cxxopts::Options options("fernward serve", "Run the router");
  options.add_options()(
      "config", "An application's file (TOML); default: the platform file (JSON) named by NODE_CONFIG",
      cxxopts::value<std::string>())(
      "fleet", "A file (TOML) on what the routers of a tier share; default: they share nothing",
      cxxopts::value<std::string>())("log-format", "text or json; overrides the file",
                                     cxxopts::value<std::string>());
  const auto parsed = arguments::parse(options, args);
  RunContext context;
  context.log_format_override = log_format(parsed);
  if (context.log_format_override == "json") log::set_json_format(true);
  if (parsed.count("config") == 0) {
    context.reload_config = [] { return config::reload(&environment_variable); };
    config::Config config = config::load(&environment_variable);
    std::optional<config::RouterFleetConfig> fleet;
    if (parsed.count("fleet") > 0) fleet = load_fleet_config(parsed["fleet"].as<std::string>(), config);
    return run_router(std::move(config), std::move(context), fleet);
  }
  if (parsed.count("fleet") > 0)
    throw UsageError("--fleet requires the platform file, which lists the peers");
  const std::string path = parsed["config"].as<std::string>();
  context.reload_config = [path] { return load_app_config(path, false); };
  return run_router(load_app_config(path, true), std::move(context), std::nullopt);
}

int check_config(const Arguments& args) {
  cxxopts::Options options("fernward check-config", "Check the platform file named by NODE_CONFIG");
  options.add_options()("fleet", "Also check this file on what the routers of a tier share",
                        cxxopts::value<std::string>());
  const auto parsed = arguments::parse(options, args);
  const config::Config config = config::load(&environment_variable);
  if (parsed.count("fleet") > 0) load_fleet_config(parsed["fleet"].as<std::string>(), config);
  std::printf("%s: sound\n", config.name.c_str());
  return arguments::kSuccess;
}

} // namespace fernward::commands
