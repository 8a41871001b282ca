// Addresses as configuration and discovery write them.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

namespace fernward::config {

bool parse_address(const std::string& text, sockaddr_in& into); // IPv4 "host:port"

// Of "unix:/run/app/router.sock" the path; none: it is no such address, or longer than the kernel takes (107
// bytes).
std::optional<std::string> unix_path(const std::string& text);

} // namespace fernward::config
