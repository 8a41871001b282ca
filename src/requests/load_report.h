// Parses a server's load report according to the configured fields.
#pragma once

#include <algorithm>
#include <vector>

#include "fernward/balancer.h"
#include "statistics/numbers.h"

namespace fernward {

/// Load of one server; values below 0 are unknown.
struct LoadReport {
  double queue_length = -1; // queued requests; requests in progress if the server reports no queue
  double latency_ms = -1;
};

inline LoadReport parse_load_report(const std::vector<LoadReportField>& fields,
                                    const std::vector<float>& values) {
  LoadReport report;
  double in_flight = -1;
  for (std::size_t i = 0; i < std::min(values.size(), fields.size()); ++i) {
    if (!is_finite_non_negative(values[i])) continue;
    if (fields[i] == LoadReportField::Queue) report.queue_length = values[i];
    if (fields[i] == LoadReportField::Inflight) in_flight = values[i];
    if (fields[i] == LoadReportField::LatencyMs) report.latency_ms = values[i];
  }
  if (report.queue_length < 0) report.queue_length = in_flight;
  return report;
}

} // namespace fernward
