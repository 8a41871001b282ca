// The simulated peers of the routers in a run, in an event loop on a thread of their own.
#pragma once

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/peers/agents.h"
#include "lab/peers/datagrams.h"
#include "lab/peers/machines.h"

namespace fernward::rig {

struct FleetInfo {
  lab::Quantiles lateness_ms; // of responses, relative to their due times
  double cpu_s = 0;
  std::uint64_t attempts = 0, datagrams = 0;
  std::vector<Datagrams::Spoken> spoken; // by router
};

// Created, started and stopped by one thread; everything else runs in its own thread.
class Fleet {
 public:
  explicit Fleet(const Stage& stage);
  ~Fleet(); // calls stop()
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // To be called from the thread that created it.
  void open();  // listens and starts serving; throws std::runtime_error
  void begin(); // the clock has started
  nlohmann::json router_starts(model::RouterId router); // see Agents
  void router_ended(model::RouterId router);
  void happen(const model::Step& step); // applies a step now, in addition to those of the plan
  std::size_t attempts();               // active now
  FleetInfo stop();                     // ends the thread and closes everything

 private:
  template <typename Result>
  Result ask(std::function<Result()> what); // runs it in the loop and waits for the result
  void apply(const model::Step& step);

  const Stage& stage_;
  Loop loop_;
  model::Network network_;
  Agents agents_;
  Machines machines_;
  Datagrams datagrams_;
  std::thread thread_;
  FleetInfo info_;
};

} // namespace fernward::rig
