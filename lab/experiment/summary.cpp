#include "lab/experiment/summary.h"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace fernward::lab {
namespace {

std::string percent(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f%%", value * 100);
  return text;
}
std::string milliseconds(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0fms", value);
  return text;
}
std::string per_second(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f/s", value);
  return text;
}

double share(std::uint64_t numerator, std::uint64_t denominator) {
  return denominator > 0 ? static_cast<double>(numerator) / static_cast<double>(denominator) : 0;
}

} // namespace

const std::array<SummaryColumn, kSummaryColumnCount>& summary_columns() {
  static const std::array<SummaryColumn, kSummaryColumnCount> column_definitions{{
      {"score", "score", true, [](const ExperimentResult& r) { return r.check_result.score; }, percent},
      {"service", "service", true, [](const ExperimentResult& r) { return r.check_result.overall_service; },
       percent},
      {"worst 10 s", "worst_window", true,
       [](const ExperimentResult& r) { return r.check_result.worst_window_service; }, percent},
      {"worst tenant", "worst_tenant", true,
       [](const ExperimentResult& r) { return r.check_result.worst_tenant_service; }, percent},
      {"refused", "refused", false,
       [](const ExperimentResult& r) {
         const RequestStats request_stats = r.stats.total().request_stats;
         return share(request_stats.rejected(), request_stats.drawn);
       },
       percent},
      {"failed", "failed", false,
       [](const ExperimentResult& r) {
         const RequestStats request_stats = r.stats.total().request_stats;
         return share(request_stats.failed(), request_stats.drawn);
       },
       percent},
      {"p50", "p50_ms", false,
       [](const ExperimentResult& r) {
         return r.stats.total().request_stats.latency_histogram.quantile(0.5);
       },
       milliseconds},
      {"p99", "p99_ms", false,
       [](const ExperimentResult& r) {
         return r.stats.total().request_stats.latency_histogram.quantile(0.99);
       },
       milliseconds},
      {"hit ratio", "hit_ratio", true, [](const ExperimentResult& r) { return hit_ratio(r.stats.total()); },
       percent},
      {"origin", "origin_per_s", false,
       [](const ExperimentResult& r) {
         const TimeSlice s = r.stats.total();
         return static_cast<double>(s.origin_reads + s.origin_writes) * 1000 / r.stats.duration_ms;
       },
       per_second},
  }};
  return column_definitions;
}

SummaryRow summary_row(const ExperimentResult& result) {
  SummaryRow row{};
  for (std::size_t i = 0; i < kSummaryColumnCount; ++i) row[i] = summary_columns()[i].value(result);
  return row;
}

PairedComparison compare_pairs(const std::vector<double>& a, const std::vector<double>& b) {
  if (a.size() != b.size() || a.empty())
    throw std::invalid_argument(
        "a comparison needs as many runs of one side as of the other, and at least one");
  PairedComparison comparison;
  comparison.pair_count = a.size();
  const auto pair_count = static_cast<double>(a.size());
  for (std::size_t i = 0; i < a.size(); ++i) {
    comparison.mean_a += a[i] / pair_count;
    comparison.mean_b += b[i] / pair_count;
    comparison.mean_difference += (b[i] - a[i]) / pair_count;
  }
  comparison.confidence_low = comparison.confidence_high = comparison.mean_difference;
  if (a.size() < 2) return comparison;
  double sum_of_squares = 0;
  for (std::size_t i = 0; i < a.size(); ++i)
    sum_of_squares += std::pow(b[i] - a[i] - comparison.mean_difference, 2);
  const double standard_error = std::sqrt(sum_of_squares / (pair_count - 1) / pair_count);
  const double margin =
      boost::math::quantile(boost::math::students_t(pair_count - 1), 0.975) * standard_error;
  comparison.confidence_low = comparison.mean_difference - margin;
  comparison.confidence_high = comparison.mean_difference + margin;
  if (comparison.confidence_low > 0) comparison.direction = PairedComparison::Direction::Higher;
  if (comparison.confidence_high < 0) comparison.direction = PairedComparison::Direction::Lower;
  return comparison;
}

} // namespace fernward::lab
