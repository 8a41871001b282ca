// Incremental parser of the memcached binary protocol: turns a byte stream into consecutive frames, however
// the bytes are split. No sockets.
//
// Lengths are checked before any of the body is buffered. A key or extras beyond the protocol's limits, or
// inconsistent lengths, end the stream, because the start of the next frame is unknown. A value above the
// limit does not: its bytes are discarded and counted, and the frame records the count, so that the request
// can be answered with an error and the next frame is found.
//
//  - Size: at most 24 + 20 + 250 + `max_value_bytes` bytes are buffered.
//  - Misuse: after an error feed() consumes nothing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "memcache/frame.h"

namespace fernward::memcache {

enum class Fault : std::uint8_t {
  None,
  NotBinary,  // the first byte is no magic of this protocol, but e.g. the text protocol or HTTP
  WrongWay,   // a response where a request is expected, or the reverse
  KeyTooLong, // over 250 bytes
  Extras,     // over 20 bytes
  Lengths,    // extras and key are longer than the total body length
  DataType,   // the data type is not "raw bytes", the only one that is defined
  TooLong     // the value is longer than the limit for discarded values
};
const char* fault_text(Fault fault);

class Parser {
 public:
  // A value of up to `max_value_bytes` is kept, a longer one is discarded. A value that exceeds both
  // `max_value_bytes` and `max_skipped_bytes` ends the stream with an error.
  Parser(Magic expected, std::size_t most_value, std::uint64_t most_skipped = 64u << 20)
      : expected_(expected), most_value_(most_value), most_skipped_(most_skipped) {}

  std::size_t feed(std::string_view bytes); // returns the bytes consumed: up to the end of one frame
  bool done() const { return state_ == State::Done; }
  Frame take(); // only when done(); the parser is then ready for the next frame
  Fault fault() const { return fault_; }
  bool begun() const { return state_ != State::Header || held_ > 0; } // within a frame, or at its end
  std::size_t held() const { return state_ == State::Header ? held_ : kHeader + body_.size(); }
  // Length of the current frame once its header has been read; before that 0.
  std::uint64_t announced() const { return begun() && state_ != State::Header ? kHeader + total_ : 0; }

 private:
  enum class State : std::uint8_t { Header, Body, Skip, Done };
  bool read_header();
  void finish();
  void fail(Fault fault) { fault_ = fault; }

  Magic expected_;
  std::size_t most_value_;
  std::uint64_t most_skipped_;
  State state_ = State::Header;
  Fault fault_ = Fault::None;
  char header_[kHeader] = {};
  std::size_t held_ = 0; // bytes of the header
  Frame frame_;
  std::size_t extras_ = 0, key_ = 0;
  std::uint64_t total_ = 0, kept_ = 0,
                skip_ = 0; // bytes of the body: announced, to be kept, still to be discarded
  std::string body_;
};

// Encodes a frame. Extras, key and value must be within the protocol's limits.
std::string write(const Frame& frame);
// Encodes everything before the value, for a value that is forwarded separately.
std::string write_head(const Frame& frame, std::uint64_t value_bytes);

} // namespace fernward::memcache
