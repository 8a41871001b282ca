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

#include "lab/stats/latency.h"
#include "model/plan.h"
#include "model/record.h"

namespace fernward::lab {

inline constexpr std::size_t kHeards = 7; // number of enumerators of model::Heard
extern const std::array<const char*, kHeards> kHeardNames;

struct Tally {
  std::uint64_t drawn = 0, in_aim = 0, tries = 0;
  std::array<std::uint64_t, kHeards> ends{}; // requests by the outcome of their last client try
  double asked = 0, earned = 0;              // priority weight, of generated requests and as served
  Latency latency;                           // of served requests

  std::uint64_t served() const { return ends[static_cast<std::size_t>(model::Heard::Served)]; }
  std::uint64_t refused() const { return ends[static_cast<std::size_t>(model::Heard::Refused)]; }
  std::uint64_t closed() const;
  std::uint64_t failed() const { return closed() - served() - refused(); }
  double service() const { return asked > 0 ? earned / asked : 1; }
  void merge(const Tally& other);
};

struct Slice {
  Tally tally;
  std::uint64_t attempts = 0;            // that arrived at a machine
  std::uint64_t fetches = 0, writes = 0; // those of them at the origin: reads and writes
  std::uint64_t hits = 0,
                misses = 0; // of reads at caches; a read that waits for a pending value counts as a miss
  std::uint64_t turned_away = 0, errors = 0; // attempts that machines rejected, or answered with an error
  double handshakes = 0;
  void merge(const Slice& other);
};

struct Named {
  std::string name;
  Tally tally;
};

struct MachineSlice {
  float used = 0;            // sum over the samples of the used share of the present capacity
  std::uint32_t samples = 0; // number of these samples
  std::uint32_t attempts = 0;
};

struct MachineFigures {
  std::string name;
  std::vector<MachineSlice> slices;
};

struct MarkFigure {
  double from_ms = 0, to_ms = 0;
  std::string label;
};

struct Figures {
  std::string scenario, title;
  double duration_ms = 0, width_ms = 1000; // width_ms: of a slice
  std::uint32_t runs = 1;
  std::vector<Slice> slices;
  std::vector<Named> classes, tenants, zones, routers;
  std::vector<MachineFigures> machines;
  std::vector<MarkFigure> marks;
  std::uint32_t origin = 0; // index in `machines`; the number of machines if there is no origin

  Slice whole() const; // sum of all slices
  void widen();        // merges each pair of adjacent slices
  // Adds the statistics of another run. Throws std::invalid_argument if it has another scenario or fleet.
  void merge(Figures other);
};

double hit_ratio(const Slice& slice); // 0 if there were no reads

// Collects the statistics of one run from its records, which come in order of time.
class Collector : public model::Sink {
 public:
  Collector(const model::Spec& spec, const model::Plan& plan);

  using model::Sink::on;
  void on(const model::Drawn& drawn) override;
  void on(const model::Tried& tried) override;
  void on(const model::Answered& answered) override;
  void on(const model::Closed& closed) override;
  void on(const model::Arrived& arrived) override;
  void on(const model::AttemptEnded& ended) override;
  void on(const model::LoadSample& sample) override;
  void on(const model::Mark& mark) override;

  Figures take(); // to be called once, after the run
  std::size_t remembers() const { return open_.size(); }

 private:
  struct Open {
    double at = 0, aim_ms = 0;
    std::uint32_t cls = 0, tenant = 0, zone = 0, router = 0;
    bool tried = false;
  };
  std::size_t index(double at); // index of the slice of this time, which is created if needed
  Slice& slice(double at) { return figures_.slices[index(at)]; }
  MachineSlice& machine_slice(double at, model::MachineId machine);
  template <typename Count>
  void each_tally(const Open& open, Count count);

  Figures figures_;
  std::size_t most_slices_;
  std::unordered_map<model::RequestNumber, Open> open_;
};

// File format. figures_from throws std::invalid_argument with a description of the fault.
nlohmann::json to_json(const Figures& figures);
Figures figures_from(const nlohmann::json& json);

} // namespace fernward::lab
