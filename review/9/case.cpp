// A router dies. While it is gone, its agent gets the news that a cache drains; then discovery is down, for 8 s.
// The router is started again within that time. What the agent has counts as told from its first moment.
#include "../kit-2/kit.h"

using namespace kit;

namespace {
constexpr double kGraceMs = 250 + 50; // drain_grace, and "Each time limit grows by 50 ms"
// Hardly any key comes twice: which caches the router prefers for keys that they hold plays no part.
constexpr int kKeys = 100000;
constexpr double kOutageMs = 8000; // "discovery is down for 8 s"
constexpr double kAwayMs = 1500;   // "come back after 1.5 to 5.9 s"
} // namespace

int main() {
  begin();
  // The time of the class's work, and reports that say so: a cache that the router has not used yet looks no worse to
  // it than one that it knows.
  const auto stored = std::make_shared<Stored>();
  const Server::Handle cache = [stored](const Attempt& attempt, Stream& stream) {
    sleep_ms(80);
    const std::string load = "X-Server-Load: eps=0,latency_ms=80,queue=0,x1=0\r\n";
    if (!stored->holds_or_missed(attempt))
      return stream.write(response(404, "", load + "X-Cache-Status: miss\r\n"));
    return stream.write(
        response(200, Server::value_for(attempt.server, attempt), load + "X-Cache-Status: hit\r\n"));
  };
  const Server::Handle ledger = [stored](const Attempt& attempt, Stream& stream) {
    sleep_ms(80);
    stored->fetched(attempt);
    return stream.write(response(200, Server::value_for(attempt.server, attempt), kLoad));
  };
  Fleet fleet(4, cache, ledger);
  const RouterFiles files = router_files(fleet);
  const std::string known = fleet.agent->known();
  write_file(files.config_path, config_json(files, 0, known, kSiteClasses));
  auto router = std::make_unique<Router>(files, 0, "first.log");
  if (!router->wait_ready()) cannot_run("the router did not become ready");
  {
    Lookups lookups(files.port, 60, kKeys);
    sleep_ms(2000);
    lookups.stop();
    if (fleet.cache(1).attempts().size() < 5) cannot_run("the cache was not in use before");
  }
  // The list that the router had last; it is in the configuration of the next start.
  router->send_signal(SIGKILL, "SIGKILL");
  if (!router->wait_exit(now_ms() + 2000)) cannot_run("the router did not end");
  const double away_since = now_ms();
  sleep_ms(500);
  fleet.agent->change("c1", "terminating");
  sleep_ms(500);
  if (trouble()) fleet.agent->set_silent(true);
  const double silent_since = now_ms();
  sleep_until(away_since + kAwayMs);
  const double started_at = now_ms();
  router = std::make_unique<Router>(files, 0, "second.log");
  // Clients come "once all routers are ready, or after 30 s"; a router comes into use with its 200.
  const bool ready = router->wait_ready(silent_since + kOutageMs - now_ms());
  Lookups lookups(files.port, 60, kKeys);
  sleep_until(silent_since + kOutageMs);
  if (trouble()) fleet.agent->set_silent(false);
  if (!ready && !router->wait_ready(5000)) cannot_run("the router did not become ready after the outage");
  sleep_ms(3000);
  lookups.stop();
  if (router->has_exited()) verdict(true, "the router has ended by itself");
  say("%d lookups, %d served", lookups.sent(), lookups.served());
  if (lookups.served() < 60) cannot_run("the router served too little for a verdict");
  int late = 0;
  double first_after = 0;
  for (const Attempt& attempt : fleet.cache(1).attempts()) {
    if (attempt.first_byte_at <= started_at + kGraceMs) continue;
    if (late++ == 0) first_after = attempt.first_byte_at - started_at;
  }
  if (late > 0)
    say("the first of %d sends to the draining cache came %.0f ms after the start", late, first_after);
  verdict(late > 0, "rule on drains: sends to a cache that drains, as the agent has it");
}
