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
#include "lab/process/guardian.h"
#include "lab/rig/rig.h"
#include "lab/shared/loop.h"
#include "lab/shared/stage.h"

namespace fernward::rig {

// Used on the thread of `loop`.
class Routers {
 public:
  // All arguments must outlive it. `directory`: where the configuration files are written.
  Routers(const Stage& stage, Loop& loop, Guardian& guardian, Fleet& fleet, Load& load,
          const lab::RigOptions& options, std::string directory);
  ~Routers();

  void start_all();
  void begin();         // the clock has started: schedules the steps of the plan
  void end();           // sends SIGTERM to all, and SIGKILL to those that do not end in time
  bool running() const; // whether any router runs
  bool guarded() const { return guardian_.lives(); }

  // The error of a router that ended before it was ever ready, with its last output; empty: none.
  const std::string& false_start() const { return false_start_; }
  void is_ready(model::RouterId router);
  bool all_ready() const;

  std::vector<lab::RouterCost> costs() const;
  std::vector<lab::RouterUse> uses() const;

 private:
  struct Router {
    pid_t pid = 0; // 0: not known yet, or not running
    bool runs = false, ready = false, ever_ready = false;
    bool killed = false, asked_to_end = false, paused = false;
    bool start_when_ended = false;
    double start_after_ms = -1; // delay of the restart after it ended by SIGTERM; below 0: no restart
    std::uint32_t life = 0;
    nlohmann::json config;
    lab::RouterCost cost;
    // Its output.
    int output = -1;
    loop::EventPtr output_event;
    std::string line, tail;
    std::size_t lines = 0, file_bytes = 0;
    int file = -1;
    Routers* all = nullptr;
    model::RouterId id = 0;
  };

  void start(model::RouterId router);
  void news();
  void ended(model::RouterId router, const ProgramNews& news);
  void step(const model::Step& step);
  void kill(Router& router);
  void pause(Router& router, bool on);
  std::string fleet_file() const { return directory_ + "/fleet.toml"; }
  void term(Router& router, double down_ms);
  void write_config(Router& router);
  void watch();
  void event(model::RouterId router, model::RouterEvent::What what);
  static void readable(int, short, void* router);
  void read_output(Router& router);
  void close_output(Router& router);
  void say(Router& router, std::string line);
  double last_word_ms() const; // time between SIGTERM and SIGKILL

  const Stage& stage_;
  Loop& loop_;
  Guardian& guardian_;
  Fleet& fleet_;
  Load& load_;
  const lab::RigOptions& options_;
  const std::string directory_;
  std::vector<Router> routers_;
  loop::EventPtr news_event_;
  std::uint32_t moves_ = 0;
  std::string false_start_;
  bool begun_ = false, ending_ = false;
};

} // namespace fernward::rig
