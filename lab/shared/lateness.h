// Percentiles of lateness: a histogram with a logarithmic axis from a microsecond to a minute.
#pragma once

#include <boost/histogram.hpp>

#include "lab/driver.h"

namespace fernward::rig {

class Lateness {
 public:
  Lateness();
  void add(double ms);
  lab::Quantiles quantiles() const;
  double count() const { return count_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> bins_;
  double count_ = 0, most_ = 0;
};

} // namespace fernward::rig
