// A server's load report, read by the fields that the settings name.
#pragma once

#include <algorithm>
#include <vector>

#include "fernward/choice.h"
#include "numbers/numbers.h"

namespace fernward {

struct Reported {      // below 0: not told
  double waiting = -1; // requests, or those in work where no others are told
  double latency_ms = -1;
};

inline Reported reported(const std::vector<ReportField>& fields, const std::vector<float>& values) {
  Reported told;
  double inflight = -1;
  for (std::size_t i = 0; i < std::min(values.size(), fields.size()); ++i) {
    if (!usable_number(values[i])) continue;
    if (fields[i] == ReportField::Queue) told.waiting = values[i];
    if (fields[i] == ReportField::Inflight) inflight = values[i];
    if (fields[i] == ReportField::LatencyMs) told.latency_ms = values[i];
  }
  if (told.waiting < 0) told.waiting = inflight;
  return told;
}

} // namespace fernward
