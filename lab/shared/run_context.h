// The objects that all parts of a run share. They outlive those parts, which run on threads of their own.
#pragma once

#include <algorithm>
#include <mutex>
#include <string>
#include <vector>

#include "lab/shared/addresses.h"
#include "lab/shared/body.h"
#include "lab/shared/clock.h"
#include "lab/shared/records.h"
#include "lab/shared/try_registry.h"
#include "model/plan.h"

namespace fernward::rig {

// The reasons why a run is void, that is, why its results are not valid for the routers.
class VoidReasons {
 public:
  void add(std::string reason) { // from any thread; keeps the first ones only
    const std::lock_guard lock(mutex_);
    if (reasons_.size() < kMaxReasons &&
        std::find(reasons_.begin(), reasons_.end(), reason) == reasons_.end())
      reasons_.push_back(std::move(reason));
  }
  std::vector<std::string> all() const {
    const std::lock_guard lock(mutex_);
    return reasons_;
  }

 private:
  static constexpr std::size_t kMaxReasons = 16;
  mutable std::mutex mutex_;
  std::vector<std::string> reasons_;
};

// References to the objects of one run, for each of its parts.
struct RunContext {
  const model::Spec& spec;
  const model::Plan& plan;
  const RunAddresses& addresses;
  const RunClock& clock;
  BodyCodec& body_codec;
  TryRegistry& tries;
  RecordBuffer& records;
  VoidReasons& void_reasons;
  bool serve_foreign_requests =
      false; // requests of other clients are served too, and do not make the run void

  const model::NodeKind* kind_of(model::MachineId machine) const { // null: the origin
    const std::uint32_t kind = plan.machines[machine].kind;
    return kind < spec.kinds.size() ? &spec.kinds[kind] : nullptr;
  }
  // Idle time after which the machine closes a connection.
  double idle_timeout_ms(model::MachineId machine) const {
    const model::NodeKind* kind = kind_of(machine);
    return kind != nullptr ? kind->idle_timeout_ms : spec.origin.idle_timeout_ms;
  }
  // Round trips of a handshake after the TCP handshake.
  double handshake_round_trips(model::MachineId machine) const {
    const model::NodeKind* kind = kind_of(machine);
    return kind != nullptr ? kind->handshake_round_trips : spec.origin.handshake_round_trips;
  }
  const model::ReportSpec& report_of(model::MachineId machine) const {
    const model::NodeKind* kind = kind_of(machine);
    return kind != nullptr ? kind->report : spec.origin.report;
  }
};

// The longest client timeout of the scenario's classes.
inline double max_client_timeout_ms(const model::Spec& spec) {
  double max_timeout_ms = 0;
  for (const auto& cls : spec.classes) max_timeout_ms = std::max(max_timeout_ms, cls.client_timeout_ms);
  return max_timeout_ms;
}

} // namespace fernward::rig
