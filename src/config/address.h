// Parses addresses in the form used by configuration and discovery.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

namespace fernward::config {

bool parse_address(const std::string& text, sockaddr_in& address); // IPv4 "host:port"; false: invalid

// The path of an address such as "unix:/run/app/router.sock"; none: another kind of address, or the path
// exceeds the kernel's limit of 107 bytes.
std::optional<std::string> unix_path(const std::string& text);

} // namespace fernward::config
