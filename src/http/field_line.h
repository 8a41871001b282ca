// Syntax of header and trailer fields (RFC 9112 5, RFC 9110 5 and 6.5). No sockets.
#pragma once

#include <string>
#include <string_view>

namespace fernward::http {

/// A field line without its line end. `value` points into the line.
struct FieldLine {
  std::string name;       // in lower case
  std::string_view value; // without surrounding white space
  bool has_control_bytes = false;
};
/// False: no colon, a name that is no token, or white space around the name, as a folded line has.
bool parse_field_line(std::string_view line, FieldLine& field);

/// Whether a request may carry the line in its trailer section: a valid field, other than those that describe
/// its framing, route or sender, which must be known before the body.
bool is_valid_trailer(std::string_view line);

/// A comma-separated list of tokens; empty elements are allowed.
bool is_token_list(std::string_view text);

} // namespace fernward::http
