// Records which pairs of faults were open at once, and at which stage of a request. New storms are drawn with
// a preference for the pairs covered least. Pure.
#pragma once

#include <map>

#include "lab/storm/faults.h"
#include "model/record.h"

namespace fernward::lab::storm {

enum class Stage : std::uint8_t {
  First,   // a client's first try reaches a router
  Further, // a further try, after a rejection or failure
  Cache,   // an attempt reaches a cache node
  Origin,  // an attempt reaches the origin
  Answer,  // a try ends
  Count
};
constexpr std::size_t kStages = static_cast<std::size_t>(Stage::Count);
extern const std::array<const char*, kStages> kStageNames;

// Records, for one run, the stages that occurred while each set of faults was open.
class StageWatch : public model::Sink {
 public:
  StageWatch(const model::Spec& spec, model::MachineId origin);
  StageWatch(StageWatch&&) = default;
  StageWatch& operator=(StageWatch&&) = default;
  using model::Sink::on;
  void on(const model::Tried& t) override { met(t.at, t.number == 0 ? Stage::First : Stage::Further); }
  void on(const model::Arrived& a) override {
    met(a.at, a.machine == origin_ ? Stage::Origin : Stage::Cache);
  }
  void on(const model::Answered& a) override { met(a.at, Stage::Answer); }

  using Open = std::uint32_t;                                          // one bit for each kind
  const std::map<Open, std::uint8_t>& stages() const { return seen_; } // one bit for each stage

 private:
  void met(double at, Stage stage);

  std::vector<std::pair<double, int>> changes_; // by time: kind + 1 opens, -(kind + 1) closes
  std::size_t next_ = 0;
  std::array<int, kKinds> count_{};
  model::MachineId origin_;
  Open open_ = 0;
  std::uint8_t* now_ = nullptr; // points into stages_by_fault_set_
  std::map<Open, std::uint8_t> seen_;
};
static_assert(kKinds <= 32);

class Coverage {
 public:
  void add(const StageWatch& run);
  void merge(const Coverage& other);

  // Storms in which both were open at once while a request was at that stage.
  std::uint64_t at(Kind a, Kind b, Stage stage) const {
    return seen_[index(a, b)][static_cast<std::size_t>(stage)];
  }
  std::uint64_t pair(Kind a, Kind b) const { return pairs_[index(a, b)]; } // at any stage
  std::uint64_t least() const; // the minimum over all pairs of different kinds

 private:
  static std::size_t index(Kind a, Kind b) {
    const auto x = static_cast<std::size_t>(a), y = static_cast<std::size_t>(b);
    return x < y ? x * kKinds + y : y * kKinds + x;
  }
  std::array<std::array<std::uint64_t, kStages>, kKinds * kKinds> seen_{};
  std::array<std::uint64_t, kKinds * kKinds> pairs_{};
};

} // namespace fernward::lab::storm
