// Statistics of a run: totals, a time series, and the load of each machine. Plain data that can be merged
// with that of other runs of the same scenario, saved and loaded.
//
// A request counts in the time slice in which it was drawn, whatever its outcome. Memory is bounded: the number
// of slices is limited, and in a longer run the slices become wider.
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

inline constexpr std::size_t kOutcomeCount = 7; // number of enumerators of model::TryOutcome
extern const std::array<const char*, kOutcomeCount> kOutcomeNames; // in the order of model::TryOutcome

// Statistics of a set of requests. For a router, of the client tries that were sent to it.
struct RequestStats {
  std::uint64_t drawn = 0, within_objective = 0, tries = 0;
  std::array<std::uint64_t, kOutcomeCount>
      outcome_counts{};                       // requests by the outcome of their last client try
  double drawn_weight = 0, served_weight = 0; // priority weight, and the part of it that responses earned
  LatencyHistogram latency_histogram;         // of served requests

  std::uint64_t served() const { return outcome_counts[static_cast<std::size_t>(model::TryOutcome::Served)]; }
  std::uint64_t rejected() const {
    return outcome_counts[static_cast<std::size_t>(model::TryOutcome::Rejected)];
  }
  std::uint64_t closed() const;
  std::uint64_t failed() const { return closed() - served() - rejected(); }
  double service() const { return drawn_weight > 0 ? served_weight / drawn_weight : 1; }
  void merge(const RequestStats& other);
};

struct TimeSlice {
  RequestStats request_stats;
  std::uint64_t attempts = 0;                        // attempts that arrived at a machine
  std::uint64_t origin_reads = 0, origin_writes = 0; // attempts that arrived at the origin
  std::uint64_t hits = 0,
                misses = 0; // of reads at caches; a read that waits for a pending value counts as a miss
  std::uint64_t rejected = 0, errors = 0; // attempts that machines rejected, or answered with an error
  double handshakes = 0;                  // new connections to machines
  void merge(const TimeSlice& other);
};

struct NamedRequestStats {
  std::string name;
  RequestStats request_stats;
};

struct MachineTimeSlice {
  float utilization_sum = 0;      // sum of the samples of LoadSample::utilization
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
  double duration_ms = 0, slice_width_ms = 1000; // the width is that of each slice
  std::uint32_t runs = 1;                        // number of runs that were merged
  std::vector<TimeSlice> slices;
  std::vector<NamedRequestStats> classes, tenants, zones, routers;
  std::vector<MachineStats> machines;
  std::vector<EventInterval> event_intervals;
  std::uint32_t origin_index = 0; // index in `machines`; the number of machines if there is no origin

  TimeSlice total() const;   // sum of all slices
  void double_slice_width(); // merges each pair of adjacent slices
  // Adds the statistics of another run. Throws std::invalid_argument if it has other classes, tenants, zones or
  // routers, another number of machines, or a slice width that can't be made equal by doubling.
  void merge(RunStats other);
};

double hit_ratio(const TimeSlice& slice); // 0 if there were no reads

// Collects the statistics of one run. Receives its records in order of time.
class StatsCollector : public model::Sink {
 public:
  StatsCollector(const model::Spec& spec, const model::Plan& plan);

  using model::Sink::on;
  void on(const model::DrawnRequest& drawn) override;
  void on(const model::TrySent& sent) override;
  void on(const model::TryEnded& ended) override;
  void on(const model::RequestEnded& ended) override;
  void on(const model::AttemptArrived& arrival) override;
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
  std::size_t slice_index(double at_ms); // index of the slice of this time; creates it if needed
  TimeSlice& slice_at(double at_ms) { return stats_.slices[slice_index(at_ms)]; }
  MachineTimeSlice& machine_slice_at(double at_ms, model::MachineId machine);
  template <typename Update>
  void update_request_stats(const OpenRequest& open, Update update);

  RunStats stats_;
  std::size_t max_slices_;
  std::unordered_map<model::RequestNumber, OpenRequest> open_requests_;
};

// File format. run_stats_from_json throws std::invalid_argument with a description of the fault.
nlohmann::json to_json(const RunStats& stats);
RunStats run_stats_from_json(const nlohmann::json& input);

} // namespace fernward::lab
