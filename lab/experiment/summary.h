// The summary values by which runs are compared.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "lab/experiment/play.h"

namespace fernward::lab {

struct Column {
  const char* name; // heading in tables
  const char* key;  // key in files
  bool more_is_better;
  double (*of)(const Result&);
  std::string (*text)(double);
};
inline constexpr std::size_t kColumns = 10;
const std::array<Column, kColumns>& columns();

using Row = std::array<double, kColumns>;
Row row_of(const Result& result);

// Paired differences b - a over the same seeds, with the 95% confidence interval of their mean (Student's t).
struct Paired {
  std::size_t pairs = 0;
  double mean_a = 0, mean_b = 0, mean = 0;
  double low = 0,
         high = 0; // interval of the mean; equal to it for a single pair, which can't show random variation
  enum class Says { Higher, Lower, Nothing } says = Says::Nothing;
};
Paired compare(const std::vector<double>& a, const std::vector<double>& b);

} // namespace fernward::lab
