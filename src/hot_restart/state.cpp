#include "hot_restart/state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fernward::hot_restart {

using nlohmann::json;

namespace {

constexpr std::string_view kMagic = "FWHO";

std::uint64_t checksum(std::uint32_t kind, std::string_view contents) { // FNV-1a
  std::uint64_t hash = 0xcbf29ce484222325ull;
  const auto add = [&hash](unsigned char byte) { hash = (hash ^ byte) * 0x100000001b3ull; };
  for (int i = 0; i < 4; ++i) add(static_cast<unsigned char>(kind >> 8 * i));
  for (const char c : contents) add(static_cast<unsigned char>(c));
  return hash;
}

void append_number(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> 8 * i & 0xff);
}

std::uint64_t read_number(std::string_view bytes, std::size_t at, int size) {
  std::uint64_t value = 0;
  for (int i = size; i-- > 0;)
    value = value << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(i)]);
  return value;
}

json encode_override(const admin_overrides::EndpointOverrides::Override& from) {
  return json::array({from.name, from.disabled, from.enabled_at_ms});
}

admin_overrides::EndpointOverrides::Override decode_override(const json& from) {
  return {from.at(0).get<std::string>(), from.at(1).get<bool>(), from.at(2).get<double>()};
}

struct ContentsWriter {
  json operator()(const TakeoverRequest& message) const {
    return {{"name", message.name}, {"listen", message.listen}, {"reserved", message.reserved}};
  }
  json operator()(const TakeoverGrant& message) const {
    json overrides = json::array();
    for (const auto& one : message.overrides) overrides.push_back(encode_override(one));
    return {{"list", message.list},
            {"known", overrides},
            {"places", message.resources.descriptors},
            {"memory_mb", message.resources.memory_mb}};
  }
  json operator()(const NewProcessReady&) const { return json::object(); }
  json operator()(const OverrideChanged& message) const {
    return {{"what", encode_override(message.changed)}};
  }
  json operator()(const PassedConnection& message) const { return {{"requests", message.requests}}; }
  json operator()(const ReleasedDescriptors& message) const { return {{"more", message.count}}; }
};

TakeoverGrant read_grant(const json& from) {
  TakeoverGrant grant;
  from.at("list").get_to(grant.list);
  for (const json& one : from.at("known")) grant.overrides.push_back(decode_override(one));
  from.at("places").get_to(grant.resources.descriptors);
  from.at("memory_mb").get_to(grant.resources.memory_mb);
  return grant;
}

std::optional<Message> read_contents(std::uint64_t kind, const json& from) {
  switch (kind) {
    case 0:
      return TakeoverRequest{from.at("name").get<std::string>(), from.at("listen").get<std::string>(),
                             from.at("reserved").get<std::uint64_t>()};
    case 1: return read_grant(from);
    case 2: return NewProcessReady{};
    case 3: return OverrideChanged{decode_override(from.at("what"))};
    case 4: return PassedConnection{from.at("requests").get<std::uint32_t>()};
    case 5: return ReleasedDescriptors{from.at("more").get<std::uint64_t>()};
    default: return std::nullopt;
  }
}

} // namespace

// The old process keeps the descriptors in use, or half if that is more, but leaves at least an eighth: the
// new process needs some to start.
ResourceSplit split(const Resources& total, std::uint64_t used, std::uint64_t reserved) {
  const std::uint64_t descriptors = total.descriptors - std::min(total.descriptors, reserved);
  const std::uint64_t max_kept = descriptors - std::min(descriptors, descriptors / 8);
  ResourceSplit out;
  out.old_process.descriptors = std::min(std::max(used, descriptors / 2), max_kept);
  out.new_process.descriptors = descriptors - out.old_process.descriptors;
  out.old_process.memory_mb = total.memory_mb / 2;
  out.new_process.memory_mb = total.memory_mb - out.old_process.memory_mb;
  return out;
}

std::string encode(const Message& message) {
  const std::vector<std::uint8_t> contents = json::to_cbor(std::visit(ContentsWriter(), message));
  const std::string_view text(reinterpret_cast<const char*>(contents.data()), contents.size());
  const auto kind = static_cast<std::uint32_t>(message.index());
  std::string out(kMagic);
  append_number(out, kVersion, 4);
  append_number(out, kind, 4);
  append_number(out, text.size(), 4);
  append_number(out, checksum(kind, text), 8);
  return out.append(text);
}

Decoded decode(std::string_view bytes) {
  Decoded out;
  const auto fault = [&out](std::string why) {
    out.fault = std::move(why);
    return out;
  };
  const auto begin = bytes.substr(0, kMagic.size());
  if (begin != kMagic.substr(0, begin.size())) return fault("bytes are not a hot restart frame");
  if (bytes.size() < kHeaderBytes) return out;
  const std::uint64_t version = read_number(bytes, 4, 4);
  const std::uint64_t kind = read_number(bytes, 8, 4);
  const std::uint64_t length = read_number(bytes, 12, 4);
  if (version != kVersion) return fault("unsupported frame version " + std::to_string(version));
  if (length > kMaxContentsBytes) return fault("frame contents are longer than 16 MiB");
  if (bytes.size() - kHeaderBytes < length) return out;
  const std::string_view contents = bytes.substr(kHeaderBytes, length);
  if (checksum(static_cast<std::uint32_t>(kind), contents) != read_number(bytes, 16, 8))
    return fault("checksum");
  const json from = json::from_cbor(contents, true, false);
  if (from.is_discarded()) return fault("contents");
  try {
    out.message = read_contents(kind, from);
  } catch (const json::exception&) {
    return fault("contents");
  }
  if (!out.message) return fault("unknown frame kind " + std::to_string(kind));
  out.used = kHeaderBytes + length;
  return out;
}

} // namespace fernward::hot_restart
