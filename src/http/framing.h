// Where a body ends, and which of the bytes on the wire are its own: for whoever passes a body on without
// keeping it. No sockets, and no copies: a piece points into the bytes that were given.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace fernward::http {

enum class Fault { None, Malformed, HeaderTooLarge, BodyTooLarge };

class Framer {
 public:
  // How a body is framed. Its own ceiling is the caller's: a longer body is a fault, announced or come.
  static Framer none() { return Framer(Kind::None, 0, 0); }
  static Framer fixed(std::uint64_t length, std::uint64_t ceiling) {
    return Framer(length == 0 ? Kind::None : Kind::Fixed, length, ceiling);
  }
  static Framer chunked(std::uint64_t ceiling) { return Framer(Kind::Chunked, 0, ceiling); }
  static Framer until_close(std::uint64_t ceiling) { return Framer(Kind::UntilClose, 0, ceiling); }

  struct Piece {
    std::size_t used = 0;  // bytes taken, framing included
    std::string_view body; // of them: the body's own, in one piece
  };
  // Takes bytes up to the end of the next piece of body, or of the body itself. Call again with the rest
  // until it takes nothing; it takes none once done() or after a fault.
  Piece next(std::string_view bytes);
  // Bytes that the caller has moved by itself, out of sight: at most straight().
  void skipped(std::uint64_t bytes);
  // So many bytes that come next are the body's own, whatever they are.
  std::uint64_t straight() const {
    return state_ == State::Body || state_ == State::ChunkData ? std::min(left_, ceiling_ - come_) : 0;
  }
  // The peer has ended its sending: a body until close ends there. False: it is cut off.
  bool end_of_input();

  bool done() const { return state_ == State::Done && fault_ == Fault::None; }
  Fault fault() const { return fault_; }
  std::uint64_t come() const { return come_; } // of the body's own bytes
  std::optional<std::uint64_t> length() const; // as announced
  bool ends_with_connection() const { return kind_ == Kind::UntilClose; }

 private:
  enum class Kind { None, Fixed, Chunked, UntilClose };
  enum class State { Body, ChunkSize, ChunkData, ChunkEnd, Trailers, Done };

  Framer(Kind kind, std::uint64_t length, std::uint64_t ceiling);
  void line(std::string_view text);
  void fail(Fault fault) { fault_ = fault; }

  Kind kind_;
  State state_ = State::Done;
  Fault fault_ = Fault::None;
  std::string line_; // the part of a line that has come
  std::size_t trailer_bytes_ = 0;
  std::uint64_t length_ = 0, left_ = 0, come_ = 0, ceiling_ = 0; // left: of the body or of a chunk
};

// A number without sign, of up to 15 digits.
bool parse_number(std::string_view text, int base, std::uint64_t& value);

} // namespace fernward::http
