// Fuzzes the HTTP parser. Any input gives the same message or the same error however it is split, whether the
// parser buffers the body or returns it in pieces, and a piece always lies within the input that was
// consumed.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

#include "http/parser.h"

using namespace fernward::http;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 300;

void require(bool condition, const char* message) {
  if (condition) return;
  std::fprintf(stderr, "%s\n", message);
  std::abort();
}

struct ParseOutcome {
  bool head_done = false, done = false;
  ParseError error = ParseError::None;
  std::size_t consumed = 0;
  std::string head_text, body;

  bool equals(const ParseOutcome& other) const {
    if (error != other.error || head_done != other.head_done || head_text != other.head_text) return false;
    return error != ParseError::None ||
           (done == other.done && consumed == other.consumed && body == other.body);
  }
};

void record_state(ParseOutcome& outcome, const Parser& parser) {
  outcome.error = parser.error();
  outcome.head_done = parser.head_done();
  outcome.done = parser.done();
  if (!outcome.head_done) return;
  const Message& message = parser.message();
  outcome.head_text = message.method + " " + message.target + " " + std::to_string(message.status);
  for (const auto& [name, value] : message.headers) outcome.head_text += "\n" + name + ":" + value;
}

// Parses `bytes` in pieces of `piece_bytes` bytes. If `buffer_body` is set, the parser buffers the body;
// otherwise the body is read in pieces.
ParseOutcome parse_in_pieces(MessageKind kind, std::string_view bytes, std::size_t piece_bytes,
                             bool buffer_body) {
  ParseOutcome outcome;
  Parser parser(kind, kMaxBodyBytes);
  while (outcome.consumed < bytes.size()) {
    const std::string_view input = bytes.substr(outcome.consumed, piece_bytes);
    std::size_t consumed = 0;
    if (buffer_body) {
      consumed = parser.feed(input);
    } else if (!parser.head_done()) {
      consumed = parser.feed_head(input);
    } else {
      const BodyParser::Piece piece = parser.body().next(input);
      require(piece.body.empty() ||
                  (piece.body.data() >= input.data() &&
                   piece.body.data() + piece.body.size() <= input.data() + piece.consumed_bytes),
              "a piece lies outside of the consumed bytes");
      outcome.body += piece.body;
      require(parser.body().received_bytes() == outcome.body.size(),
              "the body parser's byte count differs from the bytes that it returned");
      consumed = piece.consumed_bytes;
    }
    require(consumed <= input.size(), "more bytes were consumed than given");
    outcome.consumed += consumed;
    if (consumed == 0) break;
  }
  if (buffer_body) outcome.body = parser.message().body;
  require(outcome.body.size() <= kMaxBodyBytes, "the body exceeds its limit");
  record_state(outcome, parser);
  require(!outcome.done || outcome.error == ParseError::None,
          "the message is complete although there is an error");
  return outcome;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const MessageKind kind = data[0] == 'Q' ? MessageKind::Request : MessageKind::Response;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  const ParseOutcome unsplit = parse_in_pieces(kind, bytes, std::max<std::size_t>(1, bytes.size()), true);
  for (const std::size_t piece_bytes : {std::size_t{1}, std::size_t{2}, std::size_t{7}, bytes.size() + 1}) {
    require(unsplit.equals(parse_in_pieces(kind, bytes, piece_bytes, true)),
            "the message depends on how the input is split");
    require(unsplit.equals(parse_in_pieces(kind, bytes, piece_bytes, false)),
            "the message differs if the body is read in pieces");
  }
  return 0;
}
