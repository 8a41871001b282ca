// The summary values by which runs are compared.
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
  double confidence_low = 0,
         confidence_high =
             0; // interval of the mean; equal to it for a single pair, which can't show random variation
  enum class Direction { Higher, Lower, Undetermined } direction = Direction::Undetermined;
};
PairedComparison compare_pairs(const std::vector<double>& a, const std::vector<double>& b);

} // namespace fernward::lab
