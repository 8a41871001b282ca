// Where a request's body is retained for further attempts: in memory up to limits per body and in all, beyond
// that in an unlinked file if the operator names a folder, beyond that not at all. The retention of a body
// only goes down, as it grows or as a file fails; what was stored before stays. And the rule of which
// attempts may be sent. Units: bytes, milliseconds. One thread. RetainedBodies outlives its bodies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "fernward/balancer.h"

namespace fernward::body_buffers {

enum class Retention { Memory, File, None };

struct RetentionLimits {
  std::uint64_t max_body_bytes = 64 << 10;      // a longer body is rejected
  std::uint64_t max_memory_per_body = 64 << 10; // of one body
  std::uint64_t max_memory_bytes = 8 << 20;     // of all bodies
  std::uint64_t max_file_per_body = 0;          // of one body; 0: no folder
  std::uint64_t max_file_bytes = 0;             // of all bodies
  std::size_t max_files = 8;                    // at once; each takes a descriptor
  std::uint64_t stream_after_bytes = 64
                                     << 10; // of a body that is streamed, received before its first attempt
  double min_bytes_per_ms = 48;             // the slowest pace at which a long body may arrive
};

// Which attempts the body still allows. The class may allow fewer.
struct BodyAvailability {
  bool first_attempt = true;    // one when there was none before
  bool retry_if_not_run = true; // one after attempts that cannot have run
  bool retry_if_run = true;     // one after an attempt that may have run
  bool hedge = true;            // one beside another in flight
};

struct AttemptHistory { // of one request
  std::uint32_t attempts = 0;
  bool in_flight = false;    // an attempt is
  bool may_have_run = false; // an attempt that has ended may have run
  double since_first_ms = 0; // since the first attempt that may have run, or is in flight, was sent
};

// The rule of whether an attempt may be sent, as far as safety goes; RequestDispatcher::may_send adds whether
// the request still waits. Inputs: what the body allows, the class's idempotency and key window, and the
// attempts so far. Where nothing has run and nothing is in flight, the body alone decides. Otherwise the body
// must be readable from its start, and the class must be Idempotent, or WithKey with less than `window_ms`
// since the first attempt: servers forget the key after that. The Balancer's may_repeat
// (requests/request_state.h) knows no body; it also checks the key's scope and keeps a margin of the window.
bool may_send(const BodyAvailability& body, Idempotency repeat, double window_ms, const AttemptHistory& past);

class RetainedBodies {
 public:
  explicit RetainedBodies(const RetentionLimits& rules) : limits_(rules) {}
  RetainedBodies(const RetainedBodies&) = delete;
  RetainedBodies& operator=(const RetainedBodies&) = delete;

  enum class Placement { Memory, File, Unretained, TooLong };

  class Body {
   public:
    // Room for an announced length is reserved at once, so that only a file error can end its retention.
    Body(RetainedBodies& keeper, std::optional<std::uint64_t> length);
    Body(const Body&) = delete;
    Body& operator=(const Body&) = delete;
    ~Body();

    // Where the next `bytes` (> 0) are to be stored. TooLong: beyond what was announced or allowed; nothing
    // is stored.
    Placement append(std::uint64_t bytes);
    // The last `bytes` were not written: they and the rest are unretained.
    void on_file_failure(std::uint64_t bytes);
    void mark_consumed(std::uint64_t bytes) { consumed_ |= bytes > 0; } // of the unretained part: gone

    Retention retention() const { return retention_; }
    std::uint64_t received_bytes() const { return received_bytes_; }
    bool too_long() const { return too_long_; } // announced length above the limit
    // An attempt may start. A body in memory waits until it is complete, so that a slow client holds no
    // connection of a server; a longer one would take its time twice.
    bool may_stream(bool whole) const;
    BodyAvailability availability() const;
    double receive_timeout_ms(double base_ms) const; // to arrive completely; grows with what has arrived

   private:
    bool fits_memory(std::uint64_t bytes) const;
    bool fits_file(std::uint64_t bytes) const;
    void move_to_file();

    RetainedBodies& all_;
    std::optional<std::uint64_t> length_;
    Retention retention_ = Retention::Memory;
    std::uint64_t received_bytes_ = 0, reserved_memory_ = 0,
                  reserved_file_ = 0;                 // set aside at the two levels
    std::uint64_t memory_bytes_ = 0, file_bytes_ = 0; // and come
    bool consumed_ = false, too_long_ = false, has_file_ = false;
  };

  std::uint64_t memory_bytes() const { return memory_bytes_; }
  std::uint64_t file_bytes() const { return file_bytes_; }
  std::size_t open_files() const { return open_files_; }
  const RetentionLimits& limits() const { return limits_; }

 private:
  RetentionLimits limits_;
  std::uint64_t memory_bytes_ = 0, file_bytes_ = 0;
  std::size_t open_files_ = 0;
};

} // namespace fernward::body_buffers
