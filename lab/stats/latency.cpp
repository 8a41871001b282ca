#include "lab/stats/latency.h"

#include <cmath>

namespace fernward::lab {
namespace {

constexpr int kBins = 896;
constexpr double kLeast = 0.05, kMost = 500e3;

} // namespace

Latency::Latency() : histogram_(std::tuple(Axis(kBins, kLeast, kMost)), {}) {}

void Latency::merge(const Latency& other) {
  histogram_ += other.histogram_;
  count_ += other.count_;
  sum_ += other.sum_;
}

double Latency::quantile(double share) const {
  if (count_ == 0) return 0;
  const double wanted = share * static_cast<double>(count_);
  double before = 0;
  for (int bin = -1; bin <= kBins; ++bin) { // includes underflow and overflow
    const auto here = static_cast<double>(histogram_.at(bin));
    if (here > 0 && before + here >= wanted) {
      const double low = bin < 0 ? kLeast : histogram_.axis().value(bin);
      const double high = bin >= kBins ? kMost : histogram_.axis().value(bin + 1);
      return bin < 0 || bin >= kBins ? low : low * std::pow(high / low, (wanted - before) / here);
    }
    before += here;
  }
  return kMost;
}

std::vector<std::pair<int, std::uint64_t>> Latency::bins() const {
  std::vector<std::pair<int, std::uint64_t>> all;
  for (int bin = -1; bin <= kBins; ++bin) {
    if (histogram_.at(bin) > 0) all.emplace_back(bin, histogram_.at(bin));
  }
  return all;
}

bool Latency::restore(const std::vector<std::pair<int, std::uint64_t>>& bins, double sum) {
  *this = Latency();
  for (const auto& [bin, count] : bins) {
    if (bin < -1 || bin > kBins) return false;
    histogram_.at(bin) += count;
    count_ += count;
  }
  sum_ = sum;
  return true;
}

} // namespace fernward::lab
