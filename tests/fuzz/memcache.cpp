// Fuzzes the parser of the memcached binary protocol. Any input gives frames or an error, the parser buffers
// no more than its limit, and the result does not depend on how the input is split. A decoded frame survives
// a round trip.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "memcache/parser.h"
#include "memcache/response_mapping.h"

namespace {

using namespace fernward::memcache;

void require(bool condition, const char* message) {
  if (condition) return;
  std::fprintf(stderr, "%s\n", message);
  std::abort();
}

constexpr std::size_t kMaxValueBytes = 300;

struct ParseResult {
  std::vector<Frame> frames;
  ParseError error = ParseError::None;
  bool operator==(const ParseResult&) const = default;
};

ParseResult parse(std::string_view text, Magic magic, std::size_t piece_bytes) {
  ParseResult result;
  Parser parser(magic, kMaxValueBytes, 100000);
  while (!text.empty() && parser.error() == ParseError::None) {
    const std::size_t byte_count = std::min(piece_bytes, text.size());
    std::string_view part = text.substr(0, byte_count);
    text.remove_prefix(byte_count);
    while (!part.empty() && parser.error() == ParseError::None) {
      part.remove_prefix(parser.feed(part));
      require(parser.buffered_bytes() <= kHeaderBytes + kMaxExtrasBytes + kMaxKeyBytes + kMaxValueBytes,
              "the parser buffers more than its limit");
      if (parser.done()) result.frames.push_back(parser.take_frame());
    }
  }
  result.error = parser.error();
  return result;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  for (const Magic magic : {Magic::Request, Magic::Response}) {
    const ParseResult unsplit = parse(text, magic, std::max<std::size_t>(1, size));
    require(unsplit == parse(text, magic, 1) && unsplit == parse(text, magic, 7),
            "the result depends on how the input is split");
    for (const Frame& frame : unsplit.frames) {
      if (frame.skipped_value_bytes > 0) continue;
      const ParseResult reparsed = parse(encode(frame), magic, 5);
      require(reparsed.frames.size() == 1 && reparsed.frames.front() == frame,
              "a frame changes when it is encoded and decoded again");
      request_format_error(frame);
      attempt_result(frame.opcode, frame.status);
      flags_of(frame), expiration_of(frame);
    }
  }
  return 0;
}
