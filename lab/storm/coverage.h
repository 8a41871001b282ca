// Records which pairs of faults were open at once, and at which stage of a request. New storms are drawn with
// a preference for the pairs covered least. Pure.
#pragma once

#include <map>

#include "lab/storm/faults.h"
#include "model/records.h"

namespace fernward::lab::storm {

enum class Stage : std::uint8_t {
  FirstTry,   // a client has sent its first try
  FurtherTry, // a client has sent a further try, after a rejection or failure
  Cache,      // an attempt reaches a cache node
  Origin,     // an attempt reaches the origin
  Response,   // a try ends
  Count
};
constexpr std::size_t kStageCount = static_cast<std::size_t>(Stage::Count);
extern const std::array<const char*, kStageCount> kStageNames;

// Records, for one run, the stages that occurred while each set of faults was open. Records must be passed
// in order of time. `origin` is the origin's machine number.
class FaultStageRecorder : public model::Sink {
 public:
  FaultStageRecorder(const model::Spec& spec, model::MachineId origin);
  FaultStageRecorder(FaultStageRecorder&&) = default;
  FaultStageRecorder& operator=(FaultStageRecorder&&) = default;
  using model::Sink::on;
  void on(const model::TrySent& record) override {
    record_stage(record.at, record.number == 0 ? Stage::FirstTry : Stage::FurtherTry);
  }
  void on(const model::AttemptArrived& record) override {
    record_stage(record.at, record.machine == origin_ ? Stage::Origin : Stage::Cache);
  }
  void on(const model::TryEnded& record) override { record_stage(record.at, Stage::Response); }

  using FaultSet = std::uint32_t; // one bit for each kind
  // The values have one bit for each stage.
  const std::map<FaultSet, std::uint8_t>& stages_by_fault_set() const { return stages_by_fault_set_; }

 private:
  void record_stage(double at, Stage stage);

  std::vector<std::pair<double, int>> changes_; // by time: kind + 1 opens, -(kind + 1) closes
  std::size_t next_change_ = 0;
  std::array<int, kFaultKindCount> open_counts_{};
  model::MachineId origin_;
  FaultSet open_faults_ = 0;
  std::uint8_t* current_stages_ = nullptr; // points into stages_by_fault_set_
  std::map<FaultSet, std::uint8_t> stages_by_fault_set_;
};
static_assert(kFaultKindCount <= 32);

// For each pair of fault kinds, the number of storms in which both were open at once: at each stage, and
// at any. Only pairs of different kinds are counted.
class Coverage {
 public:
  void add(const FaultStageRecorder& run); // one storm
  void merge(const Coverage& other);       // adds the counts of `other`

  // Storms in which both were open at once while a request was at that stage.
  std::uint64_t storms_at_stage(FaultKind a, FaultKind b, Stage stage) const {
    return storms_by_stage_[pair_index(a, b)][static_cast<std::size_t>(stage)];
  }
  // The same at any stage.
  std::uint64_t storms_with_pair(FaultKind a, FaultKind b) const { return storms_by_pair_[pair_index(a, b)]; }
  std::uint64_t min_storms_of_any_pair() const; // the minimum of storms_with_pair() over all pairs

 private:
  static std::size_t pair_index(FaultKind a, FaultKind b) {
    const auto first = static_cast<std::size_t>(a), second = static_cast<std::size_t>(b);
    return first < second ? first * kFaultKindCount + second : second * kFaultKindCount + first;
  }
  std::array<std::array<std::uint64_t, kStageCount>, kFaultKindCount * kFaultKindCount> storms_by_stage_{};
  std::array<std::uint64_t, kFaultKindCount * kFaultKindCount> storms_by_pair_{};
};

} // namespace fernward::lab::storm
