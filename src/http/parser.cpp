#include "http/parser.h"

#include <algorithm>

namespace fernward::http {
namespace {

bool is_digit(char c) { return c >= '0' && c <= '9'; }

bool is_version(std::string_view text) {
  return text.size() == 8 && text.substr(0, 7) == "HTTP/1." && is_digit(text[7]);
}

bool is_target(std::string_view text) { // a path of printable characters
  return !text.empty() && text.front() == '/' &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

// Returns the path and query of an absolute-form target ("http://host:port/path?query"), which clients send
// to a configured proxy; other targets are returned unchanged.
std::string_view path_of(std::string_view target) {
  constexpr std::string_view kScheme = "http://";
  if (lower(target.substr(0, kScheme.size())) != kScheme) return target;
  const std::string_view rest = target.substr(kScheme.size());
  const auto end = rest.find_first_of("/?#");
  if (rest.empty() || end == 0) return {}; // no host
  if (end == std::string_view::npos) return "/";
  return rest[end] == '/' ? rest.substr(end) : std::string_view();
}

} // namespace

bool is_token(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kMarks.find(c) != std::string_view::npos;
  });
}

std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return out;
}

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool has_item(std::string_view list, std::string_view item) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    if (lower(trim(list.substr(0, comma))) == item) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

std::size_t Parser::feed(std::string_view bytes) {
  std::size_t used = feed_head(bytes);
  while (head_done() && used < bytes.size() && !done() && fault() == Fault::None) {
    const Framer::Piece piece = body_.next(bytes.substr(used));
    message_.body.append(piece.body);
    used += piece.used;
  }
  return used;
}

std::size_t Parser::feed_head(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && fault_ == Fault::None && !head_done()) {
    const std::string_view rest = bytes.substr(used);
    const auto end = rest.find('\n');
    const std::size_t n = end == std::string_view::npos ? rest.size() : end + 1;
    header_bytes_ += n;
    if (header_bytes_ > kMaxHeader) {
      fail(Fault::HeaderTooLarge);
      break;
    }
    used += n;
    if (end == std::string_view::npos) {
      line_.append(rest);
      break;
    }
    std::string whole;
    std::string_view text = rest.substr(0, n);
    if (!line_.empty()) {
      whole.swap(line_);
      text = whole.append(text);
    }
    if (text.size() < 2 || text[text.size() - 2] != '\r') { // a bare LF does not end a line
      fail(Fault::Malformed);
      break;
    }
    line(text.substr(0, text.size() - 2));
  }
  return used;
}

Message Parser::take() {
  Message out = std::move(message_);
  *this = Parser(kind_, ceiling_);
  return out;
}

void Parser::line(std::string_view text) {
  if (state_ == State::Headers) {
    text.empty() ? headers_end() : header_line(text);
  } else if (!text.empty()) { // empty lines before a message are skipped
    start_line(text);
  }
}

void Parser::start_line(std::string_view text) {
  const auto first = text.find(' ');
  if (first == std::string_view::npos) return fail(Fault::Malformed);
  std::string_view version;
  if (kind_ == Kind::Request) {
    const auto last = text.rfind(' ');
    message_.method = text.substr(0, first);
    message_.target = first < last ? path_of(text.substr(first + 1, last - first - 1)) : "";
    version = text.substr(last + 1);
    if (!is_token(message_.method) || !is_target(message_.target)) return fail(Fault::Malformed);
  } else {
    version = text.substr(0, first);
    const std::string_view code = text.substr(first + 1, 3);
    std::uint64_t status = 0;
    if (code.size() != 3 || !parse_number(code, 10, status) || status < 100 || status > 599 ||
        status == 101) // no protocol switch was requested
      return fail(Fault::Malformed);
    if (text.size() > first + 4 && text[first + 4] != ' ') return fail(Fault::Malformed);
    message_.status = static_cast<int>(status);
  }
  if (!is_version(version)) return fail(Fault::Malformed);
  message_.version_1_0 = version.back() == '0';
  state_ = State::Headers;
}

void Parser::header_line(std::string_view text) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || !is_token(text.substr(0, colon))) return fail(Fault::Malformed);
  const std::string_view value = trim(text.substr(colon + 1));
  const auto is_control = [](char c) {
    return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
  };
  std::string name = lower(text.substr(0, colon));
  if (std::any_of(value.begin(), value.end(), is_control)) {
    // In a response only this header is dropped, unless it affects where the response ends.
    const bool frames = name == "content-length" || name == "transfer-encoding" || name == "connection";
    return kind_ == Kind::Request || frames ? fail(Fault::Malformed) : void();
  }
  message_.headers.emplace_back(std::move(name), value);
}

void Parser::headers_end() {
  if (kind_ == Kind::Response && message_.status < 200) {
    message_ = Message(); // an interim response: the final one follows
    state_ = State::StartLine;
    return;
  }
  bool has_length = false, chunked = false;
  std::uint64_t length = 0;
  message_.keep_alive = !message_.version_1_0;
  for (const auto& [name, value] : message_.headers) {
    if (name == "connection") {
      if (has_item(value, "close"))
        message_.keep_alive = false;
      else if (has_item(value, "keep-alive"))
        message_.keep_alive = true;
    } else if (name == "content-length") {
      std::uint64_t told = 0;
      // Two lengths, or a length together with chunked encoding, can smuggle a second message.
      if (!parse_number(value, 10, told) || has_length) return fail(Fault::Malformed);
      has_length = true;
      length = told;
    } else if (name == "transfer-encoding") {
      if (chunked || lower(value) != "chunked") return fail(Fault::Malformed);
      chunked = true;
    }
  }
  if (chunked && (has_length || message_.version_1_0)) return fail(Fault::Malformed);
  const bool bodiless = kind_ == Kind::Response && (message_.status == 204 || message_.status == 304);
  if (bodiless || (!chunked && !has_length && kind_ == Kind::Request)) {
    body_ = Framer::none();
  } else if (chunked) {
    body_ = Framer::chunked(ceiling_);
  } else if (has_length) {
    body_ = Framer::fixed(length, ceiling_);
  } else {
    message_.keep_alive = false;
    body_ = Framer::until_close(ceiling_);
  }
  state_ = State::Body;
}

} // namespace fernward::http
