#include "http/field_line.h"

#include <algorithm>

#include "http/text.h"

namespace fernward::http {
namespace {

// RFC 9110 6.5.1: framing, routing, request modifiers, authentication, content format; and the router's
// protocol.
constexpr std::string_view kForbiddenTrailers[] = {"authorization",
                                                   "connection",
                                                   "content-encoding",
                                                   "content-length",
                                                   "content-range",
                                                   "content-type",
                                                   "expect",
                                                   "host",
                                                   "idempotency-key",
                                                   "max-forwards",
                                                   "te",
                                                   "transfer-encoding",
                                                   "upgrade",
                                                   "x-attrs",
                                                   "x-cost",
                                                   "x-priority-class",
                                                   "x-request-id",
                                                   "x-retried",
                                                   "x-tenant-id",
                                                   "x-timeout-ms"};

bool is_control(char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; }

} // namespace

bool parse_field_line(std::string_view line, FieldLine& field) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return false;
  field.name = to_lower(line.substr(0, colon));
  field.value = trim(line.substr(colon + 1));
  field.has_control_bytes = std::any_of(field.value.begin(), field.value.end(), is_control);
  return true;
}

bool is_valid_trailer(std::string_view line) {
  FieldLine field;
  if (!parse_field_line(line, field) || field.has_control_bytes) return false;
  return std::find(std::begin(kForbiddenTrailers), std::end(kForbiddenTrailers), field.name) ==
         std::end(kForbiddenTrailers);
}

bool is_token_list(std::string_view text) {
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const std::string_view element = trim(text.substr(0, comma));
    if (!element.empty() && !is_token(element)) return false;
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return true;
}

} // namespace fernward::http
