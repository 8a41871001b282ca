// Small fleets for the tests, and the conversion of drawn requests to attempts.
#pragma once

#include <vector>

#include "model/node.h"
#include "model/origin.h"

namespace fernward::model::test {

// One zone, one node with one core, no origin, no handshakes; `work` is the work of the only class.
inline Spec plain_spec(const Spread& work) {
  Spec spec;
  spec.duration_ms = 1e12;
  spec.zones.push_back({"here", 1});
  NodeKind kind;
  kind.name = "plain";
  kind.cores = 1;
  kind.places = 1;
  kind.waiting = 1u << 30;
  kind.report.on = false;
  kind.handshake_ms = 0;
  spec.kinds.push_back(kind);
  NodeGroup group;
  group.name = "n";
  spec.nodes.push_back(group);
  spec.origin.on = false;
  spec.routers.groups.push_back({0, 1});
  ClassSpec cls;
  cls.name = "read";
  cls.work = work;
  cls.hint_error = -1;
  spec.classes.push_back(cls);
  spec.keys.count = 1;
  return spec;
}

inline Attempt attempt_of(const Drawn& d) {
  Attempt a;
  a.id = d.request;
  a.cls = d.cls;
  a.key = d.key;
  a.write = d.write;
  a.work_ms = d.work_ms;
  a.size_bytes = d.size_bytes;
  return a;
}

} // namespace fernward::model::test
