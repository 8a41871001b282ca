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

struct FleetSummary {
  lab::LatenessQuantiles lateness_ms; // of responses, relative to their due times
  double cpu_s = 0;
  std::uint64_t attempts = 0, datagrams = 0;             // attempts arrived, datagrams delivered
  std::vector<DatagramRelay::SentCounts> sent_by_router; // by router: what it has sent
};

// The peers of one run. Created, started and stopped by one thread; the peers run on a thread of its own.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(const RunContext& context);
  ~SimulatedFleet(); // calls stop()
  SimulatedFleet(const SimulatedFleet&) = delete;
  SimulatedFleet& operator=(const SimulatedFleet&) = delete;

  // To be called from the thread that created it.
  void start();     // listens and starts serving; throws std::runtime_error
  void start_run(); // the clock has started
  nlohmann::json router_started(model::RouterId router); // see DiscoveryAgents
  void router_ended(model::RouterId router);
  void apply_now(const model::Step& step); // applies a step now, in addition to those of the plan
  std::size_t attempts();                  // active now
  FleetSummary stop();                     // ends the thread and closes everything

 private:
  template <typename Result>
  Result run_and_wait(std::function<Result()> task); // runs it in the loop and waits for the result
  void apply(const model::Step& step);

  const RunContext& context_;
  RunLoop loop_;
  model::Network network_;
  DiscoveryAgents agents_;
  SimulatedMachines machines_;
  DatagramRelay datagrams_;
  std::thread thread_;
  FleetSummary summary_;
};

} // namespace fernward::rig
