// The payload of a datagram: entries of u8 kind, u8 length and `length` bytes. Entries of an unknown kind are
// ignored, so that new kinds can be added while routers of old and new versions run side by side.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "membership/wire.h"

namespace fernward::gossip {

enum class EntryKind : std::uint8_t { OriginState = 1, ServerReport = 2 };
constexpr std::size_t kEntryHeaderBytes = 2;

struct Entry {
  std::uint8_t kind = 0;
  std::string_view payload;
};

// Removes the first entry from `bytes` and returns it. Returns nothing at the end, or if the remaining bytes
// are damaged; `bytes` is then unchanged.
inline std::optional<Entry> next_entry(std::string_view& bytes) {
  if (bytes.size() < kEntryHeaderBytes) return std::nullopt;
  const std::size_t payload_bytes = membership::get<std::uint8_t>(bytes, 1);
  if (bytes.size() < kEntryHeaderBytes + payload_bytes) return std::nullopt;
  const Entry entry{membership::get<std::uint8_t>(bytes, 0), bytes.substr(kEntryHeaderBytes, payload_bytes)};
  bytes.remove_prefix(kEntryHeaderBytes + payload_bytes);
  return entry;
}

inline void put_entry_header(std::string& buffer, EntryKind kind, std::size_t payload_bytes) {
  membership::put(buffer, static_cast<std::uint8_t>(kind));
  membership::put(buffer, static_cast<std::uint8_t>(payload_bytes));
}

} // namespace fernward::gossip
