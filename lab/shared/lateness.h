// Quantiles of lateness, from a histogram with a logarithmic axis from a microsecond to a minute.
#pragma once

#include <boost/histogram.hpp>

#include "lab/driver.h"

namespace fernward::rig {

// Not thread-safe: filled by one thread, and read after that thread has ended.
class LatenessHistogram {
 public:
  LatenessHistogram();
  void add(double ms);
  lab::LatenessQuantiles quantiles() const; // in ms; zeros if there are no values
  double count() const { return count_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> bins_;
  double count_ = 0, max_ms_ = 0;
};

} // namespace fernward::rig
