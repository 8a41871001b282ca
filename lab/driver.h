// The seam between experiments and what plays a scenario: in virtual time (lab/virtual/) or on sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <stop_token>
#include <string>
#include <vector>

#include "model/record.h"
#include "model/spec.h"

namespace fernward::lab {

struct Quantiles {
  double p50 = 0, p99 = 0, p999 = 0, max = 0;
};

struct RouterCost {
  model::RouterId router = 0;
  double cpu_s = 0;          // virtual time: of its decisions alone
  double peak_memory_mb = 0; // 0: not measured
  std::uint32_t peak_sockets = 0;
  std::uint64_t datagrams = 0, datagram_bytes = 0; // that it sent to others of its tier
};

// What a run cost and whether it counts. A run that is void says nothing about the routers.
struct RunInfo {
  bool is_void = false;
  std::vector<std::string> why_void; // the rig was late, a process of the rig died, ...
  bool stopped = false;              // asked to stop before its end
  double played_ms = 0;              // of the scenario
  double wall_s = 0, cpu_s = 0;      // of the rig, without routers
  double peak_memory_mb = 0;         // of the rig
  Quantiles lateness_ms;             // of sends against their due time; 0 in virtual time
  Quantiles answer_lateness_ms;      // sockets: of the stand-ins' answers against theirs
  double load_cpu_s = 0;             // sockets: of the sending side alone
  std::vector<RouterCost> routers;
  std::uint64_t events = 0; // virtual time: worked off
};

struct RunControl {
  std::stop_token stop;                        // the run ends early, cleanly, when asked
  std::function<void(double now_ms)> progress; // called now and then, from the run's own thread; may be empty
};

// One run at a time. `spec` must have no faults(); throws std::runtime_error where a run can't begin.
class Driver {
 public:
  virtual ~Driver() = default;
  virtual RunInfo run(const model::Spec& spec, model::Sink& sink, const RunControl& control = {}) = 0;
};

} // namespace fernward::lab
