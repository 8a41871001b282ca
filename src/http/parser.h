// An incremental HTTP/1.1 parser for one connection: bytes in, messages out. No sockets.
//
// Two ways to use it. feed() takes whole messages, body and all, for what is small. feed_head() stops behind
// the head; the body is then the caller's, who cuts it out of the bytes with body() and keeps what it likes
// of it.
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
  // A body beyond the ceiling is a fault: as soon as a head announces it, or as it has come.
  explicit Parser(Kind kind, std::uint64_t ceiling = kMaxBody) : kind_(kind), ceiling_(ceiling) {}

  // Takes bytes up to the end of the message; returns how many. Takes none once done() or after a fault.
  std::size_t feed(std::string_view bytes);
  // The same up to the end of the head. What comes after it is for body(), never for feed().
  std::size_t feed_head(std::string_view bytes);
  // The peer has ended its sending: a response without a length ends there. False: it is cut off.
  bool end_of_input() { return head_done() && fault_ == Fault::None && body_.end_of_input(); }

  bool head_done() const { return state_ == State::Body; }
  bool done() const { return head_done() && body_.done(); }
  Fault fault() const { return fault_ != Fault::None ? fault_ : body_.fault(); }
  bool begun() const { return state_ != State::StartLine || !line_.empty(); } // some of a message has come
  bool wants_body() const { return head_done() && !body_.done(); }
  std::size_t held() const { return header_bytes_ + message_.body.size(); } // bytes of the message so far
  const Message& message() const { return message_; }
  Framer& body() { return body_; }
  const Framer& body() const { return body_; }
  std::string take_body() { return std::move(message_.body); } // what has come of it
  Message take(); // the finished message, or its head; the parser is ready for the next

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
  std::string line_; // the part of a line that has come
  std::size_t header_bytes_ = 0;
};

} // namespace fernward::http
