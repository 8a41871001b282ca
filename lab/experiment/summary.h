// The summary values of a run, and the comparison of two lists of runs by them.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "lab/experiment/run_experiment.h"

namespace fernward::lab {

struct SummaryColumn {
  const char* name; // heading in tables
  const char* key;  // key in files
  bool higher_is_better;
  double (*value)(const ExperimentResult&);
  std::string (*format_value)(double);
};
inline constexpr std::size_t kSummaryColumnCount = 10;
const std::array<SummaryColumn, kSummaryColumnCount>& summary_columns();

using SummaryRow = std::array<double, kSummaryColumnCount>;
SummaryRow summary_row(const ExperimentResult& result);

// Paired differences b - a over the same seeds, with the 95% confidence interval of their mean (Student's t).
struct PairedComparison {
  std::size_t pair_count = 0;
  double mean_a = 0, mean_b = 0, mean_difference = 0;
  // Interval of mean_difference. For a single pair, which can't show random variation, both limits equal it.
  double confidence_low = 0, confidence_high = 0;
  // Of b relative to a. Undetermined: the interval contains 0, or there is a single pair.
  enum class Direction { Higher, Lower, Undetermined } direction = Direction::Undetermined;
};
// Throws std::invalid_argument if the lists are empty or differ in size.
PairedComparison compare_pairs(const std::vector<double>& a, const std::vector<double>& b);

} // namespace fernward::lab
