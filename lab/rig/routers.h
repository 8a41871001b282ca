// The router processes of a run: started, told of what comes, killed, started again, and ended within bounds.
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

class Routers {
 public:
  // All of them outlive it. `directory` takes the configuration files.
  Routers(const Stage& stage, Loop& loop, Guardian& guardian, Fleet& fleet, Load& load,
          const lab::RigOptions& options, std::string directory);
  ~Routers();

  void start_all();
  void begin();         // the clock has begun: the plan's steps are carried out
  void end();           // SIGTERM to all; SIGKILL to those that hang
  bool running() const; // any of them
  bool guarded() const { return guardian_.lives(); }

  // A router that ended before it was ever ready: what it said. Empty: none.
  const std::string& false_start() const { return false_start_; }
  void is_ready(model::RouterId router);
  bool all_ready() const;

  std::vector<lab::RouterCost> costs() const;
  std::vector<lab::RouterUse> uses() const;

 private:
  struct Router {
    pid_t pid = 0; // 0: not known yet
    bool runs = false, ready = false, ever_ready = false;
    bool killed = false, asked_to_end = false, paused = false;
    bool start_when_ended = false;
    double start_after_ms = -1; // of its end by SIGTERM; below 0: it stays away
    std::uint32_t life = 0;
    nlohmann::json config;
    lab::RouterCost cost;
    // What it says.
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
  double last_word_ms() const; // from SIGTERM to SIGKILL

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
