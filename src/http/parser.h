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

enum class MessageKind { Request, Response };

class Parser {
 public:
  // A body longer than `max_body_bytes` is an error, as soon as the head announces it or it is received.
  explicit Parser(MessageKind kind, std::uint64_t max_body_bytes = kMaxBodyBytes)
      : kind_(kind), max_body_bytes_(max_body_bytes) {}

  // Consumes bytes up to the end of the message; returns how many. Consumes none once done() or after an
  // error.
  std::size_t feed(std::string_view bytes);
  // Consumes bytes up to the end of the head; returns how many. Pass the bytes after it to body(), not to
  // feed().
  std::size_t feed_head(std::string_view bytes);
  // To be called when the peer has ended its stream; a response without a length is complete then. False: the
  // message is truncated.
  bool end_of_input() { return head_done() && error_ == ParseError::None && body_.end_of_input(); }

  bool head_done() const { return state_ == State::Body; }
  bool done() const { return head_done() && body_.done(); }
  ParseError error() const { return error_ != ParseError::None ? error_ : body_.error(); }
  // Whether part of a message was received.
  bool has_started() const { return state_ != State::StartLine || !partial_line_.empty(); }
  bool expects_body() const { return head_done() && !body_.done(); }
  // Memory that this message uses, in bytes.
  std::size_t buffered_bytes() const {
    return header_bytes_ + partial_line_.capacity() + message_.headers.size() * kFieldOverheadBytes +
           message_.headers.capacity() * sizeof(message_.headers[0]) + message_.body.capacity();
  }
  const Message& message() const { return message_; }
  BodyParser& body() { return body_; }
  const BodyParser& body() const { return body_; }
  std::string take_body() { return std::move(message_.body); } // the part received so far
  // Returns the complete message, or its head, and resets the parser for the next message.
  Message take_message();

 private:
  // Of the allocator, for the strings of a field.
  static constexpr std::size_t kFieldOverheadBytes = 32;

  enum class State { StartLine, Headers, Body };

  void handle_line(std::string_view text);
  void parse_start_line(std::string_view text);
  void parse_header_line(std::string_view text);
  void handle_headers_end();
  void fail(ParseError parse_error) { error_ = parse_error; }

  MessageKind kind_;
  State state_ = State::StartLine;
  ParseError error_ = ParseError::None;
  Message message_;
  BodyParser body_ = BodyParser::none();
  std::uint64_t max_body_bytes_;
  std::string partial_line_; // the received part of an incomplete line
  std::size_t header_bytes_ = 0;
};

} // namespace fernward::http
