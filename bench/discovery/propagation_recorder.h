// Measures how long changes take from discovery to each router.
#pragma once

#include <cstddef>
#include <vector>

#include "discovery/endpoint_registry.h"

namespace fernward::bench::discovery {

/// The period in which discovery sends no responses. The delay of a change that a router receives only after
/// the outage counts from the end of the outage, if the change was made before that.
struct Outage {
  double begins_ms = 0;
  double ends_ms = 0;
};

/// Records when each router has received each change.
class PropagationRecorder {
 public:
  explicit PropagationRecorder(std::size_t routers) : next_unreceived_change_(routers, 0) {}

  void set_outage(Outage outage) { outage_ = outage; }
  void record_change(RegistryIndex index, double now_ms) { changes_.push_back({index, now_ms}); }
  /// Records that the router has received everything up to `index`. Repeated calls are allowed: the first one
  /// counts.
  void record_receipt(std::size_t router, RegistryIndex index, double now_ms);
  /// To be called at the end of the run. Changes that a router has not received count as received now.
  /// Returns the number of such pairs of change and router.
  std::size_t finish(double now_ms);

  std::size_t change_count() const { return changes_.size(); }
  /// One delay for each change and router.
  const std::vector<double>& delays_ms() const { return delays_ms_; }

 private:
  struct Change {
    RegistryIndex index;
    double changed_at_ms;
  };

  double propagation_delay_ms(const Change& change, double received_at_ms) const;

  Outage outage_;
  std::vector<Change> changes_;
  std::vector<std::size_t> next_unreceived_change_; // by router: the first change that it has not received
  std::vector<double> delays_ms_;
};

} // namespace fernward::bench::discovery
