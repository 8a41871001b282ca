// Bytes of the memcached binary protocol to frames, one after another, however they are cut. No sockets.
//
// Nothing is held before its length has been judged: a key or extras beyond what the protocol has, or lengths
// that do not fit into one another, end the stream, as nobody knows where the next frame begins. A value that
// is longer than is kept does not: its bytes are passed over and counted, and the frame says so, so that its
// asker can be told and the next frame is found.
//
//  - Size: at most 24 + 20 + 250 + `most_value` bytes are held.
//  - Misuse: after a fault feed() takes nothing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "memcache/frame.h"

namespace fernward::memcache {

enum class Fault : std::uint8_t {
  None,
  NotBinary,  // the first byte is no magic of this protocol: the text protocol, HTTP, noise
  WrongWay,   // an answer where requests belong, or a request among answers
  KeyTooLong, // over 250 bytes
  Extras,     // over 20 bytes
  Lengths,    // extras and key are longer than the whole
  DataType,   // none but raw bytes are known
  TooLong     // the whole is beyond what may even be passed over
};
const char* fault_text(Fault fault);

class Parser {
 public:
  // `most_value`: bytes of a value that are kept. `most_skipped`: of one that is passed over; beyond it the
  // stream ends.
  Parser(Magic expected, std::size_t most_value, std::uint64_t most_skipped = 64u << 20)
      : expected_(expected), most_value_(most_value), most_skipped_(most_skipped) {}

  std::size_t feed(std::string_view bytes); // how many were taken: up to the end of one frame
  bool done() const { return state_ == State::Done; }
  Frame take(); // once done(); the next may come then
  Fault fault() const { return fault_; }
  bool begun() const { return state_ != State::Header || held_ > 0; } // within a frame
  std::size_t held() const { return state_ == State::Header ? held_ : kHeader + body_.size(); }
  // Of the frame that is coming, once its header has been read; before that 0.
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
  std::size_t held_ = 0; // of the header
  Frame frame_;
  std::size_t extras_ = 0, key_ = 0;
  std::uint64_t total_ = 0, kept_ = 0,
                skip_ = 0; // of the body: as announced, to be kept, still to be passed over
  std::string body_;
};

// A frame's bytes. Its parts must be within the protocol's lengths.
std::string write(const Frame& frame);
// The bytes before its value, for a value that is passed on by itself.
std::string write_head(const Frame& frame, std::uint64_t value_bytes);

} // namespace fernward::memcache
