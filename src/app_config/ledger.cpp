#include "app_config/ledger.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace fernward::app_config {
namespace {

struct Ranks { // adjacent ranks with nearly equal request probability
  double count, p;
};

// Groups of ranks whose bounds grow by a fiftieth: about 700 groups for 20 million keys.
std::vector<Ranks> stretches(std::uint32_t keys, double zipf) {
  std::vector<Ranks> all;
  double sum = 0;
  for (double first = 1; first <= keys;) {
    const double last = std::min<double>(keys, std::max(first, std::floor(first * 1.02)));
    const double count = last - first + 1;
    const double p = std::pow((first + last) / 2, -zipf);
    sum += count * p;
    all.push_back({count, p});
    first = last + 1;
  }
  for (Ranks& r : all) r.p /= sum;
  return all;
}

} // namespace

double lru_hits(std::uint32_t keys, double zipf, double held) {
  if (keys == 0 || held <= 0) return 0;
  if (held >= keys) return 1;
  const std::vector<Ranks> ranks = stretches(keys, zipf);
  const auto kept = [&](double t) {
    double sum = 0;
    for (const Ranks& r : ranks) sum -= r.count * std::expm1(-r.p * t);
    return sum;
  };
  double low = 0, high = keys;
  while (kept(high) < held && high < 1e300) high *= 2;
  for (int i = 0; i < 100; ++i) (kept((low + high) / 2) < held ? low : high) = (low + high) / 2;
  double hits = 0;
  for (const Ranks& r : ranks) hits -= r.count * r.p * std::expm1(-r.p * high);
  return std::clamp(hits, 0.0, 1.0);
}

LedgerLoad ledger_load(const App& app) {
  LedgerLoad load;
  if (!app.fleet.ledger) return load;
  double traffic = 0, writes = 0;
  for (const ClassSetup& c : app.classes) {
    traffic += c.traffic;
    if (c.write) writes += c.traffic;
  }
  load.writes = traffic > 0 ? writes / traffic : 0;
  const double reads = 1 - load.writes;
  const bool listed = !app.fleet.nodes.empty();
  const auto is_cache = [&](std::uint32_t kind) { return kind != *app.fleet.ledger; };
  const bool any_kind = app.fleet.kinds.size() > 1;
  bool any_node = false, all_memory = true, all_work = true;
  double memory = 0, speed = 0;
  for (const NodeSetup& node : app.fleet.nodes) {
    const std::uint32_t number = kind_of(app.fleet, node);
    if (!is_cache(number) || number >= app.fleet.kinds.size()) continue;
    const KindSetup& kind = app.fleet.kinds[number];
    any_node = true;
    all_memory = all_memory && kind.memory_bytes > 0;
    all_work = all_work && kind.cores > 0;
    memory += kind.memory_bytes;
    speed += kind.cores * kind.speed;
  }
  load.no_nodes = !any_kind || (listed && !any_node);
  if (load.no_nodes) {
    load.misses = reads;
    load.share = 1;
    return load;
  }
  if (any_node && all_memory && app.expect.keys > 0 && app.expect.size_bytes > 0) {
    load.counts_memory = true;
    load.misses = reads * (1 - lru_hits(app.expect.keys, app.expect.zipf, memory / app.expect.size_bytes));
  }
  if (any_node && all_work && app.expect.rate_per_s > 0 && app.expect.work_ms > 0) {
    load.counts_work = true;
    const double asked = reads * app.expect.rate_per_s * app.expect.work_ms / 1000; // cores of speed 1
    if (asked > speed) load.no_room = (reads - load.misses) * (1 - speed / asked);
  }
  load.share = std::min(1.0, load.writes + load.misses + load.no_room);
  return load;
}

} // namespace fernward::app_config
