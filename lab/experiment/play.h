// One run of a scenario with its checks and statistics.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "lab/check/checker.h"
#include "lab/driver.h"
#include "lab/stats/figures.h"

namespace fernward::lab {

struct Result {
  std::string driver;   // "virtual", "sockets"
  std::string scenario; // the complete scenario as TOML, so that the run can be reproduced
  std::uint64_t seed = 0;
  RunInfo info;
  Findings findings;
  Figures figures;

  // The run is valid and complete, no rule was violated and every bound held.
  bool good() const { return !info.is_void && !info.stopped && findings.kept(); }
};

// `slack_ms`: see Checker. `quiet`, if given, is called once when the last request has been closed, with the
// statistics so far; the driver may continue for long after that.
Result play(Driver& driver, const std::string& driver_name, const model::Spec& spec, double slack_ms,
            const RunControl& control = {}, const std::function<void(const Figures&)>& quiet = {});

// The slack that the checks add to time limits, by driver.
double virtual_slack(const model::Spec& spec); // one tick of the decision module, in ms
inline constexpr double kSocketsSlackMs = 50;

// File format. result_from throws std::invalid_argument with a description of the fault.
nlohmann::json to_json(const Result& result);
Result result_from(const nlohmann::json& json);

} // namespace fernward::lab
