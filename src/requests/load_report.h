// A server's load report, read by the fields that the settings name.
#pragma once

#include <algorithm>
#include <vector>

#include "fernward/balancer.h"
#include "statistics/numbers.h"

namespace fernward {

struct LoadReport {    // below 0: not told
  double waiting = -1; // requests, or those in work where no others are told
  double latency_ms = -1;
};

inline LoadReport reported(const std::vector<LoadReportField>& fields, const std::vector<float>& values) {
  LoadReport told;
  double inflight = -1;
  for (std::size_t i = 0; i < std::min(values.size(), fields.size()); ++i) {
    if (!usable_number(values[i])) continue;
    if (fields[i] == LoadReportField::Queue) told.waiting = values[i];
    if (fields[i] == LoadReportField::Inflight) inflight = values[i];
    if (fields[i] == LoadReportField::LatencyMs) told.latency_ms = values[i];
  }
  if (told.waiting < 0) told.waiting = inflight;
  return told;
}

} // namespace fernward
