#include "http/uri.h"

#include <arpa/inet.h>

#include <algorithm>
#include <string>

#include "http/text.h"

namespace fernward::http {
namespace {

constexpr std::string_view kScheme = "http://";
constexpr std::string_view kUnreservedSymbols = "-._~";
constexpr std::string_view kSubDelimiters = "!$&'()*+,;=";

bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }
bool is_hex_digit(char c) { return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }
bool is_unreserved(char c) {
  return is_digit(c) || is_letter(c) || kUnreservedSymbols.find(c) != std::string_view::npos;
}
bool is_sub_delimiter(char c) { return kSubDelimiters.find(c) != std::string_view::npos; }
bool is_path_character(char c) {
  return is_unreserved(c) || is_sub_delimiter(c) || c == ':' || c == '@' || c == '/';
}
bool is_name_character(char c) { return is_unreserved(c) || (is_sub_delimiter(c) && c != ','); }

// Whether `text` consists of percent-encoded octets and characters that `is_allowed` accepts.
template <typename IsAllowed>
bool consists_of(std::string_view text, IsAllowed is_allowed) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      if (!is_allowed(text[i])) return false;
      continue;
    }
    if (i + 2 >= text.size() || !is_hex_digit(text[i + 1]) || !is_hex_digit(text[i + 2])) return false;
    i += 2;
  }
  return true;
}

// The part of an IP literal between the brackets.
bool is_ip_literal(std::string_view text) {
  if (!text.empty() && (text.front() == 'v' || text.front() == 'V')) {
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || dot == 1 || dot + 1 == text.size()) return false;
    const std::string_view version = text.substr(1, dot - 1);
    const std::string_view address = text.substr(dot + 1);
    return std::all_of(version.begin(), version.end(), is_hex_digit) &&
           std::all_of(address.begin(), address.end(),
                       [](char c) { return is_unreserved(c) || is_sub_delimiter(c) || c == ':'; });
  }
  in6_addr address{};
  return inet_pton(AF_INET6, std::string(text).c_str(), &address) == 1;
}

} // namespace

bool is_path_and_query(std::string_view text) {
  if (text.empty() || text.front() != '/') return false;
  const auto query = text.find('?');
  if (!consists_of(text.substr(0, query), is_path_character)) return false;
  return query == std::string_view::npos ||
         consists_of(text.substr(query + 1), [](char c) { return is_path_character(c) || c == '?'; });
}

bool is_host_and_port(std::string_view text) {
  const bool is_literal = !text.empty() && text.front() == '[';
  const auto literal_end = is_literal ? text.find(']') : std::string_view::npos;
  if (is_literal && literal_end == std::string_view::npos) return false;
  const auto host_end = is_literal ? literal_end + 1 : std::min(text.find(':'), text.size());
  const std::string_view host = text.substr(0, host_end);
  const std::string_view port = text.substr(host_end);
  if (!port.empty() && (port.front() != ':' || !std::all_of(port.begin() + 1, port.end(), is_digit)))
    return false;
  return is_literal ? is_ip_literal(host.substr(1, host.size() - 2)) : consists_of(host, is_name_character);
}

bool split_absolute_form(std::string_view target, AbsoluteForm& parts) {
  if (to_lower(target.substr(0, kScheme.size())) != kScheme) return false;
  const std::string_view rest = target.substr(kScheme.size());
  const auto authority_end = std::min(rest.find_first_of("/?#"), rest.size());
  parts = {rest.substr(0, authority_end), rest.substr(authority_end)};
  return true;
}

} // namespace fernward::http
