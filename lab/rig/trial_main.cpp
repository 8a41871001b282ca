// fernward-rig: runs the driver on sockets or in virtual time, with a fleet built from a few parameters. For
// trials of the rig.
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <stop_token>

#include "lab/relay/relay.h"
#include "lab/rig/rig.h"
#include "lab/rig/trial_fleet.h"
#include "lab/virtual/virtual_driver.h"

namespace {

using namespace fernward;

std::stop_source stop_requested; // NOLINT: a signal handler can access it only as a global
void on_stop_signal(int) { stop_requested.request_stop(); }

void print_summary(const lab::RunInfo& info, rig::CountingSink& counts) {
  std::printf(
      "drawn %llu, tries %llu (%llu accepted), ended %llu: served %llu, rejected %llu, failed %llu, other "
      "%llu\n",
      counts.drawn, counts.tried, counts.accepted, counts.requests_ended, counts.requests_by_outcome[0],
      counts.requests_by_outcome[1], counts.requests_by_outcome[2],
      counts.requests_ended - counts.requests_by_outcome[0] - counts.requests_by_outcome[1] -
          counts.requests_by_outcome[2]);
  std::printf("attempts %llu (at the origin %llu), ended %llu, hits %llu; not genuine %llu, surplus %llu\n",
              counts.arrived, counts.origin_attempts, counts.attempts_ended, counts.hits, counts.not_genuine,
              counts.surplus);
  std::printf("latency ms p50 %.1f p99 %.1f\n", counts.latency(0.5), counts.latency(0.99));
  std::printf(
      "lateness of sends ms p50 %.3f p99 %.3f p99.9 %.3f max %.3f; of responses p50 %.3f p99 %.3f max %.3f\n",
      info.send_lateness_ms.p50, info.send_lateness_ms.p99, info.send_lateness_ms.p999,
      info.send_lateness_ms.max, info.response_lateness_ms.p50, info.response_lateness_ms.p99,
      info.response_lateness_ms.max);
  std::printf(
      "wall %.2f s, scenario %.2f s, cpu %.2f s (load generator %.2f s, %.1f us per try), peak %.0f MB\n",
      info.wall_s, info.scenario_elapsed_ms / 1000, info.cpu_s, info.load_generator_cpu_s,
      counts.tried > 0 ? info.load_generator_cpu_s * 1e6 / static_cast<double>(counts.tried) : 0,
      info.peak_memory_mb);
  for (const auto& router : info.routers) {
    std::printf("router %u: cpu %.2f s, peak %.1f MB, %u descriptors\n", router.router, router.cpu_s,
                router.peak_memory_mb, router.peak_sockets);
  }
  for (const auto& reason : info.void_reasons) std::printf("void: %s\n", reason.c_str());
}

void print_events(const rig::CountingSink& counts) {
  constexpr const char* kNodeEvents[] = {"started", "warm",     "draining",     "ended",        "tipped over",
                                         "silent",  "returned", "neighbour on", "neighbour off"};
  constexpr const char* kRouterEvents[] = {"started", "ready",    "term",   "killed",  "ended",
                                           "crashed", "reloaded", "silent", "returned"};
  constexpr const char* kStates[] = {"ready", "draining", "gone"};
  for (const auto& event : counts.node_events) {
    std::printf("%8.0f machine %u %s\n", event.at, event.machine, kNodeEvents[static_cast<int>(event.what)]);
  }
  for (const auto& event : counts.router_events) {
    std::printf("%8.0f router %u %s\n", event.at, event.router, kRouterEvents[static_cast<int>(event.what)]);
  }
  for (const auto& notification : counts.notifications) {
    std::printf("%8.0f router %u notified: machine %u %s%s\n", notification.at, notification.router,
                notification.machine, kStates[static_cast<int>(notification.state)],
                notification.assumed ? " (assumed)" : "");
  }
}

} // namespace

int main(int argc, char** argv) {
  if (argc > 1 && std::string(argv[1]) == "relay") return rig::relay_as_router();
  cxxopts::Options options("fernward-rig", "Runs the lab's driver on sockets with a small fleet");
  options.add_options()("program", "The router", cxxopts::value<std::string>()->default_value("fernward"))(
      "nodes", "Cache nodes", cxxopts::value<std::uint32_t>()->default_value("6"))(
      "routers", "Routers", cxxopts::value<std::uint32_t>()->default_value("2"))(
      "rate", "Requests per second", cxxopts::value<double>()->default_value("200"))(
      "seconds", "Duration, s", cxxopts::value<double>()->default_value("5"))(
      "seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "work", "Mean work of a request, ms", cxxopts::value<double>()->default_value("20"))(
      "sockets", "Descriptors of a router", cxxopts::value<std::uint32_t>()->default_value("1024"))(
      "event", "Event in the middle of the run", cxxopts::value<std::string>()->default_value(""))(
      "no-origin", "Run without an origin: nodes serve all requests")(
      "relay", "Run the byte relay in place of the routers")(
      "logs", "Directory for the routers' logs", cxxopts::value<std::string>()->default_value(""))(
      "keep", "Keep running until Ctrl-C")("events", "Print all events")(
      "virtual", "Run in virtual time instead")("h,help", "Print this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::printf("%s", options.help().c_str());
      return 0;
    }
    rig::TrialFleet fleet;
    fleet.nodes = arguments["nodes"].as<std::uint32_t>();
    fleet.routers = arguments["routers"].as<std::uint32_t>();
    fleet.rate_per_s = arguments["rate"].as<double>();
    fleet.seconds = arguments["seconds"].as<double>();
    fleet.seed = arguments["seed"].as<std::uint64_t>();
    fleet.work_ms = arguments["work"].as<double>();
    fleet.sockets = arguments["sockets"].as<std::uint32_t>();
    fleet.origin = arguments.count("no-origin") == 0;
    model::Spec spec = rig::trial_spec(fleet);
    rig::add_event(spec, arguments["event"].as<std::string>());
    for (const auto& fault : model::find_spec_errors(spec))
      std::fprintf(stderr, "%s: %s\n", fault.path.c_str(), fault.reason.c_str());
    lab::RigOptions rig_options;
    rig_options.program = arguments["program"].as<std::string>();
    rig_options.log_directory = arguments["logs"].as<std::string>();
    rig_options.keep_running = arguments.count("keep") > 0;
    if (arguments.count("relay") > 0) {
      rig_options.programs_by_router.assign(fleet.routers, {{argv[0], "relay"}, true});
    }
    rig_options.on_ready = [](const std::vector<std::string>& addresses) {
      for (const auto& address : addresses) std::printf("router at %s\n", address.c_str());
      std::fflush(stdout);
    };
    std::signal(SIGINT, on_stop_signal);
    std::signal(SIGTERM, on_stop_signal);
    rig::CountingSink counts;
    lab::RunControl control;
    control.stop = stop_requested.get_token();
    const auto driver =
        arguments.count("virtual") > 0 ? lab::make_virtual_driver() : lab::make_rig_driver(rig_options);
    const lab::RunInfo info = driver->run(spec, counts, control);
    print_summary(info, counts);
    if (arguments.count("events") > 0) print_events(counts);
    return info.is_void ? 1 : 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fernward-rig: %s\n", error.what());
    return 1;
  }
}
