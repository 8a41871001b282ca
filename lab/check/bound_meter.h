// Measures one metric that a scenario bounds (model::Bound) while the run is in progress.
//
// Memory is proportional to the open requests and the windows that are not yet complete.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/plan.h"
#include "model/records.h"

namespace fernward::lab {

// Measures one metric of one run. Receives the records of the run in order of time.
class BoundMeter : public model::Sink {
 public:
  // The measured value, in the unit of the metric. To be called once, after the last record of the run;
  // nullopt: there was nothing to measure.
  virtual std::optional<double> value() = 0;
};

// Creates the meter of a bound. `spec` must outlive it.
std::unique_ptr<BoundMeter> make_meter(const model::Spec& spec, const model::Plan& plan,
                                       const model::Bound& bound);

// A description of the bound for reports, such as "service, class lookup, from 5s".
std::string bound_description(const model::Spec& spec, const model::Bound& bound);
// The value in the unit of the metric: "93.1%", "412ms", "80.3/s".
std::string metric_value_text(model::Metric metric, double value);

} // namespace fernward::lab
