// Statistics of a run: totals, a time series, and the load of each machine. Plain data that can be merged
// with that of other runs of the same scenario, saved and loaded.
//
// A request counts in the time slice in which it was generated, whatever its outcome. Memory is bounded: the
// number of slices is limited, and in a longer run the slices become wider.
#pragma once

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/stats/latency_histogram.h"
#include "model/plan.h"
#include "model/records.h"

namespace fernward::lab {

inline constexpr std::size_t kOutcomeCount = 7; // number of enumerators of model::Heard
extern const std::array<const char*, kOutcomeCount> kOutcomeNames;

struct RequestStats {
  std::uint64_t drawn = 0, within_objective = 0, tries = 0;
  std::array<std::uint64_t, kOutcomeCount>
      outcome_counts{};                       // requests by the outcome of their last client try
  double drawn_weight = 0, served_weight = 0; // priority weight, of generated requests and as served
  LatencyHistogram latency_histogram;         // of served requests

  std::uint64_t served() const { return outcome_counts[static_cast<std::size_t>(model::TryOutcome::Served)]; }
  std::uint64_t refused() const {
    return outcome_counts[static_cast<std::size_t>(model::TryOutcome::Rejected)];
  }
  std::uint64_t closed() const;
  std::uint64_t failed() const { return closed() - served() - refused(); }
  double service() const { return drawn_weight > 0 ? served_weight / drawn_weight : 1; }
  void merge(const RequestStats& other);
};

struct TimeSlice {
  RequestStats request_stats;
  std::uint64_t attempts = 0;                        // that arrived at a machine
  std::uint64_t origin_reads = 0, origin_writes = 0; // those of them at the origin: reads and writes
  std::uint64_t hits = 0,
                misses = 0; // of reads at caches; a read that waits for a pending value counts as a miss
  std::uint64_t rejected = 0, errors = 0; // attempts that machines rejected, or answered with an error
  double handshakes = 0;
  void merge(const TimeSlice& other);
};

struct NamedRequestStats {
  std::string name;
  RequestStats request_stats;
};

struct MachineTimeSlice {
  float utilization_sum = 0;      // sum over the samples of the used share of the present capacity
  std::uint32_t sample_count = 0; // number of these samples
  std::uint32_t attempts = 0;
};

struct MachineStats {
  std::string name;
  std::vector<MachineTimeSlice> slices;
};

struct EventInterval {
  double from_ms = 0, to_ms = 0;
  std::string label;
};

struct RunStats {
  std::string scenario, title;
  double duration_ms = 0, slice_width_ms = 1000; // slice_width_ms: of a slice
  std::uint32_t runs = 1;
  std::vector<TimeSlice> slices;
  std::vector<NamedRequestStats> classes, tenants, zones, routers;
  std::vector<MachineStats> machines;
  std::vector<EventInterval> event_intervals;
  std::uint32_t origin_index = 0; // index in `machines`; the number of machines if there is no origin

  TimeSlice total() const;   // sum of all slices
  void double_slice_width(); // merges each pair of adjacent slices
  // Adds the statistics of another run. Throws std::invalid_argument if it has another scenario or fleet.
  void merge(RunStats other);
};

double hit_ratio(const TimeSlice& slice); // 0 if there were no reads

// Collects the statistics of one run from its records, which come in order of time.
class StatsCollector : public model::Sink {
 public:
  StatsCollector(const model::Spec& spec, const model::Plan& plan);

  using model::Sink::on;
  void on(const model::DrawnRequest& drawn) override;
  void on(const model::TrySent& tried) override;
  void on(const model::TryEnded& answered) override;
  void on(const model::RequestEnded& closed) override;
  void on(const model::AttemptArrived& arrived) override;
  void on(const model::AttemptEnded& ended) override;
  void on(const model::LoadSample& sample) override;
  void on(const model::EventMark& mark) override;

  RunStats take(); // to be called once, after the run
  std::size_t open_request_count() const { return open_requests_.size(); }

 private:
  struct OpenRequest {
    double drawn_at_ms = 0, objective_ms = 0;
    std::uint32_t class_index = 0, tenant = 0, zone = 0, router = 0;
    bool tried = false;
  };
  std::size_t slice_index(double at); // index of the slice of this time, which is created if needed
  TimeSlice& slice_at(double at) { return stats_.slices[slice_index(at)]; }
  MachineTimeSlice& machine_slice_at(double at, model::MachineId machine);
  template <typename Count>
  void update_request_stats(const OpenRequest& open, Count count);

  RunStats stats_;
  std::size_t max_slices_;
  std::unordered_map<model::RequestNumber, OpenRequest> open_requests_;
};

// File format. run_stats_from_json throws std::invalid_argument with a description of the fault.
nlohmann::json to_json(const RunStats& stats);
RunStats run_stats_from_json(const nlohmann::json& input);

} // namespace fernward::lab
