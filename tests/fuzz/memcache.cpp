// Fuzzes the parser of the memcached binary protocol. Any input gives frames or an error, the parser buffers
// no more than its limit, and the result does not depend on how the input is split. A decoded frame survives
// a round trip.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "memcache/meaning.h"
#include "memcache/parser.h"

namespace {

using namespace fernward::memcache;

void must(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "%s\n", what);
  std::abort();
}

constexpr std::size_t kMost = 300;

struct Read {
  std::vector<Frame> frames;
  Fault fault = Fault::None;
  bool operator==(const Read&) const = default;
};

Read read(std::string_view text, Magic magic, std::size_t piece) {
  Read all;
  Parser parser(magic, kMost, 100000);
  while (!text.empty() && parser.fault() == Fault::None) {
    const std::size_t n = std::min(piece, text.size());
    std::string_view part = text.substr(0, n);
    text.remove_prefix(n);
    while (!part.empty() && parser.fault() == Fault::None) {
      part.remove_prefix(parser.feed(part));
      must(parser.held() <= kHeader + kLongestExtras + kLongestKey + kMost,
           "the parser buffers more than its limit");
      if (parser.done()) all.frames.push_back(parser.take());
    }
  }
  all.fault = parser.fault();
  return all;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  for (const Magic magic : {Magic::Request, Magic::Response}) {
    const Read whole = read(text, magic, std::max<std::size_t>(1, size));
    must(whole == read(text, magic, 1) && whole == read(text, magic, 7),
         "the result depends on how the input is split");
    for (const Frame& frame : whole.frames) {
      if (frame.skipped > 0) continue;
      const Read again = read(write(frame), magic, 5);
      must(again.frames.size() == 1 && again.frames.front() == frame,
           "a frame changes when it is encoded and decoded again");
      misshapen(frame);
      meaning(frame.opcode, frame.status);
      flags_of(frame), lifetime_of(frame);
    }
  }
  return 0;
}
