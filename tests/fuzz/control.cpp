// Fuzzes the parser of control commands. Any line gives a command whose endpoint name contains no white
// space and has at most 128 bytes, or an error message of a single line.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "control/control_command.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto parsed = fernward::control::parse_command({reinterpret_cast<const char*>(data), size});
  if (parsed.error.find_first_of("\r\n") != std::string::npos) std::abort();
  if (parsed.error.empty() && (parsed.command.endpoint_name.find_first_of(" \t\r\n") != std::string::npos ||
                               parsed.command.endpoint_name.size() > 128))
    std::abort();
  return 0;
}
