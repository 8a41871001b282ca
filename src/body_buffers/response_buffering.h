// Decides when to start sending a server's response to the client. Until its first byte is sent, a broken
// response can still be retried. So it is buffered until it is complete, as long as time and buffer space
// allow. A response that does not fit starts once `min_start_bytes` have arrived. Units: bytes, milliseconds.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace fernward::body_buffers {

struct ResponseBufferingLimits {
  std::uint64_t max_body_bytes = 16 << 20;    // a longer response makes its attempt fail
  std::size_t max_buffered_bytes = 512 << 10; // a longer response is streamed
  std::size_t min_start_bytes = 64 << 10;     // received bytes after which a streamed response starts
};

struct ResponseProgress {
  std::optional<std::uint64_t> announced_bytes; // from the response head
  std::uint64_t received_bytes = 0;             // of the body, all still buffered
  bool complete = false;
  bool within_buffering_time = false; // the time is before buffering_deadline()
  std::size_t window_bytes = 0;       // bytes of this response that may be buffered, see BufferBudget
  std::size_t available_bytes = 0;    // bytes that may be buffered beyond received_bytes
};

enum class ResponseStep {
  Buffer,  // continue reading, send nothing yet
  Start,   // send the buffered bytes, and further bytes as they arrive
  TooLarge // fail the attempt
};

ResponseStep next_response_step(const ResponseBufferingLimits& limits, const ResponseProgress& progress);

// Also to be checked after the response was started.
inline bool within_size_limit(const ResponseBufferingLimits& limits, std::uint64_t received_bytes) {
  return received_bytes <= limits.max_body_bytes;
}

// Time at which buffering ends: halfway between the start of the attempt and its response deadline. A retry
// started later would have less time than this attempt has taken, and the client must still receive all
// bytes.
inline double buffering_deadline(double sent_at, double response_deadline) {
  return sent_at + (response_deadline - sent_at) / 2;
}

// Limits of a response that has started, once its client has stopped waiting. A server that is still writing,
// with pauses, is not cut off; a client is otherwise owed an end at most 500 ms after its timeout.
constexpr double kOverdueGraceMs = 400;    // after the client's deadline
constexpr double kOverdueSilenceMs = 1000; // after the last byte received

// The time at which a response that has started ends without another byte. `last_bytes_at`: when the last one
// was received. `client_deadline`: when the client stops waiting; until then `silence_timeout_ms` applies
// alone.
inline double silence_ends_at(double last_bytes_at, double silence_timeout_ms, double client_deadline) {
  const double overdue_at = std::max(client_deadline + kOverdueGraceMs, last_bytes_at + kOverdueSilenceMs);
  return std::min(last_bytes_at + silence_timeout_ms, overdue_at);
}

} // namespace fernward::body_buffers
