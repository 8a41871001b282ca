#include "lab/shared/lateness.h"

#include <algorithm>

namespace fernward::rig {
namespace {

constexpr double kMinMs = 0.001, kMaxMs = 60000;
constexpr unsigned kBins = 400; // each about 4.6% wide

} // namespace

LatenessHistogram::LatenessHistogram()
    : bins_(boost::histogram::make_histogram(Axis(kBins, kMinMs, kMaxMs))) {}

void LatenessHistogram::add(double ms) {
  bins_(std::max(ms, 0.0));
  count_ += 1;
  max_ms_ = std::max(max_ms_, ms);
}

lab::LatenessQuantiles LatenessHistogram::quantiles() const {
  // Returns the upper edge of the bin that reaches the share, so that the result is never below the true
  // quantile, except for values under kMinMs: they lie in the underflow bin and count as 0.
  const auto quantile = [this](double share) {
    double cumulative = bins_.at(-1), target = share * count_;
    if (cumulative >= target) return 0.0;
    for (int i = 0; i < static_cast<int>(kBins); ++i) {
      cumulative += bins_.at(i);
      if (cumulative >= target) return std::min(bins_.axis().bin(i).upper(), max_ms_);
    }
    return max_ms_;
  };
  if (!(count_ > 0)) return {};
  return {quantile(0.5), quantile(0.99), quantile(0.999), max_ms_};
}

} // namespace fernward::rig
