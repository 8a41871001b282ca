// The stand-ins of a run, in one loop of a thread of their own.
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
  lab::Quantiles lateness_ms; // of answers against their due time
  double cpu_s = 0;
  std::uint64_t attempts = 0, datagrams = 0;
  std::vector<Datagrams::Spoken> spoken; // by router
};

class Fleet {
 public:
  explicit Fleet(const Stage& stage);
  ~Fleet(); // as stop()
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // These are called by the thread that made it.
  void open();                                          // listens, then serves; throws std::runtime_error
  void begin();                                         // the clock has begun
  nlohmann::json router_starts(model::RouterId router); // see Agents
  void router_ended(model::RouterId router);
  void happen(const model::Step& step); // now, beside what the plan holds
  std::size_t attempts();               // held at present
  FleetInfo stop();                     // ends the thread and closes everything

 private:
  template <typename Result>
  Result ask(std::function<Result()> what); // done in the loop; waits for it
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
