// Message body framing: finds the end of a body, and separates its bytes from chunk framing. For callers that
// forward a body without buffering it. No sockets and no copies: a piece points into the caller's bytes.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace fernward::http {

enum class ParseError { None, Malformed, HeaderTooLarge, BodyTooLarge };

// Whether the fields after a chunked body, which are dropped, are an error if they are invalid.
enum class TrailerRule { Validate, Ignore };

// An incremental parser of one message body.
class BodyParser {
 public:
  // One factory per framing. A body longer than `max_body_bytes` is an error, as soon as it is announced or
  // received.
  static BodyParser none() { return BodyParser(Kind::None, 0, 0); }
  static BodyParser fixed_length(std::uint64_t length, std::uint64_t max_body_bytes) {
    return BodyParser(length == 0 ? Kind::None : Kind::Fixed, length, max_body_bytes);
  }
  static BodyParser chunked(std::uint64_t max_body_bytes, TrailerRule trailer_rule = TrailerRule::Ignore) {
    BodyParser parser(Kind::Chunked, 0, max_body_bytes);
    parser.trailer_rule_ = trailer_rule;
    return parser;
  }
  static BodyParser until_close(std::uint64_t max_body_bytes) {
    return BodyParser(Kind::UntilClose, 0, max_body_bytes);
  }

  struct Piece {
    std::size_t consumed_bytes = 0; // input bytes consumed, including framing
    std::string_view body;          // the body bytes among them, contiguous
  };
  // Consumes bytes up to the end of the next piece of the body, or up to the end of the body. Call again with
  // the remaining bytes until nothing is consumed. Consumes nothing once done() or after an error.
  Piece next(std::string_view bytes);
  // Accounts for body bytes that the caller moved without passing them to next(): at most
  // contiguous_body_bytes().
  void skip(std::uint64_t bytes);
  // The number of input bytes that follow and belong to the body, without any framing in between.
  std::uint64_t contiguous_body_bytes() const {
    return state_ == State::Body || state_ == State::ChunkData
               ? std::min(remaining_bytes_, max_body_bytes_ - received_bytes_)
               : 0;
  }
  // To be called when the peer has ended its stream; a body framed until close is complete then. False: the
  // body is truncated.
  bool end_of_input();

  bool done() const { return state_ == State::Done && error_ == ParseError::None; }
  ParseError error() const { return error_; }
  std::uint64_t received_bytes() const { return received_bytes_; } // body bytes, without framing
  std::optional<std::uint64_t> length() const;                     // if announced
  // Bytes of the body that are missing, if its length is announced.
  std::optional<std::uint64_t> missing_bytes() const {
    return length() ? std::optional(remaining_bytes_) : std::nullopt;
  }
  bool ends_with_connection() const { return kind_ == Kind::UntilClose; }

 private:
  enum class Kind { None, Fixed, Chunked, UntilClose };
  enum class State { Body, ChunkSize, ChunkData, ChunkEnd, Trailers, Done };

  BodyParser(Kind kind, std::uint64_t length, std::uint64_t max_body_bytes);
  void handle_line(std::string_view text);
  void fail(ParseError parse_error) { error_ = parse_error; }

  Kind kind_;
  TrailerRule trailer_rule_ = TrailerRule::Ignore;
  State state_ = State::Done;
  ParseError error_ = ParseError::None;
  std::string partial_line_; // the received part of an incomplete line
  std::size_t trailer_bytes_ = 0;
  // remaining_bytes_: of the body, or of the current chunk.
  std::uint64_t length_ = 0, remaining_bytes_ = 0, received_bytes_ = 0, max_body_bytes_ = 0;
};

// Parses an unsigned number of up to 15 digits after any leading zeros.
bool parse_number(std::string_view text, int base, std::uint64_t& value);

} // namespace fernward::http
