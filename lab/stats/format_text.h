// Formats text by a printf pattern, for reports. The result is truncated to 511 bytes.
#pragma once

#include <cstdarg>
#include <cstdio>
#include <string>

namespace fernward::lab {

__attribute__((format(printf, 1, 2))) inline std::string format_text(const char* pattern, ...) {
  char text[512];
  va_list arguments;
  va_start(arguments, pattern);
  std::vsnprintf(text, sizeof text, pattern, arguments);
  va_end(arguments);
  return text;
}

} // namespace fernward::lab
