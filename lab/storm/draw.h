// Draws a storm from a seed: a fleet, its load and settings, and overlapping faults. Pure.
//
// The same seed, coverage and limits give the same storm. Faults are undone before the end, so that the
// fleet has the same capacity as before the faults, except for routers that are not restarted. Sizes are
// skewed: with the default limits, half of the storms have fewer than six routers and a few thousand
// requests, and two in a hundred have 200 routers or more.
#pragma once

#include "lab/storm/coverage.h"
#include "model/spec.h"

namespace fernward::lab::storm {

// Limits of a storm. Every storm has at least three routers and six nodes, whatever the limits.
struct StormLimits {
  std::uint32_t max_routers = 300, max_nodes = 200;
  double max_rate_per_s = 250;          // requests, without load spikes; the rate is at least 10
  double fault_free_ms = 3000;          // without faults, at the start
  double fault_begin_window_ms = 10000; // after that: the period in which the faults begin
  double size_exponent = 4;  // 4: most storms are small; 1: sizes are log-uniform between the limits
  bool full_duration = true; // false: short faults and a short tail, for runs in real time
};

// A pair of fault kinds that `coverage` has in few storms is preferred for the first two faults, which
// overlap.
model::Spec draw_storm(std::uint64_t seed, const Coverage& coverage, const StormLimits& limits = {});

// Time from the end of the last fault until service must have recovered, as far as it depends on the
// routers: the delays of discovery, the warm-up of nodes, and an allowance for the routers. The time to
// refill caches is not included: see refill_ms().
double settle_ms(const model::Spec& spec);

} // namespace fernward::lab::storm
