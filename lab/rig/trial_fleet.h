// Small fleets, and a sink that counts records, for trials and tests of the rig.
#pragma once

#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/records.h"
#include "model/spec.h"

namespace fernward::rig {

// The parameters of a trial's fleet and load.
struct TrialFleet {
  std::uint32_t nodes = 6, routers = 2, sockets = 1024;
  double rate_per_s = 200, seconds = 5, work_ms = 20;
  std::uint64_t seed = 1;
  bool origin = true;
};

// A scenario with two zones, a class of reads and a class of writes.
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
  spec.origin.enabled = fleet.origin;
  spec.origin.capacity_per_s = std::max(40.0, fleet.rate_per_s * 0.3);
  spec.routers.groups.push_back({0, (fleet.routers + 1) / 2});
  if (fleet.routers > 1) spec.routers.groups.push_back({1, fleet.routers / 2});
  spec.routers.max_sockets = fleet.sockets;
  model::ClassSpec read, book;
  read.name = "lookup";
  read.share = 0.96;
  read.work.mean = fleet.work_ms;
  read.priority_weight = 3;
  book = read;
  book.name = "book";
  book.share = 0.04;
  book.priority_weight = 8;
  book.idempotency = Idempotency::WithKey;
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
  const double middle_ms = spec.duration_ms / 2, end_ms = spec.duration_ms * 0.8;
  const auto add = [&](model::EventAction what) {
    spec.events.push_back({middle_ms, name, std::move(what)});
  };
  model::NodeSelector one_node;
  one_node.count = 1;
  model::RouterSelector one_router;
  one_router.count = 1;
  if (name == "kill-router") return add(model::RestartRouters{one_router, model::RouterEnd::Kill, 500, 0, 0});
  if (name == "term-router") return add(model::RestartRouters{one_router, model::RouterEnd::Term, 300, 0, 0});
  if (name == "move") return add(model::DiscoveryMove{1000, 200});
  if (name == "outage") return add(model::DiscoveryOutage{end_ms});
  if (name == "start") return add(model::StartNodes{one_node});
  if (name == "drain") return add(model::DrainNodes{one_node, 500, 0});
  if (name == "kill-node") return add(model::KillNodes{one_node});
  if (name == "replace") return add(model::ReplaceNodes{one_node, 300});
  if (name == "restart-node") return add(model::RestartNodes{one_node, 300});
  if (name == "silent") return add(model::SilentNodes{one_node, end_ms});
  if (name == "cut") return add(model::PartitionZones{{0}, {1}, end_ms});
  if (name == "stall") return add(model::OriginStall{end_ms});
  if (name == "fall") return add(model::OriginFall{500});
  if (name == "neighbour") return add(model::NoisyNeighbour{one_node, 0.6, end_ms, 0, 0});
  if (name == "lost-zone") return add(model::ZoneOutage{1, end_ms, true});
  constexpr std::pair<const char*, model::BadResponse> kBadResponses[] = {
      {"error", model::BadResponse::Error},
      {"garbage", model::BadResponse::NotHttp},
      {"too-large", model::BadResponse::TooLarge},
      {"cut-off", model::BadResponse::Truncated},
      {"never-ends", model::BadResponse::NeverCompletes},
      {"early-close", model::BadResponse::EarlyClose},
      {"wrong-body", model::BadResponse::WrongBody},
      {"slow-bytes", model::BadResponse::SlowBytes}};
  for (const auto& [word, kind] : kBadResponses) {
    if (name == word) return add(model::BadResponses{one_node, 0.5, end_ms, kind});
  }
  throw std::invalid_argument("there is no trial event called " + name);
}

// Counts the records of a run, and keeps the latencies of served requests and the events of machines and
// routers.
struct CountingSink : model::Sink {
  void on(const model::DrawnRequest&) override { ++drawn; }
  void on(const model::TrySent& record) override {
    ++tried;
    accepted += record.accepted ? 1 : 0;
  }
  void on(const model::TryEnded& record) override {
    surplus += record.surplus ? 1 : 0;
    not_genuine += record.outcome == model::TryOutcome::Served && !record.genuine ? 1 : 0;
  }
  void on(const model::RequestEnded& record) override {
    ++requests_ended;
    ++requests_by_outcome[static_cast<std::size_t>(record.outcome)];
    if (record.outcome == model::TryOutcome::Served) latencies.push_back(record.latency_ms);
  }
  void on(const model::AttemptArrived&) override { ++arrived; }
  void on(const model::AttemptEnded& record) override {
    ++attempts_ended;
    hits += record.outcome == model::ServerOutcome::Hit ? 1 : 0;
    origin_attempts +=
        record.outcome == model::ServerOutcome::Fetched || record.outcome == model::ServerOutcome::Written
            ? 1
            : 0;
  }
  void on(const model::NodeEvent& record) override { node_events.push_back(record); }
  void on(const model::RouterEvent& record) override { router_events.push_back(record); }
  void on(const model::EndpointNotified& record) override {
    if (!record.cached) notifications.push_back(record);
  }
  double latency(double share) { // quantile of the latencies in ms; 0: no request was served
    if (latencies.empty()) return 0;
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + position, latencies.end());
    return latencies[static_cast<std::size_t>(position)];
  }

  unsigned long long drawn = 0, tried = 0, accepted = 0, requests_ended = 0, requests_by_outcome[7] = {},
                     arrived = 0, origin_attempts = 0, attempts_ended = 0, hits = 0, not_genuine = 0,
                     surplus = 0;
  std::vector<double> latencies;
  std::vector<model::NodeEvent> node_events;
  std::vector<model::RouterEvent> router_events;
  std::vector<model::EndpointNotified> notifications;
};

} // namespace fernward::rig
