// Prints how soon a failed and a restarted router are detected, how often a live router is declared dead, and
// the traffic. Usage: fernward_members_measure PERIOD_MS ROUTERS LOSS SECONDS SEED...   See
// docs/notes/fleet.md.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "tier.h"

using fernward::tests::Tier;

namespace {

// Time until the first or the last other router considers router 0 alive or dead; -1: not within two minutes.
double until(Tier& tier, bool living, bool all) {
  const double from = tier.now;
  const auto knows = [&](std::size_t i) { return i == 0 || tier.routers[i]->members().alive(0) == living; };
  bool done = false;
  tier.run(120000, [&] {
    return done = all ? tier.all(knows) : !tier.all([&](std::size_t i) { return i == 0 || !knows(i); });
  });
  return done ? tier.now - from : -1;
}

void tell(const char* what, std::vector<double> all) {
  std::sort(all.begin(), all.end());
  std::printf("  %-28s median %6.2f s, min %6.2f, max %6.2f\n", what, all[all.size() / 2] / 1000,
              all.front() / 1000, all.back() / 1000);
}

} // namespace

int main(int argc, char** argv) {
  if (argc < 6) return std::fprintf(stderr, "usage: %s PERIOD_MS ROUTERS LOSS SECONDS SEED...\n", argv[0]), 2;
  const auto n = static_cast<std::size_t>(std::atoi(argv[2]));
  const double loss = std::atof(argv[3]), seconds = std::atof(argv[4]);
  fernward::membership::Rules rules;
  rules.period_ms = std::atof(argv[1]);
  std::vector<double> first, last, back;
  double alarms = 0, bytes = 0, datagrams = 0, of = 0;
  for (int i = 5; i < argc; ++i) {
    Tier tier(n, static_cast<std::uint64_t>(std::atoi(argv[i])), rules);
    tier.loss = loss;
    std::vector<std::size_t> seen(n, n);
    tier.before_tick = [&](std::size_t r) { // counts each live router once per router that declares it dead
      const std::size_t now = tier.living(r);
      alarms += now < seen[r] ? static_cast<double>(seen[r] - now) : 0;
      seen[r] = now;
    };
    tier.run(seconds * 1000);
    tier.before_tick = [](std::size_t) {};
    bytes += static_cast<double>(tier.bytes);
    datagrams += static_cast<double>(tier.datagrams);
    of += seconds * static_cast<double>(n);
    tier.kill(0);
    const double at = tier.now;
    first.push_back(until(tier, false, false));
    last.push_back(until(tier, false, true) < 0 ? -1 : tier.now - at);
    tier.run(10000);
    tier.start(0);
    back.push_back(until(tier, true, true));
  }
  std::printf(
      "%zu routers, %.0f%% lost, %d seeds of %.0f s: %.1f datagrams, %.0f bytes per second and router\n", n,
      100 * loss, argc - 5, seconds, datagrams / of, bytes / of);
  std::printf("  %.1f times per hour a live router is declared dead, over %zu pairs\n",
              alarms / (seconds * (argc - 5)) * 3600, n * (n - 1));
  tell("failure detected by one after", first);
  tell("and by all after", last);
  tell("restart detected by all after", back);
}
