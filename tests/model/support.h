// Small fleets for the tests, and the conversion of drawn requests to attempts.
#pragma once

#include <vector>

#include "model/cache_node.h"
#include "model/origin.h"

namespace fernward::model::test {

// One zone, one node with one core, no origin, no handshakes; `work` is the work of the only class.
inline Spec plain_spec(const Distribution& work) {
  Spec spec;
  spec.duration_ms = 1e12;
  spec.zones.push_back({"here", 1});
  NodeKind kind;
  kind.name = "plain";
  kind.cores = 1;
  kind.max_active = 1;
  kind.max_queued = 1u << 30;
  kind.report.enabled = false;
  kind.handshake_work_ms = 0;
  spec.kinds.push_back(kind);
  NodeGroup group;
  group.name = "n";
  spec.nodes.push_back(group);
  spec.origin.enabled = false;
  spec.routers.groups.push_back({0, 1});
  ClassSpec cls;
  cls.name = "read";
  cls.work = work;
  cls.hint_error = -1;
  spec.classes.push_back(cls);
  spec.keys.count = 1;
  return spec;
}

inline ServerAttempt to_attempt(const DrawnRequest& request) {
  ServerAttempt attempt;
  attempt.id = request.request;
  attempt.cls = request.cls;
  attempt.key = request.key;
  attempt.write = request.write;
  attempt.work_ms = request.work_ms;
  attempt.size_bytes = request.size_bytes;
  return attempt;
}

} // namespace fernward::model::test
