#include "body_buffers/receive_clock.h"

#include <algorithm>

namespace fernward::body_buffers {

void ReceiveClock::on_unread_bytes(double now_ms, std::optional<std::uint64_t> remaining_bytes) {
  if (remaining_bytes.value_or(0) > kMaxSocketBytes) return;
  if (!delayed_since_ms_) delayed_since_ms_ = now_ms;
}

double ReceiveClock::on_caught_up(double now_ms) {
  const double delay_ms = std::max(0.0, now_ms - sent_at_ms(now_ms));
  delayed_since_ms_.reset();
  return delay_ms;
}

} // namespace fernward::body_buffers
