// Runs a scenario on a driver, and checks its records and collects statistics from them meanwhile.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "lab/check/rule_checker.h"
#include "lab/driver.h"
#include "lab/stats/run_stats.h"

namespace fernward::lab {

// The complete result of one run: what run.json holds.
struct ExperimentResult {
  std::string driver;        // "virtual", "sockets"
  std::string scenario_toml; // the complete scenario as TOML, so that the run can be reproduced
  std::uint64_t seed = 0;
  RunInfo info;
  CheckResult check_result;
  RunStats stats;

  // The run is valid and complete, no rule was violated and every bound held.
  bool passed() const { return !info.is_void && !info.stopped && check_result.passed(); }
};

// Runs `spec`. `slack_ms`: see RuleChecker. `on_all_requests_closed`, if given, is called once when the last
// request has been closed, with the statistics so far; the driver may continue for long after that. Throws what
// the driver throws.
ExperimentResult run_experiment(Driver& driver, const std::string& driver_name, const model::Spec& spec,
                                double slack_ms, const RunControl& control = {},
                                const std::function<void(const RunStats&)>& on_all_requests_closed = {});

// The slack in ms that the checks add to time limits, by driver.
double virtual_time_slack_ms(const model::Spec& spec); // one tick of the decision module
inline constexpr double kSocketsSlackMs = 50;

// File format. result_from_json throws std::invalid_argument with a description of the fault.
nlohmann::json to_json(const ExperimentResult& result);
ExperimentResult result_from_json(const nlohmann::json& input);

} // namespace fernward::lab
