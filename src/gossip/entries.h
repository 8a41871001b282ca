// The facts of a datagram: entries of u8 kind, u8 length and so many bytes. Kinds that this version does not
// know are passed over, so that what routers tell one another can grow while old and new ones stand beside
// each other.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "membership/wire.h"

namespace fernward::gossip {

enum class Kind : std::uint8_t { Quantities = 1, Finding = 2 };
constexpr std::size_t kEntryHead = 2;

struct Entry {
  std::uint8_t kind = 0;
  std::string_view bytes;
};

// The next of `bytes`, which is shortened by it; none: at the end, or where the rest is damaged and `bytes`
// stays as it is.
inline std::optional<Entry> next_entry(std::string_view& bytes) {
  if (bytes.size() < kEntryHead) return std::nullopt;
  const std::size_t length = membership::get<std::uint8_t>(bytes, 1);
  if (bytes.size() < kEntryHead + length) return std::nullopt;
  const Entry entry{membership::get<std::uint8_t>(bytes, 0), bytes.substr(kEntryHead, length)};
  bytes.remove_prefix(kEntryHead + length);
  return entry;
}

inline void put_entry_head(std::string& to, Kind kind, std::size_t length) {
  membership::put(to, static_cast<std::uint8_t>(kind));
  membership::put(to, static_cast<std::uint8_t>(length));
}

} // namespace fernward::gossip
