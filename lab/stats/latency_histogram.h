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

  void add(double latency_ms) {
    histogram_(latency_ms);
    ++count_;
    sum_ += latency_ms;
  }
  void merge(const LatencyHistogram& other);

  std::uint64_t count() const { return count_; }
  double mean() const { return count_ > 0 ? sum_ / static_cast<double>(count_) : 0; } // in ms; 0 if empty
  double quantile(double fraction) const;                                             // in ms; 0 if empty

  // For files: the number and count of each bin that is not empty. Bin -1 is the underflow bin, and bin 896
  // the overflow bin.
  std::vector<std::pair<int, std::uint64_t>> nonempty_bins() const;
  double sum() const { return sum_; } // of all latencies, in ms
  // Replaces the contents. Returns false if there is no bin of one of the numbers.
  bool restore(const std::vector<std::pair<int, std::uint64_t>>& bins, double sum);

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>> histogram_;
  std::uint64_t count_ = 0;
  double sum_ = 0;
};

} // namespace fernward::lab
