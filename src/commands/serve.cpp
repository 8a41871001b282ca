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

#include "app_config/fleet.h"
#include "app_config/read.h"
#include "app_config/render.h"
#include "commands/command.h"
#include "commands/shared.h"
#include "config/config.h"
#include "log/log.h"
#include "router/router.h"

namespace fernward::commands {
namespace {

using arguments::Arguments;
using arguments::UsageError;

const char* nothing(const char*) { return nullptr; }

// Loads an application's file as a router configuration. Throws config::Error with the first error and the
// number of errors; with `print_all`, prints all errors and throws their number.
config::Config from_setup(const std::string& path, bool tell_all) {
  app_config::Setup setup = app_config::read_file(path, &environment);
  if (!setup.sound()) {
    if (tell_all) tell(setup);
    const std::size_t n = setup.faults.size();
    throw config::Error(tell_all ? path + ": " + std::to_string(n) + (n == 1 ? " error" : " errors")
                                 : setup.faults.front().coded() +
                                       (n > 1 ? " (and " + std::to_string(n - 1) + " more)" : ""));
  }
  if (setup.app.seed == 0) setup.app.seed = std::random_device()() | 1ull << 32;
  return config::parse(app_config::render(setup.app).dump(), &nothing);
}

// Loads the operators' file on what the routers share. Prints all errors; throws config::Error if there are
// any.
config::Fleet fleet_from(const std::string& path, const config::Config& config) {
  const app_config::FleetFile read = app_config::read_fleet_file(path);
  for (const auto& fault : read.faults) std::fprintf(stderr, "%s\n", fault.coded().c_str());
  const std::size_t n = read.faults.size();
  if (n > 0) throw config::Error(path + ": " + std::to_string(n) + (n == 1 ? " error" : " errors"));
  config::Fleet fleet = read.fleet;
  config::take_peers(config, fleet);
  return fleet;
}

struct Running {
  router::Router* router = nullptr;
  std::function<config::Config()> read_again;
  std::string format; // value of --log-format; empty: use the format of the file
};

void begin_shutdown(int, short, void* running) { static_cast<Running*>(running)->router->begin_shutdown(); }

// On SIGHUP. A file that is unreadable or invalid changes nothing.
void reload(int, short, void* self) {
  auto* running = static_cast<Running*>(self);
  try {
    running->router->reload(running->read_again());
    if (!running->format.empty()) log::write_json(running->format == "json");
  } catch (const std::exception& error) {
    log::line("reload-refused", {{"why", error.what()}});
  }
}

// Raises the process's descriptor limit to the configured one. If the system grants fewer descriptors, the
// tables are sized by the granted number.
void raise_descriptor_limit(config::Config& config) {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0 || files.rlim_cur >= config.sockets) return;
  files.rlim_cur = std::min<rlim_t>(files.rlim_max, config.sockets);
  setrlimit(RLIMIT_NOFILE, &files);
  if (files.rlim_cur >= config.sockets) return;
  log::line("descriptors-fewer", {{"promised", config.sockets}, {"granted", files.rlim_cur}});
  config.sockets = static_cast<std::uint32_t>(files.rlim_cur);
}

int run(config::Config config, Running running, const std::optional<config::Fleet>& fleet) {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN); // at the file size limit, the write of a spilled body fails, which is handled
  signal(SIGHUP, SIG_IGN);  // until the router can reload
  raise_descriptor_limit(config);
  const router::BasePtr base = router::make_base();
  auto from = router::inherit(config);
  router::Router router(config, base.get(), from ? &*from : nullptr, fleet ? &*fleet : nullptr);
  if (!running.format.empty()) log::write_json(running.format == "json");
  running.router = &router;
  std::vector<loop::EventPtr> signals;
  for (const auto& [number, what] :
       {std::pair(SIGTERM, &begin_shutdown), {SIGINT, &begin_shutdown}, {SIGHUP, &reload}}) {
    signals.emplace_back(evsignal_new(base.get(), number, what, &running));
    event_add(signals.back().get(), nullptr);
  }
  event_base_dispatch(base.get());
  return arguments::kWell;
}

} // namespace

int serve(const Arguments& given) {
  cxxopts::Options options("fernward serve", "Run the router");
  options.add_options()(
      "config", "An application's file (TOML); default: the platform file (JSON) named by NODE_CONFIG",
      cxxopts::value<std::string>())(
      "fleet", "A file (TOML) on what the routers of a tier share; default: they share nothing",
      cxxopts::value<std::string>())("log-format", "text or json; overrides the file",
                                     cxxopts::value<std::string>());
  const auto parsed = arguments::parse(options, given);
  Running running;
  running.format = log_format(parsed);
  if (running.format == "json") log::write_json(true);
  if (parsed.count("config") == 0) {
    running.read_again = [] { return config::reload(&environment); };
    config::Config config = config::load(&environment);
    std::optional<config::Fleet> fleet;
    if (parsed.count("fleet") > 0) fleet = fleet_from(parsed["fleet"].as<std::string>(), config);
    return run(std::move(config), std::move(running), fleet);
  }
  if (parsed.count("fleet") > 0)
    throw UsageError("--fleet requires the platform file, which lists the peers");
  const std::string path = parsed["config"].as<std::string>();
  running.read_again = [path] { return from_setup(path, false); };
  return run(from_setup(path, true), std::move(running), std::nullopt);
}

int check_config(const Arguments& given) {
  cxxopts::Options options("fernward check-config", "Check the platform file named by NODE_CONFIG");
  options.add_options()("fleet", "Also check this file on what the routers of a tier share",
                        cxxopts::value<std::string>());
  const auto parsed = arguments::parse(options, given);
  const config::Config config = config::load(&environment);
  if (parsed.count("fleet") > 0) fleet_from(parsed["fleet"].as<std::string>(), config);
  std::printf("%s: sound\n", config.name.c_str());
  return arguments::kWell;
}

} // namespace fernward::commands
