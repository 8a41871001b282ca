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

struct Rig { // the drivers and their tolerances
  MakeDriver driver;
  bool exact = true;            // virtual time; else every time limit is extended by 50 ms
  MakeDriver calm = {};         // for the reference runs, in virtual time; empty: `make_driver`
  model::Sink* hears = nullptr; // also receives the records of the storm's own run; may be nullptr
};

struct Outcome {
  std::vector<Verdict> verdicts; // in the order of oracles()
  StageWatch stages;
  Cell whole, calm;
  std::uint64_t events = 0; // of all runs, reference runs included
  Seen seen;                // of the storm's own run
  double played_ms = 0, wall_s = 0, hit_ratio = 0;
  double late_p99_ms = 0; // sockets: how late requests were sent
  bool is_void = false;
  std::string why_void;

  // The broken oracle with the largest distance; certain oracles have precedence. nullptr: none is broken.
  const Oracle* broken() const;
  bool broken(const Oracle& oracle) const;
};

// Runs `spec`, and the reference runs that oracles need: the same storm without faults and with four routers.
Outcome play(const Rig& rig, const model::Spec& spec, std::stop_token stop = {});

// The same storm with at most four routers.
model::Spec with_four(const model::Spec& spec);
std::uint32_t routers_of(const model::Spec& spec);
std::uint32_t nodes_of(const model::Spec& spec);

struct Told { // a storm that broke an oracle
  std::uint64_t seed = 0;
  std::size_t oracle = 0;
  Verdict verdict;
  model::Spec spec;
};

struct Sum {
  std::uint64_t storms = 0, requests = 0, events = 0;
  double played_s = 0, slowest_s = 0;
  std::uint64_t slowest_seed = 0;
  struct Count {
    std::uint64_t judged = 0, broken = 0;
    double furthest = 0;
    std::uint64_t first_seed = 0; // the first that broke it; 0: none
  };
  std::vector<Count> oracles;
  Coverage coverage;
  std::vector<Told> worst; // by distance; at most `max_worst_per_oracle` for each oracle
  std::vector<std::string> voids;

  bool broken(Sure sure) const;
};

struct Season {
  std::uint64_t first_seed = 1, storms = 200;
  Size size;
  unsigned jobs = 1;
  std::size_t worst = 100;                  // storms kept for each oracle
  std::function<void(const Sum&)> progress; // called after each batch; may be empty
  std::function<bool(const Sum&)> enough;   // true ends the campaign early; may be empty
};
// Storms are drawn in batches that depend on the coverage of earlier batches, so that the same campaign gives
// the same storms for any number of threads.
Sum play(const Rig& rig, const Season& season, std::stop_token stop = {});

} // namespace fernward::lab::storm
