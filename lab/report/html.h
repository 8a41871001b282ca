// A self-contained HTML page about a run.
#pragma once

#include <string>

#include "lab/experiment/run_experiment.h"
#include "lab/report/plots.h"

namespace fernward::lab {

// The page about `result` with `plots`. If there are no plots, the page says why.
std::string html_report(const ExperimentResult& result, const Plots& plots);
// `text` with the characters escaped that have a meaning in HTML text and attributes.
std::string html_escaped(const std::string& text);

} // namespace fernward::lab
