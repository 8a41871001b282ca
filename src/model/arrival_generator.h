// Draws the requests of the workload (open loop): their times do not depend on responses.
#pragma once

#include <boost/random/discrete_distribution.hpp>
#include <optional>
#include <vector>

#include "model/key_space.h"
#include "model/records.h"

namespace fernward::model {

class ArrivalGenerator {
 public:
  // `keys` must outlive this object.
  ArrivalGenerator(const Spec& spec, const Plan& plan, KeySpace& keys);

  // The next request, in order of time; nullopt after the scenario's duration. Holds no requests in memory.
  std::optional<DrawnRequest> next();

  // The mean request rate at time `now`, in requests per second.
  double rate_per_s(double now) const;

 private:
  double shape_factor(double now) const; // factor of the load's rate that follows from its shape
  double event_factor(double now) const; // product of the rate changes in effect
  std::optional<double> next_time();
  bool exceeds_quota(const DrawnRequest& drawn);

  Spec spec_;
  Plan plan_;
  KeySpace& keys_;
  Engine arrival_engine_, attribute_engine_, key_engine_, work_engine_, hint_engine_;
  boost::random::discrete_distribution<std::uint32_t> classes_, tenants_, zones_;
  std::vector<double> rate_change_times_; // times of the rate changes, sorted
  double now_ = 0, max_shape_factor_;     // time of the latest candidate; maximum of shape_factor()
  RequestNumber last_request_ = 0;
  struct Bucket {
    double at = 0, tokens = 0;
  };
  std::vector<Bucket> quota_buckets_; // token bucket of each tenant, with a burst of one second's quota
};

} // namespace fernward::model
