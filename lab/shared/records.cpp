#include "lab/shared/records.h"

#include <algorithm>

namespace fernward::rig {

void RecordMerger::add_from(RecordBuffer& buffer) {
  batch_.clear();
  buffer.swap_out(batch_);
  for (Record& record : batch_) {
    const double at = std::visit([](const auto& r) { return r.at; }, record);
    queue_.push_back({at, ++record_count_, std::move(record)});
    std::push_heap(queue_.begin(), queue_.end(), OrderedAfter());
  }
}

void RecordMerger::release(double now) {
  while (!queue_.empty() && queue_.front().at <= now - reorder_window_ms_) emit_earliest();
}

void RecordMerger::release_all() {
  while (!queue_.empty()) emit_earliest();
}

void RecordMerger::emit_earliest() {
  std::pop_heap(queue_.begin(), queue_.end(), OrderedAfter());
  const QueuedRecord earliest = std::move(queue_.back());
  queue_.pop_back();
  std::visit(
      [this](const auto& r) {
        if constexpr (std::is_same_v<std::decay_t<decltype(r)>, BufferedRouterLog>) {
          sink_.on(model::RouterLogLine{r.at, r.router, r.text.c_str()});
        } else {
          sink_.on(r);
        }
      },
      earliest.record);
}

} // namespace fernward::rig
