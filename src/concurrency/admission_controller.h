// Decides which requests are shed while many cache choices find no cache with capacity. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace fernward::concurrency {

// Sheds a share of the traffic, lowest priority weight first. Each priority is a request class, either within
// or beyond its tenant's quota. The caller counts choices and request rates, and calls on_tick() at a fixed
// interval.
struct AdmissionController {
  std::vector<double> priority_weights; // priority weight of a response, by priority
  std::vector<double> priority_rates;   // recent requests, by priority; decayed with each tick
  double shed_share = 0;                // share of the traffic to shed
  double choices = 0;                   // recent choices; decayed with each tick
  double choices_without_capacity = 0;  // recent choices that found no cache with capacity

  // `uniform_draw`: uniform in [0, 1). Sheds all requests of the lower weights and a random part of those
  // with the weight at the boundary.
  bool admits(std::size_t priority, double uniform_draw) const {
    const double weight = priority_weights[priority];
    double lower_rate = 0;
    double equal_rate = 0;
    double higher_rate = 0;
    for (std::size_t i = 0; i < priority_weights.size(); ++i) {
      if (priority_weights[i] < weight) {
        lower_rate += priority_rates[i];
      } else if (priority_weights[i] == weight) {
        equal_rate += priority_rates[i];
      } else {
        higher_rate += priority_rates[i];
      }
    }
    return uniform_draw * equal_rate >= shed_share * (lower_rate + equal_rate + higher_rate) - lower_rate;
  }

  void on_tick() {
    const bool overloaded = choices_without_capacity > kOverloadedShare * (choices + kAssumedChoices);
    // With few choices, the decision must not depend on the last choice alone, nor on old choices for long.
    const double decay = choices > kAssumedChoices ? kChoicesDecay : kFewChoicesDecay;
    choices *= decay;
    choices_without_capacity *= decay;
    shed_share = next_shed_share(overloaded);
    for (double& rate : priority_rates) rate *= kRateDecay;
  }

 private:
  double next_shed_share(bool overloaded) const {
    if (overloaded) return std::min(kMaxShedShare, shed_share + kShedStep);
    return shed_share > kMinShedShare ? kShedDecay * shed_share : 0;
  }

  // Share of choices without capacity above which the fleet is overloaded.
  static constexpr double kOverloadedShare = 0.2;
  // Added to the choices as having found capacity, because few choices are weak evidence.
  static constexpr double kAssumedChoices = 5;
  static constexpr double kChoicesDecay = 0.8; // per tick
  static constexpr double kFewChoicesDecay = 0.97;
  static constexpr double kRateDecay = 0.98;
  static constexpr double kMaxShedShare = 0.9;
  static constexpr double kMinShedShare = 0.01; // below this share nothing is shed
  static constexpr double kShedStep = 0.03;     // added per tick while overloaded
  static constexpr double kShedDecay = 0.9;     // per tick otherwise
};

} // namespace fernward::concurrency
