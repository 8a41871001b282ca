#include "log/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>

namespace fernward::log {
namespace {

constexpr std::size_t kMaxValueBytes = 400;

struct TokenBucket {
  double tokens_per_s = 100;
  double burst = 300;
  double tokens = 300;
  std::chrono::steady_clock::time_point refilled_at = std::chrono::steady_clock::now();
  std::uint64_t dropped_count = 0;
  std::uint64_t unreported_drops = 0; // dropped since the last written line

  bool try_take(double reserved_tokens) {
    const auto now = std::chrono::steady_clock::now();
    tokens =
        std::min(burst, tokens + tokens_per_s * std::chrono::duration<double>(now - refilled_at).count());
    refilled_at = now;
    if (tokens < 1 + reserved_tokens) {
      count_drop();
      return false;
    }
    tokens -= 1;
    return true;
  }
  void count_drop() {
    ++dropped_count;
    ++unreported_drops;
  }
};

TokenBucket bucket;
bool json_format = false;
bool routine_lines_enabled = true;

bool needs_no_quotes(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("-_.:/+,;@%[]").find(c) != std::string_view::npos;
  });
}

// Escapes text sent by a peer, so that it can't forge a log line in either format.
void append_quoted(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text.substr(0, kMaxValueBytes)) {
    if (c == '"' || c == '\\') out += '\\';
    const auto byte = static_cast<unsigned char>(c);
    out += byte < 0x20 || byte >= 0x7f ? '?' : c;
  }
  out += '"';
}

void append_number(std::string& out, const Field& field) {
  char text[40];
  std::snprintf(text, sizeof text, "%.0f", std::isfinite(field.number) ? field.number : 0.0);
  out += text;
}

void append_key_value(std::string& out, const Field& field) {
  out += ' ';
  out += field.key;
  out += '=';
  if (field.kind != Field::Kind::Text) return append_number(out, field);
  needs_no_quotes(field.text) && field.text.size() <= kMaxValueBytes ? void(out += field.text)
                                                                     : append_quoted(out, field.text);
}

void append_json_member(std::string& out, const Field& field) {
  out += ',';
  append_quoted(out, field.key);
  out += ':';
  field.kind != Field::Kind::Text ? append_number(out, field) : append_quoted(out, field.text);
}

// Writing to a full pipe would block the router's only thread if the reader of the log has stopped. If poll()
// reports a pipe as writable, it accepts 4096 bytes without blocking, and every line is shorter than that.
bool stderr_has_room() {
  pollfd out{STDERR_FILENO, POLLOUT, 0};
  return poll(&out, 1, 0) != 0;
}

void write_line(double reserved_tokens, std::string_view event, const Field* fields, std::size_t count) {
  if (!bucket.try_take(reserved_tokens)) return;
  if (!stderr_has_room()) return bucket.count_drop();
  std::string text;
  text.reserve(160);
  if (json_format) {
    text = "{\"event\":";
    append_quoted(text, event);
  } else {
    text += event;
  }
  const auto append_field = [&](const Field& field) {
    json_format ? append_json_member(text, field) : append_key_value(text, field);
  };
  for (std::size_t i = 0; i < count; ++i) append_field(fields[i]);
  if (bucket.unreported_drops > 0) append_field({"lines_dropped", bucket.unreported_drops});
  bucket.unreported_drops = 0;
  if (json_format) text += '}';
  std::fprintf(stderr, "%s\n", text.c_str());
}

} // namespace

void line(std::string_view event, Fields fields) { write_line(0, event, fields.begin(), fields.size()); }
void line(std::string_view event, const Field* fields, std::size_t count) {
  write_line(0, event, fields, count);
}

void routine_line(std::string_view event, Fields fields) {
  if (routine_lines_enabled) write_line(bucket.burst / 4, event, fields.begin(), fields.size());
}

void set_rate_limit(double lines_per_s, double burst_lines) {
  bucket.tokens_per_s = lines_per_s;
  bucket.burst = burst_lines;
  bucket.tokens = burst_lines;
}

void set_json_format(bool enabled) { json_format = enabled; }
void enable_routine_lines(bool enabled) { routine_lines_enabled = enabled; }

std::uint64_t dropped_lines() { return bucket.dropped_count; }

} // namespace fernward::log
