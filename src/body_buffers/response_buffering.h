// When a response from a server starts to be sent to the client. Before its first byte is out, a broken
// response can still be retried; so it is buffered until it is complete, as long as there is time and room.
// One that can't be buffered whole starts once a stated part has arrived. Units: bytes, milliseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace fernward::body_buffers {

struct ResponseBufferingLimits {
  std::uint64_t max_body_bytes = 16 << 20;    // a longer response fails its attempt
  std::size_t max_buffered_bytes = 512 << 10; // a longer one is streamed
  std::size_t min_start_bytes = 64 << 10;     // of a streamed one, before it starts
};

struct ResponseProgress {
  std::optional<std::uint64_t> announced_length; // by the head
  std::uint64_t received_bytes = 0;              // of the body, all of it buffered
  bool complete = false;
  bool may_wait = false;     // before buffer_until()
  std::size_t window = 0;    // bytes that may be buffered of it, see BufferBudget
  std::size_t available = 0; // bytes that may be buffered beyond received_bytes
};

enum class ResponseStep {
  Buffer,  // read on, send nothing yet
  Start,   // send what is buffered, and the rest as it arrives
  TooLarge // fail the attempt
};

ResponseStep next_step(const ResponseBufferingLimits& rules, const ResponseProgress& facts);

// To be checked also after the start.
inline bool within_size_limit(const ResponseBufferingLimits& rules, std::uint64_t come) {
  return come <= rules.max_body_bytes;
}

// Buffering ends halfway between the attempt's start and the time by which its response is wanted: a retry
// begun later would have less time than this attempt has taken, and the client must still get all bytes.
inline double buffer_until(double sent_at, double wanted_by) { return sent_at + (wanted_by - sent_at) / 2; }

} // namespace fernward::body_buffers
