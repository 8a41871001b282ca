// Fuzzes the decoder of hot restart frames. A frame is decoded completely or not at all, and a decoded
// message survives a round trip through the encoder.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "hot_restart/state.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace fernward::hot_restart;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const Decoded decoded = decode(text);
  if (!decoded.message) return 0;
  if (!decoded.fault.empty() || decoded.used > size) std::abort();
  const Decoded again = decode(encode(*decoded.message));
  if (!again.message || !(encode(*again.message) == encode(*decoded.message))) std::abort();
  if (decode(text.substr(0, decoded.used - 1)).message) std::abort();
  return 0;
}
