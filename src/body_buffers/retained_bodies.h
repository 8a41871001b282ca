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

enum class Level { Memory, File, Passing };

struct RetentionLimits {
  std::uint64_t ceiling = 64 << 10;     // a longer body is refused
  std::uint64_t memory_most = 64 << 10; // of one body
  std::uint64_t memory_all = 8 << 20;   // of all bodies
  std::uint64_t file_most = 0;          // of one body; 0: there is no folder
  std::uint64_t file_all = 0;           // of all bodies
  std::size_t files = 8;                // at once: each takes a descriptor
  std::uint64_t flow_after = 64 << 10;  // of a body that flows before it is whole, so much comes first
  double least_rate = 48;               // bytes a millisecond that a long body may take its time by
};

// What may still be sent of a request, as far as its body goes. The class may allow less.
struct Allows {
  bool first = true;   // an attempt where there was none
  bool not_run = true; // a further one where none before can have run
  bool again = true;   // a further one where one may have run
  bool copy = true;    // one beside another that is out
};

struct Past { // of a request's attempts
  std::uint32_t attempts = 0;
  bool out = false;          // one is out
  bool may_have_run = false; // one that has ended may have run
  double since_first_ms = 0; // since the first that may have run, or is out, was sent
};

// Both at once: what the body allows, and the class. A keyed request goes again only with its key's window open.
bool may_send(const Allows& body, Idempotency repeat, double window_ms, const Past& past);

class RetainedBodies {
 public:
  explicit RetainedBodies(const RetentionLimits& rules) : rules_(rules) {}
  RetainedBodies(const RetainedBodies&) = delete;
  RetainedBodies& operator=(const RetainedBodies&) = delete;

  enum class Put { Memory, File, Passing, TooLong };

  class Body {
   public:
    // Of an announced length the room is set aside at once, so that only a fault of the file can end its keeping.
    Body(RetainedBodies& keeper, std::optional<std::uint64_t> length);
    Body(const Body&) = delete;
    Body& operator=(const Body&) = delete;
    ~Body();

    // Where the next `bytes`, more than 0, belong. TooLong: beyond what is announced or may be; nothing is taken.
    Put put(std::uint64_t bytes);
    void file_failed(std::uint64_t bytes); // these, put last, did not get there: they and what follows pass
    void handed_on(std::uint64_t bytes) { dropped_ |= bytes > 0; } // of what is not kept: it is here no more

    Level level() const { return level_; }
    std::uint64_t come() const { return come_; }
    bool too_long() const { return too_long_; } // announced beyond what may be
    // It may go to a target now. In memory it waits until it is whole: so a client that sends slowly holds no
    // place at a target. A longer one would take its time twice.
    bool may_flow(bool whole) const;
    Allows allows() const;
    double due_ms(double base_ms) const; // it has so long to come whole, and more with what has come

   private:
    bool fits_memory(std::uint64_t bytes) const;
    bool fits_file(std::uint64_t bytes) const;
    void to_file();

    RetainedBodies& keeper_;
    std::optional<std::uint64_t> length_;
    Level level_ = Level::Memory;
    std::uint64_t come_ = 0, memory_ = 0, file_ = 0; // set aside at the two levels
    std::uint64_t in_memory_ = 0, in_file_ = 0;      // and come
    bool dropped_ = false, too_long_ = false, has_file_ = false;
  };

  std::uint64_t memory() const { return memory_; }
  std::uint64_t file() const { return file_; }
  std::size_t files() const { return files_; }
  const RetentionLimits& rules() const { return rules_; }

 private:
  RetentionLimits rules_;
  std::uint64_t memory_ = 0, file_ = 0;
  std::size_t files_ = 0;
};

} // namespace fernward::body_buffers
