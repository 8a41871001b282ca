// Small fleets and a counting sink, for trials and tests of the rig.
#pragma once

#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/record.h"
#include "model/spec.h"

namespace fernward::rig {

struct TrialFleet {
  std::uint32_t nodes = 6, routers = 2, sockets = 1024;
  double rate_per_s = 200, seconds = 5, work_ms = 20;
  std::uint64_t seed = 1;
  bool origin = true;
};

inline model::Spec trial_spec(const TrialFleet& fleet) {
  model::Spec spec;
  spec.name = "trial";
  spec.seed = fleet.seed;
  spec.duration_ms = fleet.seconds * 1000;
  spec.zones = {{"dublin", 1}, {"cork", 1}};
  model::NodeKind kind;
  kind.name = "four-core";
  kind.speed = 1.2;
  spec.kinds.push_back(kind);
  spec.nodes.push_back({"dub", 0, 0, (fleet.nodes + 1) / 2});
  if (fleet.nodes > 1) spec.nodes.push_back({"crk", 0, 1, fleet.nodes / 2, 1});
  spec.origin.on = fleet.origin;
  spec.origin.capacity_per_s = std::max(40.0, fleet.rate_per_s * 0.3);
  spec.routers.groups.push_back({0, (fleet.routers + 1) / 2});
  if (fleet.routers > 1) spec.routers.groups.push_back({1, fleet.routers / 2});
  spec.routers.sockets = fleet.sockets;
  model::ClassSpec read, book;
  read.name = "lookup";
  read.share = 0.96;
  read.work.mean = fleet.work_ms;
  read.worth = 3;
  book = read;
  book.name = "book";
  book.share = 0.04;
  book.worth = 8;
  book.repeat = Idempotency::WithKey;
  book.write = true;
  spec.classes = {read, book};
  spec.tenants = {{"port-a", 0.6, 1, 0}, {"port-b", 0.4, 1, 0}};
  spec.load.rate_per_s = fleet.rate_per_s;
  return spec;
}

// Adds the event called `name` ("kill-router", "drain", "stall", ...) in the middle of the run; throws
// std::invalid_argument if there is no such event.
inline void add_event(model::Spec& spec, const std::string& name) {
  if (name.empty()) return;
  const double half = spec.duration_ms / 2, later = spec.duration_ms * 0.8;
  const auto add = [&](model::Happening what) { spec.events.push_back({half, name, std::move(what)}); };
  model::NodePick one;
  one.count = 1;
  model::RouterPick router;
  router.count = 1;
  if (name == "kill-router") return add(model::RestartRouters{router, model::RouterEnd::Kill, 500, 0, 0});
  if (name == "term-router") return add(model::RestartRouters{router, model::RouterEnd::Term, 300, 0, 0});
  if (name == "move") return add(model::DiscoveryMove{1000, 200});
  if (name == "outage") return add(model::DiscoveryOutage{later});
  if (name == "start") return add(model::StartNodes{one});
  if (name == "drain") return add(model::DrainNodes{one, 500, 0});
  if (name == "kill-node") return add(model::KillNodes{one});
  if (name == "replace") return add(model::ReplaceNodes{one, 300});
  if (name == "restart-node") return add(model::RestartNodes{one, 300});
  if (name == "silent") return add(model::SilentNodes{one, later});
  if (name == "cut") return add(model::CutZones{{0}, {1}, later});
  if (name == "stall") return add(model::OriginStall{later});
  if (name == "fall") return add(model::OriginFall{500});
  if (name == "neighbour") return add(model::Neighbour{one, 0.6, later, 0, 0});
  if (name == "lost-zone") return add(model::LostZone{1, later, true});
  constexpr std::pair<const char*, model::BadAnswer> kBad[] = {
      {"error", model::BadAnswer::Error},          {"garbage", model::BadAnswer::Garbage},
      {"too-large", model::BadAnswer::TooLarge},   {"cut-off", model::BadAnswer::CutOff},
      {"never-ends", model::BadAnswer::NeverEnds}, {"early-close", model::BadAnswer::EarlyClose},
      {"wrong-body", model::BadAnswer::WrongBody}, {"slow-bytes", model::BadAnswer::SlowBytes}};
  for (const auto& [word, kind] : kBad) {
    if (name == word) return add(model::BadAnswers{one, 0.5, later, kind});
  }
  throw std::invalid_argument("there is no trial event called " + name);
}

struct Counts : model::Sink {
  void on(const model::Drawn&) override { ++drawn; }
  void on(const model::Tried& t) override {
    ++tried;
    taken += t.taken ? 1 : 0;
  }
  void on(const model::Answered& a) override {
    surplus += a.surplus ? 1 : 0;
    not_genuine += a.heard == model::Heard::Served && !a.genuine ? 1 : 0;
  }
  void on(const model::Closed& c) override {
    ++closed;
    ++ends[static_cast<std::size_t>(c.end)];
    if (c.end == model::Heard::Served) latencies.push_back(c.latency_ms);
  }
  void on(const model::Arrived&) override { ++arrived; }
  void on(const model::AttemptEnded& e) override {
    ++attempts_ended;
    hits += e.ending == model::Ending::Hit ? 1 : 0;
    at_origin += e.ending == model::Ending::Fetched || e.ending == model::Ending::Written ? 1 : 0;
  }
  void on(const model::NodeEvent& e) override { node_events.push_back(e); }
  void on(const model::RouterEvent& e) override { router_events.push_back(e); }
  void on(const model::Told& t) override {
    if (!t.cached) told.push_back(t);
  }
  double latency(double share) {
    if (latencies.empty()) return 0;
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + at, latencies.end());
    return latencies[static_cast<std::size_t>(at)];
  }

  unsigned long long drawn = 0, tried = 0, taken = 0, closed = 0, ends[7] = {}, arrived = 0, at_origin = 0,
                     attempts_ended = 0, hits = 0, not_genuine = 0, surplus = 0;
  std::vector<double> latencies;
  std::vector<model::NodeEvent> node_events;
  std::vector<model::RouterEvent> router_events;
  std::vector<model::Told> told;
};

} // namespace fernward::rig
