// A latency histogram of fixed size: a logarithmic axis with 128 bins per decade from 0.05 ms to 500 s, which
// keeps the error of a quantile below 2%. Any two histograms can be merged.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

namespace fernward::lab {

class LatencyHistogram {
 public:
  LatencyHistogram();

  void add(double ms) {
    histogram_(ms);
    ++count_;
    sum_ += ms;
  }
  void merge(const LatencyHistogram& other);

  std::uint64_t count() const { return count_; }
  double mean() const { return count_ > 0 ? sum_ / static_cast<double>(count_) : 0; }
  double quantile(double fraction) const; // in ms; 0 if the histogram is empty

  // For files: number and count of each bin that is not empty. -1 and the last number are underflow and
  // overflow.
  std::vector<std::pair<int, std::uint64_t>> nonempty_bins() const;
  double sum() const { return sum_; }
  // Replaces the contents. Returns false if a bin number doesn't exist.
  bool restore(const std::vector<std::pair<int, std::uint64_t>>& bins, double sum);

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>> histogram_;
  std::uint64_t count_ = 0;
  double sum_ = 0;
};

} // namespace fernward::lab
