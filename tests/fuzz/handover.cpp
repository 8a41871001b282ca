// Fuzzes the decoder of hot restart frames. A frame is decoded completely or not at all, and a decoded
// message survives a round trip through the encoder.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "hot_restart/restart_messages.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace fernward::hot_restart;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const DecodeResult decoded = decode(text);
  if (!decoded.message) return 0;
  if (!decoded.error.empty() || decoded.frame_bytes > size) std::abort();
  const DecodeResult decoded_again = decode(encode(*decoded.message));
  if (!decoded_again.message || !(encode(*decoded_again.message) == encode(*decoded.message))) std::abort();
  if (decode(text.substr(0, decoded.frame_bytes - 1)).message) std::abort();
  return 0;
}
