// Which requests are shed while most choices find no cache with capacity. Decides; no I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace fernward::concurrency {

// Sheds a share of the traffic, the least valuable first. Each priority is a request class, within or beyond
// its tenant's quota. The caller counts choices and request rates, and calls on_tick() at a fixed interval.
struct AdmissionController {
  std::vector<double> priority_values; // value of an answer, by priority
  std::vector<double> priority_rates;  // requests of late, by priority; decayed with each tick
  double shed_share = 0;               // share of the traffic to shed
  double choices = 0;                  // of late; decayed with each tick
  double choices_without_capacity = 0; // of these, choices that found no cache with capacity

  // `draw`: uniform in [0, 1). Sheds all of the lower values and a random part of the value at the boundary.
  bool admits(std::size_t priority, double draw) const {
    const double value = priority_values[priority];
    double lower = 0;
    double equal = 0;
    double higher = 0;
    for (std::size_t i = 0; i < priority_values.size(); ++i) {
      if (priority_values[i] < value) {
        lower += priority_rates[i];
      } else if (priority_values[i] == value) {
        equal += priority_rates[i];
      } else {
        higher += priority_rates[i];
      }
    }
    return draw * equal >= shed_share * (lower + equal + higher) - lower;
  }

  void on_tick() {
    const bool overloaded = choices_without_capacity > kOverloadedShare * (choices + kAssumedChoices);
    // A router with few choices must not judge by its last one alone, nor for long by old ones.
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

  static constexpr double kOverloadedShare = 0.2; // of choices that find no cache with capacity
  static constexpr double kAssumedChoices = 5;    // counted as having found one, as evidence may be thin
  static constexpr double kChoicesDecay = 0.8;    // per tick
  static constexpr double kFewChoicesDecay = 0.97;
  static constexpr double kRateDecay = 0.98;
  static constexpr double kMaxShedShare = 0.9;
  static constexpr double kMinShedShare = 0.01; // below it nothing is shed
  static constexpr double kShedStep = 0.03;     // added per overloaded tick
  static constexpr double kShedDecay = 0.9;     // per other tick
};

} // namespace fernward::concurrency
