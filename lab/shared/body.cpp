#include "lab/shared/body.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstring>

#include "http/message.h"

namespace fernward::rig {
namespace {

// "try=.. attempt=.. machine=.. key=.. tag=..\n", each 16 hexadecimal digits.
constexpr std::array<std::string_view, 5> kFieldNames{"try=", " attempt=", " machine=", " key=", " tag="};
constexpr std::size_t kDigits = 16;
constexpr std::size_t kHeaderBytes = 4 + 9 + 9 + 5 + 5 + 5 * kDigits + 1;

void append_hex(std::string& output, std::uint64_t value) {
  char digits[kDigits + 1];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(value));
  output.append(digits, kDigits);
}

bool parse_field(std::string_view& input, std::string_view name, std::uint64_t& value) {
  if (input.substr(0, name.size()) != name || input.size() < name.size() + kDigits) return false;
  input.remove_prefix(name.size());
  value = 0;
  for (const char character : input.substr(0, kDigits)) {
    const int digit = character >= '0' && character <= '9'   ? character - '0'
                      : character >= 'a' && character <= 'f' ? character - 'a' + 10
                                                             : -1;
    if (digit < 0) return false;
    value = value << 4 | static_cast<std::uint64_t>(digit);
  }
  input.remove_prefix(kDigits);
  return true;
}

std::size_t body_size(double size, std::size_t min_size) {
  const double max_size = static_cast<double>(http::kMaxBodyBytes);
  return std::max(min_size,
                  static_cast<std::size_t>(std::clamp(std::isfinite(size) ? size : 0.0, 0.0, max_size)));
}

void append_filler(std::string& body, std::size_t size, std::uint64_t seed) {
  std::string pattern;
  for (std::uint64_t i = 0; i < 4; ++i) append_hex(pattern, seed + i);
  body.reserve(size);
  while (body.size() < size) body.append(pattern, 0, std::min(pattern.size(), size - body.size()));
}

} // namespace

std::uint64_t BodyCodec::compute_tag(const BodyMetadata& metadata, std::size_t size) const {
  const std::array<std::uint64_t, 5> fields{metadata.try_id, metadata.attempt, metadata.machine, metadata.key,
                                            size};
  return XXH3_64bits_withSeed(fields.data(), sizeof fields, secret_);
}

std::string BodyCodec::encode(const BodyMetadata& metadata, double size) const {
  const std::size_t bytes = body_size(size, kHeaderBytes);
  const std::uint64_t tag_value = compute_tag(metadata, bytes);
  const std::array<std::uint64_t, 5> values{metadata.try_id, metadata.attempt, metadata.machine, metadata.key,
                                            tag_value};
  std::string body;
  body.reserve(bytes);
  for (std::size_t i = 0; i < values.size(); ++i) {
    body.append(kFieldNames[i]);
    append_hex(body, values[i]);
  }
  body.push_back('\n');
  append_filler(body, bytes, tag_value);
  return body;
}

std::optional<BodyMetadata> BodyCodec::decode(std::string_view body) const {
  std::array<std::uint64_t, 5> values{};
  std::string_view remaining = body;
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (!parse_field(remaining, kFieldNames[i], values[i])) return std::nullopt;
  }
  BodyMetadata metadata;
  metadata.try_id = values[0];
  metadata.attempt = values[1];
  metadata.machine = static_cast<model::MachineId>(values[2]);
  metadata.key = values[3];
  if (compute_tag(metadata, body.size()) != values[4]) return std::nullopt;
  if (encode(metadata, static_cast<double>(body.size())) != body) return std::nullopt;
  return metadata;
}

std::string written_value(model::TryId try_id, double size) {
  std::string body;
  append_filler(body, body_size(size, 1), try_id * 0x9e3779b97f4a7c15ull);
  return body;
}

} // namespace fernward::rig
