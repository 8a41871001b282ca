#include "http/chunk_line.h"

#include <algorithm>

#include "http/framing.h"
#include "http/text.h"

namespace fernward::http {
namespace {

constexpr std::string_view kWhiteSpace = " \t";

void skip_white_space(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(kWhiteSpace), text.size()));
}

bool skip_token(std::string_view& text) {
  std::size_t length = 0;
  while (length < text.size() && is_token(text.substr(length, 1))) ++length;
  text.remove_prefix(length);
  return length > 0;
}

// Any byte but controls; a backslash quotes the byte after it.
bool skip_quoted_string(std::string_view& text) {
  for (std::size_t i = 1; i < text.size(); ++i) {
    if (text[i] == '"') {
      text.remove_prefix(i + 1);
      return true;
    }
    if (text[i] == '\\') ++i;
    if (i < text.size() && text[i] != '\t' && (static_cast<unsigned char>(text[i]) < 0x20 || text[i] == 0x7f))
      return false;
  }
  return false;
}

// ";", a name, and optionally "=" and a value. White space may surround ";" and "=".
bool skip_extension(std::string_view& text) {
  skip_white_space(text);
  if (text.empty() || text.front() != ';') return false;
  text.remove_prefix(1);
  skip_white_space(text);
  if (!skip_token(text)) return false;
  std::string_view value = text;
  skip_white_space(value);
  if (value.empty() || value.front() != '=') return true;
  value.remove_prefix(1);
  skip_white_space(value);
  text = value;
  return !text.empty() && text.front() == '"' ? skip_quoted_string(text) : skip_token(text);
}

} // namespace

std::optional<std::uint64_t> parse_chunk_line(std::string_view line) {
  const std::size_t size_length = std::min(line.find_first_of("; \t"), line.size());
  std::uint64_t size = 0;
  if (!parse_number(line.substr(0, size_length), 16, size)) return std::nullopt;
  line.remove_prefix(size_length);
  while (!line.empty()) {
    if (!skip_extension(line)) return std::nullopt;
  }
  return size;
}

} // namespace fernward::http
