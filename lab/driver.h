// Interface between experiments and the drivers that run a scenario: in virtual time (lab/virtual/) or on
// sockets (lab/rig/).
#pragma once

#include <cstdint>
#include <functional>
#include <stop_token>
#include <string>
#include <vector>

#include "model/records.h"
#include "model/spec.h"

namespace fernward::lab {

struct LatenessQuantiles {
  double p50 = 0, p99 = 0, p999 = 0, max = 0;
};

struct RouterResourceUse {
  model::RouterId router = 0;
  double cpu_s = 0;          // virtual time: of its decision module only
  double peak_memory_mb = 0; // 0: not measured
  std::uint32_t peak_sockets = 0;
  std::uint64_t datagrams = 0, datagram_bytes = 0; // sent to other routers of its tier
};

// Resource use and validity of a run. A void run must not be used to assess the routers.
struct RunInfo {
  bool is_void = false;
  std::vector<std::string> void_reasons;  // such as: the rig was late, a process of the rig ended
  bool stopped = false;                   // stopped on request before its end
  double scenario_elapsed_ms = 0;         // scenario time that was run
  double wall_s = 0, cpu_s = 0;           // of the rig, excluding routers
  double peak_memory_mb = 0;              // of the rig
  LatenessQuantiles send_lateness_ms;     // of sends, relative to their due times; 0 in virtual time
  LatenessQuantiles response_lateness_ms; // sockets: of the emulated servers' responses, relative to theirs
  double load_generator_cpu_s = 0;        // sockets: of the load generator only
  std::vector<RouterResourceUse> routers;
  std::uint64_t simulated_events = 0; // virtual time: number of processed events
};

struct RunControl {
  std::stop_token stop;                        // requests that the run end early, with a clean shutdown
  std::function<void(double now_ms)> progress; // called at intervals from the run's own thread; may be empty
};

// Runs scenarios, one at a time. model::find_spec_errors(spec) must be empty. Throws std::runtime_error if a
// run can't be started.
class Driver {
 public:
  virtual ~Driver() = default;
  virtual RunInfo run(const model::Spec& spec, model::Sink& sink, const RunControl& control = {}) = 0;
};

} // namespace fernward::lab
