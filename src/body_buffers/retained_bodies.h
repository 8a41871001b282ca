// Decides where a request body is retained for further attempts: in memory up to a limit per body and a limit
// for all bodies, beyond that in an unlinked file if the operator has configured a folder, otherwise not at
// all. The retention level of a body only goes down, when the body grows or its file fails; bytes stored
// earlier stay available. Also defines which attempts may be sent. Units: bytes, milliseconds. Not
// thread-safe. RetainedBodies outlives its bodies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "fernward/balancer.h"
#include "memory_budget/memory_budget.h"

namespace fernward::body_buffers {

enum class Retention { Memory, File, None };

struct RetentionLimits {
  std::uint64_t max_body_bytes = 64 << 10; // a longer body is rejected
  std::uint64_t max_memory_bytes_per_body = 64 << 10;
  std::uint64_t max_memory_bytes = 8 << 20;    // of all bodies
  std::uint64_t max_file_bytes_per_body = 0;   // 0: no folder
  std::uint64_t max_file_bytes = 0;            // of all bodies
  std::size_t max_files = 8;                   // open at once; each uses a descriptor
  std::uint64_t stream_after_bytes = 64 << 10; // bytes of a streamed body received before its first attempt
  double min_bytes_per_ms = 48;                // lowest rate at which a long body may arrive
};

// Attempts that the body still allows. The request class may allow fewer.
struct BodyAvailability {
  bool first_attempt = true;
  bool retry_if_not_executed = true; // a retry after attempts that cannot have been executed
  bool retry_if_executed = true;     // a retry after an attempt that may have been executed
  bool hedge = true;                 // a hedged request while another attempt is in flight
};

// Attempts of one request so far.
struct AttemptHistory {
  std::uint32_t attempts = 0;
  bool in_flight = false;         // at least one attempt is in flight
  bool may_have_executed = false; // an attempt that has ended may have been executed
  double elapsed_since_first_ms =
      0; // since sending the first attempt that may have been executed or is in flight
};

// Whether another attempt is safe to send; RequestDispatcher::may_send also checks whether the request is
// still waiting. Depends on what the body allows, the idempotency and key window of the request class, and
// the attempts so far. If no attempt can have been executed and none is in flight, only the body decides.
// Otherwise the body must be readable from its start, and the class must be Idempotent, or WithKey with less
// than `key_window_ms` since the first attempt, because servers discard the key after that time. The
// Balancer's RetryPolicy (policy/retry_policy.h) does not consider the body; it also checks the key's scope
// and keeps a margin of the window.
bool may_send(const BodyAvailability& body, Idempotency idempotency, double key_window_ms,
              const AttemptHistory& history);

class RetainedBodies {
 public:
  // `memory`: the budget of the whole process, which outlives this one; null: none.
  explicit RetainedBodies(const RetentionLimits& limits, const memory_budget::MemoryBudget* memory = nullptr)
      : limits_(limits), memory_(memory) {}
  RetainedBodies(const RetainedBodies&) = delete;
  RetainedBodies& operator=(const RetainedBodies&) = delete;

  enum class Placement { Memory, File, Unretained, TooLong };

  class Body {
   public:
    // Space for an announced length is reserved at once, so that only a file error can end the retention.
    Body(RetainedBodies& bodies, std::optional<std::uint64_t> announced_bytes);
    Body(const Body&) = delete;
    Body& operator=(const Body&) = delete;
    ~Body();

    // Returns where to store the next `bytes` (> 0). TooLong: they exceed the announced length or the limit,
    // and are not stored.
    Placement append(std::uint64_t bytes);
    // The last `bytes` could not be written to the file: these and all later bytes are unretained.
    void on_file_failure(std::uint64_t bytes);
    // An attempt has read `bytes` of the unretained part; they are no longer available.
    void mark_consumed(std::uint64_t bytes) { consumed_ |= bytes > 0; }

    Retention retention() const { return retention_; }
    std::uint64_t received_bytes() const { return received_bytes_; }
    bool too_long() const { return too_long_; } // announced length above the limit
    // Whether an attempt may start. A body in memory must be complete first, so that a slow client does not
    // occupy a server connection. A longer body is streamed, as waiting for it would double its transfer
    // time.
    bool may_stream(bool complete) const;
    BodyAvailability availability() const;
    // Time that the complete body may take to arrive; grows with the bytes received.
    double receive_timeout_ms(double base_ms) const;

   private:
    bool fits_memory(std::uint64_t bytes) const;
    bool fits_file(std::uint64_t bytes) const;
    void move_to_file();

    RetainedBodies& bodies_;
    std::optional<std::uint64_t> announced_bytes_;
    Retention retention_ = Retention::Memory;
    std::uint64_t received_bytes_ = 0, reserved_memory_bytes_ = 0, reserved_file_bytes_ = 0;
    std::uint64_t stored_memory_bytes_ = 0, stored_file_bytes_ = 0; // received and stored
    bool consumed_ = false, too_long_ = false, has_file_ = false;
  };

  std::uint64_t memory_bytes() const { return memory_bytes_; }
  std::uint64_t file_bytes() const { return file_bytes_; }
  std::size_t open_files() const { return open_files_; }
  const RetentionLimits& limits() const { return limits_; }

 private:
  RetentionLimits limits_;
  const memory_budget::MemoryBudget* memory_;
  std::uint64_t memory_bytes_ = 0, file_bytes_ = 0;
  std::size_t open_files_ = 0;
};

} // namespace fernward::body_buffers
