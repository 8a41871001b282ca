#include "lab/shared/lateness.h"

#include <algorithm>

namespace fernward::rig {
namespace {

constexpr double kLeast = 0.001, kMost = 60000;
constexpr unsigned kBins = 400; // each about 4.6% wide

} // namespace

Lateness::Lateness() : bins_(boost::histogram::make_histogram(Axis(kBins, kLeast, kMost))) {}

void Lateness::add(double ms) {
  bins_(std::max(ms, 0.0));
  count_ += 1;
  most_ = std::max(most_, ms);
}

lab::Quantiles Lateness::quantiles() const {
  // Returns the upper edge of the bin that reaches the share: the result is never below the true quantile.
  const auto at = [this](double share) {
    double sum = bins_.at(-1), wanted = share * count_; // values without lateness lie in the underflow bin
    if (sum >= wanted) return 0.0;
    for (int i = 0; i < static_cast<int>(kBins); ++i) {
      sum += bins_.at(i);
      if (sum >= wanted) return std::min(bins_.axis().bin(i).upper(), most_);
    }
    return most_;
  };
  if (!(count_ > 0)) return {};
  return {at(0.5), at(0.99), at(0.999), most_};
}

} // namespace fernward::rig
