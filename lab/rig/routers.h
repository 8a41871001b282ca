// The router processes of a run: starts, reconfigures, signals, kills and restarts them, and ends them within
// a time limit.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/load/load.h"
#include "lab/peers/fleet.h"
#include "lab/process/supervisor.h"
#include "lab/rig/rig.h"
#include "lab/shared/loop.h"
#include "lab/shared/run_context.h"

namespace fernward::rig {

// The router processes of one run. Owned by the run and used on the thread of `loop`.
class RouterProcesses {
 public:
  // All arguments must outlive it. `directory`: where the configuration files are written.
  RouterProcesses(const RunContext& context, RunLoop& loop, ProcessSupervisor& supervisor,
                  SimulatedFleet& fleet, LoadGenerator& load, const lab::RigOptions& options,
                  std::string directory);
  ~RouterProcesses();

  void start_all();
  void start_steps();   // the clock has started: schedules the steps of the plan
  void terminate_all(); // sends SIGTERM to all, and SIGKILL to those that do not end in time
  bool any_running() const;
  bool supervisor_alive() const { return supervisor_.alive(); }

  // The error of a router that ended before it was ever ready, with its last output; empty: none.
  const std::string& startup_error() const { return startup_error_; }
  void router_ready(model::RouterId router); // the load generator has found it ready
  bool all_ready() const;

  std::vector<lab::RouterResourceUse> resource_use() const; // by router; CPU time of ended processes
  std::vector<lab::RouterUsage> usage() const;              // present usage of the routers that run

 private:
  struct Router {
    pid_t pid = 0; // 0: not known yet, or not running
    bool running = false, ready = false, ever_ready = false;
    bool killed = false, terminating = false, paused = false;
    bool start_when_ended = false;
    double start_after_ms = -1; // delay of the restart after it ended by SIGTERM; below 0: no restart
    std::uint32_t incarnation = 0;
    nlohmann::json config;
    lab::RouterResourceUse cost;
    // Its standard output and error.
    int output_fd = -1;
    loop::EventPtr output_event;
    std::string partial_line, last_output;
    std::size_t line_count = 0, log_file_bytes = 0;
    int log_file_fd = -1; // -1: no log file
    RouterProcesses* owner = nullptr;
    model::RouterId id = 0;
  };

  void start(model::RouterId router);
  void read_process_events();
  void process_ended(model::RouterId router, const ProgramEvent& program_event);
  void apply_step(const model::Step& step);
  void kill(Router& router);
  void pause(Router& router, bool paused);
  std::string fleet_file() const { return directory_ + "/fleet.toml"; }
  void terminate(Router& router, double down_ms);
  void write_config(Router& router);
  void sample_usage();
  void record_event(model::RouterId router, model::RouterEvent::What what);
  static void on_readable(int, short, void* router);
  void read_output(Router& router);
  void close_output(Router& router);
  void log_line(Router& router, std::string line);
  double termination_timeout_ms() const; // time between SIGTERM and SIGKILL

  const RunContext& context_;
  RunLoop& loop_;
  ProcessSupervisor& supervisor_;
  SimulatedFleet& fleet_;
  LoadGenerator& load_;
  const lab::RigOptions& options_;
  const std::string directory_;
  std::vector<Router> routers_;
  loop::EventPtr process_event_;
  std::uint32_t address_version_ = 0; // number of discovery's moves to another address so far
  std::string startup_error_;
  bool steps_started_ = false, ending_ = false;
};

} // namespace fernward::rig
