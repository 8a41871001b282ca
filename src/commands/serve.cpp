// fernward serve: the router, from the platform's JSON (NODE_CONFIG) or from an application's file
// (--config). fernward check-config: the former, checked.
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

// An application's file as the router takes it. Throws config::Error: the first fault, and how many there
// are.
config::Config from_setup(const std::string& path, bool tell_all) {
  app_config::Setup setup = app_config::read_file(path, &environment);
  if (!setup.sound()) {
    if (tell_all) tell(setup);
    const std::size_t n = setup.faults.size();
    throw config::Error(tell_all ? path + ": " + std::to_string(n) + (n == 1 ? " fault" : " faults")
                                 : setup.faults.front().coded() +
                                       (n > 1 ? " (and " + std::to_string(n - 1) + " more)" : ""));
  }
  if (setup.app.seed == 0) setup.app.seed = std::random_device()() | 1ull << 32;
  return config::parse(app_config::render(setup.app).dump(), &nothing);
}

// What the operators' file switches on. Throws config::Error: its faults, all of them told.
config::Fleet fleet_from(const std::string& path, const config::Config& config) {
  const app_config::FleetFile read = app_config::read_fleet_file(path);
  for (const auto& fault : read.faults) std::fprintf(stderr, "%s\n", fault.coded().c_str());
  const std::size_t n = read.faults.size();
  if (n > 0) throw config::Error(path + ": " + std::to_string(n) + (n == 1 ? " fault" : " faults"));
  config::Fleet fleet = read.fleet;
  config::take_peers(config, fleet);
  return fleet;
}

struct Running {
  router::Router* router = nullptr;
  std::function<config::Config()> read_again;
  std::string format; // of --log-format; empty: as the file says
};

void begin_shutdown(int, short, void* running) { static_cast<Running*>(running)->router->begin_shutdown(); }

// A file that can't be read or is faulty changes nothing.
void reload(int, short, void* self) {
  auto* running = static_cast<Running*>(self);
  try {
    running->router->reload(running->read_again());
    if (!running->format.empty()) log::write_json(running->format == "json");
  } catch (const std::exception& error) {
    log::line("reload-refused", {{"why", error.what()}});
  }
}

// The tables are sized by what the system grants, where that is less than was promised.
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
  signal(SIGXFSZ, SIG_IGN); // a body's file at the process's limit: the write fails, and that is dealt with
  signal(SIGHUP, SIG_IGN);  // until the router is there to reload
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
  options.add_options()("config",
                        "An application's file (TOML); without it NODE_CONFIG names the platform's (JSON)",
                        cxxopts::value<std::string>())(
      "fleet", "A file (TOML) on what the routers of a tier share; without it nothing",
      cxxopts::value<std::string>())("log-format", "text or json; goes before the file's",
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
  if (parsed.count("fleet") > 0) throw UsageError("--fleet needs the platform's file, which names the peers");
  const std::string path = parsed["config"].as<std::string>();
  running.read_again = [path] { return from_setup(path, false); };
  return run(from_setup(path, true), std::move(running), std::nullopt);
}

int check_config(const Arguments& given) {
  cxxopts::Options options("fernward check-config", "Check the file that NODE_CONFIG names");
  options.add_options()("fleet", "And this file on what the routers of a tier share",
                        cxxopts::value<std::string>());
  const auto parsed = arguments::parse(options, given);
  const config::Config config = config::load(&environment);
  if (parsed.count("fleet") > 0) fleet_from(parsed["fleet"].as<std::string>(), config);
  std::printf("%s: sound\n", config.name.c_str());
  return arguments::kWell;
}

} // namespace fernward::commands
