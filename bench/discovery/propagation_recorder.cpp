#include "discovery/propagation_recorder.h"

#include <algorithm>

namespace fernward::bench::discovery {

double PropagationRecorder::propagation_delay_ms(const Change& change, double received_at_ms) const {
  const bool received_after_outage = received_at_ms >= outage_.ends_ms;
  return received_at_ms -
         (received_after_outage ? std::max(change.changed_at_ms, outage_.ends_ms) : change.changed_at_ms);
}

void PropagationRecorder::record_receipt(std::size_t router, RegistryIndex index, double now_ms) {
  std::size_t& next_change = next_unreceived_change_[router];
  for (; next_change < changes_.size() && changes_[next_change].index <= index; ++next_change) {
    delays_ms_.push_back(propagation_delay_ms(changes_[next_change], now_ms));
  }
}

std::size_t PropagationRecorder::finish(double now_ms) {
  const std::size_t received_count = delays_ms_.size();
  if (changes_.empty()) return 0;
  for (std::size_t router = 0; router < next_unreceived_change_.size(); ++router) {
    record_receipt(router, changes_.back().index, now_ms);
  }
  return delays_ms_.size() - received_count;
}

} // namespace fernward::bench::discovery
