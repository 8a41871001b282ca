// A self-contained HTML page about a run.
#pragma once

#include <string>

#include "lab/experiment/play.h"
#include "lab/report/plots.h"

namespace fernward::lab {

std::string html_report(const Result& result, const Plots& plots);
std::string html_escaped(const std::string& text);

} // namespace fernward::lab
