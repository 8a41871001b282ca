// Compares a storm on sockets with the same storm in virtual time, and estimates how much of the difference
// is chance.
//
// Chance is measured: the same machines, requests and faults run several times in virtual time, and what
// sockets would not repeat either is redrawn for each run. A figure from sockets agrees if it lies within
// four standard deviations of those runs, plus an allowance for what the model omits.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <vector>

#include "lab/storm/storm.h"

namespace fernward::lab::storm {

// ---- statistics ----

struct Chance { // of a figure, over runs that differ by chance only
  double mean = 0, deviation = 0, least = 0, most = 0;
  std::size_t plays = 0;
};
Chance chance_of(const std::vector<double>& values);
// The largest deviation from the mean that still agrees. It includes the uncertainty of the mean itself: one
// further run deviates from the estimated mean by sqrt(1 + 1/n) standard deviations.
double bound(const Chance& chance, double granted);
// Deviation of `value` from the runs' mean, in units of the allowed deviation: 1 and more disagrees.
double distance(const Chance& chance, double seen, double granted);

// ---- figures of one run ----

struct Figure {
  std::string name;
  double value = 0;
  double granted = 0; // for what the model omits, in addition to chance
};

// Counts hits, misses and origin reads, which the oracles do not need.
class Reads : public model::Sink {
 public:
  using model::Sink::on;
  void on(const model::AttemptEnded& e) override;
  std::uint64_t hits = 0, misses = 0, fetched = 0;
};

// The same figures in the same order for each run of a spec: service overall and by class; the hit ratio of
// reads at caches; reads answered by the origin, and attempts at caches, per request.
std::vector<Figure> figures_of(const model::Spec& spec, const Outcome& out, const Reads& reads);

// ---- comparisons ----

struct Compared {
  Figure sockets;
  Chance chance; // of the runs in virtual time
  double distance = 0;
};

struct Pair {
  std::uint64_t seed = 0;
  model::Spec spec;
  std::vector<Verdict> in_virtual, on_sockets; // by oracle
  std::vector<Compared> figures;
  double furthest = 0;             // of all figures
  std::size_t chance_broke = 0;    // runs in virtual time that broke a certain oracle
  std::vector<std::string> voided; // the reason of each void run on sockets
  bool judged = false;             // one run on sockets is valid
  double late_p99_ms = 0;

  bool agrees() const { return judged && furthest < 1; }
  bool breaks(Sure sure) const; // an oracle of that confidence, on either side
};

struct Besides { // the drivers, and the numbers of runs
  MakeDriver sockets;
  std::function<std::unique_ptr<Driver>(std::uint64_t chance)> in_virtual; // 0: as drawn by the seed
  std::uint32_t plays = 16; // in virtual time, in addition to the first
  std::uint32_t tries = 3;  // repeated on sockets while runs are void
  std::string records = {}; // for records of the first virtual run and the socket runs; empty: none
};
Pair play_beside(const Besides& besides, const model::Spec& spec, std::stop_token stop = {});

// ---- reports ----

std::string pair_text(const Pair& pair);
struct Agreement {
  std::uint32_t judged = 0, agree = 0, voided = 0, broke = 0; // broken: a certain oracle, on either side
  double mean = 0, worst = 0;                                 // of each comparison's max_distance
  std::uint32_t wide = 0;                   // storms whose allowed deviation of service exceeds 5 points
  double mean_points = 0, worst_points = 0; // of overall service, in percentage points
  bool well() const { return judged > 0 && agree == judged && voided == 0 && broke == 0; }
};
Agreement agreement_of(const std::vector<Pair>& pairs);
std::string agreement_text(const Agreement& a);

} // namespace fernward::lab::storm
