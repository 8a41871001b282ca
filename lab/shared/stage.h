// The objects that all parts of a run share. They outlive those parts, which run on threads of their own.
#pragma once

#include <algorithm>
#include <mutex>
#include <string>
#include <vector>

#include "lab/shared/addresses.h"
#include "lab/shared/body.h"
#include "lab/shared/clock.h"
#include "lab/shared/tape.h"
#include "lab/shared/tries.h"
#include "model/plan.h"

namespace fernward::rig {

// The reasons why a run is void, that is, why its results are not valid for the routers.
class Voids {
 public:
  void add(std::string why) { // from any thread; keeps the first ones only
    const std::lock_guard lock(mutex_);
    if (all_.size() < kMost && std::find(all_.begin(), all_.end(), why) == all_.end())
      all_.push_back(std::move(why));
  }
  std::vector<std::string> all() const {
    const std::lock_guard lock(mutex_);
    return all_;
  }

 private:
  static constexpr std::size_t kMost = 16;
  mutable std::mutex mutex_;
  std::vector<std::string> all_;
};

// Everything that a part of the run refers to.
struct Stage {
  const model::Spec& spec;
  const model::Plan& plan;
  const Addresses& addresses;
  const Clock& clock;
  Bodies& bodies;
  Tries& tries;
  Tape& tape;
  Voids& voids;
  bool visitors = false; // requests of other clients are served too, and do not make the run void

  const model::NodeKind* kind_of(model::MachineId machine) const { // null: the origin
    const std::uint32_t kind = plan.machines[machine].kind;
    return kind < spec.kinds.size() ? &spec.kinds[kind] : nullptr;
  }
  double idle_ms(model::MachineId machine) const {
    const model::NodeKind* kind = kind_of(machine);
    return kind != nullptr ? kind->idle_ms : spec.origin.idle_ms;
  }
  double handshake_trips(model::MachineId machine) const {
    const model::NodeKind* kind = kind_of(machine);
    return kind != nullptr ? kind->handshake_trips : spec.origin.handshake_trips;
  }
  const model::ReportSpec& report_of(model::MachineId machine) const {
    const model::NodeKind* kind = kind_of(machine);
    return kind != nullptr ? kind->report : spec.origin.report;
  }
};

inline double longest_give_up(const model::Spec& spec) {
  double longest = 0;
  for (const auto& cls : spec.classes) longest = std::max(longest, cls.give_up_ms);
  return longest;
}

} // namespace fernward::rig
