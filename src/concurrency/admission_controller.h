// Which requests are turned away unseen while caches have no room. Decides; no I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace fernward::concurrency {

constexpr double kTightShare = 0.2; // more choices than this find no cache with room: the node sheds
constexpr double kEvidence = 5;     // choices to judge by where the last ticks hold fewer

// Sheds the least worth first. Each priority is a class, inside or beyond its tenant's quota.
struct AdmissionController {
  std::vector<double> value, rate; // by priority
  double level = 0;                // share of the traffic to shed
  double seen = 0, tight = 0;      // choices lately, and those that found no cache with room

  bool admit(std::size_t priority, double draw) const {
    double below = 0, alike = 0, above = 0;
    for (std::size_t i = 0; i < value.size(); ++i) {
      (value[i] < value[priority] ? below : value[i] == value[priority] ? alike : above) += rate[i];
    }
    return draw * alike >= level * (below + alike + above) - below;
  }
  void tick() {
    const bool crowded = tight > kTightShare * (seen + kEvidence);
    // A node that sees little must not judge by its last choice alone, nor for long by old ones.
    const double keep = seen > kEvidence ? 0.8 : 0.97;
    seen *= keep, tight *= keep;
    level = crowded ? std::min(0.9, level + 0.03) : level > 0.01 ? 0.9 * level : 0;
    for (double& r : rate) r *= 0.98;
  }
};

} // namespace fernward::concurrency
