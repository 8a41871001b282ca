// Runs and judges one storm, or a campaign of storms, each drawn from its own seed.
#pragma once

#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <vector>

#include "lab/driver.h"
#include "lab/storm/coverage.h"
#include "lab/storm/draw.h"
#include "lab/storm/oracles.h"

namespace fernward::lab::storm {

using MakeDriver = std::function<std::unique_ptr<Driver>()>;

struct RunSetup { // the drivers of a storm and where its records go
  MakeDriver make_driver;
  bool virtual_time = true;              // of `make_driver`; on sockets, rules extend time limits by 50 ms
  MakeDriver make_reference_driver = {}; // for the reference runs, in virtual time; empty: `make_driver`
  model::Sink* record_sink = nullptr;    // also receives the records of the storm's own run; may be nullptr
};

// The result of one storm. Members describe the storm's own run unless they say otherwise.
struct StormOutcome {
  std::vector<Verdict> verdicts; // in the order of oracles()
  FaultStageRecorder stages;
  ServiceCounts overall, fault_free; // fault_free: of the reference run without faults
  std::uint64_t events = 0;          // virtual time: of all runs, reference runs included
  Observations observed;
  double duration_ms = 0, wall_s = 0, hit_ratio = 0; // wall_s: of all runs
  double send_delay_p99_ms = 0; // sockets: 99th percentile of how late requests were sent
  bool is_void = false;         // void, or stopped on request: the verdicts do not count
  std::string void_reason;

  // The broken oracle with the largest distance; certain oracles have precedence. nullptr: none is broken.
  const Oracle* broken() const;
  bool broken(const Oracle& oracle) const;
};

// Runs `spec`, and the reference runs that oracles need: the same storm without faults and, if it has at
// least six routers, with four routers.
StormOutcome execute(const RunSetup& setup, const model::Spec& spec, std::stop_token stop = {});

// The same storm with four routers; with all of its routers if they are fewer, and with one of each group
// if it has more than four groups.
model::Spec with_four_routers(const model::Spec& spec);
std::uint32_t router_count(const model::Spec& spec);
std::uint32_t node_count(const model::Spec& spec); // without standby nodes

struct BrokenStorm { // a storm that broke an oracle
  std::uint64_t seed = 0;
  std::size_t oracle_index = 0;
  Verdict verdict;
  model::Spec spec;
};

struct CampaignSummary {
  std::uint64_t storms = 0, requests = 0, events = 0;
  double simulated_s = 0, max_wall_s = 0; // max_wall_s: of the storm that took longest
  std::uint64_t slowest_seed = 0;         // of that storm
  struct OracleCounts {                   // numbers of storms
    std::uint64_t judged = 0, broken = 0;
    double max_distance = 0;
    std::uint64_t first_broken_seed = 0; // of the first storm that broke it; 0: none
  };
  std::vector<OracleCounts> counts_by_oracle; // in the order of oracles()
  Coverage coverage;
  // Of certain oracles first, then by distance; at most `max_worst_per_oracle` for each oracle.
  std::vector<BrokenStorm> worst_storms;
  std::vector<std::string> void_runs; // "SEED: REASON"; at most `max_worst_per_oracle`

  bool has_broken(Confidence confidence) const;
};

struct Campaign { // storms of consecutive seeds
  std::uint64_t first_seed = 1, storms = 200;
  StormLimits limits;
  unsigned jobs = 1;                                       // threads
  std::size_t max_worst_per_oracle = 100;                  // storms kept for each oracle
  std::function<void(const CampaignSummary&)> progress;    // called after each batch; may be empty
  std::function<bool(const CampaignSummary&)> should_stop; // true ends the campaign early; may be empty
};
// Storms are drawn in batches, each from the coverage of the earlier batches, so that the same campaign
// gives the same storms for any number of threads. A stop request ends the campaign early.
CampaignSummary execute(const RunSetup& setup, const Campaign& campaign, std::stop_token stop = {});

} // namespace fernward::lab::storm
