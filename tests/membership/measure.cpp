// Prints how soon a failed and a restarted router are detected, how often a live router is declared dead, and
// the traffic. Usage: fernward_members_measure PERIOD_MS ROUTERS LOSS SECONDS SEED...   See
// docs/notes/fleet.md.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "router_tier.h"

using fernward::tests::RouterTier;

namespace {

// Milliseconds until the first other router, or all of them, consider router 0 alive or dead; -1: not within
// two minutes.
double time_until_known(RouterTier& tier, bool alive, bool all) {
  const double started_at = tier.now;
  const auto knows = [&](std::size_t i) { return i == 0 || tier.routers[i]->members().is_alive(0) == alive; };
  bool done = false;
  tier.run(120000, [&] {
    return done = all ? tier.all(knows) : !tier.all([&](std::size_t i) { return i == 0 || !knows(i); });
  });
  return done ? tier.now - started_at : -1;
}

void print_times(const char* label, std::vector<double> times_ms) {
  std::sort(times_ms.begin(), times_ms.end());
  std::printf("  %-28s median %6.2f s, min %6.2f, max %6.2f\n", label, times_ms[times_ms.size() / 2] / 1000,
              times_ms.front() / 1000, times_ms.back() / 1000);
}

} // namespace

int main(int argc, char** argv) {
  if (argc < 6) return std::fprintf(stderr, "usage: %s PERIOD_MS ROUTERS LOSS SECONDS SEED...\n", argv[0]), 2;
  const auto router_count = static_cast<std::size_t>(std::atoi(argv[2]));
  const double loss = std::atof(argv[3]), seconds = std::atof(argv[4]);
  fernward::membership::Settings settings;
  settings.period_ms = std::atof(argv[1]);
  std::vector<double> first_detection_ms, last_detection_ms, restart_detection_ms;
  double false_alarms = 0, bytes = 0, datagrams = 0, router_seconds = 0;
  for (int i = 5; i < argc; ++i) {
    RouterTier tier(router_count, static_cast<std::uint64_t>(std::atoi(argv[i])), settings);
    tier.loss = loss;
    std::vector<std::size_t> last_alive(router_count, router_count);
    // Counts each live router once per router that declares it dead.
    tier.before_tick = [&](std::size_t router) {
      const std::size_t now = tier.alive_count(router);
      false_alarms += now < last_alive[router] ? static_cast<double>(last_alive[router] - now) : 0;
      last_alive[router] = now;
    };
    tier.run(seconds * 1000);
    tier.before_tick = [](std::size_t) {};
    bytes += static_cast<double>(tier.bytes);
    datagrams += static_cast<double>(tier.datagrams);
    router_seconds += seconds * static_cast<double>(router_count);
    tier.kill(0);
    const double killed_at = tier.now;
    first_detection_ms.push_back(time_until_known(tier, false, false));
    last_detection_ms.push_back(time_until_known(tier, false, true) < 0 ? -1 : tier.now - killed_at);
    tier.run(10000);
    tier.start(0);
    restart_detection_ms.push_back(time_until_known(tier, true, true));
  }
  std::printf(
      "%zu routers, %.0f%% lost, %d seeds of %.0f s: %.1f datagrams, %.0f bytes per second and router\n",
      router_count, 100 * loss, argc - 5, seconds, datagrams / router_seconds, bytes / router_seconds);
  std::printf("  %.1f times per hour a live router is declared dead, over %zu pairs\n",
              false_alarms / (seconds * (argc - 5)) * 3600, router_count * (router_count - 1));
  print_times("failure detected by one after", first_detection_ms);
  print_times("and by all after", last_detection_ms);
  print_times("restart detected by all after", restart_detection_ms);
}
