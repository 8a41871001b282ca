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

constexpr std::uint64_t kCeiling = 300;

void must(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "%s\n", what);
  std::abort();
}

struct Seen {
  bool head = false, done = false;
  Fault fault = Fault::None;
  std::size_t used = 0;
  std::string start, body;

  bool same(const Seen& other) const {
    if (fault != other.fault || head != other.head || start != other.start) return false;
    return fault != Fault::None || (done == other.done && used == other.used && body == other.body);
  }
};

void note(Seen& seen, const Parser& parser) {
  seen.fault = parser.fault();
  seen.head = parser.head_done();
  seen.done = parser.done();
  if (!seen.head) return;
  const Message& m = parser.message();
  seen.start = m.method + " " + m.target + " " + std::to_string(m.status);
  for (const auto& [name, value] : m.headers) seen.start += "\n" + name + ":" + value;
}

// Parses `bytes` in pieces of `piece_bytes` bytes. If `buffer_body` is set, the parser buffers the body;
// otherwise the body is read in pieces.
Seen read(Kind kind, std::string_view bytes, std::size_t step, bool whole) {
  Seen seen;
  Parser parser(kind, kCeiling);
  while (seen.used < bytes.size()) {
    const std::string_view part = bytes.substr(seen.used, step);
    std::size_t used = 0;
    if (whole) {
      used = parser.feed(part);
    } else if (!parser.head_done()) {
      used = parser.feed_head(part);
    } else {
      const Framer::Piece piece = parser.body().next(part);
      must(piece.body.empty() || (piece.body.data() >= part.data() &&
                                  piece.body.data() + piece.body.size() <= part.data() + piece.used),
           "a piece lies outside of the consumed bytes");
      seen.body += piece.body;
      must(parser.body().come() == seen.body.size(),
           "the framer's byte count differs from the bytes it returned");
      used = piece.used;
    }
    must(used <= part.size(), "more bytes were consumed than given");
    seen.used += used;
    if (used == 0) break;
  }
  if (whole) seen.body = parser.message().body;
  must(seen.body.size() <= kCeiling, "the body exceeds its limit");
  note(seen, parser);
  must(!seen.done || seen.fault == Fault::None, "the message is complete although there is an error");
  return seen;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const Kind kind = data[0] == 'Q' ? Kind::Request : Kind::Response;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  const Seen once = read(kind, bytes, std::max<std::size_t>(1, bytes.size()), true);
  for (const std::size_t step : {std::size_t{1}, std::size_t{2}, std::size_t{7}, bytes.size() + 1}) {
    must(once.same(read(kind, bytes, step, true)), "the message depends on how the input is split");
    must(once.same(read(kind, bytes, step, false)), "the message differs if the body is read in pieces");
  }
  return 0;
}
