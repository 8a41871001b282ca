// When an answer that comes from a target begins to be passed on, and when it is spoilt.
//
// Before its first byte is out a spoilt answer can still be asked for elsewhere, or the client can be told to come
// again; after it, a broken answer is all that the client gets. So an answer waits until it is whole while there is
// time for that and its bytes have room. Waiting costs what lies between its first and its last byte, and memory;
// it costs no copying. What can't be held whole gains little by waiting: it begins once a stated part has come,
// which shows that the target does send what it announced.
//
// Units: bytes, milliseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace fernward::body_buffers {

struct ResponseBufferingLimits {
  std::uint64_t max_body_bytes = 16 << 20;    // a longer answer is spoilt, announced or come
  std::size_t max_buffered_bytes = 512 << 10; // a longer one does not wait until it is whole
  std::size_t min_start_bytes = 64 << 10;     // but until this much of it has come
};

struct ResponseProgress {
  std::optional<std::uint64_t> announced_length; // as announced
  std::uint64_t received_bytes = 0;              // of the body so far, all of it held
  bool complete = false;
  bool may_wait = false;     // before wait_until()
  std::size_t window = 0;    // bytes that may be held of it at the moment, see Account
  std::size_t available = 0; // bytes that may be held beyond what is
};

enum class ResponseStep {
  Buffer,  // read on, nothing goes out yet
  Start,   // pass on what has come, and what comes
  TooLarge // end the attempt: nothing of it may be passed on, or nothing more
};

ResponseStep next_step(const ResponseBufferingLimits& rules, const ResponseProgress& facts);

// The same of an answer that has begun: false, it has become longer than any may be.
inline bool within_size_limit(const ResponseBufferingLimits& rules, std::uint64_t come) {
  return come <= rules.max_body_bytes;
}

// Waiting ends halfway between an attempt's start and the time by which its answer is wanted: an attempt that began
// later would have less time than this one took so far, and the client must still get all of the bytes.
inline double buffer_until(double sent_at, double wanted_by) { return sent_at + (wanted_by - sent_at) / 2; }

} // namespace fernward::body_buffers
