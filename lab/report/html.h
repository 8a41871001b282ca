// A self-contained HTML page about a run.
#pragma once

#include <string>

#include "lab/experiment/run_experiment.h"
#include "lab/report/plots.h"

namespace fernward::lab {

std::string html_report(const ExperimentResult& result, const Plots& plots);
std::string html_escaped(const std::string& text);

} // namespace fernward::lab
