#include "config/address.h"

#include <arpa/inet.h>
#include <sys/un.h>

#include <charconv>
#include <string_view>

namespace fernward::config {

bool parse_address(const std::string& text, sockaddr_in& address) {
  address = {};
  address.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  address.sin_port = htons(port);
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1 && error == std::errc() &&
         stop == end;
}

std::optional<std::string> unix_path(const std::string& text) {
  constexpr std::string_view kPrefix = "unix:/";
  if (!text.starts_with(kPrefix) || text.size() - kPrefix.size() + 1 >= sizeof(sockaddr_un::sun_path))
    return std::nullopt;
  return text.substr(kPrefix.size() - 1);
}

} // namespace fernward::config
