// One message of the memcached binary protocol, request or answer, as plain values; its names, and which
// shape each command has. The published protocol ("Memcache Binary Protocol", memcached's
// protocol-binary.xml) is the source.
//
//  - Units: lengths in bytes; all numbers in host order.
//  - Ownership: a Frame owns its parts.
#pragma once

#include <cstdint>
#include <string>

namespace fernward::memcache {

constexpr std::size_t kHeader = 24;
constexpr std::size_t kLongestKey = 250;
constexpr std::size_t kLongestExtras = 20;

enum class Magic : std::uint8_t { Request = 0x80, Response = 0x81 };

enum class Opcode : std::uint8_t {
  Get = 0x00,
  Set = 0x01,
  Add = 0x02,
  Replace = 0x03,
  Delete = 0x04,
  Increment = 0x05,
  Decrement = 0x06,
  Quit = 0x07,
  Flush = 0x08,
  GetQ = 0x09,
  Noop = 0x0a,
  Version = 0x0b,
  GetK = 0x0c,
  GetKQ = 0x0d,
  Append = 0x0e,
  Prepend = 0x0f,
  Stat = 0x10,
  SetQ = 0x11,
  AddQ = 0x12,
  ReplaceQ = 0x13,
  DeleteQ = 0x14,
  IncrementQ = 0x15,
  DecrementQ = 0x16,
  QuitQ = 0x17,
  FlushQ = 0x18,
  AppendQ = 0x19,
  PrependQ = 0x1a,
  Verbosity = 0x1b,
  Touch = 0x1c,
  Gat = 0x1d,
  GatQ = 0x1e,
  SaslList = 0x20,
  SaslAuth = 0x21,
  SaslStep = 0x22,
  GatK = 0x23,
  GatKQ = 0x24
};

enum class Status : std::uint16_t {
  Ok = 0x0000,
  NotFound = 0x0001,
  Exists = 0x0002, // another CAS
  TooLarge = 0x0003,
  Invalid = 0x0004,
  NotStored = 0x0005,
  NotANumber = 0x0006,
  WrongServer = 0x0007,
  AuthError = 0x0020,
  AuthGoOn = 0x0021,
  UnknownCommand = 0x0081,
  OutOfMemory = 0x0082,
  NotSupported = 0x0083,
  Internal = 0x0084,
  Busy = 0x0085,
  Temporary = 0x0086
};

struct Frame {
  Magic magic = Magic::Request;
  std::uint8_t opcode = 0;  // of an unknown command, too
  std::uint16_t status = 0; // of an answer; of a request the partition
  std::uint32_t opaque = 0; // the asker's, given back unchanged
  std::uint64_t cas = 0;
  std::string extras, key, value;
  // Bytes of the value that were passed over, as it is longer than the parser keeps.
  std::uint64_t skipped = 0;

  Opcode command() const { return static_cast<Opcode>(opcode); }
  bool operator==(const Frame&) const = default;
};

// What a command does, for those who route it.
enum class Does : std::uint8_t {
  Read,     // get and its forms
  Write,    // stores, replaces, deletes, counts
  ReadTime, // get and touch: a read that moves the value's end
  Local,    // noop, quit, version, verbosity: answered here
  Stats,    // answered here, from the router's own figures
  Everyone, // flush: would touch every node; refused by name
  Login,    // SASL: there is none
  Unknown
};

struct Command {
  const char* name; // as people write it
  Does does = Does::Unknown;
  bool quiet = false;    // says nothing on a miss, or on success of a write
  bool with_key = false; // its answer repeats the key
  Opcode loud = Opcode::Noop;
  bool repeats_harm = false; // carried out twice it does another thing than once, whatever else it says
};
const Command& command(std::uint8_t opcode); // of an unknown one Does::Unknown, its name "unknown"

// What is wrong with a request's parts for its command; null: nothing. A node would answer Invalid.
const char* misshapen(const Frame& request);

// The time that a value lives, or a counter's step and start: numbers within the extras.
std::uint32_t flags_of(const Frame& frame);      // of an answer to a read, or a store; 0 without
std::uint32_t lifetime_of(const Frame& request); // of a store, a touch, a counter; 0 without

} // namespace fernward::memcache
