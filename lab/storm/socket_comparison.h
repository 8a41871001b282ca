// Compares a storm on sockets with the same storm in virtual time, and estimates how much of the difference
// is chance.
//
// To estimate chance, the same machines, requests and faults run several times in virtual time, and what
// two runs on sockets would not have in common either is redrawn for each run. A figure from sockets
// agrees if it lies within four standard deviations of the mean of those runs, plus an allowance for what
// the model omits.
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

struct Variation { // of a figure, over runs that differ by chance only
  // `deviation` is the standard deviation, 0 with fewer than two runs.
  double mean = 0, deviation = 0, min = 0, max = 0;
  std::size_t runs = 0;
};
Variation variation_of(const std::vector<double>& values);
// The largest deviation from the mean that still agrees. It includes the uncertainty of the mean itself:
// the difference between one further run and the mean of n runs has sqrt(1 + 1/n) times their standard
// deviation.
double allowed_deviation(const Variation& variation, double allowance);
// Deviation of `value` from the mean as a multiple of the allowed deviation; 1 or more: it does not agree.
double distance(const Variation& variation, double value, double allowance);

// ---- figures of one run ----

struct Figure {
  std::string name;
  double value = 0;
  double allowance = 0; // for what the model omits, in addition to chance
};

// Counts hits, misses and reads at the origin, which the oracles do not need.
class ReadCounters : public model::Sink {
 public:
  using model::Sink::on;
  void on(const model::AttemptEnded& record) override;
  std::uint64_t hits = 0, misses = 0, origin_reads = 0;
};

// The same figures in the same order for each run of a spec: service overall and by class; the hit ratio of
// reads at caches; reads answered by the origin, and attempts at caches, per request.
std::vector<Figure> figures_of(const model::Spec& spec, const StormOutcome& outcome,
                               const ReadCounters& reads);

// ---- comparisons ----

struct ComparedFigure {
  Figure on_sockets;
  Variation variation; // of the runs in virtual time
  double distance = 0;
};

struct StormComparison { // of one storm
  std::uint64_t seed = 0;
  model::Spec spec;
  std::vector<Verdict> in_virtual, on_sockets; // by oracle; in_virtual: of the first run in virtual time
  std::vector<ComparedFigure> figures;
  double max_distance = 0;               // of all figures
  std::size_t virtual_runs_broken = 0;   // runs in virtual time that broke a certain oracle
  std::vector<std::string> void_reasons; // the reason of each void run on sockets
  bool judged = false;                   // a run on sockets was valid
  double send_delay_p99_ms = 0;          // of the last run on sockets

  bool agrees() const { return judged && max_distance < 1; }
  bool has_broken(Confidence confidence) const; // an oracle of that confidence, on either side
};

struct ComparisonSetup { // the drivers, and the numbers of runs
  MakeDriver make_sockets_driver;
  // `variation`: see make_virtual_driver() in lab/virtual/virtual_driver.h; 0: as the seed determines.
  std::function<std::unique_ptr<Driver>(std::uint64_t variation)> make_virtual_driver;
  std::uint32_t extra_virtual_runs = 16; // in virtual time, in addition to the first
  std::uint32_t max_socket_runs = 3;     // on sockets, repeated while runs are void
  // For text records of the first run in virtual time and the last one on sockets; empty: none are written.
  std::string record_folder = {};
};
StormComparison compare_with_sockets(const ComparisonSetup& setup, const model::Spec& spec,
                                     std::stop_token stop = {});

// ---- reports ----

std::string comparison_text(const StormComparison& comparison);
struct Agreement { // of several comparisons
  // Numbers of storms. void_count: without a valid run on sockets; broken: a certain oracle, on either
  // side.
  std::uint32_t judged = 0, agreeing = 0, void_count = 0, broken = 0;
  double mean_distance = 0, max_distance = 0; // of the max_distance of each judged comparison
  std::uint32_t wide_bounds = 0;              // storms whose allowed deviation of service exceeds 5 points
  double mean_service_points = 0, max_service_points = 0; // of overall service, in percentage points
  bool all_agree() const { return judged > 0 && agreeing == judged && void_count == 0 && broken == 0; }
};
Agreement agreement_of(const std::vector<StormComparison>& comparisons);
std::string agreement_text(const Agreement& agreement);

} // namespace fernward::lab::storm
