// The requests of the workload, drawn in advance (open loop): their times do not depend on responses.
#pragma once

#include <boost/random/discrete_distribution.hpp>
#include <optional>
#include <vector>

#include "model/keys.h"
#include "model/record.h"

namespace fernward::model {

class Arrivals {
 public:
  // `keys` must outlive this object.
  Arrivals(const Spec& spec, const Plan& plan, Keys& keys);

  // The next request, in order of time; nullopt after the scenario's duration. Holds no requests in memory.
  std::optional<Drawn> next();

  // The mean request rate at time `now`, in requests per second.
  double rate(double now) const;

 private:
  double shape(double now) const; // factor of the load's rate that follows from its shape
  double factor(double now) const;
  std::optional<double> next_time();
  bool over_share(const Drawn& drawn);

  Spec spec_;
  Plan plan_;
  Keys& keys_;
  Engine times_, mix_, key_draws_, work_, hints_;
  boost::random::discrete_distribution<std::uint32_t> classes_, tenants_, zones_;
  std::vector<double> changes_; // times of the rate changes, sorted
  double now_ = 0, highest_;    // maximum of shape_factor()
  RequestNumber drawn_ = 0;
  struct Bucket {
    double at = 0, tokens = 0;
  };
  std::vector<Bucket> quotas_; // token bucket of each tenant, with a burst of one second's quota
};

} // namespace fernward::model
