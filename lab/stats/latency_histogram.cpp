#include "lab/stats/latency_histogram.h"

#include <cmath>

namespace fernward::lab {
namespace {

constexpr int kBinCount = 896;
constexpr double kMinLatencyMs = 0.05, kMaxLatencyMs = 500e3;

} // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(std::tuple(Axis(kBinCount, kMinLatencyMs, kMaxLatencyMs)), {}) {}

void LatencyHistogram::merge(const LatencyHistogram& other) {
  histogram_ += other.histogram_;
  count_ += other.count_;
  sum_ += other.sum_;
}

double LatencyHistogram::quantile(double fraction) const {
  if (count_ == 0) return 0;
  const double target_count = fraction * static_cast<double>(count_);
  double count_below = 0;
  for (int bin = -1; bin <= kBinCount; ++bin) { // includes underflow and overflow
    const auto bin_count = static_cast<double>(histogram_.at(bin));
    if (bin_count > 0 && count_below + bin_count >= target_count) {
      const double low = bin < 0 ? kMinLatencyMs : histogram_.axis().value(bin);
      const double high = bin >= kBinCount ? kMaxLatencyMs : histogram_.axis().value(bin + 1);
      return bin < 0 || bin >= kBinCount
                 ? low
                 : low * std::pow(high / low, (target_count - count_below) / bin_count);
    }
    count_below += bin_count;
  }
  return kMaxLatencyMs;
}

std::vector<std::pair<int, std::uint64_t>> LatencyHistogram::nonempty_bins() const {
  std::vector<std::pair<int, std::uint64_t>> bin_counts;
  for (int bin = -1; bin <= kBinCount; ++bin) {
    if (histogram_.at(bin) > 0) bin_counts.emplace_back(bin, histogram_.at(bin));
  }
  return bin_counts;
}

bool LatencyHistogram::restore(const std::vector<std::pair<int, std::uint64_t>>& bins, double sum) {
  *this = LatencyHistogram();
  for (const auto& [bin, count] : bins) {
    if (bin < -1 || bin > kBinCount) return false;
    histogram_.at(bin) += count;
    count_ += count;
  }
  sum_ = sum;
  return true;
}

} // namespace fernward::lab
