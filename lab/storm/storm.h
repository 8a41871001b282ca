// One storm played and judged, and many of them, each drawn from its own seed.
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

struct Rig { // who plays, and what is granted to it
  MakeDriver driver;
  bool exact = true;            // virtual time; else 50 ms are granted to every time limit
  MakeDriver calm = {};         // plays the runs beside a storm, in virtual time; empty: `driver` does
  model::Sink* hears = nullptr; // the records of the storm's own run too
};

struct Outcome {
  std::vector<Verdict> verdicts; // by oracle
  StageWatch stages;
  Cell whole, calm;
  std::uint64_t events = 0; // of all its runs
  Seen seen;                // of its own run
  double played_ms = 0, wall_s = 0, hit_ratio = 0;
  double late_p99_ms = 0; // sockets: of sends
  bool is_void = false;
  std::string why_void;

  // The oracle that is furthest beyond its bound; sure ones go first. nullptr: none is.
  const Oracle* broken() const;
  bool broken(const Oracle& oracle) const;
};

// Plays `spec`; beside it, where oracles need it, the same without faults and with four routers.
Outcome play(const Rig& rig, const model::Spec& spec, std::stop_token stop = {});

// The same storm before four routers.
model::Spec with_four(const model::Spec& spec);
std::uint32_t routers_of(const model::Spec& spec);
std::uint32_t nodes_of(const model::Spec& spec);

struct Told { // a storm whose oracles are worth a look
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
    std::uint64_t first_seed = 0; // that broke it; 0: none did
  };
  std::vector<Count> oracles;
  Coverage coverage;
  std::vector<Told> worst; // by distance, a hundred at most of each oracle's
  std::vector<std::string> voids;

  bool broken(Sure sure) const;
};

struct Season {
  std::uint64_t first_seed = 1, storms = 200;
  Size size;
  unsigned jobs = 1;
  std::size_t worst = 100;                  // that are kept
  std::function<void(const Sum&)> progress; // after each batch; may be empty
  std::function<bool(const Sum&)> enough;   // ends it early; may be empty
};
// Storms are drawn in batches that lean on what the batches before covered: the same season gives the same storms
// however many threads play them.
Sum play(const Rig& rig, const Season& season, std::stop_token stop = {});

} // namespace fernward::lab::storm
