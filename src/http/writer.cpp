#include "http/message.h"

#include <cstdio>

namespace fernward::http {
namespace {

void append_header(std::string& text, std::string_view name, std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

void append_headers(std::string& text, const std::vector<Header>& headers, Framing framing,
                    std::uint64_t length) {
  for (const auto& [name, value] : headers) append_header(text, name, value);
  if (framing == Framing::Length) append_header(text, "Content-Length", std::to_string(length));
  if (framing == Framing::Chunked) append_header(text, "Transfer-Encoding", "chunked");
  text.append("\r\n");
}

} // namespace

std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<Header>& headers, std::string_view body) {
  // In a request, a missing Content-Length means that there is no body.
  const Framing framing = method != "GET" || !body.empty() ? Framing::Length : Framing::UntilClose;
  return write_request_head(method, target, host, headers, framing, body.size()).append(body);
}

std::string write_request_head(std::string_view method, std::string_view target, std::string_view host,
                               const std::vector<Header>& headers, Framing framing, std::uint64_t length) {
  std::string text;
  text.reserve(256 + target.size());
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  append_header(text, "Host", host);
  append_headers(text, headers, framing, length);
  return text;
}

std::string write_response(int status, const std::vector<Header>& headers, std::string_view body,
                           bool keep_alive) {
  return write_response_head(status, headers, Framing::Length, body.size(), keep_alive).append(body);
}

std::string write_response_head(int status, const std::vector<Header>& headers, Framing framing,
                                std::uint64_t length, bool keep_alive) {
  std::string text;
  text.reserve(192);
  text.append("HTTP/1.1 ")
      .append(std::to_string(status))
      .append(" ")
      .append(reason_phrase(status))
      .append("\r\n");
  if (!keep_alive) append_header(text, "Connection", "close");
  append_headers(text, headers, framing, length);
  return text;
}

std::string chunk_size_line(std::size_t bytes) {
  char text[24];
  return {text, static_cast<std::size_t>(std::snprintf(text, sizeof text, "%zx\r\n", bytes))};
}

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 413: return "Content Too Large";
    case 417: return "Expectation Failed";
    case 431: return "Request Header Fields Too Large";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Unknown";
  }
}

} // namespace fernward::http
