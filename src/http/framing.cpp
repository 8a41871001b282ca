#include "http/framing.h"

#include <algorithm>
#include <charconv>

#include "http/chunk_line.h"
#include "http/field_line.h"
#include "http/message.h"

namespace fernward::http {
namespace {

constexpr std::size_t kMaxChunkLineBytes = 1024;
constexpr std::size_t kMaxDigits = 15; // of a number that fits into 64 bits

} // namespace

bool parse_number(std::string_view text, int base, std::uint64_t& value) {
  if (text.empty()) return false;
  text.remove_prefix(std::min(text.find_first_not_of('0'), text.size() - 1));
  if (text.size() > kMaxDigits) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc() && end == text.data() + text.size() && text.front() != '-';
}

BodyParser::BodyParser(Kind kind, std::uint64_t length, std::uint64_t max_body_bytes)
    : kind_(kind), length_(length), remaining_bytes_(length), max_body_bytes_(max_body_bytes) {
  if (kind == Kind::Fixed || kind == Kind::UntilClose) state_ = State::Body;
  if (kind == Kind::Chunked) state_ = State::ChunkSize;
  if (kind == Kind::UntilClose) remaining_bytes_ = std::numeric_limits<std::uint64_t>::max();
  if (length > max_body_bytes) fail(ParseError::BodyTooLarge);
}

std::optional<std::uint64_t> BodyParser::length() const {
  if (kind_ == Kind::Chunked || kind_ == Kind::UntilClose) return std::nullopt;
  return length_;
}

BodyParser::Piece BodyParser::next(std::string_view bytes) {
  Piece piece;
  while (piece.consumed_bytes < bytes.size() && error_ == ParseError::None && state_ != State::Done) {
    const std::string_view rest = bytes.substr(piece.consumed_bytes);
    if (state_ == State::Body || state_ == State::ChunkData) {
      const auto byte_count =
          static_cast<std::size_t>(std::min<std::uint64_t>(remaining_bytes_, rest.size()));
      if (byte_count > max_body_bytes_ - received_bytes_) {
        fail(ParseError::BodyTooLarge);
        break;
      }
      piece.body = rest.substr(0, byte_count);
      piece.consumed_bytes += byte_count;
      skip(byte_count);
      break;
    }
    const auto line_end = rest.find('\n');
    const std::size_t byte_count = line_end == std::string_view::npos ? rest.size() : line_end + 1;
    // Each chunk adds one or two lines, and there may be as many chunks as body bytes: so the limit applies
    // to each line, not to their sum.
    if (state_ == State::Trailers) trailer_bytes_ += byte_count;
    if (trailer_bytes_ > kMaxHeaderBytes ||
        (state_ != State::Trailers && partial_line_.size() + byte_count > kMaxChunkLineBytes)) {
      fail(ParseError::HeaderTooLarge);
      break;
    }
    piece.consumed_bytes += byte_count;
    if (line_end == std::string_view::npos) {
      partial_line_.append(rest);
      break;
    }
    std::string complete_line;
    std::string_view text = rest.substr(0, byte_count);
    if (!partial_line_.empty()) {
      complete_line.swap(partial_line_);
      text = complete_line.append(text);
    }
    if (text.size() < 2 || text[text.size() - 2] != '\r') { // a bare LF does not end a line
      fail(ParseError::Malformed);
      break;
    }
    handle_line(text.substr(0, text.size() - 2));
  }
  return piece;
}

void BodyParser::skip(std::uint64_t bytes) {
  received_bytes_ += bytes;
  if (kind_ == Kind::UntilClose) return;
  remaining_bytes_ -= bytes;
  if (remaining_bytes_ == 0) state_ = state_ == State::Body ? State::Done : State::ChunkEnd;
}

bool BodyParser::end_of_input() {
  if (kind_ == Kind::UntilClose && error_ == ParseError::None) state_ = State::Done;
  return done();
}

void BodyParser::handle_line(std::string_view text) {
  switch (state_) {
    case State::ChunkSize: {
      const std::optional<std::uint64_t> size = parse_chunk_line(text);
      if (!size) return fail(ParseError::Malformed);
      if (*size > max_body_bytes_ - received_bytes_) return fail(ParseError::BodyTooLarge);
      remaining_bytes_ = *size;
      state_ = *size == 0 ? State::Trailers : State::ChunkData;
      return;
    }
    case State::ChunkEnd:
      if (!text.empty()) return fail(ParseError::Malformed);
      state_ = State::ChunkSize;
      return;
    case State::Trailers:
      if (text.empty()) {
        state_ = State::Done;
      } else if (trailer_rule_ == TrailerRule::Validate && !is_valid_trailer(text)) {
        fail(ParseError::Malformed);
      }
      return;
    default: return;
  }
}

} // namespace fernward::http
