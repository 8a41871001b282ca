// A storm drawn from a seed: a fleet, its load and settings, and faults that overlap. Pure.
//
// The same seed and coverage give the same storm. What faults take away is given back before the end, so that what a
// fleet can do afterwards is what it could do before, but for routers that stay away. Sizes are skewed: half of the
// storms have fewer than six routers and are over in a few thousand requests; two in a hundred have 200 and more.
#pragma once

#include "lab/storm/coverage.h"
#include "model/spec.h"

namespace fernward::lab::storm {

struct Size { // a storm's bounds
  std::uint32_t most_routers = 300, most_nodes = 200;
  double most_rate = 250;   // requests a second
  double calm_ms = 3000;    // before the first fault
  double faults_ms = 10000; // in which faults begin
  double skew = 4;          // 4: most storms are small; 1: sizes lie evenly between the bounds
  bool whole = true;        // false: settled soon, for real time: short spans, a short tail
};

model::Spec draw(std::uint64_t seed, const Coverage& seen, const Size& size = {});

// From the end of the last fault, by when service must be back, as far as that is the routers' doing alone: how late
// discovery tells, how long nodes are cold, and what routers are granted. Without the caches' contents: see refill_ms.
double settle_ms(const model::Spec& spec);

} // namespace fernward::lab::storm
