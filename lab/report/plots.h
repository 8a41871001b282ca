// Plots of a run as SVG, drawn by gnuplot.
#pragma once

#include <string>
#include <vector>

#include "lab/stats/run_stats.h"

namespace fernward::lab {

struct Plot { // title and note are plain text; svg is an <svg> element
  std::string title, note, svg;
};

struct Plots {
  std::vector<Plot> plots;
  std::string error; // why there are no plots: gnuplot is missing, or its output; empty: there are plots
};

// Draws all plots of a run. Runs `program` in a temporary folder, which is removed afterwards, for a minute at
// most.
Plots draw_plots(const RunStats& stats, const std::string& program = "gnuplot");

} // namespace fernward::lab
