// The payload of a datagram: entries of u8 kind, u8 length and `length` bytes. Entries of an unknown kind are
// ignored, so that new kinds can be added while routers of old and new versions run side by side.
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

// Removes the first entry from `bytes` and returns it. Returns nothing at the end, or if the remaining bytes
// are damaged; `bytes` is then unchanged.
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
