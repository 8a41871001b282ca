// The sum of the amounts added within a sliding time window, with a resolution of 1/32 of the window.
#pragma once

#include <array>
#include <cmath>
#include <cstdint>

namespace fernward::model {

class SlidingSum {
 public:
  explicit SlidingSum(double window_ms) : step_ms_(window_ms > 0 ? window_ms / kSteps : 1) {}

  void add(double now, double amount) {
    advance(now);
    sums_[static_cast<std::size_t>(current_step_ % kSteps)] += amount;
  }
  double sum(double now) {
    advance(now);
    double total = 0;
    for (const double step_sum : sums_) total += step_sum;
    return total;
  }
  void clear() { sums_.fill(0); }

 private:
  static constexpr std::int64_t kSteps = 32;

  void advance(double now) {
    const auto step = static_cast<std::int64_t>(std::floor(now / step_ms_));
    for (std::int64_t i = 0; current_step_ < step && i < kSteps; ++i) {
      ++current_step_;
      sums_[static_cast<std::size_t>(current_step_ % kSteps)] = 0;
    }
    if (current_step_ < step) current_step_ = step;
  }

  double step_ms_;
  std::int64_t current_step_ = 0;
  std::array<double, kSteps> sums_{}; // by step, modulo kSteps
};

} // namespace fernward::model
