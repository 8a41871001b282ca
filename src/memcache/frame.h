// Messages of the memcached binary protocol, requests and responses, as plain values, and the properties and
// expected format of each command. The reference is the published protocol ("Memcache Binary Protocol",
// memcached's protocol-binary.xml).
//
//  - Units: lengths in bytes; all numbers in host byte order.
//  - Ownership: a Frame owns its extras, key and value.
#pragma once

#include <cstdint>
#include <string>

namespace fernward::memcache {

constexpr std::size_t kHeaderBytes = 24;
constexpr std::size_t kMaxKeyBytes = 250;
constexpr std::size_t kMaxExtrasBytes = 20;

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
  Exists = 0x0002, // the CAS value differs
  TooLarge = 0x0003,
  Invalid = 0x0004,
  NotStored = 0x0005,
  NonNumericValue = 0x0006,
  WrongServer = 0x0007,
  AuthError = 0x0020,
  AuthContinue = 0x0021,
  UnknownCommand = 0x0081,
  OutOfMemory = 0x0082,
  NotSupported = 0x0083,
  InternalError = 0x0084,
  Busy = 0x0085,
  TemporaryFailure = 0x0086
};

struct Frame {
  Magic magic = Magic::Request;
  std::uint8_t opcode = 0;  // may be the opcode of an unknown command
  std::uint16_t status = 0; // in a response; in a request the vbucket id
  std::uint32_t opaque = 0; // set by the client and returned unchanged
  std::uint64_t cas = 0;
  std::string extras, key, value;
  // Length of a value that was discarded because it exceeds the parser's limit; 0 if the value was kept.
  std::uint64_t skipped_value_bytes = 0;

  Opcode command() const { return static_cast<Opcode>(opcode); }
  bool operator==(const Frame&) const = default;
};

// How a command is routed.
enum class CommandKind : std::uint8_t {
  Read,           // get and its variants
  Write,          // set, add, replace, delete, append, prepend, counters, touch
  ReadAndTouch,   // get and touch: a read that also changes the expiration time
  Local,          // noop, quit, version, verbosity: answered by the router
  Stats,          // answered by the router from its own statistics
  AllServers,     // flush: would affect every server; rejected as not supported
  Authentication, // SASL: not supported
  Unknown
};

struct CommandInfo {
  const char* name; // lower case, for logs and messages
  CommandKind kind = CommandKind::Unknown;
  bool quiet = false;            // no response to a cache miss of a read or to a successful write
  bool response_has_key = false; // the response repeats the key
  Opcode non_quiet_opcode = Opcode::Noop;
  // Executing the command twice has another effect than executing it once, whatever the request's other
  // fields are.
  bool non_idempotent = false;
};
// For an unknown opcode: CommandKind::Unknown with the name "unknown".
const CommandInfo& command_info(std::uint8_t opcode);

// Describes what is wrong with the extras, key or value of a request for its command; null if nothing is.
// A server would answer such a request with Status::Invalid.
const char* request_format_error(const Frame& request);

// Numbers within the extras; 0 where the frame has none.
std::uint32_t flags_of(const Frame& frame);        // of a response to a read, or of a store request
std::uint32_t expiration_of(const Frame& request); // expiration time of a store, touch or counter request

} // namespace fernward::memcache
