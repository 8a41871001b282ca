// Addresses as configuration and discovery write them.
#pragma once

#include <netinet/in.h>

#include <string>

namespace fernward::config {

bool parse_address(const std::string& text, sockaddr_in& into); // IPv4 "host:port"

} // namespace fernward::config
