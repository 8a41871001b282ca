// How long changes take from discovery to each router.
#pragma once

#include <cstddef>
#include <vector>

#include "discovery/registry.h"

namespace fernward::bench::discovery {

/// The period in which discovery answers nothing. A change that a router has only after it counts from its end.
struct Outage {
  double begins_ms = 0;
  double ends_ms = 0;
};

/// Records when each router has each change.
class Propagation {
 public:
  explicit Propagation(std::size_t routers) : next_change_(routers, 0) {}

  void set_outage(Outage outage) { outage_ = outage; }
  void changed(Index index, double now_ms) { changes_.push_back({index, now_ms}); }
  /// The router has everything up to `index`. It may be told so more than once: the first time counts.
  void router_has(std::size_t router, Index index, double now_ms);
  /// The run has ended: what routers still lack is counted as if they had it now. Returns how many changes that are.
  std::size_t finish(double now_ms);

  std::size_t changes() const { return changes_.size(); }
  /// One for each change and router.
  const std::vector<double>& delays_ms() const { return delays_ms_; }

 private:
  struct Change {
    Index index;
    double at_ms;
  };

  double delay_ms(const Change& change, double had_at_ms) const;

  Outage outage_;
  std::vector<Change> changes_;
  std::vector<std::size_t> next_change_; // by router: the first that it lacks
  std::vector<double> delays_ms_;
};

} // namespace fernward::bench::discovery
