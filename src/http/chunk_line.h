// Syntax of the line before a chunk (RFC 9112 7.1). No sockets.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace fernward::http {

/// The size of the chunk that `line`, without its line end, announces, in bytes; none: the line is malformed.
/// Extensions are validated and ignored.
std::optional<std::uint64_t> parse_chunk_line(std::string_view line);

} // namespace fernward::http
