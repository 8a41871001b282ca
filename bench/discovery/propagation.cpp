#include "discovery/propagation.h"

#include <algorithm>

namespace fernward::bench::discovery {

double Propagation::delay_ms(const Change& change, double had_at_ms) const {
  const bool had_after_outage = had_at_ms >= outage_.ends_ms;
  return had_at_ms - (had_after_outage ? std::max(change.at_ms, outage_.ends_ms) : change.at_ms);
}

void Propagation::router_has(std::size_t router, Index index, double now_ms) {
  std::size_t& next = next_change_[router];
  for (; next < changes_.size() && changes_[next].index <= index; ++next) {
    delays_ms_.push_back(delay_ms(changes_[next], now_ms));
  }
}

std::size_t Propagation::finish(double now_ms) {
  const std::size_t before = delays_ms_.size();
  if (changes_.empty()) return 0;
  for (std::size_t router = 0; router < next_change_.size(); ++router) {
    router_has(router, changes_.back().index, now_ms);
  }
  return delays_ms_.size() - before;
}

} // namespace fernward::bench::discovery
