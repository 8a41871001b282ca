// The driver on sockets: the scenario against real router processes on this machine's loopback addresses.
//
// The same model as in virtual time, driven by the wall's clock, behind HTTP/1.1. The rig measures its own lateness: a
// run in which sends or answers were later than the bounds below is void. Whatever becomes of the lab, no process,
// port or file of a run stays behind (lab/process/guardian.h).
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/driver.h"

namespace fernward::lab {

struct RouterProgram {
  std::vector<std::string> command; // the program and its arguments
  bool ready_by_connect = false;    // it knows no /ready: it is ready once it takes connections
};

struct RouterUse { // of a router process that runs
  model::RouterId router = 0;
  double cpu_s = 0, memory_mb = 0;
  std::uint32_t descriptors = 0;
};

// How a router is started and told: by the platform's JSON, or by an application's file, alone or beside an application
// that does nothing.
enum class RouterRole { Platform, Application, Sidecar };

struct RigOptions {
  std::string program = "fernward"; // started as `program serve`, or as the role says
  RouterRole role = RouterRole::Platform;
  std::vector<RouterProgram> programs; // by router, where it is not that
  std::string log_directory;           // r0.log, ... with what the routers say; empty: nowhere
  double late_p99_ms = 5;              // a run is void beyond this, for sends and for stand-ins' answers
  double late_p999_ms = 100;
  double ready_ms = 30000;  // clients come once all routers are ready, or after this
  bool check_memory = true; // a router over its memory_mb is killed; off for builds with sanitizers
  // After the last answer the fleet and the routers stay until the control's stop; requests of others are served too.
  bool keep = false;
  std::function<void(const std::vector<std::string>& addresses)> on_ready; // the routers', as clients connect
  std::function<void(double now_ms, const std::vector<RouterUse>& uses)> on_second;
};

std::unique_ptr<Driver> make_rig_driver(RigOptions options);

} // namespace fernward::lab
