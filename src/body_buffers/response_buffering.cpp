#include "body_buffers/response_buffering.h"

#include <algorithm>

namespace fernward::body_buffers {

ResponseStep next_step(const ResponseBufferingLimits& rules, const ResponseProgress& facts) {
  if (!within_size_limit(rules, std::max(facts.received_bytes, facts.announced_length.value_or(0))))
    return ResponseStep::TooLarge;
  if (facts.complete) return ResponseStep::Start;
  if (facts.available == 0) return ResponseStep::Start;
  if (facts.received_bytes == 0) return ResponseStep::Buffer; // only the head: the connection may still break
  if (!facts.may_wait) return ResponseStep::Start;
  const std::uint64_t holdable = std::min(rules.max_buffered_bytes, facts.window);
  if (!facts.announced_length)
    return facts.received_bytes >= holdable ? ResponseStep::Start : ResponseStep::Buffer;
  if (*facts.announced_length <= holdable) return ResponseStep::Buffer;
  return facts.received_bytes >= std::min<std::uint64_t>(rules.min_start_bytes, holdable)
             ? ResponseStep::Start
             : ResponseStep::Buffer;
}

} // namespace fernward::body_buffers
