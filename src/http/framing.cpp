#include "http/framing.h"

#include <algorithm>
#include <charconv>

#include "http/message.h"
#include "http/text.h"

namespace fernward::http {
namespace {

constexpr std::size_t kMaxChunkLine = 1024;

} // namespace

bool parse_number(std::string_view text, int base, std::uint64_t& value) {
  if (text.empty() || text.size() > 15) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc() && end == text.data() + text.size() && text.front() != '-';
}

Framer::Framer(Kind kind, std::uint64_t length, std::uint64_t ceiling)
    : kind_(kind), length_(length), left_(length), ceiling_(ceiling) {
  if (kind == Kind::Fixed || kind == Kind::UntilClose) state_ = State::Body;
  if (kind == Kind::Chunked) state_ = State::ChunkSize;
  if (kind == Kind::UntilClose) left_ = std::numeric_limits<std::uint64_t>::max();
  if (length > ceiling) fail(Fault::BodyTooLarge);
}

std::optional<std::uint64_t> Framer::length() const {
  if (kind_ == Kind::Chunked || kind_ == Kind::UntilClose) return std::nullopt;
  return length_;
}

Framer::Piece Framer::next(std::string_view bytes) {
  Piece piece;
  while (piece.used < bytes.size() && fault_ == Fault::None && state_ != State::Done) {
    const std::string_view rest = bytes.substr(piece.used);
    if (state_ == State::Body || state_ == State::ChunkData) {
      const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(left_, rest.size()));
      if (n > ceiling_ - come_) {
        fail(Fault::BodyTooLarge);
        break;
      }
      piece.body = rest.substr(0, n);
      piece.used += n;
      skipped(n);
      break;
    }
    const auto end = rest.find('\n');
    const std::size_t n = end == std::string_view::npos ? rest.size() : end + 1;
    // Each chunk adds one or two lines, and there may be as many chunks as body bytes: so the limit applies
    // to each line, not to their sum.
    if (state_ == State::Trailers) trailer_bytes_ += n;
    if (trailer_bytes_ > kMaxHeader || (state_ != State::Trailers && line_.size() + n > kMaxChunkLine)) {
      fail(Fault::HeaderTooLarge);
      break;
    }
    piece.used += n;
    if (end == std::string_view::npos) {
      line_.append(rest);
      break;
    }
    std::string whole;
    std::string_view text = rest.substr(0, n);
    if (!line_.empty()) {
      whole.swap(line_);
      text = whole.append(text);
    }
    if (text.size() < 2 || text[text.size() - 2] != '\r') { // a bare LF does not end a line
      fail(Fault::Malformed);
      break;
    }
    line(text.substr(0, text.size() - 2));
  }
  return piece;
}

void Framer::skipped(std::uint64_t bytes) {
  come_ += bytes;
  if (kind_ == Kind::UntilClose) return;
  left_ -= bytes;
  if (left_ == 0) state_ = state_ == State::Body ? State::Done : State::ChunkEnd;
}

bool Framer::end_of_input() {
  if (kind_ == Kind::UntilClose && fault_ == Fault::None) state_ = State::Done;
  return done();
}

void Framer::line(std::string_view text) {
  switch (state_) {
    case State::ChunkSize: {
      std::uint64_t size = 0;
      if (!parse_number(trim(text.substr(0, text.find(';'))), 16, size)) return fail(Fault::Malformed);
      if (size > ceiling_ - come_) return fail(Fault::BodyTooLarge);
      left_ = size;
      state_ = size == 0 ? State::Trailers : State::ChunkData;
      return;
    }
    case State::ChunkEnd:
      if (!text.empty()) return fail(Fault::Malformed);
      state_ = State::ChunkSize;
      return;
    case State::Trailers:
      if (text.empty()) state_ = State::Done;
      return;
    default: return;
  }
}

} // namespace fernward::http
