// Text helpers shared by the HTTP parsers and their callers.
#pragma once

#include <string>
#include <string_view>

namespace fernward::http {

bool is_token(std::string_view text);         // a method or a header name
std::string to_lower(std::string_view text);  // ASCII
std::string_view trim(std::string_view text); // removes surrounding spaces and tabs
// Whether the comma-separated `list` contains `item`, which is in lower case. Case-insensitive.
bool list_contains(std::string_view list, std::string_view item);

} // namespace fernward::http
