// What an answer of a memcached node means for the attempt that it ends, and what a client is told of an
// exchange's end. No I/O. docs/notes/memcache.md has the table with its reasons.
#pragma once

#include <cstdint>

#include "fernward/balancer.h"
#include "memcache/frame.h"

namespace fernward::memcache {

// An answer to a request. `Ok` is an answer made for this request, to be passed on as it is, whatever its
// status says: a key that is not there is a miss for a read, and the result of a delete.
fernward::AttemptResult meaning(std::uint8_t opcode, std::uint16_t status);

// Is this answer one that the protocol lets a quiet request go without?
bool silent(std::uint8_t opcode, std::uint16_t status);

// What a client is told where no node's answer is passed on. A refusal promises that asking again is
// harmless: Busy where its sender should come back later (there is no place for Retry-After), a failure
// promises nothing.
enum class End : std::uint8_t { Refused, Failed, Malformed, TooLarge, Unknown, NotSupported };
Status status_of(End end);
const char* text_of(End end); // its value, for people

} // namespace fernward::memcache
