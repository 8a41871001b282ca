// The driver on sockets: runs a scenario against real router processes on loopback addresses of this machine.
//
// It uses the same model as in virtual time, driven by the wall clock and behind HTTP/1.1. The rig measures
// its own lateness: a run in which requests or responses were sent later than the limits below is void.
// However the lab ends, no process, port or file of a run is left behind (lab/process/supervisor.h).
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/driver.h"

namespace fernward::lab {

struct RouterProgram {
  std::vector<std::string> command; // the program and its arguments
  bool ready_by_connect = false;    // it has no /ready: it counts as ready once it accepts connections
};

struct RouterUsage { // resource usage of a running router process
  model::RouterId router = 0;
  double cpu_s = 0, memory_mb = 0;
  std::uint32_t descriptors = 0;
};

// How a router is started and configured: by the platform's JSON file, by an application's file, or by an
// application's file as the sidecar of an application that does nothing.
enum class RouterRole { Platform, Application, Sidecar };

struct RigOptions {
  std::string program = "fernward"; // started as `program serve`, or as the role says
  RouterRole role = RouterRole::Platform;
  std::vector<RouterProgram> programs_by_router; // may be shorter; an empty command: `program`
  std::string log_directory; // for r0.log, ... with the output of the routers; empty: no logs
  // Limits of the lateness of requests and of simulated responses; beyond them the run is void.
  double max_late_p99_ms = 5;
  double max_late_p999_ms = 100;
  double ready_timeout_ms = 30000; // requests start when all routers are ready, or after this time
  bool enforce_memory_limit =
      true; // kill a router that exceeds its memory_mb; to be disabled for builds with sanitizers
  // After the last response the fleet and the routers keep running until RunControl::stop is requested;
  // requests of other clients are served, too.
  bool keep_running = false;
  // Called with the routers' client addresses when requests start.
  std::function<void(const std::vector<std::string>& addresses)> on_ready;
  // Called when requests start, and then once per second of the run.
  std::function<void(double now_ms, const std::vector<RouterUsage>& uses)> on_second;
};

std::unique_ptr<Driver> make_rig_driver(RigOptions options);

} // namespace fernward::lab
