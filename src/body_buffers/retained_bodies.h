// Where a request's body is kept for further attempts, and what that allows.
//
// A body is kept in memory up to a size and a share of the whole; beyond that in an unlinked file, where the operator
// names a folder; beyond that not at all: it is handed on as it comes. A body goes down these levels as it grows or
// as a file fails, never up. What has come before stays where it is: the first part of a body may lie in memory and
// the rest in a file.
//
// Units: bytes, milliseconds. One thread. A Keeper outlives its bodies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "fernward/balancer.h"

namespace fernward::body_buffers {

enum class Retention { Memory, File, None };

struct RetentionLimits {
  std::uint64_t max_body_bytes = 64 << 10;      // a longer body is refused
  std::uint64_t max_memory_per_body = 64 << 10; // of one body
  std::uint64_t max_memory_bytes = 8 << 20;     // of all bodies
  std::uint64_t max_file_per_body = 0;          // of one body; 0: there is no folder
  std::uint64_t max_file_bytes = 0;             // of all bodies
  std::size_t max_files = 8;                    // at once: each takes a descriptor
  std::uint64_t stream_after_bytes = 64 << 10; // of a body that flows before it is whole, so much comes first
  double min_bytes_per_ms = 48;                // bytes a millisecond that a long body may take its time by
};

// What may still be sent of a request, as far as its body goes. The class may allow less.
struct BodyAvailability {
  bool first_attempt = true;    // an attempt where there was none
  bool retry_if_not_run = true; // a further one where none before can have run
  bool retry_if_run = true;     // a further one where one may have run
  bool hedge = true;            // one beside another that is out
};

struct AttemptHistory { // of a request's attempts
  std::uint32_t attempts = 0;
  bool in_flight = false;    // one is out
  bool may_have_run = false; // one that has ended may have run
  double since_first_ms = 0; // since the first that may have run, or is out, was sent
};

// Both at once: what the body allows, and the class. A keyed request goes again only with its key's window open.
bool may_send(const BodyAvailability& body, Idempotency repeat, double window_ms, const AttemptHistory& past);

class RetainedBodies {
 public:
  explicit RetainedBodies(const RetentionLimits& rules) : limits_(rules) {}
  RetainedBodies(const RetainedBodies&) = delete;
  RetainedBodies& operator=(const RetainedBodies&) = delete;

  enum class Placement { Memory, File, Unretained, TooLong };

  class Body {
   public:
    // Of an announced length the room is set aside at once, so that only a fault of the file can end its keeping.
    Body(RetainedBodies& keeper, std::optional<std::uint64_t> length);
    Body(const Body&) = delete;
    Body& operator=(const Body&) = delete;
    ~Body();

    // Where the next `bytes`, more than 0, belong. TooLong: beyond what is announced or may be; nothing is taken.
    Placement append(std::uint64_t bytes);
    void on_file_failure(
        std::uint64_t bytes); // these, put last, did not get there: they and what follows pass
    void mark_consumed(std::uint64_t bytes) {
      consumed_ |= bytes > 0;
    } // of what is not kept: it is here no more

    Retention retention() const { return retention_; }
    std::uint64_t received_bytes() const { return received_bytes_; }
    bool too_long() const { return too_long_; } // announced beyond what may be
    // It may go to a target now. In memory it waits until it is whole: so a client that sends slowly holds no
    // place at a target. A longer one would take its time twice.
    bool may_stream(bool whole) const;
    BodyAvailability availability() const;
    double receive_timeout_ms(
        double base_ms) const; // it has so long to come whole, and more with what has come

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
