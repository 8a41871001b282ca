// Fleets for the tests of the virtual time driver.
#pragma once

#include "model/spec.h"

namespace fernward::lab::test {

// Four zones, nodes of two kinds (14 by default), 4 routers by default and a slow origin. Clients send
// `rate_per_s` requests per second for `seconds`.
inline model::Spec ports(double rate, double seconds, std::uint32_t nodes = 14, std::uint32_t routers = 4) {
  using namespace model;
  Spec s;
  s.name = "ports";
  s.duration_ms = seconds * 1000;
  const std::uint32_t zones = 4;
  for (std::uint32_t z = 0; z < zones; ++z) {
    std::string name = "z";
    s.zones.push_back({name + std::to_string(z), 1.0 / (z + 2)});
  }
  NodeKind fast;
  fast.name = "fast";
  fast.speed = 1.5;
  fast.speed_cv = 0.1;
  fast.memory_bytes = 4e6;
  fast.crowded_loss = 0.08;
  fast.warm_by = WarmBy::Requests;
  fast.report.fields = {LoadReportField::Eps, LoadReportField::LatencyMs, LoadReportField::Queue,
                        LoadReportField::Other};
  NodeKind plain = fast;
  plain.name = "plain";
  plain.speed = 1;
  s.kinds = {fast, plain};
  for (std::uint32_t z = 0; z < zones; ++z) {
    for (std::uint32_t k = 0; k < 2; ++k) {
      NodeGroup group;
      group.name = s.kinds[k].name + "-" + s.zones[z].name;
      group.kind = k;
      group.zone = z;
      group.count = nodes / 8 + ((z * 2 + k) < nodes % 8 ? 1 : 0);
      s.nodes.push_back(group);
    }
    s.routers.groups.push_back({z, routers / zones});
  }
  const double fleet = 0.5 * (1.5 + 1) * 4 * nodes; // in cores of speed 1
  s.origin.capacity_per_s = 0.4 * rate;
  s.origin.time_ms = 110;
  s.keys.count = 20000 * std::max(1u, nodes / 14);
  s.keys.offset = 4;
  s.keys.drift_per_s = 0.001;
  s.load.rate_per_s = rate;
  ClassSpec lookup;
  lookup.name = "lookup";
  lookup.share = 0.96;
  lookup.work = {Shape::Exponential, 0.5 * fleet * 1000 / rate, 1};
  lookup.worth = 3;
  lookup.attempt_noise = 0.3;
  ClassSpec book = lookup;
  book.name = "book";
  book.share = 0.04;
  book.repeat = Idempotency::WithKey;
  book.worth = 8;
  book.write = true;
  s.classes = {lookup, book};
  for (const double share : {0.4, 0.3, 0.2, 0.1}) {
    std::string name = "t";
    s.tenants.push_back({name + std::to_string(s.tenants.size()), share, 1, 1.2 * share * rate});
  }
  return s;
}

} // namespace fernward::lab::test
