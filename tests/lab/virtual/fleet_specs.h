// Fleets for the tests of the virtual time driver.
#pragma once

#include "model/spec.h"

namespace fernward::lab::test {

// Four zones, nodes of two kinds (14 by default), 4 routers by default and a slow origin. Clients send
// `rate_per_s` requests per second for `seconds`.
inline model::Spec four_zone_spec(double rate_per_s, double seconds, std::uint32_t node_count = 14,
                                  std::uint32_t router_count = 4) {
  using namespace model;
  Spec spec;
  spec.name = "ports";
  spec.duration_ms = seconds * 1000;
  const std::uint32_t zones = 4;
  for (std::uint32_t zone = 0; zone < zones; ++zone) {
    std::string name = "z";
    spec.zones.push_back({name + std::to_string(zone), 1.0 / (zone + 2)});
  }
  NodeKind fast;
  fast.name = "fast";
  fast.speed = 1.5;
  fast.speed_cv = 0.1;
  fast.memory_bytes = 4e6;
  fast.congestion_slowdown = 0.08;
  fast.warm_up_mode = WarmUpMode::Requests;
  fast.report.fields = {LoadReportField::ErrorRate, LoadReportField::LatencyMs, LoadReportField::Queue,
                        LoadReportField::Other};
  NodeKind plain = fast;
  plain.name = "plain";
  plain.speed = 1;
  spec.kinds = {fast, plain};
  for (std::uint32_t zone = 0; zone < zones; ++zone) {
    for (std::uint32_t kind = 0; kind < 2; ++kind) {
      NodeGroup group;
      group.name = spec.kinds[kind].name + "-" + spec.zones[zone].name;
      group.kind = kind;
      group.zone = zone;
      group.count = node_count / 8 + ((zone * 2 + kind) < node_count % 8 ? 1 : 0);
      spec.nodes.push_back(group);
    }
    spec.routers.groups.push_back({zone, router_count / zones});
  }
  const double total_core_speed = 0.5 * (1.5 + 1) * 4 * node_count; // in cores of speed 1
  spec.origin.capacity_per_s = 0.4 * rate_per_s;
  spec.origin.service_time_ms = 110;
  spec.keys.count = 20000 * std::max(1u, node_count / 14);
  spec.keys.offset = 4;
  spec.keys.drift_per_s = 0.001;
  spec.load.rate_per_s = rate_per_s;
  ClassSpec lookup;
  lookup.name = "lookup";
  lookup.share = 0.96;
  lookup.work = {DistributionShape::Exponential, 0.5 * total_core_speed * 1000 / rate_per_s, 1};
  lookup.priority_weight = 3;
  lookup.attempt_work_cv = 0.3;
  ClassSpec book = lookup;
  book.name = "book";
  book.share = 0.04;
  book.idempotency = Idempotency::WithKey;
  book.priority_weight = 8;
  book.write = true;
  spec.classes = {lookup, book};
  for (const double share : {0.4, 0.3, 0.2, 0.1}) {
    std::string name = "t";
    spec.tenants.push_back({name + std::to_string(spec.tenants.size()), share, 1, 1.2 * share * rate_per_s});
  }
  return spec;
}

} // namespace fernward::lab::test
