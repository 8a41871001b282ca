#include "http/parser.h"

#include <algorithm>

#include "http/field_line.h"
#include "http/uri.h"
#include "memory_budget/growth.h"

namespace fernward::http {
namespace {

constexpr std::size_t kBodyStepBytes = 8 * 1024;

bool is_digit(char c) { return c >= '0' && c <= '9'; }

bool is_version(std::string_view text) {
  return text.size() == 8 && text.substr(0, 7) == "HTTP/1." && is_digit(text[7]);
}

// The path and query of a request target, which clients send in absolute form to a configured proxy. Empty:
// the target is invalid.
std::string path_of(std::string_view target) {
  AbsoluteForm absolute;
  if (!split_absolute_form(target, absolute)) return is_path_and_query(target) ? std::string(target) : "";
  const bool has_host = !absolute.authority.empty() && absolute.authority.front() != ':';
  if (!has_host || !is_host_and_port(absolute.authority)) return {};
  std::string path(absolute.path_and_query);
  if (!path.starts_with('/')) path.insert(0, "/"); // an empty path, RFC 9110 4.2.3
  return is_path_and_query(path) ? path : "";
}

// Whether the list's only element is "chunked".
bool is_chunked_only(std::string_view list) {
  std::size_t elements = 0;
  for (std::string_view rest = list; !rest.empty();) {
    const auto comma = std::min(rest.find(','), rest.size());
    elements += !trim(rest.substr(0, comma)).empty();
    rest.remove_prefix(std::min(comma + 1, rest.size()));
  }
  return elements == 1 && list_contains(list, "chunked");
}

} // namespace

bool is_token(std::string_view text) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kSymbols.find(c) != std::string_view::npos;
  });
}

std::string to_lower(std::string_view text) {
  std::string lowered(text);
  for (char& c : lowered) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lowered;
}

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool list_contains(std::string_view list, std::string_view item) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    if (to_lower(trim(list.substr(0, comma))) == item) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

std::size_t Parser::feed(std::string_view bytes) {
  std::size_t consumed = feed_head(bytes);
  while (head_done() && consumed < bytes.size() && !done() && error() == ParseError::None) {
    const BodyParser::Piece piece = body_.next(bytes.substr(consumed));
    memory_budget::append_in_steps(message_.body, piece.body, kBodyStepBytes);
    consumed += piece.consumed_bytes;
  }
  return consumed;
}

std::size_t Parser::feed_head(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && error_ == ParseError::None && !head_done()) {
    const std::string_view rest = bytes.substr(consumed);
    const auto line_end = rest.find('\n');
    const std::size_t byte_count = line_end == std::string_view::npos ? rest.size() : line_end + 1;
    header_bytes_ += byte_count;
    if (header_bytes_ > kMaxHeaderBytes) {
      fail(ParseError::HeaderTooLarge);
      break;
    }
    consumed += byte_count;
    if (line_end == std::string_view::npos) {
      partial_line_.append(rest);
      break;
    }
    std::string complete_line;
    std::string_view text = rest.substr(0, byte_count);
    if (!partial_line_.empty()) {
      complete_line.swap(partial_line_);
      text = complete_line.append(text);
    }
    if (text.size() < 2 || text[text.size() - 2] != '\r') { // a bare LF does not end a line
      fail(ParseError::Malformed);
      break;
    }
    handle_line(text.substr(0, text.size() - 2));
  }
  return consumed;
}

Message Parser::take_message() {
  Message taken = std::move(message_);
  *this = Parser(kind_, max_body_bytes_);
  return taken;
}

void Parser::handle_line(std::string_view text) {
  if (state_ == State::Headers) {
    text.empty() ? handle_headers_end() : parse_header_line(text);
  } else if (!text.empty()) { // empty lines before a message are skipped
    parse_start_line(text);
  }
}

void Parser::parse_start_line(std::string_view text) {
  const auto first = text.find(' ');
  if (first == std::string_view::npos) return fail(ParseError::Malformed);
  std::string_view version;
  if (kind_ == MessageKind::Request) {
    const auto last = text.rfind(' ');
    message_.method = text.substr(0, first);
    message_.target = first < last ? path_of(text.substr(first + 1, last - first - 1)) : "";
    version = text.substr(last + 1);
    if (!is_token(message_.method) || message_.target.empty()) return fail(ParseError::Malformed);
  } else {
    version = text.substr(0, first);
    const std::string_view code = text.substr(first + 1, 3);
    std::uint64_t status = 0;
    if (code.size() != 3 || !parse_number(code, 10, status) || status < 100 || status > 599 ||
        status == 101) // no protocol switch was requested
      return fail(ParseError::Malformed);
    if (text.size() > first + 4 && text[first + 4] != ' ') return fail(ParseError::Malformed);
    message_.status = static_cast<int>(status);
  }
  if (!is_version(version)) return fail(ParseError::Malformed);
  message_.is_http_1_0 = version.back() == '0';
  state_ = State::Headers;
}

void Parser::parse_header_line(std::string_view text) {
  FieldLine field;
  if (!parse_field_line(text, field)) return fail(ParseError::Malformed);
  if (field.has_control_bytes) {
    // In a response only this header is dropped, unless it affects where the response ends.
    const bool affects_framing =
        field.name == "content-length" || field.name == "transfer-encoding" || field.name == "connection";
    return kind_ == MessageKind::Request || affects_framing ? fail(ParseError::Malformed) : void();
  }
  if (message_.headers.size() == kMaxHeaderFields) return fail(ParseError::HeaderTooLarge);
  message_.headers.emplace_back(std::move(field.name), field.value);
}

void Parser::handle_headers_end() {
  if (kind_ == MessageKind::Response && message_.status < 200) {
    message_ = Message(); // an interim response: the final one follows
    state_ = State::StartLine;
    return;
  }
  bool has_length = false, chunked = false;
  std::uint64_t length = 0;
  message_.keep_alive = !message_.is_http_1_0;
  for (const auto& [name, value] : message_.headers) {
    if (name == "connection") {
      if (kind_ == MessageKind::Request && !is_token_list(value)) return fail(ParseError::Malformed);
      if (list_contains(value, "close"))
        message_.keep_alive = false;
      else if (list_contains(value, "keep-alive"))
        message_.keep_alive = true;
    } else if (name == "content-length") {
      std::uint64_t parsed_length = 0;
      // Two lengths, or a length together with chunked encoding, can smuggle a second message.
      if (!parse_number(value, 10, parsed_length) || has_length) return fail(ParseError::Malformed);
      has_length = true;
      length = parsed_length;
    } else if (name == "transfer-encoding") {
      if (chunked || !is_chunked_only(value)) return fail(ParseError::Malformed);
      chunked = true;
    }
  }
  if (chunked && (has_length || message_.is_http_1_0)) return fail(ParseError::Malformed);
  const bool has_no_body =
      kind_ == MessageKind::Response && (message_.status == 204 || message_.status == 304);
  if (has_no_body || (!chunked && !has_length && kind_ == MessageKind::Request)) {
    body_ = BodyParser::none();
  } else if (chunked) {
    body_ = BodyParser::chunked(max_body_bytes_,
                                kind_ == MessageKind::Request ? TrailerRule::Validate : TrailerRule::Ignore);
  } else if (has_length) {
    body_ = BodyParser::fixed_length(length, max_body_bytes_);
  } else {
    message_.keep_alive = false;
    body_ = BodyParser::until_close(max_body_bytes_);
  }
  state_ = State::Body;
}

} // namespace fernward::http
