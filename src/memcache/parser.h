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

enum class ParseError : std::uint8_t {
  None,
  NotBinary,      // the first byte is no magic byte of this protocol; it may be the text protocol or HTTP
  WrongDirection, // a response where a request is expected, or the reverse
  KeyTooLong,     // over 250 bytes
  ExtrasTooLong,  // over 20 bytes
  InconsistentLengths, // extras and key are longer than the total body length
  DataType,            // the data type is not "raw bytes", the only one that is defined
  ValueTooLong         // the value is longer than the limit for discarded values
};
const char* error_code(ParseError error);

class Parser {
 public:
  // A value of up to `max_value_bytes` is kept, a longer one is discarded. A value that exceeds both
  // `max_value_bytes` and `max_skipped_bytes` ends the stream with an error.
  Parser(Magic expected, std::size_t max_value_bytes, std::uint64_t max_skipped_bytes = 64u << 20)
      : expected_(expected), max_value_bytes_(max_value_bytes), max_skipped_bytes_(max_skipped_bytes) {}

  std::size_t feed(std::string_view bytes); // returns the bytes consumed: up to the end of one frame
  bool done() const { return state_ == State::Done; }
  Frame take_frame(); // only when done(); the parser is then ready for the next frame
  ParseError error() const { return error_; }
  // Within a frame, or at its end.
  bool has_started() const { return state_ != State::Header || header_bytes_ > 0; }
  std::size_t buffered_bytes() const {
    return state_ == State::Header ? header_bytes_ : kHeaderBytes + body_.size();
  }
  // Length of the current frame once its header has been read; before that 0.
  std::uint64_t frame_bytes() const {
    return has_started() && state_ != State::Header ? kHeaderBytes + body_bytes_ : 0;
  }

 private:
  enum class State : std::uint8_t { Header, Body, Skip, Done };
  bool read_header();
  void finish();
  void fail(ParseError parse_error) { error_ = parse_error; }

  Magic expected_;
  std::size_t max_value_bytes_;
  std::uint64_t max_skipped_bytes_;
  State state_ = State::Header;
  ParseError error_ = ParseError::None;
  char header_[kHeaderBytes] = {};
  std::size_t header_bytes_ = 0; // bytes of the header received so far
  Frame frame_;
  std::size_t extras_bytes_ = 0, key_bytes_ = 0;
  // Bytes of the body: announced, to be kept, still to be discarded.
  std::uint64_t body_bytes_ = 0, kept_bytes_ = 0, skip_bytes_ = 0;
  std::string body_;
};

// Encodes a frame. Extras, key and value must be within the protocol's limits.
std::string encode(const Frame& frame);
// Encodes everything before the value, for a value that is forwarded separately.
std::string encode_head(const Frame& frame, std::uint64_t value_bytes);

} // namespace fernward::memcache
