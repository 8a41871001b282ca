// An incremental HTTP/1.1 parser for one connection: consumes bytes, yields messages. No sockets.
//
// It can be used in two ways. feed() parses complete messages including the body, for small messages.
// feed_head() stops after the head; the caller then parses the body with body(), and buffers it or not.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http/framing.h"
#include "http/message.h"
#include "http/text.h"

namespace fernward::http {

enum class Kind { Request, Response };

class Parser {
 public:
  // A body longer than `max_body_bytes` is an error, as soon as the head announces it or it is received.
  explicit Parser(Kind kind, std::uint64_t ceiling = kMaxBody) : kind_(kind), ceiling_(ceiling) {}

  // Consumes bytes up to the end of the message; returns how many. Consumes none once done() or after an
  // error.
  std::size_t feed(std::string_view bytes);
  // Consumes bytes up to the end of the head; returns how many. Pass the bytes after it to body(), not to
  // feed().
  std::size_t feed_head(std::string_view bytes);
  // To be called when the peer has ended its stream; a response without a length is complete then. False: the
  // message is truncated.
  bool end_of_input() { return head_done() && fault_ == Fault::None && body_.end_of_input(); }

  bool head_done() const { return state_ == State::Body; }
  bool done() const { return head_done() && body_.done(); }
  Fault fault() const { return fault_ != Fault::None ? fault_ : body_.fault(); }
  bool begun() const {
    return state_ != State::StartLine || !line_.empty();
  } // part of a message was received
  bool wants_body() const { return head_done() && !body_.done(); }
  std::size_t held() const {
    return header_bytes_ + message_.body.size();
  } // bytes of this message held in memory
  const Message& message() const { return message_; }
  Framer& body() { return body_; }
  const Framer& body() const { return body_; }
  std::string take_body() { return std::move(message_.body); } // the part received so far
  // Returns the complete message, or its head, and resets the parser for the next message.
  Message take();

 private:
  enum class State { StartLine, Headers, Body };

  void line(std::string_view text);
  void start_line(std::string_view text);
  void header_line(std::string_view text);
  void headers_end();
  void fail(Fault fault) { fault_ = fault; }

  Kind kind_;
  State state_ = State::StartLine;
  Fault fault_ = Fault::None;
  Message message_;
  Framer body_ = Framer::none();
  std::uint64_t ceiling_;
  std::string line_; // the received part of an incomplete line
  std::size_t header_bytes_ = 0;
};

} // namespace fernward::http
