#include "hot_restart/restart_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fernward::hot_restart {

using nlohmann::json;

namespace {

constexpr std::string_view kMagic = "FWHO";

std::uint64_t checksum(std::uint32_t kind, std::string_view contents) { // FNV-1a
  std::uint64_t hash = 0xcbf29ce484222325ull;
  const auto add_byte = [&hash](unsigned char byte) { hash = (hash ^ byte) * 0x100000001b3ull; };
  for (int i = 0; i < 4; ++i) add_byte(static_cast<unsigned char>(kind >> 8 * i));
  for (const char c : contents) add_byte(static_cast<unsigned char>(c));
  return hash;
}

void append_number(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> 8 * i & 0xff);
}

std::uint64_t read_number(std::string_view bytes, std::size_t offset, int size) {
  std::uint64_t value = 0;
  for (int i = size; i-- > 0;)
    value = value << 8 | static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(i)]);
  return value;
}

json encode_override(const admin_overrides::EndpointOverrides::Override& endpoint_override) {
  return json::array({endpoint_override.name, endpoint_override.disabled, endpoint_override.enabled_at_ms});
}

admin_overrides::EndpointOverrides::Override decode_override(const json& values) {
  return {values.at(0).get<std::string>(), values.at(1).get<bool>(), values.at(2).get<double>()};
}

struct ContentsWriter {
  json operator()(const TakeoverRequest& message) const {
    return {{"name", message.router_name},
            {"listen", message.listen_address},
            {"reserved", message.reserved_descriptors}};
  }
  json operator()(const TakeoverGrant& message) const {
    json overrides = json::array();
    for (const auto& endpoint_override : message.overrides)
      overrides.push_back(encode_override(endpoint_override));
    return {{"list", message.endpoint_list},
            {"known", overrides},
            {"places", message.resources.descriptors},
            {"memory_mb", message.resources.memory_mb}};
  }
  json operator()(const NewProcessReady&) const { return json::object(); }
  json operator()(const OverrideChanged& message) const {
    return {{"what", encode_override(message.endpoint_override)}};
  }
  json operator()(const PassedConnection& message) const { return {{"requests", message.request_count}}; }
  json operator()(const ReleasedDescriptors& message) const { return {{"more", message.count}}; }
};

TakeoverGrant read_grant(const json& contents) {
  TakeoverGrant grant;
  contents.at("list").get_to(grant.endpoint_list);
  for (const json& endpoint_override : contents.at("known"))
    grant.overrides.push_back(decode_override(endpoint_override));
  contents.at("places").get_to(grant.resources.descriptors);
  contents.at("memory_mb").get_to(grant.resources.memory_mb);
  return grant;
}

std::optional<Message> read_contents(std::uint64_t kind, const json& contents) {
  switch (kind) {
    case 0:
      return TakeoverRequest{contents.at("name").get<std::string>(), contents.at("listen").get<std::string>(),
                             contents.at("reserved").get<std::uint64_t>()};
    case 1: return read_grant(contents);
    case 2: return NewProcessReady{};
    case 3: return OverrideChanged{decode_override(contents.at("what"))};
    case 4: return PassedConnection{contents.at("requests").get<std::uint32_t>()};
    case 5: return ReleasedDescriptors{contents.at("more").get<std::uint64_t>()};
    default: return std::nullopt;
  }
}

} // namespace

// The old process keeps what is in use, or half if that is more, but leaves at least an eighth of the
// descriptors and a quarter of the memory: the new process needs some to start.
ResourceSplit split_resources(const Resources& total, const Resources& used,
                              std::uint64_t reserved_descriptors) {
  const std::uint64_t descriptors = total.descriptors - std::min(total.descriptors, reserved_descriptors);
  const std::uint64_t max_kept = descriptors - std::min(descriptors, descriptors / 8);
  ResourceSplit result;
  result.old_process.descriptors = std::min(std::max(used.descriptors, descriptors / 2), max_kept);
  result.new_process.descriptors = descriptors - result.old_process.descriptors;
  result.old_process.memory_mb =
      std::min(std::max(used.memory_mb, total.memory_mb / 2), total.memory_mb - total.memory_mb / 4);
  result.new_process.memory_mb = total.memory_mb - result.old_process.memory_mb;
  return result;
}

std::string encode(const Message& message) {
  const std::vector<std::uint8_t> contents = json::to_cbor(std::visit(ContentsWriter(), message));
  const std::string_view text(reinterpret_cast<const char*>(contents.data()), contents.size());
  const auto kind = static_cast<std::uint32_t>(message.index());
  std::string frame(kMagic);
  append_number(frame, kVersion, 4);
  append_number(frame, kind, 4);
  append_number(frame, text.size(), 4);
  append_number(frame, checksum(kind, text), 8);
  return frame.append(text);
}

DecodeResult decode(std::string_view bytes) {
  DecodeResult result;
  const auto fail = [&result](std::string reason) {
    result.error = std::move(reason);
    return result;
  };
  const auto magic = bytes.substr(0, kMagic.size());
  if (magic != kMagic.substr(0, magic.size())) return fail("bytes are not a hot restart frame");
  if (bytes.size() < kHeaderBytes) return result;
  const std::uint64_t version = read_number(bytes, 4, 4);
  const std::uint64_t kind = read_number(bytes, 8, 4);
  const std::uint64_t length = read_number(bytes, 12, 4);
  if (version != kVersion) return fail("unsupported frame version " + std::to_string(version));
  if (length > kMaxContentsBytes) return fail("frame contents are longer than 16 MiB");
  if (bytes.size() - kHeaderBytes < length) return result;
  const std::string_view contents = bytes.substr(kHeaderBytes, length);
  if (checksum(static_cast<std::uint32_t>(kind), contents) != read_number(bytes, 16, 8))
    return fail("checksum");
  const json document = json::from_cbor(contents, true, false);
  if (document.is_discarded()) return fail("contents");
  try {
    result.message = read_contents(kind, document);
  } catch (const json::exception&) {
    return fail("contents");
  }
  if (!result.message) return fail("unknown frame kind " + std::to_string(kind));
  result.frame_bytes = kHeaderBytes + length;
  return result;
}

} // namespace fernward::hot_restart
