// Fuzzes the parser of control commands. Any line gives a command whose endpoint id contains no white space
// and has at most 128 bytes, or an error message of a single line.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "control/call.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto parsed = fernward::control::parse({reinterpret_cast<const char*>(data), size});
  if (parsed.fault.find_first_of("\r\n") != std::string::npos) std::abort();
  if (parsed.fault.empty() && (parsed.call.endpoint.find_first_of(" \t\r\n") != std::string::npos ||
                               parsed.call.endpoint.size() > 128))
    std::abort();
  return 0;
}
