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
  std::vector<double> priority_values, priority_rates; // by priority
  double shed_share = 0;                               // share of the traffic to shed
  double choices = 0, choices_without_capacity = 0; // choices lately, and those that found no cache with room

  bool admits(std::size_t priority, double draw) const {
    double below = 0, alike = 0, above = 0;
    for (std::size_t i = 0; i < priority_values.size(); ++i) {
      (priority_values[i] < priority_values[priority]    ? below
       : priority_values[i] == priority_values[priority] ? alike
                                                         : above) += priority_rates[i];
    }
    return draw * alike >= shed_share * (below + alike + above) - below;
  }
  void on_tick() {
    const bool crowded = choices_without_capacity > kTightShare * (choices + kEvidence);
    // A node that sees little must not judge by its last choice alone, nor for long by old ones.
    const double keep = choices > kEvidence ? 0.8 : 0.97;
    choices *= keep, choices_without_capacity *= keep;
    shed_share = crowded ? std::min(0.9, shed_share + 0.03) : shed_share > 0.01 ? 0.9 * shed_share : 0;
    for (double& r : priority_rates) r *= 0.98;
  }
};

} // namespace fernward::concurrency
