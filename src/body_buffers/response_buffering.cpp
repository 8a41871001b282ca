#include "body_buffers/response_buffering.h"

#include <algorithm>

namespace fernward::body_buffers {

ResponseStep next_response_step(const ResponseBufferingLimits& limits, const ResponseProgress& progress) {
  if (!within_size_limit(limits, std::max(progress.received_bytes, progress.announced_bytes.value_or(0))))
    return ResponseStep::TooLarge;
  if (progress.complete) return ResponseStep::Start;
  if (progress.available_bytes == 0) return ResponseStep::Start;
  // Only the head was received: the connection may still break.
  if (progress.received_bytes == 0) return ResponseStep::Buffer;
  if (!progress.within_buffering_time) return ResponseStep::Start;
  const std::uint64_t bufferable_bytes = std::min(limits.max_buffered_bytes, progress.window_bytes);
  if (!progress.announced_bytes)
    return progress.received_bytes >= bufferable_bytes ? ResponseStep::Start : ResponseStep::Buffer;
  if (*progress.announced_bytes <= bufferable_bytes) return ResponseStep::Buffer;
  return progress.received_bytes >= std::min<std::uint64_t>(limits.min_start_bytes, bufferable_bytes)
             ? ResponseStep::Start
             : ResponseStep::Buffer;
}

} // namespace fernward::body_buffers
