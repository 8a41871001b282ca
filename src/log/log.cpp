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
  double per_second = 100;
  double burst = 300;
  double tokens = 300;
  std::chrono::steady_clock::time_point filled = std::chrono::steady_clock::now();
  std::uint64_t dropped = 0;
  std::uint64_t unreported = 0; // dropped since the last written line

  bool take(double reserve) {
    const auto now = std::chrono::steady_clock::now();
    tokens = std::min(burst, tokens + per_second * std::chrono::duration<double>(now - filled).count());
    filled = now;
    if (tokens < 1 + reserve) {
      drop();
      return false;
    }
    tokens -= 1;
    return true;
  }
  void drop() {
    ++dropped;
    ++unreported;
  }
};

TokenBucket bucket;
bool as_json = false;
bool with_routine = true;

bool plain(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("-_.:/+,;@%[]").find(c) != std::string_view::npos;
  });
}

// Escapes text sent by a peer, so that it can't forge a log line in either format.
void quoted(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text.substr(0, kMaxValueBytes)) {
    if (c == '"' || c == '\\') out += '\\';
    const auto byte = static_cast<unsigned char>(c);
    out += byte < 0x20 || byte >= 0x7f ? '?' : c;
  }
  out += '"';
}

void number(std::string& out, const Field& field) {
  char text[40];
  std::snprintf(text, sizeof text, "%.0f", std::isfinite(field.number) ? field.number : 0.0);
  out += text;
}

void key_value(std::string& out, const Field& field) {
  out += ' ';
  out += field.key;
  out += '=';
  if (field.kind != Field::Kind::Text) return number(out, field);
  plain(field.text) && field.text.size() <= kMaxValueBytes ? void(out += field.text)
                                                           : quoted(out, field.text);
}

void member(std::string& out, const Field& field) {
  out += ',';
  quoted(out, field.key);
  out += ':';
  field.kind != Field::Kind::Text ? number(out, field) : quoted(out, field.text);
}

// Writing to a full pipe would block the router's only thread if the reader of the log has stopped. If poll()
// reports a pipe as writable, it accepts 4096 bytes without blocking, and every line is shorter than that.
bool has_room() {
  pollfd out{STDERR_FILENO, POLLOUT, 0};
  return poll(&out, 1, 0) != 0;
}

void write(double reserve, std::string_view event, const Field* fields, std::size_t count) {
  if (!bucket.take(reserve)) return;
  if (!has_room()) return bucket.drop();
  std::string out;
  out.reserve(160);
  if (as_json) {
    out = "{\"event\":";
    quoted(out, event);
  } else {
    out += event;
  }
  const auto add = [&](const Field& field) { as_json ? member(out, field) : key_value(out, field); };
  for (std::size_t i = 0; i < count; ++i) add(fields[i]);
  if (bucket.unreported > 0) add({"lines_dropped", bucket.unreported});
  bucket.unreported = 0;
  if (as_json) out += '}';
  std::fprintf(stderr, "%s\n", out.c_str());
}

} // namespace

void line(std::string_view event, Fields fields) { write(0, event, fields.begin(), fields.size()); }
void line(std::string_view event, const Field* fields, std::size_t count) { write(0, event, fields, count); }

void routine(std::string_view event, Fields fields) {
  if (with_routine) write(bucket.burst / 4, event, fields.begin(), fields.size());
}

void limit(double per_second, double burst) {
  bucket.per_second = per_second;
  bucket.burst = burst;
  bucket.tokens = burst;
}

void write_json(bool json) { as_json = json; }
void write_routine(bool routine) { with_routine = routine; }

std::uint64_t dropped() { return bucket.dropped; }

} // namespace fernward::log
