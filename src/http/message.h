// HTTP/1.1 messages and their serialization. No sockets.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fernward::http {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr std::size_t kMaxHeaderFields = 128;      // a field takes far more memory than its bytes
constexpr std::size_t kMaxHeaderBytes = 16 * 1024; // start line and all header lines

struct Message {
  std::string method, target;                               // of a request
  int status = 0;                                           // of a response
  std::vector<std::pair<std::string, std::string>> headers; // names in lower case
  std::string body;
  bool keep_alive = true;
  bool is_http_1_0 = false; // the peer does not support chunked encoding

  // The value of the first header with that name (in lower case); empty if there is none.
  std::string_view header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (key == name) return value;
    }
    return {};
  }
  std::ptrdiff_t header_count(std::string_view name) const {
    return std::count_if(headers.begin(), headers.end(), [&](const auto& h) { return h.first == name; });
  }
  bool has_header(std::string_view name) const { return header_count(name) > 0; }
};

struct Header {
  std::string_view name, value;
};

// Serializes head and body into one string, so that they can be sent with one write.
std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<Header>& headers, std::string_view body);
std::string write_response(int status, const std::vector<Header>& headers, std::string_view body,
                           bool keep_alive);
// Serialize the head alone. A body of unknown length is announced as chunked, or not at all: then the end of
// the connection ends the body.
enum class Framing { Length, Chunked, UntilClose };
std::string write_request_head(std::string_view method, std::string_view target, std::string_view host,
                               const std::vector<Header>& headers, Framing framing, std::uint64_t length);
std::string write_response_head(int status, const std::vector<Header>& headers, Framing framing,
                                std::uint64_t length, bool keep_alive);
// The line before the bytes of a chunk. kChunkEnd follows each chunk, and kLastChunk ends the body.
std::string chunk_size_line(std::size_t bytes);
constexpr std::string_view kChunkEnd = "\r\n", kLastChunk = "0\r\n\r\n";
std::string_view reason_phrase(int status);

} // namespace fernward::http
