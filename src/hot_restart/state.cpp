#include "hot_restart/state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fernward::hot_restart {

using nlohmann::json;

namespace {

constexpr std::string_view kMagic = "FWHO";

std::uint64_t checksum(std::uint32_t kind, std::string_view contents) { // FNV-1a
  std::uint64_t h = 0xcbf29ce484222325ull;
  const auto add = [&h](unsigned char byte) { h = (h ^ byte) * 0x100000001b3ull; };
  for (int i = 0; i < 4; ++i) add(static_cast<unsigned char>(kind >> 8 * i));
  for (const char c : contents) add(static_cast<unsigned char>(c));
  return h;
}

void put(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> 8 * i & 0xff);
}

std::uint64_t number(std::string_view bytes, std::size_t at, int size) {
  std::uint64_t value = 0;
  for (int i = size; i-- > 0;)
    value = value << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(i)]);
  return value;
}

json of(const admin_overrides::EndpointOverrides::Known& known) {
  return json::array({known.name, known.out, known.fresh_at});
}

admin_overrides::EndpointOverrides::Known known_of(const json& from) {
  return {from.at(0).get<std::string>(), from.at(1).get<bool>(), from.at(2).get<double>()};
}

struct Writer {
  json operator()(const Hello& m) const {
    return {{"name", m.name}, {"listen", m.listen}, {"reserved", m.reserved}};
  }
  json operator()(const Welcome& m) const {
    json known = json::array();
    for (const auto& one : m.known) known.push_back(of(one));
    return {{"list", m.list}, {"known", known}, {"places", m.share.places}, {"memory_mb", m.share.memory_mb}};
  }
  json operator()(const Serving&) const { return json::object(); }
  json operator()(const Asked& m) const { return {{"what", of(m.what)}}; }
  json operator()(const Client& m) const { return {{"requests", m.requests}}; }
  json operator()(const Places& m) const { return {{"more", m.more}}; }
};

std::optional<Message> read(std::uint64_t kind, const json& from) {
  switch (kind) {
    case 0:
      return Hello{from.at("name").get<std::string>(), from.at("listen").get<std::string>(),
                   from.at("reserved").get<std::uint64_t>()};
    case 1: {
      Welcome m;
      from.at("list").get_to(m.list);
      for (const json& one : from.at("known")) m.known.push_back(known_of(one));
      m.share = {from.at("places").get<std::uint64_t>(), from.at("memory_mb").get<std::uint64_t>()};
      return m;
    }
    case 2: return Serving{};
    case 3: return Asked{known_of(from.at("what"))};
    case 4: return Client{from.at("requests").get<std::uint32_t>()};
    case 5: return Places{from.at("more").get<std::uint64_t>()};
    default: return std::nullopt;
  }
}

} // namespace

Split split(const Share& whole, std::uint64_t used, std::uint64_t reserved) {
  const std::uint64_t places = whole.places - std::min(whole.places, reserved);
  Split out;
  // What the old one holds it goes on holding, but not more than it must: the new one needs room to begin.
  out.old.places = std::min(std::max(used, places / 2), places - std::min(places, places / 8));
  out.next.places = places - out.old.places;
  out.old.memory_mb = whole.memory_mb / 2;
  out.next.memory_mb = whole.memory_mb - out.old.memory_mb;
  return out;
}

std::string encode(const Message& message) {
  const std::vector<std::uint8_t> contents = json::to_cbor(std::visit(Writer(), message));
  const std::string_view text(reinterpret_cast<const char*>(contents.data()), contents.size());
  const auto kind = static_cast<std::uint32_t>(message.index());
  std::string out(kMagic);
  put(out, kVersion, 4);
  put(out, kind, 4);
  put(out, text.size(), 4);
  put(out, checksum(kind, text), 8);
  return out.append(text);
}

Decoded decode(std::string_view bytes) {
  Decoded out;
  const auto fault = [&out](std::string why) {
    out.fault = std::move(why);
    return out;
  };
  const auto begin = bytes.substr(0, kMagic.size());
  if (begin != kMagic.substr(0, begin.size())) return fault("no frame");
  if (bytes.size() < kHeader) return out;
  const std::uint64_t version = number(bytes, 4, 4), kind = number(bytes, 8, 4),
                      length = number(bytes, 12, 4);
  if (version != kVersion) return fault("version " + std::to_string(version));
  if (length > kMostContents) return fault("too long");
  if (bytes.size() - kHeader < length) return out;
  const std::string_view contents = bytes.substr(kHeader, length);
  if (checksum(static_cast<std::uint32_t>(kind), contents) != number(bytes, 16, 8)) return fault("checksum");
  const json from = json::from_cbor(contents, true, false);
  if (from.is_discarded()) return fault("contents");
  try {
    out.message = read(kind, from);
  } catch (const json::exception&) {
    return fault("contents");
  }
  if (!out.message) return fault("kind " + std::to_string(kind));
  out.used = kHeader + length;
  return out;
}

} // namespace fernward::hot_restart
