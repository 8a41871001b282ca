// Draws a storm from a seed: a fleet, its load and settings, and overlapping faults. Pure.
//
// The same seed and coverage give the same storm. Faults are undone before the end, so that the fleet's
// capacity afterwards equals that before, except for routers that are not restarted. Sizes are skewed: half
// of the storms have fewer than six routers and a few thousand requests; two in a hundred have 200 routers or
// more.
#pragma once

#include "lab/storm/coverage.h"
#include "model/spec.h"

namespace fernward::lab::storm {

struct StormLimits { // limits of a storm
  std::uint32_t max_routers = 300, max_nodes = 200;
  double max_rate_per_s = 250;          // requests per second
  double fault_free_ms = 3000;          // without faults, at the start
  double fault_begin_window_ms = 10000; // after that: the period in which faults begin
  double size_exponent = 4;  // 4: most storms are small; 1: sizes are log-uniform between the limits
  bool full_duration = true; // false: short faults and a short tail, for runs in real time
};

model::Spec draw_storm(std::uint64_t seed, const Coverage& coverage, const StormLimits& limits = {});

// Time from the end of the last fault until service must have recovered, as far as it depends on the routers:
// the delays of discovery, the warm-up of nodes, and an allowance for the routers. Excludes refilling caches:
// see refill_ms.
double settle_ms(const model::Spec& spec);

} // namespace fernward::lab::storm
