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

struct Variation { // of a figure, over runs that differ by chance only
  double mean = 0, deviation = 0, min = 0, max = 0;
  std::size_t runs = 0;
};
Variation variation_of(const std::vector<double>& values);
// The largest deviation from the mean that still agrees. It includes the uncertainty of the mean itself: one
// further run deviates from the estimated mean by sqrt(1 + 1/n) standard deviations.
double allowed_deviation(const Variation& variation, double allowance);
// Deviation of `value` from the runs' mean, in units of the allowed deviation: 1 and more disagrees.
double distance(const Variation& variation, double value, double allowance);

// ---- figures of one run ----

struct Figure {
  std::string name;
  double value = 0;
  double allowance = 0; // for what the model omits, in addition to chance
};

// Counts hits, misses and origin reads, which the oracles do not need.
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

struct StormComparison {
  std::uint64_t seed = 0;
  model::Spec spec;
  std::vector<Verdict> in_virtual, on_sockets; // by oracle
  std::vector<ComparedFigure> figures;
  double max_distance = 0;               // of all figures
  std::size_t virtual_runs_broken = 0;   // runs in virtual time that broke a certain oracle
  std::vector<std::string> void_reasons; // the reason of each void run on sockets
  bool judged = false;                   // one run on sockets is valid
  double send_delay_p99_ms = 0;

  bool agrees() const { return judged && max_distance < 1; }
  bool has_broken(Confidence confidence) const; // an oracle of that confidence, on either side
};

struct ComparisonSetup { // the drivers, and the numbers of runs
  MakeDriver make_sockets_driver;
  std::function<std::unique_ptr<Driver>(std::uint64_t chance)> make_virtual_driver; // 0: as drawn by the seed
  std::uint32_t extra_virtual_runs = 16; // in virtual time, in addition to the first
  std::uint32_t max_socket_runs = 3;     // repeated on sockets while runs are void
  std::string record_folder = {}; // for records of the first virtual run and the socket runs; empty: none
};
StormComparison compare_with_sockets(const ComparisonSetup& setup, const model::Spec& spec,
                                     std::stop_token stop = {});

// ---- reports ----

std::string comparison_text(const StormComparison& comparison);
struct Agreement {
  std::uint32_t judged = 0, agreeing = 0, void_count = 0,
                broken = 0;                   // broken: a certain oracle, on either side
  double mean_distance = 0, max_distance = 0; // of each comparison's max_distance
  std::uint32_t wide_bounds = 0;              // storms whose allowed deviation of service exceeds 5 points
  double mean_service_points = 0, max_service_points = 0; // of overall service, in percentage points
  bool all_agree() const { return judged > 0 && agreeing == judged && void_count == 0 && broken == 0; }
};
Agreement agreement_of(const std::vector<StormComparison>& comparisons);
std::string agreement_text(const Agreement& agreement);

} // namespace fernward::lab::storm
