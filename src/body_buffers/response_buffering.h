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

struct AnswerRules {
  std::uint64_t ceiling = 16 << 20;   // a longer answer is spoilt, announced or come
  std::size_t wait_most = 512 << 10;  // a longer one does not wait until it is whole
  std::size_t begin_after = 64 << 10; // but until this much of it has come
};

struct AnswerFacts {
  std::optional<std::uint64_t> length; // as announced
  std::uint64_t come = 0;              // of the body so far, all of it held
  bool whole = false;
  bool early = false;     // before wait_until()
  std::size_t window = 0; // bytes that may be held of it at the moment, see Account
  std::size_t room = 0;   // bytes that may be held beyond what is
};

enum class AnswerStep {
  Wait,  // read on, nothing goes out yet
  Begin, // pass on what has come, and what comes
  Spoilt // end the attempt: nothing of it may be passed on, or nothing more
};

AnswerStep next_step(const AnswerRules& rules, const AnswerFacts& facts);

// The same of an answer that has begun: false, it has become longer than any may be.
inline bool within(const AnswerRules& rules, std::uint64_t come) { return come <= rules.ceiling; }

// Waiting ends halfway between an attempt's start and the time by which its answer is wanted: an attempt that began
// later would have less time than this one took so far, and the client must still get all of the bytes.
inline double wait_until(double sent_at, double wanted_by) { return sent_at + (wanted_by - sent_at) / 2; }

} // namespace fernward::body_buffers
