// Syntax of request targets and of the Host field (RFC 3986, RFC 9112 3.2). No sockets.
#pragma once

#include <string_view>

namespace fernward::http {

/// An absolute path with an optional query (origin-form): segments of pchar, and a query of pchar, '/' and
/// '?'.
bool is_path_and_query(std::string_view text);

/// A host with an optional port. The host is a registered name, an IPv4 address, or an IP literal in
/// brackets; it may be empty. User information and a comma are errors, see docs/notes/http-syntax.md.
bool is_host_and_port(std::string_view text);

/// An http URI (absolute-form), split into its authority and the path and query after it.
struct AbsoluteForm {
  std::string_view authority, path_and_query;
};
/// Whether `target` begins with "http://", in any case. Sets `parts` without validating them.
bool split_absolute_form(std::string_view target, AbsoluteForm& parts);

} // namespace fernward::http
