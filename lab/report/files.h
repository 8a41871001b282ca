// The files of a run's results: run.json (the complete result), seconds.csv (by time slice), machines.csv (by
// machine and time slice), scenario.toml and report.html.
#pragma once

#include <filesystem>
#include <string>

#include "lab/experiment/run_experiment.h"

namespace fernward::lab {

struct ReportFiles {
  std::filesystem::path report;
  std::string without_plots; // why the report has no plots; empty: it has plots
};

// Writes all files of a run into `folder`, which is created if it does not exist. Throws std::runtime_error
// with the path and the error.
ReportFiles write_files(const ExperimentResult& result, const std::filesystem::path& folder);

// Writes a file into a folder, which is created if it does not exist. Throws std::runtime_error with the path
// and the error.
void save_text(const std::filesystem::path& folder, const std::string& name, const std::string& text);

// Reads run.json. Throws std::runtime_error with the path and the error.
ExperimentResult load_result(const std::filesystem::path& path);

// The contents of the CSV files.
std::string seconds_csv(const RunStats& stats);
std::string machines_csv(const RunStats& stats);

// For terminals: requests served, refused and failed, broken rules, bounds and a verdict.
std::string summary_text(const ExperimentResult& result);
std::string verdict_text(const ExperimentResult& result); // one line

} // namespace fernward::lab
