// Plots of a run as SVG, drawn by gnuplot.
#pragma once

#include <string>
#include <vector>

#include "lab/stats/run_stats.h"

namespace fernward::lab {

struct Plot {
  std::string title, note, svg;
};

struct Plots {
  std::vector<Plot> plots;
  std::string error; // why there are no plots: gnuplot is missing, or its output
};

// Runs `program` in a temporary folder, which is removed afterwards. Takes a minute at most.
Plots draw_plots(const RunStats& figures, const std::string& program = "gnuplot");

} // namespace fernward::lab
